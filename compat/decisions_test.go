package compat_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// source is what the code outside tests declares and writes.
type source struct {
	// declared are functions and types as package.Name, methods as
	// package.Type.Name, and constants by their name alone.
	declared map[string]bool
	// texts are all string literals.
	texts map[string]bool
}

func readSource(t *testing.T) *source {
	s := &source{declared: map[string]bool{}, texts: map[string]bool{}}
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && slices.Contains(notPrograms, d.Name()) {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		s.add(file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *source) add(file *ast.File) {
	pkg := file.Name.Name
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncDecl:
			s.declared[pkg+"."+receiver(n)+n.Name.Name] = true
		case *ast.TypeSpec:
			s.declared[pkg+"."+n.Name.Name] = true
		case *ast.ValueSpec:
			for _, name := range n.Names {
				s.declared[name.Name] = true
			}
		case *ast.BasicLit:
			if text, ok := literal(n); ok {
				s.texts[text] = true
			}
		}
		return true
	})
}

// receiver returns the type of a method with a dot, or nothing for a function.
func receiver(f *ast.FuncDecl) string {
	if f.Recv == nil {
		return ""
	}
	e := f.Recv.List[0].Type
	if star, ok := e.(*ast.StarExpr); ok {
		e = star.X
	}
	if name, ok := e.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

var (
	quoted  = regexp.MustCompile(`"([^"]+)"`)
	inCode  = regexp.MustCompile("`([^`]+)`")
	isPlace = regexp.MustCompile(`^[a-z]+(\.\w+)+$`)
)

// column is a table's column on the page, by its place in a row.
type column int

const (
	columnRule      column = 2
	columnConstants column = 4
)

// minRows is fewer than the page has; with less, its form has changed.
const minRows = 40

func TestDecisionsNamesWhatExists(t *testing.T) {
	page, err := os.ReadFile("../docs/DECISIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	s := readSource(t)
	rows := 0
	for _, line := range strings.Split(string(page), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < int(columnRule)+2 || strings.HasPrefix(line, "| ---") || strings.HasPrefix(line, "| question") {
			continue
		}
		rows++
		for _, m := range inCode.FindAllStringSubmatch(cells[columnRule], -1) {
			if !isPlace.MatchString(m[1]) || !s.declared[m[1]] {
				t.Errorf("no function %s: %s", m[1], cells[1])
			}
		}
		if len(cells) >= 7 {
			for _, m := range inCode.FindAllStringSubmatch(cells[columnConstants], -1) {
				if !s.declared[m[1]] {
					t.Errorf("no constant %s: %s", m[1], cells[1])
				}
			}
		}
		for _, m := range quoted.FindAllStringSubmatch(cells[len(cells)-2], -1) {
			if !s.texts[m[1]] {
				t.Errorf("no message %q: %s", m[1], cells[1])
			}
		}
	}
	if rows < minRows {
		t.Errorf("only %d rows were read", rows)
	}
}
