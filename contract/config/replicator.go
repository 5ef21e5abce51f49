package config

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// HistoryLength is the number of accepted changes that an instance keeps. A peer that is
// behind by no more is sent changes instead of the whole configuration.
const HistoryLength = 256

// Limits of fetches.
const (
	// FetchBackoff is the delay after the first failed fetch; it doubles with
	// each further failure.
	FetchBackoff = 50 * time.Millisecond
	// FetchBackoffMax bounds the delay between two fetches.
	FetchBackoffMax = time.Second
	// FetchAttempts is the number of failed fetches after which the known
	// sources are dropped; later messages supply new ones.
	FetchAttempts = 12
	// MaxSources bounds the peers kept as sources of a higher revision.
	MaxSources = 4
)

// Peer is a process that can be asked for the configuration or offered one.
type Peer struct {
	Kind zone.Kind
	Addr string
}

// Replicator holds the current configuration of one instance and decides when and from
// where to fetch a higher revision. The revision never decreases. Replicator is not
// safe for concurrent use; each instance keeps it in a shared table.
type Replicator struct {
	current *Snapshot
	history []Change

	// wanted is the highest revision seen in messages, sources the peers that
	// have it. attempts counts failed fetches of it.
	wanted   contract.Revision
	sources  []Peer
	fetching bool
	attempts int
	nextTry  time.Time
	// behindSince is the time since when a revision above the current one is
	// known; zero if there is none.
	behindSince time.Time

	pollEvery time.Duration
	polling   bool
	nextPoll  time.Time

	// offers holds the peers with an offer in flight.
	offers map[Peer]bool
}

// Fetch is one read of the configuration from a peer or the store. Perform it
// without holding a lock, then call EndFetch.
type Fetch struct {
	// Peer is the source; the zero value means the store.
	Peer Peer
	// Have is the current snapshot, to which the source may return changes.
	Have *Snapshot
	// Poll marks the periodic read of the store.
	Poll bool
}

// NewReplicator returns a Replicator with an empty configuration of revision 0. The store
// is read every pollEvery; if that is 0, only when a higher revision is known.
func NewReplicator(pollEvery time.Duration) *Replicator {
	return &Replicator{current: EmptySnapshot(), pollEvery: pollEvery, offers: make(map[Peer]bool)}
}

// Current returns the current snapshot; it must not be modified.
func (s *Replicator) Current() *Snapshot {
	return s.current
}

// HighestKnownRevision returns the highest known revision, which may not be fetched yet.
func (s *Replicator) HighestKnownRevision() contract.Revision {
	return max(s.wanted, s.current.Revision)
}

// InstallSnapshot makes next current if its revision is higher and returns the snapshot
// that was current before. It clears the history of changes.
func (s *Replicator) InstallSnapshot(next *Snapshot) (old *Snapshot, changed bool) {
	if next == nil || next.Revision <= s.current.Revision {
		return s.current, false
	}
	s.history = nil
	return s.install(next), true
}

// ApplyChanges applies accepted changes to the current snapshot and skips those it
// already contains. ok is false if the rest cannot be applied, such as after a gap
// in the revisions; the whole snapshot is needed then.
func (s *Replicator) ApplyChanges(changes []Change) (old *Snapshot, changed, ok bool) {
	newer := slices.DeleteFunc(slices.Clone(changes), func(c Change) bool {
		return c.Revision <= s.current.Revision
	})
	if len(newer) == 0 {
		return s.current, false, true
	}
	next, err := Replay(s.current, newer)
	if err != nil {
		return s.current, false, false
	}
	s.history = append(s.history, newer...)
	if extra := len(s.history) - HistoryLength; extra > 0 {
		s.history = slices.Delete(s.history, 0, extra)
	}
	return s.install(next), true, true
}

// ChangesSince returns the changes after a revision. ok is false if the history does not
// reach back that far and the whole snapshot must be sent.
func (s *Replicator) ChangesSince(revision contract.Revision) (changes []Change, ok bool) {
	if revision >= s.current.Revision {
		return nil, true
	}
	first := s.current.Revision - contract.Revision(len(s.history))
	if revision < first {
		return nil, false
	}
	return slices.Clone(s.history[revision-first:]), true
}

// ObserveRevision records a revision seen in a message. peer is a source for it, the zero
// value if the sender cannot be asked. A revision that is not higher than the
// current one is ignored.
func (s *Replicator) ObserveRevision(now time.Time, revision contract.Revision, peer Peer) {
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
	skip := slices.Contains(s.sources, peer) || len(s.sources) >= MaxSources
	if peer == (Peer{}) || revision < s.wanted || skip {
		return
	}
	s.sources = append(s.sources, peer)
}

