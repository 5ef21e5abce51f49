// Package record keeps what a stand-in received, so that tests can search it for
// what must never be sent there.
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

// Recorder records requests on their way to a handler. The zero value is ready.
type Recorder struct {
	mu sync.Mutex
	// kept holds the last requests, oldest first, up to maxKept bytes.
	kept    []string
	size    int
	watched []string
	hits    map[string]int
}

// Watch counts, from now on and without bound, the requests that contain one of
// the texts.
func (r *Recorder) Watch(texts ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watched = append(r.watched, texts...)
}

// Hits gives the number of requests that contained each watched text.
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

// Wrap returns a handler that records each request before next serves it.
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
