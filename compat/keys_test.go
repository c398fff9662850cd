package compat_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// firstKey tells, for each method that writes a log line, which argument is the
// first key.
var firstKey = map[string]int{"Debug": 1, "Info": 1, "Warn": 1, "Error": 1, "With": 0}

// notPrograms are folders whose code does not run in an operator's processes.
var notPrograms = []string{"bench", "soak", "standin", "compat", "journal", "target", "bin"}

// TestLogLinesKeepTheirKeys reads the keys of log lines off the source.
func TestLogLinesKeepTheirKeys(t *testing.T) {
	keys := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && slices.Contains(notPrograms, d.Name()) {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			return addKeys(path, keys)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for k := range keys {
		lines = append(lines, k)
	}
	golden(t, "logkeys.golden", sortedLines(lines))
}

func addKeys(path string, keys map[string]bool) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		first, known := firstKey[method.Sel.Name]
		if !known || len(call.Args) < first+2 {
			return true
		}
		if _, text := literal(call.Args[0]); !text {
			return true
		}
		for i := first; i < len(call.Args); i += 2 {
			if key, text := literal(call.Args[i]); text {
				keys[key] = true
			}
		}
		return true
	})
	return nil
}

// literal returns the text of e if it is a string literal.
func literal(e ast.Expr) (string, bool) {
	l, ok := e.(*ast.BasicLit)
	if !ok || l.Kind != token.STRING {
		return "", false
	}
	s, err := strconv.Unquote(l.Value)
	return s, err == nil
}
