// Package casefile parses files of test cases, each with an input and its expected output.
// Keeping the cases apart from the test code makes them readable as data. The format is:
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

// Separators in a case file.
const (
	caseHeader        = "=== "
	expectedSeparator = "\n--- expected\n"
)

// Case is a test case. Input and Want have no leading or trailing white space.
type Case struct {
	Name, Input, Want string
}

// Read parses the cases of a file. It returns an error if the file contains no cases or a case
// has no expected output.
func Read(file string) ([]Case, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var out []Case
	for i, text := range strings.Split("\n"+string(b), "\n"+caseHeader) {
		if i == 0 {
			continue
		}
		name, body, _ := strings.Cut(text, "\n")
		input, want, ok := strings.Cut("\n"+body, expectedSeparator)
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
