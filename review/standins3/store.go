package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store as sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Removed bool   `json:"removed,omitempty"`
}

// store is the platform's metadata store, in memory.
type store struct {
	began time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]row
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
}

// put writes a row of the empty part on behalf of the operator or a runner; a nil value removes it.
func (s *store) put(table, key string, value any) {
	s.putIn(table, "", key, value)
}

// putIn writes a row of a part.
func (s *store) putIn(table, part, key string, value any) {
	r := row{Table: table, Part: part, Key: key, Removed: value == nil}
	if value != nil {
		text, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		r.Value = text
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r.Version = s.version
	s.rows[r.id()] = r
	s.wake()
}

// id is the key of the row among all rows.
func (r row) id() string {
	return r.Table + "\x00" + r.Part + "\x00" + r.Key
}

// wake wakes the waiting feeds. The lock must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the rows of a table above a version in order. The lock must be held.
func (s *store) list(table string, after uint64, removed bool, less func(a, b row) bool) []row {
	out := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Version > after && (removed || !r.Removed) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return less(out[i], out[j]) })
	return out
}

// answer writes rows with the store's version.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": false, "row_version": version, "now_ms": time.Since(s.began).Milliseconds(),
	})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	table := q.URL.Query().Get("table")
	switch q.URL.Path {
	case names["read-call"]:
		s.mu.Lock()
		part := q.URL.Query().Get("part")
		rows, version := s.list(table, 0, false, func(a, b row) bool { return a.Key < b.Key }), s.version
		rows = slices.DeleteFunc(rows, func(r row) bool { return r.Part != part })
		s.mu.Unlock()
		s.answer(w, http.StatusOK, rows, version)
	case names["feed-call"]:
		s.feed(w, q, table)
	case names["write-call"]:
		s.write(w, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// feed answers with the changes after a version, and waits for one up to wait_ms.
func (s *store) feed(w http.ResponseWriter, q *http.Request, table string) {
	after, err := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for last := wait == 0; ; {
		s.mu.Lock()
		rows, version, changed := s.list(table, after, true, func(a, b row) bool { return a.Version < b.Version }), s.version, s.changed
		s.mu.Unlock()
		if last || len(rows) > 0 {
			s.answer(w, http.StatusOK, rows, version)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			last = true
		case <-q.Context().Done():
			return
		}
	}
}

// write applies a transaction if its preconditions hold.
func (s *store) write(w http.ResponseWriter, q *http.Request) {
	var tx struct {
		Expect []row `json:"precondition"`
		Puts   []row `json:"puts"`
		Delete []row `json:"delete"`
	}
	if err := json.NewDecoder(q.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expect {
		if have := s.rows[e.id()]; have.Version != e.Version && !(have.Removed && e.Version == 0) {
			s.answer(w, http.StatusPreconditionFailed, []row{have}, s.version)
			return
		}
	}
	s.version++
	for _, r := range tx.Puts {
		r.Version = s.version
		s.rows[r.id()] = r
	}
	for _, r := range tx.Delete {
		s.rows[r.id()] = row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Removed: true}
	}
	s.wake()
	s.answer(w, http.StatusOK, []row{}, s.version)
}
