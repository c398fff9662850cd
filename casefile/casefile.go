// Package casefile reads test cases: files of cases with an input and the
// expected output, set apart so that a case reads like data.
//
//	=== name of the case
//	input
//	--- expected
//	output
package casefile

import (
	"fmt"
	"os"
	"strings"
)

// Marks of a case file.
const (
	caseMark   = "=== "
	resultMark = "\n--- expected\n"
)

// Case is one case.
type Case struct {
	Name, Input, Want string
}

// Read returns the cases of a file.
func Read(file string) ([]Case, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var out []Case
	for i, text := range strings.Split("\n"+string(b), "\n"+caseMark) {
		if i == 0 {
			continue
		}
		name, body, _ := strings.Cut(text, "\n")
		input, want, ok := strings.Cut("\n"+body, resultMark)
		if !ok {
			return nil, fmt.Errorf("%s: case %q has no expected output", file, name)
		}
		out = append(out, Case{Name: name, Input: strings.TrimSpace(input), Want: strings.TrimSpace(want)})
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%s: no cases", file)
	}
	return out, nil
}
