package caller

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestDocumentedStatuses checks that the table in docs/API.md lists every code with
// its status.
func TestDocumentedStatuses(t *testing.T) {
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
