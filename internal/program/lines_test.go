package program

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
)

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct {
	release chan struct{}

	mu   sync.Mutex
	text strings.Builder
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestBlockedWriter logs far more than the buffer holds while the output blocks. It
// guards against a writer that blocks the logging goroutine or drops lines without
// counting them.
func TestBlockedWriter(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
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
	written := strings.Count(text, "line ")
	// One batch is being written while the next one fills the buffer.
	if written == 0 || written > 2*1000/11+2 {
		t.Errorf("%d lines passed a buffer of 1000 bytes", written)
	}
	dropped := 0
	for line := range strings.Lines(text) {
		var report struct{ Count int }
		if strings.HasPrefix(line, "{") {
			if err := json.Unmarshal([]byte(line), &report); err != nil {
				t.Fatal(err)
			}
		}
		dropped += report.Count
	}
	if dropped != lines-written {
		t.Errorf("%d lines were dropped, but %d were counted", lines-written, dropped)
	}
}

func TestLineOrder(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
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
		t.Error("lines were lost or reordered")
	}
}
