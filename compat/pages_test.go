package compat_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// isPage is how pages name each other.
	isPage = regexp.MustCompile(`\b(?:docs/)?([A-Z]+\.md)\b`)
	// isTest is how pages name tests; the end of a long name may be left out.
	isTest = regexp.MustCompile("`(Test[A-Za-z0-9_]+)(…?)`")
	// isMethod is how pages name code: package, then type or function.
	isMethod = regexp.MustCompile(`^[a-z]+(\.[A-Za-z]\w*)+$`)
)

// pages returns the text of README and of each page in docs, by file.
func pages(t *testing.T) map[string]string {
	files, err := filepath.Glob("../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	for _, file := range append(files, "../README.md") {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		out[file] = string(text)
	}
	return out
}

func TestPagesNameEachOtherRightly(t *testing.T) {
	for file, text := range pages(t) {
		for _, m := range isPage.FindAllStringSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join("../docs", m[1])); err != nil && m[1] != "README.md" && m[1] != "DEPLOY.md" {
				t.Errorf("%s: no page %s", file, m[1])
			}
		}
	}
}

func TestPagesNameTestsThatExist(t *testing.T) {
	tests := testNames(t)
	for file, text := range pages(t) {
		for _, m := range isTest.FindAllStringSubmatch(text, -1) {
			if !named(tests, m[1], m[2] != "") {
				t.Errorf("%s: no test %s", file, m[1])
			}
		}
	}
}

// named returns whether there is a test of that name, or one that begins so.
func named(tests []string, name string, begins bool) bool {
	for _, test := range tests {
		if test == name || begins && strings.HasPrefix(test, name) {
			return true
		}
	}
	return false
}

// testNames returns the functions of all test files that are tests.
func testNames(t *testing.T) []string {
	var out []string
	declaration := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range declaration.FindAllStringSubmatch(string(text), -1) {
			out = append(out, m[1])
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// described are the pages that name code as package.Function or package.Type.Method.
var described = []string{"../docs/ARCHITECTURE.md", "../docs/GLOSSARY.md", "../docs/OPERATIONS.md"}

func TestPagesNameCodeThatExists(t *testing.T) {
	s := readSource(t)
	all := pages(t)
	for _, file := range described {
		for _, m := range inCode.FindAllStringSubmatch(all[file], -1) {
			if isMethod.MatchString(m[1]) && !s.declared[m[1]] && !isFile(m[1]) {
				t.Errorf("%s: no %s", file, m[1])
			}
		}
	}
}

// isFile returns whether a name with a dot is that of a file or of a metric.
func isFile(name string) bool {
	switch filepath.Ext(name) {
	case ".toml", ".json", ".go", ".md", ".txt", ".sh":
		return true
	}
	return false
}

// TestTheOnCallPageListsEachMetric holds that OPERATIONS.md has the metrics that the
// golden file has, and no others.
func TestTheOnCallPageListsEachMetric(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "metrics.golden"))
	if err != nil {
		t.Fatal(err)
	}
	page := pages(t)["../docs/OPERATIONS.md"]
	exist := map[string]bool{}
	for _, m := range regexp.MustCompile(`# TYPE (\S+)`).FindAllStringSubmatch(string(golden), -1) {
		exist[m[1]] = true
		if !strings.Contains(page, "`"+m[1]+"`") {
			t.Errorf("OPERATIONS.md does not list %s", m[1])
		}
	}
	for _, m := range regexp.MustCompile("`(silverdeck_\\w+)`").FindAllStringSubmatch(page, -1) {
		if !exist[m[1]] {
			t.Errorf("OPERATIONS.md lists %s, which does not exist", m[1])
		}
	}
}
