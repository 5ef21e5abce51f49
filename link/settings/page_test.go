package settings

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"
)

const pagePath = "../../docs/SETTINGS.md"

// TestPage checks that docs/SETTINGS.md matches the doc comments of the settings.
// With UPDATE_PAGE=1 it rewrites the page first.
func TestPage(t *testing.T) {
	p := newPageWriter(t)
	p.write("# Settings\n\nSettings are TOML. An unknown key, a bad address, unit or range is refused at start,\n" +
		"with file, key and reason; `--check` reads and checks a file and exits. Durations are\n" +
		"written with a unit, such as `250ms`, and sizes too, such as `10MB` or `4MiB`. This page\n" +
		"is made from the comments of `link/settings`; a test keeps the two equal.\n")
	p.program("trefoil-entry", "Entry")
	p.program("trefoil-sidecar", "Sidecar")
	p.program("trefoil-gateway", "Gateway")
	p.program("trefoil-burn", "Burn")
	if os.Getenv("UPDATE_PAGE") != "" {
		if err := os.WriteFile(pagePath, []byte(p.text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	onDisk, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if string(onDisk) != p.text.String() {
		t.Error("docs/SETTINGS.md differs from the comments; run the test with UPDATE_PAGE=1")
	}
}

// pageWriter builds the page from the syntax trees of the settings structs.
type pageWriter struct {
	structs map[string]*ast.StructType
	text    strings.Builder
}

func newPageWriter(t *testing.T) *pageWriter {
	t.Helper()
	c := &pageWriter{structs: make(map[string]*ast.StructType)}
	for _, name := range []string{"burn.go", "common.go", "entry.go", "gateway.go", "listener.go", "sidecar.go"} {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if spec, ok := n.(*ast.TypeSpec); ok {
				if s, ok := spec.Type.(*ast.StructType); ok {
					c.structs[spec.Name.Name] = s
				}
			}
			return true
		})
	}
	return c
}

func (c *pageWriter) write(s string) {
	c.text.WriteString(s)
}

func (c *pageWriter) program(name, root string) {
	c.write(fmt.Sprintf("\n## %s\n\n| key | meaning |\n| --- | --- |\n", name))
	c.rows("", c.structs[root])
}

// rows writes a row for each key of a struct, and recursively those of its tables
// with the table's name as the prefix. A field without a comment repeats the one
// before it.
func (c *pageWriter) rows(prefix string, s *ast.StructType) {
	last := ""
	for _, field := range s.Fields.List {
		kind := strings.TrimPrefix(typeName(field.Type), "[]")
		if len(field.Names) == 0 {
			c.rows(prefix, c.structs[kind])
			continue
		}
		if doc := strings.Join(strings.Fields(field.Doc.Text()), " "); doc != "" {
			last = doc
		}
		key := prefix + tomlKey(field)
		if table, ok := c.structs[kind]; ok {
			if strings.HasPrefix(typeName(field.Type), "[]") {
				key += "[]"
			}
			c.rows(key+".", table)
			continue
		}
		c.write(fmt.Sprintf("| `%s` | %s |\n", key, last))
	}
}

func typeName(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.ArrayType:
		return "[]" + typeName(e.Elt)
	default:
		return ""
	}
}

func tomlKey(field *ast.Field) string {
	text, _ := strconv.Unquote(field.Tag.Value)
	return reflect.StructTag(text).Get("toml")
}
