package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"cicadaslip/internal/errs"
)

// Decode decodes a document from JSON if it begins with a brace, and from YAML
// otherwise. It returns errs.InvalidConfig with the line or byte offset of the
// error for unknown keys, duplicate YAML keys and values of a wrong type.
func Decode(data []byte) (*Document, error) {
	trimmed := bytes.TrimLeft(data, " \t\r\n")
	var document Document
	if bytes.HasPrefix(trimmed, []byte("{")) {
		if err := decodeJSON(data, &document); err != nil {
			return nil, err
		}
		return &document, nil
	}
	if err := decodeYAML(data, &document); err != nil {
		return nil, err
	}
	return &document, nil
}

// decodeYAML decodes one YAML document. It rejects features that a
// configuration does not need: anchors and aliases, which can refer to
// themselves, merge keys, and tags. A panic of the YAML library on malformed
// input is returned as an error.
func decodeYAML(data []byte, document *Document) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = decodeError(fmt.Sprintf("the YAML library failed: %v", cause))
		}
	}()
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return yamlError(err)
	}
	if len(file.Docs) > 1 {
		return decodeError("the file contains more than one YAML document")
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return decodeError("the document is empty")
	}
	var finder forbiddenNodeFinder
	ast.Walk(&finder, file.Docs[0].Body)
	if len(finder.faults) > 0 {
		return decodeError(finder.faults...)
	}
	if err := yaml.NodeToValue(file.Docs[0].Body, document, yaml.DisallowUnknownField()); err != nil {
		return yamlError(err)
	}
	return nil
}

// forbiddenNodeFinder is an ast.Visitor that records the lines of anchors,
// aliases, merge keys and tags.
type forbiddenNodeFinder struct{ faults []string }

// Visit implements ast.Visitor.
func (r *forbiddenNodeFinder) Visit(node ast.Node) ast.Visitor {
	switch node.Type() {
	case ast.AnchorType, ast.AliasType, ast.TagType, ast.MergeKeyType:
		line := node.GetToken().Position.Line
		r.faults = append(r.faults, fmt.Sprintf("line %d: anchors, aliases, merge keys and tags are not allowed", line))
		return nil
	}
	return r
}

// decodeError returns the error for input that is not a valid document.
func decodeError(details ...string) error {
	return errs.New(errs.InvalidConfig, "the document cannot be decoded").WithDetails(details...)
}

// yamlError converts an error of the YAML library and adds the line, if known.
func yamlError(err error) error {
	var typed yaml.Error
	if errors.As(err, &typed) && typed.GetToken() != nil {
		return decodeError(fmt.Sprintf("line %d: %s", typed.GetToken().Position.Line, typed.GetMessage()))
	}
	return decodeError(err.Error())
}

// decodeJSON decodes exactly one JSON value and rejects unknown fields.
func decodeJSON(data []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return decodeError(fmt.Sprintf("byte %d: %s", decoder.InputOffset(), err))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return decodeError("unexpected data follows the document")
	}
	return nil
}

// EncodeYAML returns the document as YAML.
func (d *Document) EncodeYAML() ([]byte, error) {
	data, err := yaml.MarshalWithOptions(d, yaml.IndentSequence(true))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "the document cannot be encoded")
	}
	return data, nil
}

// EncodeJSON returns the document as indented JSON.
func (d *Document) EncodeJSON() ([]byte, error) {
	data, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "the document cannot be encoded")
	}
	return append(data, '\n'), nil
}
