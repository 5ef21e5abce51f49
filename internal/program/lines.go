package program

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// linesDropped counts the log lines that found no room, in all of the process.
var linesDropped atomic.Uint64

// LinesDropped gives how many log lines were dropped since the start.
func LinesDropped() uint64 {
	return linesDropped.Load()
}

// DefaultLogBuffer is the room for log lines that wait to be written, in bytes:
// a few seconds of a busy process.
const DefaultLogBuffer = 256 << 10

// lineWriter writes log lines from a goroutine of its own, so that nobody who
// logs waits for who reads. Lines beyond its bound are dropped and counted.
type lineWriter struct {
	out   io.Writer
	limit int

	mu      sync.Mutex
	ready   sync.Cond
	waiting []byte
	dropped int
	closed  bool
	done    chan struct{}
}

func newLineWriter(out io.Writer, limit int) *lineWriter {
	w := &lineWriter{out: out, limit: limit, done: make(chan struct{})}
	w.ready.L = &w.mu
	go w.run()
	return w
}

// Write implements io.Writer for one line; it never blocks and never fails.
func (w *lineWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting)+len(line) > w.limit {
		w.dropped++
		linesDropped.Add(1)
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	w.ready.Signal()
	return len(line), nil
}

// run writes what waits until Close.
func (w *lineWriter) run() {
	defer close(w.done)
	var batch []byte
	for {
		var dropped int
		var closed bool
		batch, dropped, closed = w.take(batch[:0])
		if dropped > 0 {
			batch = fmt.Appendf(batch, "{\"@level\":\"warn\",\"@message\":\"log_lines_dropped\",\"count\":%d}\n", dropped)
		}
		// Nobody can be told that standard output is gone.
		_, _ = w.out.Write(batch)
		if closed {
			return
		}
	}
}

// take waits for lines and swaps the buffers.
func (w *lineWriter) take(empty []byte) (batch []byte, dropped int, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.waiting) == 0 && !w.closed {
		w.ready.Wait()
	}
	batch, w.waiting = w.waiting, empty
	dropped, w.dropped = w.dropped, 0
	return batch, dropped, w.closed
}

// Close writes what waits and ends the writer.
func (w *lineWriter) Close() {
	w.mu.Lock()
	w.closed = true
	w.ready.Signal()
	w.mu.Unlock()
	<-w.done
}