// Update is the update for a peer that is behind: the changes it lacks, or the
// whole snapshot if the history does not contain them all.
type Update struct {
	Peer     Peer
	Snapshot *Snapshot
	Changes  []Change
}

// StartOffer starts an offer to a peer and returns the update to send. ok is false if
// the peer's revision is not lower or an offer to it is already in flight, and for the
// whole snapshot to an entry: it fetches that from one source, while all its peers would
// offer a copy. The caller must end the offer with EndOffer.
func (s *Replicator) StartOffer(peer Peer, revision contract.Revision) (update Update, ok bool) {
	if revision >= s.current.Revision || s.offers[peer] {
		return Update{}, false
	}
	update = s.UpdateSince(revision)
	if update.Snapshot != nil && peer.Kind == zone.KindEntry {
		return Update{}, false
	}
	s.offers[peer] = true
	update.Peer = peer
	return update, true
}

// EndOffer ends an offer started by StartOffer, whether it succeeded or failed.
func (s *Replicator) EndOffer(peer Peer) {
	delete(s.offers, peer)
}

// UpdateSince returns the update from a revision to the current one, without a Peer; it
// is empty if the revision is not lower.
func (s *Replicator) UpdateSince(revision contract.Revision) Update {
	if revision >= s.current.Revision {
		return Update{}
	}
	if changes, ok := s.ChangesSince(revision); ok {
		return Update{Changes: changes}
	}
	return Update{Snapshot: s.current}
}

// ApplyUpdate applies what a peer or the store sent, if it is newer: the changes, or the
// snapshot if those cannot be applied. complete is false if the changes cannot be
// applied and there is no snapshot.
func (s *Replicator) ApplyUpdate(snapshot *Snapshot, changes []Change) (old *Snapshot, changed, complete bool) {
	if len(changes) > 0 {
		old, changed, complete = s.ApplyChanges(changes)
		if complete {
			return old, changed, true
		}
	}
	if snapshot != nil {
		old, changed = s.InstallSnapshot(snapshot)
		return old, changed, true
	}
	return s.current, false, len(changes) == 0
}

// DueFetches returns the fetches to start now: at most one poll of the store and one
// fetch of a known higher revision. Each must be ended by EndFetch.
func (s *Replicator) DueFetches(now time.Time) []Fetch {
	var due []Fetch
	if s.pollEvery > 0 && !s.polling && !now.Before(s.nextPoll) {
		s.polling = true
		s.nextPoll = now.Add(s.pollEvery)
		due = append(due, Fetch{Have: s.current, Poll: true})
	}
	behind := s.wanted > s.current.Revision
	if behind && !s.fetching && !now.Before(s.nextTry) {
		s.fetching = true
		due = append(due, Fetch{Peer: s.nextSource(), Have: s.current})
	}
	return due
}

// NextFetchAt returns the time at which DueFetches should be called again; ok is false
// if no fetch is scheduled.
func (s *Replicator) NextFetchAt() (at time.Time, ok bool) {
	if s.pollEvery > 0 && !s.polling {
		at, ok = s.nextPoll, true
	}
	behind := s.wanted > s.current.Revision
	if behind && !s.fetching && (!ok || s.nextTry.Before(at)) {
		at, ok = s.nextTry, true
	}
	return at, ok
}

// EndFetch ends a fetch. Pass its result to ApplyUpdate first: if a higher revision is
// still missing, the fetch counts as failed and the next one backs off.
func (s *Replicator) EndFetch(now time.Time, f Fetch) {
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

// BehindFor returns for how long a revision above the current one has been known;
// 0 if there is none. An instance that is behind for too long must not trust its keys,
// since one may have been withdrawn.
func (s *Replicator) BehindFor(now time.Time) time.Duration {
	if s.behindSince.IsZero() {
		return 0
	}
	return now.Sub(s.behindSince)
}

// nextSource selects the known sources in turn, then the store.
func (s *Replicator) nextSource() Peer {
	turn := s.attempts % (len(s.sources) + 1)
	if turn == len(s.sources) {
		return Peer{}
	}
	return s.sources[turn]
}

// install makes next current and returns the snapshot that it replaces.
func (s *Replicator) install(next *Snapshot) (old *Snapshot) {
	old = s.current
	s.current = next
	if s.wanted <= next.Revision {
		s.clearWanted()
	}
	return old
}

func (s *Replicator) clearWanted() {
	s.wanted = s.current.Revision
	s.sources = nil
	s.attempts = 0
	s.behindSince = time.Time{}
}

// backoff returns the delay after the given number of failed fetches, at least 1.
func backoff(attempts int) time.Duration {
	wait := FetchBackoff
	for range attempts - 1 {
		wait = min(2*wait, FetchBackoffMax)
	}
	return wait
}
