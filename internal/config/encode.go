package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"

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

func decodeYAML(data []byte, document *Document) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField())
	if err := decoder.Decode(document); err != nil {
		return yamlError(err)
	}
	if err := decoder.Decode(&Document{}); !errors.Is(err, io.EOF) {
		return errs.New(errs.InvalidConfig, "the file holds more than one YAML document")
	}
	return nil
}

func yamlError(err error) error {
	if errors.Is(err, io.EOF) {
		return errs.New(errs.InvalidConfig, "the document is empty")
	}
	message := err.Error()
	var typed yaml.Error
	if errors.As(err, &typed) && typed.GetToken() != nil {
		message = fmt.Sprintf("line %d: %s", typed.GetToken().Position.Line, typed.GetMessage())
	}
	return errs.New(errs.InvalidConfig, "the document cannot be decoded").WithDetails(message)
}

// decodeJSON reads one JSON value strictly.
func decodeJSON(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		detail := fmt.Sprintf("byte %d: %s", decoder.InputOffset(), err)
		return errs.New(errs.InvalidConfig, "the document cannot be decoded").WithDetails(detail)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errs.New(errs.InvalidConfig, "data follows the document")
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
