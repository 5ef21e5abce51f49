package bytebudget

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func TestBudget(t *testing.T) {
	b := New(1_000_000)
	first := NewReader(strings.NewReader(strings.Repeat("x", 900_000)), b, 0)
	if _, err := io.ReadAll(first); err != nil {
		t.Fatalf("900,000 of 1,000,000 bytes: %v", err)
	}
	second := NewReader(strings.NewReader(strings.Repeat("y", 900_000)), b, 0)
	if _, err := io.ReadAll(second); !errors.Is(err, ErrExhausted) {
		t.Errorf("error %v while 900,000 of 1,000,000 bytes are held, want %v", err, ErrExhausted)
	}
	second.Release()
	small := NewReader(strings.NewReader(strings.Repeat("z", 300_000)), b, 300_000)
	if text, err := io.ReadAll(small); err != nil || len(text) != 300_000 {
		t.Errorf("%d bytes, error %v of a small message, want all 300,000", len(text), err)
	}
	small.Release()
	first.Release()
	if b.Held() != 0 {
		t.Errorf("%d bytes held after all were released", b.Held())
	}
}
