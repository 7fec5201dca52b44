// Package httpfields parses the header fields of the HTTP messages that the
// front end forwards and selects the fields to forward. It accepts only fields
// that every recipient interprets in the same way.
package httpfields

import (
	"bytes"
	"slices"
	"strings"

	"cicadaslip/internal/errs"
)

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// List is the header fields of a message, in order.
type List []Field

// Get returns the value of the first field with a name, or an empty string.
// The case of the name does not matter.
func (l List) Get(name string) string {
	for _, f := range l {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Combined returns the different values of the fields with a name, separated by commas, or an
// empty string. The case of the name does not matter.
func (l List) Combined(name string) string {
	var values []string
	for _, f := range l {
		if strings.EqualFold(f.Name, name) && !slices.Contains(values, f.Value) {
			values = append(values, f.Value)
		}
	}
	return strings.Join(values, ", ")
}

// Count returns the number of fields with a name. The case of the name does
// not matter.
func (l List) Count(name string) int {
	n := 0
	for _, f := range l {
		if strings.EqualFold(f.Name, name) {
			n++
		}
	}
	return n
}

// Parse parses the raw header lines of a request. It rejects input that
// recipients may interpret in different ways: folded lines, lines that do not
// end with CR LF, space before the colon, names with invalid characters, and
// more than one field that determines the length of the body.
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
	return fields, fields.checkBodyLength()
}

// parseLine parses one header line without its CR LF.
func parseLine(line []byte) (Field, error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 {
		return Field{}, errs.New(errs.InvalidRequest, "a header line has no name")
	}
	if !ValidName(name) {
		return Field{}, errs.New(errs.InvalidRequest, "a header name contains an invalid character")
	}
	value = bytes.Trim(value, " \t")
	for _, c := range value {
		if c == 0 || c == '\r' {
			return Field{}, errs.New(errs.InvalidRequest, "a header value contains a NUL or CR character")
		}
	}
	return Field{Name: string(name), Value: string(value)}, nil
}

// ValidName reports whether a name consists of characters that the name of a field may have.
func ValidName(name []byte) bool {
	for _, c := range name {
		if !isTokenChar(c) {
			return false
		}
	}
	return len(name) > 0
}

// isTokenChar reports whether c may be part of a header name.
func isTokenChar(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// checkBodyLength checks that at most one field determines the length of the
// body, and that a transfer coding is "chunked".
func (l List) checkBodyLength() error {
	lengths, codings := l.Count("Content-Length"), l.Count("Transfer-Encoding")
	if lengths+codings > 1 {
		return errs.New(errs.InvalidRequest, "the header has more than one Content-Length or Transfer-Encoding field")
	}
	if codings == 1 && !strings.EqualFold(l.Get("Transfer-Encoding"), "chunked") {
		return errs.New(errs.InvalidRequest, "the Transfer-Encoding is not chunked")
	}
	return nil
}

// HasOnly reports whether no value of a field differs from one. Empty values do not count.
func HasOnly(values [][]byte, value string) bool {
	return !slices.ContainsFunc(values, func(v []byte) bool { return len(v) > 0 && string(v) != value })
}

// hopByHopFields apply to a single connection and are never forwarded.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd returns the fields to forward. It removes hop-by-hop fields, and
// fields that the Connection field names unless they are protected.
func (l List) EndToEnd(protected func(name string) bool) List {
	options := map[string]bool{} // names in lower case; a caller may list thousands
	for _, f := range l {
		if strings.EqualFold(f.Name, "Connection") {
			for name := range strings.SplitSeq(f.Value, ",") {
				options[strings.ToLower(strings.TrimSpace(name))] = true
			}
		}
	}
	kept := make(List, 0, len(l))
	for _, f := range l {
		if containsFold(hopByHopFields, f.Name) || len(options) > 0 && options[strings.ToLower(f.Name)] && !protected(f.Name) {
			continue
		}
		kept = append(kept, f)
	}
	return kept
}

// containsFold reports whether names contains name, regardless of case.
func containsFold(names []string, name string) bool {
	for _, n := range names {
		if strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}
