// Package userplatform stands in for the users' platform: its metadata store and
// its runners, over HTTP on loopback, with faults that a soak switches on.
package userplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Row is one row of the store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Removed bool   `json:"removed,omitempty"`
}

// Store is the metadata store. Its rows and their removals are kept for ever.
type Store struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]Row
	changed chan struct{}
	away    bool
	began   time.Time
	// losing answers of writes; forgotten is the version up to which changes are.
	losing    bool
	forgotten uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: make(map[string]Row), changed: make(chan struct{}), began: time.Now()}
}

// SetAway makes the store refuse all calls, or answer again.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// SetLosing makes the store lose the answers of writes that it carries out.
func (s *Store) SetLosing(losing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losing = losing
}

// Forget drops the history of changes: feeds must read all rows again.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.version
	s.wake()
}

// Put writes a row as the platform itself; a nil value removes it.
func (s *Store) Put(table, key string, value any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := Row{Table: table, Key: key, Version: s.version, Removed: value == nil}
	if value != nil {
		text, err := json.Marshal(value)
		if err != nil {
			return err
		}
		r.Value = text
	}
	s.rows[table+"/"+key] = r
	s.wake()
	return nil
}

// wake lets feeds look again; the lock is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// since gives the rows of a table after a version; the lock is held.
func (s *Store) since(table string, after uint64, removed bool) []Row {
	out := []Row{}
	for _, r := range s.rows {
		if r.Table == table && r.Version > after && (removed || !r.Removed) {
			out = append(out, r)
		}
	}
	return out
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	away := s.away
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch q.URL.Path {
	case "/trefoilwalk/rows-get":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answer(w, s.since(q.URL.Query().Get("table"), 0, false))
	case "/trefoilwalk/rows-feed":
		s.feed(w, q)
	case "/trefoilwalk/rows-tx":
		s.write(w, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer writes rows; the lock is held.
func (s *Store) answer(w http.ResponseWriter, rows []Row) {
	body := map[string]any{"rows": rows, "has_more": false, "row_version": s.version, "now_ms": time.Since(s.began).Milliseconds()}
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) feed(w http.ResponseWriter, q *http.Request) {
	after, err := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		rows, changed, away := s.since(q.URL.Query().Get("table"), after, true), s.changed, s.away
		if away {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after < s.forgotten {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 || wait == 0 {
			s.answer(w, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-q.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, q *http.Request) {
	var tx struct {
		Expect []Row `json:"precondition"`
		Puts   []Row `json:"puts"`
	}
	if err := json.NewDecoder(q.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expect {
		if s.rows[e.Table+"/"+e.Key].Version != e.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			s.answer(w, nil)
			return
		}
	}
	s.version++
	for _, r := range tx.Puts {
		r.Version = s.version
		s.rows[r.Table+"/"+r.Key] = r
	}
	s.wake()
	if s.losing {
		panic(http.ErrAbortHandler)
	}
	s.answer(w, nil)
}
