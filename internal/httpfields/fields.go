// Package httpfields parses and writes the header fields of HTTP messages that
// the front end passes on. It accepts only fields that every recipient reads in
// the same way.
package httpfields

import (
	"bytes"
	"strings"

	"cicadaslip/internal/errs"
)

// Field is one header line.
type Field struct {
	Name  string
	Value string
}

// List is the header lines of a message, in order.
type List []Field

// Get returns the value of the first field with a name, regardless of case.
func (l List) Get(name string) string {
	for _, f := range l {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Count returns the number of fields with a name.
func (l List) Count(name string) int {
	n := 0
	for _, f := range l {
		if strings.EqualFold(f.Name, name) {
			n++
		}
	}
	return n
}

// Parse reads the raw header lines of a request. It fails for what recipients
// read differently: folded lines, lines that do not end with CR LF, space before
// the colon, names with characters that are not allowed, and more than one way
// to tell the length of the body.
func Parse(raw []byte) (List, error) {
	var fields List
	for len(raw) > 0 {
		end := bytes.IndexByte(raw, '\n')
		if end < 0 {
			end = len(raw)
		}
		line := raw[:end]
		raw = raw[min(end+1, len(raw)):]
		if len(line) == 0 || line[len(line)-1] != '\r' {
			return nil, errs.New(errs.InvalidRequest, "a header line does not end with CR LF")
		}
		line = line[:len(line)-1]
		if len(line) == 0 {
			break
		}
		field, err := parseLine(line)
		if err != nil {
			return nil, err
		}
		fields = append(fields, field)
	}
	return fields, fields.checkLength()
}

func parseLine(line []byte) (Field, error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 {
		return Field{}, errs.New(errs.InvalidRequest, "a header line has no name")
	}
	for _, c := range name {
		if !tokenChar(c) {
			return Field{}, errs.New(errs.InvalidRequest, "a header name has a character that is not allowed")
		}
	}
	value = bytes.Trim(value, " \t")
	for _, c := range value {
		if c == 0 || c == '\r' {
			return Field{}, errs.New(errs.InvalidRequest, "a header value has a control character")
		}
	}
	return Field{Name: string(name), Value: string(value)}, nil
}

func tokenChar(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

func (l List) checkLength() error {
	lengths, codings := l.Count("Content-Length"), l.Count("Transfer-Encoding")
	if lengths+codings > 1 {
		return errs.New(errs.InvalidRequest, "the length of the body is told more than once")
	}
	if codings == 1 && !strings.EqualFold(l.Get("Transfer-Encoding"), "chunked") {
		return errs.New(errs.InvalidRequest, "unknown transfer coding")
	}
	return nil
}

// connectionFields concern only one connection and are not passed on.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd returns the fields that are passed on: without those of the
// connection, and without those that its Connection field names, unless they are
// protected.
func (l List) EndToEnd(protected func(name string) bool) List {
	var named []string
	for _, f := range l {
		if strings.EqualFold(f.Name, "Connection") {
			for name := range strings.SplitSeq(f.Value, ",") {
				named = append(named, strings.TrimSpace(name))
			}
		}
	}
	kept := make(List, 0, len(l))
	for _, f := range l {
		if contains(connectionFields, f.Name) || contains(named, f.Name) && !protected(f.Name) {
			continue
		}
		kept = append(kept, f)
	}
	return kept
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}
