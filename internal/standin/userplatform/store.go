// Package userplatform is a stand-in for the users' platform: its metadata store
// and its runners, served over HTTP on loopback. The soak test sets its faults.
package userplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Row is one row of the store, also as sent. A removed row stays, with the
// version of its removal.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Removed bool   `json:"removed,omitempty"`
}

// Store is the metadata store, in memory. It never discards rows or their
// removals. It implements http.Handler.
type Store struct {
	mu sync.Mutex
	// version is that of the last change, counted over all rows.
	version uint64
	rows    map[string]Row
	// changed is closed and replaced to wake waiting feeds.
	changed     chan struct{}
	unavailable bool
	startedAt   time.Time
	// loseAnswers breaks the connections of writes after they take effect. Changes up
	// to the version forgotten are no longer available to feeds.
	loseAnswers bool
	forgotten   uint64
	// era is sent in all answers. It rises with each Restore.
	era uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: make(map[string]Row), changed: make(chan struct{}), startedAt: time.Now(), era: 1}
}

// SetUnavailable makes the store refuse all calls with status 503, or accept them again.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	s.wakeFeeds()
}

// SetLoseAnswers makes the store break the connections of writes after they take
// effect, so that their answers are lost.
func (s *Store) SetLoseAnswers(loseAnswers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = loseAnswers
}

// CompactHistory drops the history of changes: feeds that are behind get status 410 and
// must read all rows again.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.version
	s.wakeFeeds()
}

// Put writes a row on behalf of the platform itself, also while the store is away;
// a nil value removes the row.
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
	s.wakeFeeds()
	return nil
}

// SetEvacuated writes or deletes the row with which an operator evacuates a zone.
func (s *Store) SetEvacuated(zone string, evacuated bool) error {
	if !evacuated {
		return s.Put("op", "evacuate/"+zone, nil)
	}
	return s.Put("op", "evacuate/"+zone, struct{}{})
}

// wakeFeeds makes waiting feeds check again; the caller holds mu.
func (s *Store) wakeFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the rows of a table with a version above after, with removed rows
// if wanted; the caller holds mu.
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
	unavailable := s.unavailable
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	if unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch q.URL.Path {
	case "/trefoilwalk/rows-get":
		s.mu.Lock()
		rows := s.rowsText(s.since(q.URL.Query().Get("table"), 0, false))
		s.mu.Unlock()
		_, _ = w.Write(rows)
	case "/trefoilwalk/rows-feed":
		s.feed(w, q)
	case "/trefoilwalk/rows-tx":
		s.write(w, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// rowsText returns an answer with rows and the store's version. The caller holds mu, and
// writes the answer without it: a caller that reads slowly must not stop the store.
func (s *Store) rowsText(rows []Row) []byte {
	body := map[string]any{"rows": rows, "has_more": false, "row_version": s.version, "now_ms": time.Since(s.startedAt).Milliseconds()}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return text
}

// feed returns the changes after a version. Without any, it waits up to wait_ms.
func (s *Store) feed(w http.ResponseWriter, q *http.Request) {
	after, err := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		rows, changed, unavailable := s.since(q.URL.Query().Get("table"), after, true), s.changed, s.unavailable
		if unavailable {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after < s.forgotten || after > s.version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 || wait == 0 {
			text := s.rowsText(rows)
			s.mu.Unlock()
			_, _ = w.Write(text)
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

// write applies a transaction, or responds with status 412 if a row of its
// precondition has another version.
func (s *Store) write(w http.ResponseWriter, q *http.Request) {
	var tx struct {
		Expect []Row `json:"precondition"`
		Puts   []Row `json:"puts"`
		Delete []Row `json:"delete"`
	}
	if err := json.NewDecoder(q.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, text := s.apply(tx.Expect, tx.Puts, tx.Delete)
	if text == nil {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// apply applies a transaction and returns its answer, nil if that is lost.
func (s *Store) apply(expect, puts, remove []Row) (status int, text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range append(expect, remove...) {
		if s.rows[e.Table+"/"+e.Key].Version != e.Version {
			return http.StatusPreconditionFailed, s.rowsText(nil)
		}
	}
	s.version++
	for _, r := range puts {
		r.Version = s.version
		s.rows[r.Table+"/"+r.Key] = r
	}
	for _, r := range remove {
		s.rows[r.Table+"/"+r.Key] = Row{Table: r.Table, Key: r.Key, Version: s.version, Removed: true}
	}
	s.wakeFeeds()
	if s.loseAnswers {
		return 0, nil
	}
	return http.StatusOK, s.rowsText(nil)
}
