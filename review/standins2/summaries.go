package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of a model runner: it ends a step for all its requests at the same time, with an event
// for each, and a summary has up to mostEvents of them.
const (
	stepEvery   = 250 * time.Millisecond
	fewEvents   = 3
	mostEvents  = 9
	summaryBody = "specification"
)

// summaries is a model runner in the decode phase that answers each request that names it with
// a stream of events.
type summaries struct {
	id string
	mu sync.Mutex
	// events counts the events of the answers that were written whole.
	events map[string]int
}

// ServeHTTP implements http.Handler.
func (s *summaries) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	switch {
	case strings.HasSuffix(q.URL.Path, names["hold-call"]):
		_, _ = fmt.Fprintf(w, `{"hold":"h-%d"}`, rand.Uint64())
		return
	case strings.HasSuffix(q.URL.Path, names["report-call"]):
		_, _ = io.WriteString(w, `{"phase":"decode","busy":false,"sequence":0}`)
		return
	case strings.HasPrefix(q.URL.Path, "/trefoilwalk/"):
		return
	case q.Header.Get(names["target-header"]) != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(names["signature-header"], "s-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	events := fewEvents + rand.IntN(mostEvents-fewEvents)
	control := http.NewResponseController(w)
	for n := 1; n <= events; n++ {
		time.Sleep(time.Until(time.Now().Truncate(stepEvery).Add(stepEvery)))
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("w", 12)); err != nil || control.Flush() != nil {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events[id] = events
}

// of returns the number of events of an answer that was written whole, else 0.
func (s *summaries) of(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events[id]
}
