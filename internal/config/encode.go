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

// Decode reads a document in YAML or, when it begins with a brace, in JSON.
// Unknown keys, duplicate YAML keys and wrong types are errs.InvalidConfig with
// the place of the fault.
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

// decodeYAML parses the text once and refuses what a document does not need:
// anchors and aliases, which can refer to themselves, and tags. A panic of the
// YAML library on a damaged document becomes an error.
func decodeYAML(data []byte, document *Document) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = undecodable(fmt.Sprintf("the YAML library failed: %v", cause))
		}
	}()
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return yamlError(err)
	}
	if len(file.Docs) > 1 {
		return undecodable("the file holds more than one YAML document")
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return undecodable("the document is empty")
	}
	var refused refusedNodes
	ast.Walk(&refused, file.Docs[0].Body)
	if len(refused.faults) > 0 {
		return undecodable(refused.faults...)
	}
	if err := yaml.NodeToValue(file.Docs[0].Body, document, yaml.DisallowUnknownField()); err != nil {
		return yamlError(err)
	}
	return nil
}

// refusedNodes collects the places of anchors, aliases and tags.
type refusedNodes struct{ faults []string }

// Visit implements ast.Visitor.
func (r *refusedNodes) Visit(node ast.Node) ast.Visitor {
	switch node.Type() {
	case ast.AnchorType, ast.AliasType, ast.TagType, ast.MergeKeyType:
		line := node.GetToken().Position.Line
		r.faults = append(r.faults, fmt.Sprintf("line %d: anchors, aliases, merge keys and tags are refused", line))
		return nil
	}
	return r
}

func undecodable(details ...string) error {
	return errs.New(errs.InvalidConfig, "the document cannot be decoded").WithDetails(details...)
}

func yamlError(err error) error {
	var typed yaml.Error
	if errors.As(err, &typed) && typed.GetToken() != nil {
		return undecodable(fmt.Sprintf("line %d: %s", typed.GetToken().Position.Line, typed.GetMessage()))
	}
	return undecodable(err.Error())
}

// decodeJSON reads one JSON value strictly.
func decodeJSON(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return undecodable(fmt.Sprintf("byte %d: %s", decoder.InputOffset(), err))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return undecodable("data follows the document")
	}
	return nil
}

// EncodeYAML returns the document in YAML.
func (d *Document) EncodeYAML() ([]byte, error) {
	data, err := yaml.MarshalWithOptions(d, yaml.IndentSequence(true))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "the document cannot be encoded")
	}
	return data, nil
}

// EncodeJSON returns the document in indented JSON.
func (d *Document) EncodeJSON() ([]byte, error) {
	data, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "the document cannot be encoded")
	}
	return append(data, '\n'), nil
}
