// Package jsonsplit splits JSON values into their parts without looking into these. Unlike encoding/json it has no limit
// on their depth, so that one part can't keep the others from being read.
package jsonsplit

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// Errors of values that can't be split.
var (
	// ErrCutShort means that the value ends before its end.
	ErrCutShort = errors.New("jsonsplit: value is cut short")
	// ErrKind means that the value is not of the expected kind.
	ErrKind = errors.New("jsonsplit: value of another kind")
	// ErrSyntax means that parts are not separated as JSON has it, or that something follows the value.
	ErrSyntax = errors.New("jsonsplit: invalid syntax between parts")
)

// Array returns the elements of an array. They share memory with data and need not be valid JSON.
func Array(data []byte) ([]json.RawMessage, error) {
	var out []json.RawMessage
	r := &reader{data: data}
	err := r.parts('[', ']', func() error {
		element, err := r.value()
		out = append(out, element)
		return err
	})
	return out, err
}

// Object returns the members of an object by their keys. They share memory with data and need not be valid JSON. Of
// several members with one key the last one is returned, as by encoding/json.
func Object(data []byte) (map[string]json.RawMessage, error) {
	out := map[string]json.RawMessage{}
	r := &reader{data: data}
	err := r.parts('{', '}', func() error {
		text, err := r.value()
		if err != nil {
			return err
		}
		var key string
		if err := json.Unmarshal(text, &key); err != nil {
			return ErrSyntax
		}
		if !r.accept(':') {
			return r.unexpected()
		}
		out[key], err = r.value()
		return err
	})
	return out, err
}

// Decode decodes those members of an object that targets names into the values that it points to. Others are not looked
// at. A member that is missing leaves its target as it is; so does null, unless the target is a json.RawMessage, which
// takes any member as it stands.
func Decode(data []byte, targets map[string]any) error {
	members, err := Object(data)
	if err != nil {
		return err
	}
	for key, target := range targets {
		if member, found := members[key]; found {
			if err := decodeMember(member, target); err != nil {
				return fmt.Errorf("%s: %w", key, err)
			}
		}
	}
	return nil
}

func decodeMember(member json.RawMessage, target any) error {
	if raw, ok := target.(*json.RawMessage); ok {
		*raw = member
		return nil
	}
	return json.Unmarshal(member, target)
}

// reader reads a value from the beginning of data on.
type reader struct {
	data []byte
	at   int
}

// parts reads a value with the given delimiters, of which part reads one part after the other. Nothing may follow the
// value.
func (r *reader) parts(open, end byte, part func() error) error {
	if !r.accept(open) {
		return ErrKind
	}
	for n := 0; !r.accept(end); n++ {
		if n > 0 && !r.accept(',') {
			return r.unexpected()
		}
		if err := part(); err != nil {
			return err
		}
	}
	if r.skipSpace(); r.at < len(r.data) {
		return ErrSyntax
	}
	return nil
}

// accept reads c behind white space and reports whether it did.
func (r *reader) accept(c byte) bool {
	r.skipSpace()
	if r.at == len(r.data) || r.data[r.at] != c {
		return false
	}
	r.at++
	return true
}

func (r *reader) skipSpace() {
	for r.at < len(r.data) && isSpace(r.data[r.at]) {
		r.at++
	}
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\t' || c == '\r' || c == '\n'
}

// unexpected returns the error of a byte that should not follow, or of the end.
func (r *reader) unexpected() error {
	if r.at == len(r.data) {
		return ErrCutShort
	}
	return ErrSyntax
}

// value reads one value, up to the bracket that closes it or, outside brackets, up to a separator.
func (r *reader) value() (json.RawMessage, error) {
	r.skipSpace()
	start := r.at
	for depth := 0; r.at < len(r.data); {
		c := r.data[r.at]
		switch {
		case c == '"':
			if err := r.skipString(); err != nil {
				return nil, err
			}
			if depth == 0 {
				return r.data[start:r.at], nil
			}
			continue
		case c == '[' || c == '{':
			depth++
		case depth == 0 && (isSpace(c) || bytes.IndexByte([]byte(",:]}"), c) >= 0):
			if r.at == start {
				return nil, ErrSyntax
			}
			return r.data[start:r.at], nil
		case c == ']' || c == '}':
			if depth--; depth == 0 {
				r.at++
				return r.data[start:r.at], nil
			}
		}
		r.at++
	}
	return nil, ErrCutShort
}

// skipString reads a string.
func (r *reader) skipString() error {
	for r.at++; r.at < len(r.data); r.at++ {
		switch r.data[r.at] {
		case '\\':
			r.at++
		case '"':
			r.at++
			return nil
		}
	}
	r.at = len(r.data)
	return ErrCutShort
}
