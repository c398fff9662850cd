// Package settings reads and checks the JSON settings of silverdeck-entry and
// silverdeck-agent, and their command line.
// Unknown keys and wrong values are refused with file, field and what would be right.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
)

// Error names the file, the field and the value that is wrong, and what would be right.
type Error struct {
	File  string
	Field string
	Value string
	Want  string
}

// Error returns all four in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s is wrong: want %s", e.File, e.Field, e.Value, e.Want)
}

// Checker is a struct of settings that can check itself.
type Checker interface {
	// Check returns the first wrong field, with Error.File left empty.
	Check() error
}

// Load reads the file into s, which holds the defaults, and checks the result.
// Unknown keys and wrong types are refused.
func Load(file string, s Checker) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := decode(b, s); err != nil {
		return inFile(file, err)
	}
	return inFile(file, s.Check())
}

func decode(b []byte, s Checker) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	err := d.Decode(s)
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case err == nil:
	case errors.As(err, &wrongType):
		return &Error{Field: wrongType.Field, Value: wrongType.Value, Want: "a " + wrongType.Type.String()}
	case errors.As(err, &syntax):
		return &Error{Field: "offset " + strconv.FormatInt(syntax.Offset, 10), Value: syntax.Error(), Want: "JSON"}
	default:
		return &Error{Field: "key", Value: err.Error(), Want: "a key that --print-config shows"}
	}
	if _, err := d.Token(); err != io.EOF {
		return &Error{Field: "end", Value: "more text", Want: "one JSON object"}
	}
	return nil
}

func inFile(file string, err error) error {
	var e *Error
	if errors.As(err, &e) {
		e.File = file
	}
	return err
}

// Print writes the settings in force to w.
func Print(w io.Writer, s Checker) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(s)
}

// first returns the first error of a list of checks.
func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func wrong(field string, value any, want string) error {
	return &Error{Field: field, Value: fmt.Sprintf("%q", fmt.Sprint(value)), Want: want}
}

func checkText(field, s string) error {
	if s == "" {
		return wrong(field, s, "a text that is not empty")
	}
	return nil
}

func checkAddr(field, s string) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return wrong(field, s, "an IP number and a port, such as 10.0.0.1:7000")
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return wrong(field, s, "a port from 1 to 65535")
	}
	return nil
}

func checkAddrs(field string, list []string) error {
	if len(list) == 0 {
		return wrong(field, "[]", "at least one address")
	}
	for i, s := range list {
		if err := checkAddr(fmt.Sprintf("%s[%d]", field, i), s); err != nil {
			return err
		}
	}
	return nil
}

func checkDistinct(named map[string]string, order []string) error {
	seen := map[string]string{}
	for _, field := range order {
		addr := named[field]
		if addr == "" {
			continue
		}
		if other, ok := seen[addr]; ok {
			return wrong(field, addr, "another address than "+other)
		}
		seen[addr] = field
	}
	return nil
}

func checkRange(field string, n, low, high float64) error {
	if n < low || n > high {
		return wrong(field, n, fmt.Sprintf("%g to %g", low, high))
	}
	return nil
}
