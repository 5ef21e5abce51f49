// Package record keeps the requests that a stand-in received, so that tests can
// search them for data that must never reach an upstream, such as callers' keys.
package record

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
)

// Limits of a recorder, in bytes.
const (
	maxKept = 4 << 20
	maxBody = 32 << 20
)

// Recorder keeps the most recent requests of a handler and counts those with
// watched texts. The zero value is ready to use. It is safe for concurrent use.
type Recorder struct {
	mu sync.Mutex
	// kept holds the last requests, oldest first, up to maxKept bytes, but at
	// least one.
	kept []string
	// size is the length of kept in bytes.
	size    int
	watched []string
	hits    map[string]int
}

// Watch makes Hits count the later requests that contain each of the texts. The
// count covers also requests that are no longer kept.
func (r *Recorder) Watch(texts ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watched = append(r.watched, texts...)
}

// Hits returns the number of requests that contained each watched text; texts
// without a hit are absent.
func (r *Recorder) Hits() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	hits := make(map[string]int)
	for text, n := range r.hits {
		hits[text] = n
	}
	return hits
}

// Contains reports whether a request among those kept contains the text in its
// line, headers or body.
func (r *Recorder) Contains(text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, request := range r.kept {
		if strings.Contains(request, text) {
			return true
		}
	}
	return false
}

// Wrap returns a handler that records each request before next serves it. Bodies
// over maxBody get status 400 and are not recorded.
func (r *Recorder) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.add(dump(req, body))
		req.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, req)
	})
}

func dump(req *http.Request, body []byte) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s\r\n", req.Method, req.RequestURI)
	_ = req.Header.Write(&text)
	text.WriteString("\r\n")
	text.Write(body)
	return text.String()
}

func (r *Recorder) add(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, text := range r.watched {
		if strings.Contains(request, text) {
			if r.hits == nil {
				r.hits = make(map[string]int)
			}
			r.hits[text]++
		}
	}
	r.kept = append(r.kept, request)
	r.size += len(request)
	for r.size > maxKept && len(r.kept) > 1 {
		r.size -= len(r.kept[0])
		r.kept = r.kept[1:]
	}
}
