// Package catchup decides from which peer a gateway reads a configuration or a list of upstreams
// that it lacks. Both may be so large that copies of them fill its link: it reads from one peer
// at a time, and leaves the link to the registry's own answer while that is arriving.
package catchup

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance"
)

const (
	// Patience is how long the registry's answer may take to begin once a peer has a newer
	// configuration; its watches wake all gateways at the same time.
	Patience = 500 * time.Millisecond
	// AskAgainAfter is how long a peer is spared that was read from, or refused to be.
	AskAgainAfter = time.Second
	// ListPause is the least time between two reads of lists: versions of the registry rise
	// with each of its changes, so that some peer nearly always states a newer list.
	ListPause = 500 * time.Millisecond
	// listPauses is the least pause after a read of a list, in times of that read. Lists then
	// take a third of the link at most.
	listPauses = 2
)

// State is the versions of what a gateway knows.
type State struct {
	// Config is the version of the configuration, List the registry's version up to which the
	// list of upstreams is known; 0 for none.
	Config, List uint64
}

// Own is the state of the deciding process.
type Own struct {
	State
	// Away is set while the process cannot read the registry. Only then it reads lists of
	// upstreams from peers, and does not wait for the registry.
	Away bool
	// Arriving is set while the registry's answer with a configuration is arriving.
	Arriving bool
}

// Source is a peer that can be read from.
type Source struct {
	Name instance.Name
	// State is what the peer stated last.
	State State
	// AskedAt is when the last read from the peer ended, zero before.
	AskedAt time.Time
}

// Want tells what is read from a peer.
type Want struct {
	Config, List bool
}

// Ledger follows what a process lacks. It is not safe for concurrent use.
type Ledger struct {
	// behindAt is the version of the own configuration when a peer first stated a newer one,
	// behindSince that time; zero if no peer has one.
	behindAt    uint64
	behindSince time.Time
	// reading is set during a read, which began at began; want is what is read, and stated what
	// the peer had stated.
	reading bool
	began   time.Time
	want    Want
	stated  State
	// nextList is when a list may be read again.
	nextList time.Time
}

// Next returns the peer to read from now, and what. ok is false if nothing is lacking, if it may
// still come from the registry, or while another read goes on. Otherwise Done must follow.
func (l *Ledger) Next(now time.Time, own Own, peers []Source) (from instance.Name, want Want, ok bool) {
	newer := func(s Source) bool { return s.State.Config > own.Config }
	switch {
	case !slices.ContainsFunc(peers, newer):
		l.behindSince = time.Time{}
	case l.behindSince.IsZero() || l.behindAt != own.Config:
		l.behindAt, l.behindSince = own.Config, now
	}
	if l.reading {
		return "", Want{}, false
	}
	awaited := own.Arriving || !own.Away && now.Sub(l.behindSince) < Patience
	gives := func(s Source) Want {
		return Want{Config: newer(s) && !awaited, List: own.Away && s.State.List > own.List && !now.Before(l.nextList)}
	}
	var best *Source
	for i := range peers {
		s := &peers[i]
		if gives(*s) == (Want{}) || now.Sub(s.AskedAt) < AskAgainAfter {
			continue
		}
		if best == nil || s.State.Config > best.State.Config || s.State.Config == best.State.Config && s.State.List > best.State.List {
			best = s
		}
	}
	if best == nil {
		return "", Want{}, false
	}
	l.reading, l.began, l.want, l.stated = true, now, gives(*best), best.State
	return best.Name, l.want, true
}

// Needless reports whether nothing of what is being read is lacking any more.
func (l *Ledger) Needless(own Own) bool {
	configLacks := l.want.Config && own.Config < l.stated.Config
	listLacks := l.want.List && own.Away && own.List < l.stated.List
	return l.reading && !configLacks && !listLacks
}

// Done ends the read that Next began.
func (l *Ledger) Done(now time.Time) {
	l.reading = false
	if l.want.List {
		l.nextList = now.Add(max(ListPause, listPauses*now.Sub(l.began)))
	}
}
