package layers

import (
	"fmt"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/trefoilwalk/trefoilwalk/instance/table"
)

const (
	module = "github.com/trefoilwalk/trefoilwalk"
	root   = "../.."
	// maxLines bounds the length of a source file; a longer one should be split.
	maxLines = 400
)

// goFiles calls f with the path of each Go file of the module except tests.
func goFiles(t *testing.T, f func(path string)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			f(path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestImports(t *testing.T) {
	read := 0
	goFiles(t, func(path string) {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		read++
		folder, _ := filepath.Rel(root, filepath.Dir(path))
		for _, rule := range Rules {
			if folder != rule.Folder && !strings.HasPrefix(folder, rule.Folder+"/") {
				continue
			}
			for _, imported := range file.Imports {
				name, _ := strconv.Unquote(imported.Path.Value)
				if rule.Forbids(name, module) {
					t.Errorf("%s imports %s: %s", path, name, rule.Why)
				}
			}
		}
	})
	if read < 50 {
		t.Errorf("only %d files were read, want at least 50", read)
	}
}

func TestRuleBreaks(t *testing.T) {
	rule := Rule{Forbidden: []string{"encoding", "./link"}, ForbiddenExact: []string{"net"}}
	for path, want := range map[string]bool{
		"encoding/json":         true,
		"encodings":             false,
		module + "/link/peer":   true,
		module + "/linker":      false,
		module + "/contract":    false,
		"github.com/x/encoding": false,
	} {
		if got := rule.Forbids(path, module); got != want {
			t.Errorf("Forbids(%s) = %v, want %v", path, got, want)
		}
	}
}

func TestFileLengths(t *testing.T) {
	goFiles(t, func(path string) {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(string(text), "\n"); n > maxLines {
			t.Errorf("%s is too long: %d lines", path, n)
		}
	})
}

// TestRanksOnDesignPage checks that the design page lists every lock rank, so that the
// page cannot fall behind the code.
func TestRanksOnDesignPage(t *testing.T) {
	text, err := os.ReadFile(root + "/docs/DESIGN.md")
	if err != nil {
		t.Fatal(err)
	}
	for rank := table.RankConfig; rank <= table.RankStats; rank++ {
		if row := fmt.Sprintf("| %d | %s |", rank, rank); !strings.Contains(string(text), row) {
			t.Errorf("docs/DESIGN.md has no row %q", row)
		}
	}
}

// TestPlatformFolder checks that names of the users' platform occur only in its folder
// and its stand-ins, and that only the allowed folders import it.
func TestPlatformFolder(t *testing.T) {
	goFiles(t, func(path string) {
		folder, _ := filepath.Rel(root, filepath.Dir(path))
		if folder == PlatformFolder || folder == "internal/layers" {
			return
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		standIn := slices.Contains(PlatformStandIns, folder)
		for _, name := range PlatformNames {
			if !standIn && strings.Contains(string(text), name) {
				t.Errorf("%s contains the platform's name %q", path, name)
			}
		}
		imported := strings.Contains(string(text), strconv.Quote(module+"/"+PlatformFolder))
		if imported && !slices.Contains(PlatformImporters, folder) {
			t.Errorf("%s must not import %s", path, PlatformFolder)
		}
	})
}
