package caller

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestPage keeps the table of codes in docs/API.md complete and right.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	for code, status := range statuses {
		if row := fmt.Sprintf("| `%s` | %d |", code, status); !strings.Contains(string(page), row) {
			t.Errorf("docs/API.md has no row %q", row)
		}
	}
}
