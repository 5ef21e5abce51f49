package config

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// HistoryLength is how many accepted changes a node keeps, so that a peer that
// is a little behind gets the changes and not the whole configuration.
const HistoryLength = 256

// Timing of fetches.
const (
	// FetchBackoff is the wait after the first failed fetch; it doubles.
	FetchBackoff = 50 * time.Millisecond
	// FetchBackoffMax bounds the wait between two fetches.
	FetchBackoffMax = time.Second
	// FetchAttempts is how often the same peers are asked before they are
	// forgotten; later messages name others.
	FetchAttempts = 12
	// MaxSources bounds the peers remembered as having a higher revision.
	MaxSources = 4
)

// Spread holds the configuration in force on one node, which never steps back,
// and decides from where to fetch a higher one. It lives in a shared table.
type Spread struct {
	current *Snapshot
	history []Change

	wanted   contract.Revision
	sources  []string
	fetching bool
	attempts int
	nextTry  time.Time
	// behindSince is when the node first heard of a revision it lacks.
	behindSince time.Time

	pollEvery time.Duration
	polling   bool
	nextPoll  time.Time

	evidence evidence
}

// Fetch says from where to get the configuration. Perform it without a lock
// and give the outcome to Fetched.
type Fetch struct {
	// Peer is the address to ask; empty means the store.
	Peer string
	// Have is the snapshot in force, to which changes may be added.
	Have *Snapshot
	// Poll marks the periodic read of the store.
	Poll bool
}

// NewSpread starts with nothing in force. The store is read every pollEvery;
// with 0 it is read only when a higher revision was heard of.
func NewSpread(pollEvery time.Duration) *Spread {
	return &Spread{current: Empty(), pollEvery: pollEvery}
}

// Current gives the snapshot in force.
func (s *Spread) Current() *Snapshot {
	return s.current
}

// Wanted gives the highest revision heard of.
func (s *Spread) Wanted() contract.Revision {
	return max(s.wanted, s.current.Revision)
}

// Offer puts a snapshot in force if its revision is higher, and returns the one
// that it replaced.
func (s *Spread) Offer(next *Snapshot) (old *Snapshot, changed bool) {
	if next == nil || next.Revision <= s.current.Revision {
		return s.current, false
	}
	s.history = nil
	return s.put(next), true
}

// OfferChanges puts accepted changes in force. Those that the node has already
// are skipped; ok is false when one is missing in between, so that the whole
// snapshot is needed.
func (s *Spread) OfferChanges(changes []Change) (old *Snapshot, changed, ok bool) {
	fresh := slices.DeleteFunc(slices.Clone(changes), func(c Change) bool {
		return c.Revision <= s.current.Revision
	})
	if len(fresh) == 0 {
		return s.current, false, true
	}
	next, err := Replay(s.current, fresh)
	if err != nil {
		return s.current, false, false
	}
	s.history = append(s.history, fresh...)
	if extra := len(s.history) - HistoryLength; extra > 0 {
		s.history = slices.Delete(s.history, 0, extra)
	}
	return s.put(next), true, true
}

// Since gives the changes after a revision; ok is false when they are no longer
// kept and the whole snapshot must be sent.
func (s *Spread) Since(revision contract.Revision) (changes []Change, ok bool) {
	if revision >= s.current.Revision {
		return nil, true
	}
	first := s.current.Revision - contract.Revision(len(s.history))
	if revision < first {
		return nil, false
	}
	return slices.Clone(s.history[revision-first:]), true
}

// Hear notes a revision that came with a message. peer is the address to ask
// for it, empty when the sender cannot be asked.
func (s *Spread) Hear(now time.Time, revision contract.Revision, peer string) {
	if revision <= s.current.Revision {
		return
	}
	if s.wanted <= s.current.Revision {
		s.behindSince = now
		s.nextTry = now
		s.attempts = 0
	}
	if revision > s.wanted {
		s.wanted = revision
		s.sources = nil
	}
	if peer == "" || revision < s.wanted || slices.Contains(s.sources, peer) || len(s.sources) >= MaxSources {
		return
	}
	s.sources = append(s.sources, peer)
}

// Due gives the fetches to start now. Each must be answered by Fetched.
func (s *Spread) Due(now time.Time) []Fetch {
	var due []Fetch
	if s.pollEvery > 0 && !s.polling && !now.Before(s.nextPoll) {
		s.polling = true
		s.nextPoll = now.Add(s.pollEvery)
		due = append(due, Fetch{Have: s.current, Poll: true})
	}
	behind := s.wanted > s.current.Revision
	if behind && !s.fetching && !now.Before(s.nextTry) {
		s.fetching = true
		due = append(due, Fetch{Peer: s.source(), Have: s.current})
	}
	return due
}

// NextDue gives when Due should be called again; ok is false when nothing is
// planned.
func (s *Spread) NextDue() (at time.Time, ok bool) {
	if s.pollEvery > 0 && !s.polling {
		at, ok = s.nextPoll, true
	}
	behind := s.wanted > s.current.Revision
	if behind && !s.fetching && (!ok || s.nextTry.Before(at)) {
		at, ok = s.nextTry, true
	}
	return at, ok
}

// Fetched ends a fetch. What it brought is given to Offer or OfferChanges
// before; failed is set when it brought no answer.
func (s *Spread) Fetched(now time.Time, f Fetch, failed bool) {
	if f.Peer == "" && !failed {
		s.evidence.storeRead = now
	}
	if f.Poll {
		s.polling = false
		return
	}
	s.fetching = false
	if s.wanted <= s.current.Revision {
		return
	}
	s.attempts++
	if s.attempts >= FetchAttempts {
		s.attempts = 0
		s.sources = nil
		s.nextTry = now.Add(FetchBackoffMax)
		return
	}
	s.nextTry = now.Add(backoff(s.attempts))
}

// source takes the peers in turn and then the store.
func (s *Spread) source() string {
	turn := s.attempts % (len(s.sources) + 1)
	if turn == len(s.sources) {
		return ""
	}
	return s.sources[turn]
}

func (s *Spread) put(next *Snapshot) (old *Snapshot) {
	old = s.current
	s.current = next
	if s.wanted <= next.Revision {
		s.forgetWanted()
	}
	return old
}

func (s *Spread) forgetWanted() {
	s.wanted = s.current.Revision
	s.sources = nil
	s.attempts = 0
	s.behindSince = time.Time{}
}

func backoff(attempts int) time.Duration {
	wait := FetchBackoff
	for range attempts - 1 {
		wait = min(2*wait, FetchBackoffMax)
	}
	return wait
}
