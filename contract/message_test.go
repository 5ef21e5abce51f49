package contract

import (
	"fmt"
	"testing"
)

// TestSharedParts checks that the last part, which belongs to one request, is left out.
func TestSharedParts(t *testing.T) {
	for _, c := range []struct {
		parts []PartID
		want  string
	}{{nil, "[]"}, {[]PartID{7}, "[]"}, {[]PartID{9, 7}, "[9]"}, {[]PartID{9, 3, 9, 7}, "[3 9]"}} {
		m := &Message{}
		for _, id := range c.parts {
			m.Parts = append(m.Parts, PromptPart{ID: id})
		}
		if got := fmt.Sprint(m.SharedParts()); got != c.want {
			t.Errorf("%v: %s, want %s", c.parts, got, c.want)
		}
	}
}
