package program

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// linesDropped counts the log lines that were dropped because a buffer was full, over
// all writers of the process.
var linesDropped atomic.Uint64

// LinesDropped returns the number of log lines dropped since the process started.
func LinesDropped() uint64 {
	return linesDropped.Load()
}

// DefaultLogBuffer bounds the log lines that wait to be written, in bytes. It holds
// a few seconds of a busy process.
const DefaultLogBuffer = 256 << 10

// lineWriter writes log lines from its own goroutine, so that a slow or blocked reader
// of out never blocks the goroutines that log. Lines beyond limit bytes are dropped and
// counted, and a log_lines_dropped line after the next batch reports their number.
type lineWriter struct {
	out   io.Writer
	limit int

	mu sync.Mutex
	// wakeup is signaled when pending or closed changes.
	wakeup  sync.Cond
	pending []byte
	dropped int
	closed  bool
	done    chan struct{}
}

func newLineWriter(out io.Writer, limit int) *lineWriter {
	w := &lineWriter{out: out, limit: limit, done: make(chan struct{})}
	w.wakeup.L = &w.mu
	go w.run()
	return w
}

// Write implements io.Writer for one line; it never blocks and never fails.
func (w *lineWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > w.limit {
		w.dropped++
		linesDropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.wakeup.Signal()
	return len(line), nil
}

// run writes pending lines until Close.
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
		// A write error is ignored: there is no other place to report it.
		_, _ = w.out.Write(batch)
		if closed {
			return
		}
	}
}

// take blocks until lines are pending or the writer is closed. It returns the pending
// lines, how many were dropped since the last call, and whether the writer is closed;
// empty becomes the next buffer.
func (w *lineWriter) take(empty []byte) (batch []byte, dropped int, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.pending) == 0 && !w.closed {
		w.wakeup.Wait()
	}
	batch, w.pending = w.pending, empty
	dropped, w.dropped = w.dropped, 0
	return batch, dropped, w.closed
}

// Close writes the pending lines and ends the goroutine. It blocks as long as out does.
func (w *lineWriter) Close() {
	w.mu.Lock()
	w.closed = true
	w.wakeup.Signal()
	w.mu.Unlock()
	<-w.done
}
