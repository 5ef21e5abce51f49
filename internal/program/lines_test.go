package program

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
)

// stuck takes nothing until it is let go.
type stuck struct {
	release chan struct{}

	mu   sync.Mutex
	text strings.Builder
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestNobodyReads logs far more than the buffer holds while nobody reads: nobody
// who logs waits, and what was dropped is counted.
func TestNobodyReads(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := newLineWriter(out, 1000)
	const lines = 10_000
	for i := range lines {
		if n, err := fmt.Fprintf(w, "line %05d\n", i); err != nil || n != 11 {
			t.Fatal(n, err)
		}
	}
	close(out.release)
	w.Close()
	text := out.text.String()
	kept := strings.Count(text, "line ")
	// One batch is on its way while the next one fills up.
	if kept == 0 || kept > 2*1000/11+2 {
		t.Errorf("%d lines kept in a buffer of 1000 bytes", kept)
	}
	dropped := 0
	for line := range strings.Lines(text) {
		var note struct{ Count int }
		if strings.HasPrefix(line, "{") {
			if err := json.Unmarshal([]byte(line), &note); err != nil {
				t.Fatal(err)
			}
		}
		dropped += note.Count
	}
	if dropped != lines-kept {
		t.Errorf("%d lines were dropped, %d counted", lines-kept, dropped)
	}
}

func TestOrder(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	close(out.release)
	w := newLineWriter(out, DefaultLogBuffer)
	want := ""
	for i := range 1000 {
		line := fmt.Sprintf("line %d\n", i)
		want += line
		_, _ = w.Write([]byte(line))
	}
	w.Close()
	if out.text.String() != want {
		t.Error("lines were lost or changed their order")
	}
}
