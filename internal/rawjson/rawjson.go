// Package rawjson splits a JSON object or array into the raw texts of its members or
// elements. It neither recurses nor limits the nesting, so one value that another decoder
// would refuse does not hide the others. The grammar between the values is checked; that
// inside them is left to whoever decodes them.
package rawjson

import (
	"encoding/json"
	"strconv"

	"cicadaslip/internal/errs"
)

// Value is the raw text of a JSON value. It shares the memory of the text that it is part of.
type Value struct {
	Raw   []byte
	Depth int // levels of nesting, 0 for a number, a text or a literal
}

// Object calls f with each member of the object that is all of data, in order. It stops at the
// first error of f.
func Object(data []byte, f func(name string, value Value) error) error {
	return split(data, '{', '}', func(s *scanner) error {
		begin := s.at
		if s.peek() != '"' || !s.skipString() {
			return s.invalid("the name of a member")
		}
		var name string
		if err := json.Unmarshal(s.data[begin:s.at], &name); err != nil {
			return s.invalid("the name of a member")
		}
		if s.skipSpace(); s.peek() != ':' {
			return s.invalid("a colon")
		}
		s.at++
		s.skipSpace()
		value, err := s.value()
		if err != nil {
			return err
		}
		return f(name, value)
	})
}

// Array calls f with each element of the array that is all of data, in order. It stops at the
// first error of f.
func Array(data []byte, f func(Value) error) error {
	return split(data, '[', ']', func(s *scanner) error {
		value, err := s.value()
		if err != nil {
			return err
		}
		return f(value)
	})
}

// Depth returns the levels of nesting of the value that data begins with, 0 if there is none.
func Depth(data []byte) int {
	s := &scanner{data: data}
	s.skipSpace()
	value, _ := s.value() // zero if there is none
	return value.Depth
}

// split calls part at the beginning of each part of a list between two brackets.
func split(data []byte, opening, closing byte, part func(*scanner) error) error {
	s := &scanner{data: data}
	if s.skipSpace(); s.peek() != opening {
		return s.invalid(strconv.QuoteRune(rune(opening)))
	}
	s.at++
	s.skipSpace()
	for first := true; !first || s.peek() != closing; first = false {
		if err := part(s); err != nil {
			return err
		}
		s.skipSpace()
		if s.peek() == closing {
			break
		}
		if s.peek() != ',' {
			return s.invalid("a comma")
		}
		s.at++
		s.skipSpace()
	}
	s.at++
	if s.skipSpace(); s.at < len(s.data) {
		return s.invalid("the end")
	}
	return nil
}

type scanner struct {
	data []byte
	at   int
}

// peek returns the next byte, 0 at the end.
func (s *scanner) peek() byte {
	if s.at < len(s.data) {
		return s.data[s.at]
	}
	return 0
}

func (s *scanner) invalid(wanted string) error {
	return errs.New(errs.InvalidMessage, "invalid JSON at byte "+strconv.Itoa(s.at)+": no "+wanted)
}

func (s *scanner) skipSpace() {
	for s.at < len(s.data) && isSpace(s.data[s.at]) {
		s.at++
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// skipString skips a text and reports whether it ends.
func (s *scanner) skipString() bool {
	for s.at++; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	return false
}

// value skips one value. Brackets are only counted, not matched.
func (s *scanner) value() (Value, error) {
	begin, level, depth := s.at, 0, 0
	for s.at < len(s.data) {
		switch c := s.data[s.at]; {
		case c == '"':
			if !s.skipString() {
				return Value{}, s.invalid("end of a text")
			}
		case c == '{' || c == '[':
			level++
			depth = max(depth, level)
			s.at++
		case level > 0 && (c == '}' || c == ']'):
			level--
			s.at++
		case level > 0:
			s.at++
			continue
		default:
			s.skipScalar()
		}
		if level == 0 {
			break
		}
	}
	if level > 0 || s.at == begin {
		return Value{}, s.invalid("value")
	}
	return Value{Raw: s.data[begin:s.at], Depth: depth}, nil
}

// skipScalar skips a number or a literal.
func (s *scanner) skipScalar() {
	for s.at < len(s.data) && !isSpace(s.data[s.at]) {
		switch s.data[s.at] {
		case ',', ':', '{', '}', '[', ']', '"':
			return
		}
		s.at++
	}
}
