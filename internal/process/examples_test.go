package process

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/trefoilwalk/trefoilwalk/link/operator/shell"
	"github.com/trefoilwalk/trefoilwalk/link/settings"
)

// TestExamples guards against example settings files that --check rejects.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.toml")
	if err != nil || len(files) < 16 {
		t.Fatalf("%d example files, %v", len(files), err)
	}
	for _, file := range files {
		name := filepath.Base(file)
		switch {
		case strings.HasPrefix(name, "entry"):
			_, err = settings.LoadEntry(file)
		case strings.HasPrefix(name, "sidecar"):
			_, err = settings.LoadSidecar(file)
		case name == "burn.toml":
			_, err = settings.LoadBurn(file)
		default:
			_, err = shell.ReadSettings(file)
		}
		if err != nil {
			t.Error(err)
		}
	}
}
