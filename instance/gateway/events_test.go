package gateway

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"
)

// TestEventsOnOperatorsPage checks that docs/OPERATIONS.md lists every event and that
// every event is used.
func TestEventsOnOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	source := ""
	entries, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), ".go") && !strings.HasSuffix(e.Name(), "_test.go") {
			text, err := os.ReadFile(e.Name())
			if err != nil {
				t.Fatal(err)
			}
			source += string(text)
		}
	}
	file, err := parser.ParseFile(token.NewFileSet(), "events.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		literal, ok := spec.Values[0].(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return true
		}
		found++
		word, err := strconv.Unquote(literal.Value)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(page), "`"+word+"`") {
			t.Errorf("docs/OPERATIONS.md does not explain %s", word)
		}
		if strings.Count(source, spec.Names[0].Name) < 2 {
			t.Errorf("nothing logs %s", spec.Names[0].Name)
		}
		return true
	})
	if found < 15 {
		t.Errorf("only %d events were found", found)
	}
}
