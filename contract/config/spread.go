package config

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/zone"
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

// Peer is a process that can be asked for the configuration or offered one.
type Peer struct {
	Kind zone.Kind
	Addr string
}

// Spread holds the configuration in force on one node, which never steps back,
// and decides from where to fetch a higher one. It lives in a shared table.
type Spread struct {
	current *Snapshot
	history []Change

	wanted   contract.Revision
	sources  []Peer
	fetching bool
	attempts int
	nextTry  time.Time
	// behindSince is when the node first heard of a revision it lacks.
	behindSince time.Time

	pollEvery time.Duration
	polling   bool
	nextPoll  time.Time

	// offering holds the peers that an offer is under way to.
	offering map[Peer]bool
}

// Fetch says from where to get the configuration. Perform it without a lock
// and give the outcome to Fetched.
type Fetch struct {
	// Peer is the one to ask; the zero value means the store.
	Peer Peer
	// Have is the snapshot in force, to which changes may be added.
	Have *Snapshot
	// Poll marks the periodic read of the store.
	Poll bool
}

// NewSpread starts with nothing in force. The store is read every pollEvery;
// with 0 it is read only when a higher revision was heard of.
func NewSpread(pollEvery time.Duration) *Spread {
	return &Spread{current: Empty(), pollEvery: pollEvery, offering: make(map[Peer]bool)}
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

// Hear notes a revision that came with a message. peer is the one to ask for it,
// the zero value when the sender cannot be asked.
func (s *Spread) Hear(now time.Time, revision contract.Revision, peer Peer) {
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
	known := slices.Contains(s.sources, peer) || len(s.sources) >= MaxSources
	if peer == (Peer{}) || revision < s.wanted || known {
		return
	}
	s.sources = append(s.sources, peer)
}

// Offering is what to send to a peer that is behind: the changes that it lacks,
// or the whole snapshot when those are no longer kept.
type Offering struct {
	Peer     Peer
	Snapshot *Snapshot
	Changes  []Change
}

// Help gives what to send to a peer whose revision is lower; ok is false if it
// is not, or if an offer to it is under way. An offer is ended by Helped.
func (s *Spread) Help(peer Peer, revision contract.Revision) (offering Offering, ok bool) {
	if revision >= s.current.Revision || s.offering[peer] {
		return Offering{}, false
	}
	s.offering[peer] = true
	offering = s.Answer(revision)
	offering.Peer = peer
	return offering, true
}

// Helped ends an offer, whatever came of it.
func (s *Spread) Helped(peer Peer) {
	delete(s.offering, peer)
}

// Answer gives what leads from a revision to the one in force; it is empty when
// the revision is not lower.
func (s *Spread) Answer(revision contract.Revision) Offering {
	if revision >= s.current.Revision {
		return Offering{}
	}
	if changes, ok := s.Since(revision); ok {
		return Offering{Changes: changes}
	}
	return Offering{Snapshot: s.current}
}

// Take puts what a peer or the store sent in force, if it is newer. complete is
// false when changes are missing in between.
func (s *Spread) Take(snapshot *Snapshot, changes []Change) (old *Snapshot, changed, complete bool) {
	if len(changes) > 0 {
		old, changed, complete = s.OfferChanges(changes)
		if complete {
			return old, changed, true
		}
	}
	if snapshot != nil {
		old, changed = s.Offer(snapshot)
		return old, changed, true
	}
	return s.current, false, len(changes) == 0
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
// before.
func (s *Spread) Fetched(now time.Time, f Fetch) {
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

// BehindFor gives for how long the node has known of a higher revision than the
// one in force; 0 when it knows of none. A node that is behind for long must not
// trust its keys.
func (s *Spread) BehindFor(now time.Time) time.Duration {
	if s.behindSince.IsZero() {
		return 0
	}
	return now.Sub(s.behindSince)
}

// source takes the peers in turn and then the store.
func (s *Spread) source() Peer {
	turn := s.attempts % (len(s.sources) + 1)
	if turn == len(s.sources) {
		return Peer{}
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
