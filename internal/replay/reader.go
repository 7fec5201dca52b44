package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// Reader reads a trace line by line. Every error is an *errs.Error that names
// the line: invalid_message for the content, too_large for a line over
// MaxLineBytes.
type Reader struct {
	scanner *bufio.Scanner
	header  Header
	targets map[string]bool
	ids     map[model.RequestID]bool
	line    int
	last    time.Duration
}

// NewReader reads the header.
func NewReader(r io.Reader) (*Reader, error) {
	reader := &Reader{
		scanner: bufio.NewScanner(r), targets: map[string]bool{}, ids: map[model.RequestID]bool{},
	}
	reader.scanner.Buffer(make([]byte, 0, MaxLineBytes), MaxLineBytes)
	line, err := reader.next()
	if err != nil {
		if errors.Is(err, io.EOF) {
			return nil, invalid("line 1: the trace has no header")
		}
		return nil, err
	}
	if err := decode(line, &reader.header); err != nil {
		return nil, reader.fault(err)
	}
	if err := reader.header.validate(); err != nil {
		return nil, reader.fault(err)
	}
	for _, t := range reader.header.Deployment.Targets {
		reader.targets[t.Name] = true
	}
	return reader, nil
}

// Header returns the header.
func (r *Reader) Header() Header { return r.header }

// Next returns the next record, or io.EOF after the last one.
func (r *Reader) Next() (Record, error) {
	line, err := r.next()
	if err != nil {
		return Record{}, err
	}
	var record Record
	if err := decode(line, &record); err != nil {
		return Record{}, r.fault(err)
	}
	if err := record.validate(&r.header, r.targets); err != nil {
		return Record{}, r.fault(err)
	}
	if record.At < r.last {
		return Record{}, r.fault(invalid("at_ns is before the former record"))
	}
	r.last = record.At
	if record.Arrival != nil {
		if r.ids[record.Arrival.ID] {
			return Record{}, r.fault(invalid("the id is repeated"))
		}
		r.ids[record.Arrival.ID] = true
	}
	return record, nil
}

func (r *Reader) next() ([]byte, error) {
	r.line++
	if r.scanner.Scan() {
		return r.scanner.Bytes(), nil
	}
	err := r.scanner.Err()
	switch {
	case err == nil:
		return nil, io.EOF
	case errors.Is(err, bufio.ErrTooLong):
		return nil, errs.New(errs.TooLarge, fmt.Sprintf("line %d: over %d bytes", r.line, MaxLineBytes))
	}
	return nil, errs.Wrap(err, errs.Internal, fmt.Sprintf("line %d: cannot be read", r.line))
}

func (r *Reader) fault(err *errs.Error) *errs.Error {
	return errs.New(err.Code, fmt.Sprintf("line %d: %s", r.line, err.Message))
}

func decode(line []byte, into any) *errs.Error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errs.Wrap(err, errs.InvalidMessage, "not a valid object")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return invalid("more than one object")
	}
	return nil
}

// ReadAll reads a whole trace.
func ReadAll(from io.Reader) (*Trace, error) {
	reader, err := NewReader(from)
	if err != nil {
		return nil, err
	}
	trace := &Trace{Header: reader.Header()}
	for {
		record, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return trace, nil
		}
		if err != nil {
			return nil, err
		}
		trace.Records = append(trace.Records, record)
	}
}
