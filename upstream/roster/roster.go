// Package roster is what a process knows of upstreams that register themselves
// and admit their own work: where they are, what role they have, how they fared
// and what this process has running there. It chooses among them; the upstream
// itself has the last word on each call.
//
// A Board has no lock; it lives in a shared table of rank RankBoard.
package roster

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/health"
	"github.com/trefoilwalk/trefoilwalk/upstream/split"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Times for which something learned of an upstream is held to be true.
const (
	// FullFor is how long a refused reservation keeps an upstream at the end of
	// the list: about the time in which one running request ends.
	FullFor = 60 * time.Millisecond
	// DownFor is how long an upstream that takes no connection gets no work.
	DownFor = 500 * time.Millisecond
	// KeepsBadlyFor is how long an engine that lost a KV cache reads prompts
	// only if no other one can.
	KeepsBadlyFor = 2 * time.Second
	// MisdirectedFor is how long an upstream at whose address another one
	// answered gets no work, unless it registers anew: it has moved or is gone.
	MisdirectedFor = 10 * time.Second
	// LapseGrace is how long an upstream whose registration ended while the
	// registry was away is kept after its return; live ones are back by then.
	LapseGrace = 2 * time.Second
	// LapseNotice is how long after the registry's return registrations that
	// ended while it was away are still found. What ends later has left.
	LapseNotice = 300 * time.Millisecond
)

// Failures in a row that eject an upstream: plain services fail some calls by
// design, so fewer would eject sound ones.
const ejectAfter = 5

// Upstream is one row of a board.
type Upstream struct {
	registry.Record
	// lapsedAt is when its registration was found gone, if it is kept.
	lapsedAt time.Time
	health   *health.Member
	// calls and tokens are what this process has running there.
	calls  int
	tokens contract.Tokens
	// fullUntil and downUntil end what was learned from a refusal.
	fullUntil, downUntil, keepsBadly time.Time
	// turnsUntil is when a change of its role is over.
	turnsUntil time.Time
	// rejects counts the reservations in a row that it did not honor.
	rejects int
	load    runner.Load
	loadAt  time.Time
}

// group names upstreams that do the same work.
type group struct {
	service directory.ServiceName
	role    upstream.Role
}

// Board is all upstreams that a process knows.
type Board struct {
	place     zone.Place
	upstreams map[upstream.ID]*Upstream
	groups    map[group]*health.Group
	// away says that the registry cannot be read, backAt when it last came back.
	away   bool
	backAt time.Time
	// readRate is the fastest reading of a prompt seen lately, in tokens a
	// second.
	readRate float64
	// backlogPart is the part of the backlog at prefill engines that is used.
	backlogPart float64
	// turn breaks ties between equal upstreams.
	turn uint64
}

// NewBoard returns an empty board for a process at a place.
func NewBoard(place zone.Place) *Board {
	return &Board{
		place:     place,
		upstreams: make(map[upstream.ID]*Upstream),
		groups:    make(map[group]*health.Group),
		readRate:  split.DefaultDemand.ReadRate(),

		backlogPart: 1,
	}
}

// Change is one belief about an upstream that changed.
type Change struct {
	ID   upstream.ID
	What string
	Addr string
	Role upstream.Role
}

// Away tells the board that the registry cannot be read.
func (b *Board) Away() {
	b.away = true
}

// Back tells the board that the registry can be read again.
func (b *Board) Back(now time.Time) {
	if b.away {
		b.away = false
		b.backAt = now
	}
}

// Apply takes in a change of the list.
func (b *Board) Apply(now time.Time, change registry.Upstreams) []Change {
	var changes []Change
	present := make(map[upstream.ID]bool, len(change.Present))
	for _, record := range change.Present {
		present[record.ID] = true
		changes = b.put(record, changes)
	}
	for _, id := range change.Gone {
		changes = b.missing(now, id, changes)
	}
	if change.Whole {
		for id := range b.upstreams {
			if !present[id] {
				changes = b.missing(now, id, changes)
			}
		}
	}
	return changes
}

// put enters or renews one upstream.
func (b *Board) put(record registry.Record, changes []Change) []Change {
	u, ok := b.upstreams[record.ID]
	what := ""
	switch {
	case !ok:
		what = "joined"
	case u.Born != record.Born:
		what = "restarted"
	case u.Draining != record.Draining:
		what = "draining"
	case u.Role != record.Role:
		what = "role_changed"
	case !u.lapsedAt.IsZero():
		what = "back"
	}
	if ok && u.Born == record.Born && u.Role == record.Role && u.Service == record.Service {
		u.Record = record
		u.lapsedAt = time.Time{}
	} else {
		fresh := &Upstream{Record: record, health: b.group(record).Join()}
		if ok {
			u.health.Leave()
			if u.Born == record.Born {
				fresh.calls, fresh.tokens = u.calls, u.tokens
				fresh.turnsUntil = u.turnsUntil
			}
		}
		b.upstreams[record.ID] = fresh
	}
	if what == "" {
		return changes
	}
	return append(changes, Change{record.ID, what, record.Addr, record.Role})
}

func (b *Board) group(record registry.Record) *health.Group {
	key := group{record.Service, record.Role}
	g, ok := b.groups[key]
	if !ok {
		g = health.NewGroup(health.Options{Failures: ejectAfter})
		b.groups[key] = g
	}
	return g
}

// missing removes an upstream, or keeps it for a while if its registration may
// only have lapsed with the registry.
func (b *Board) missing(now time.Time, id upstream.ID, changes []Change) []Change {
	u, ok := b.upstreams[id]
	if !ok {
		return changes
	}
	if !u.Draining && (b.away || now.Before(b.backAt.Add(LapseNotice))) {
		if u.lapsedAt.IsZero() {
			u.lapsedAt = now
			changes = append(changes, Change{id, "lapsed", u.Addr, u.Role})
		}
		return changes
	}
	return b.remove(u, changes)
}

func (b *Board) remove(u *Upstream, changes []Change) []Change {
	u.health.Leave()
	delete(b.upstreams, u.ID)
	return append(changes, Change{u.ID, "gone", u.Addr, u.Role})
}

// Expire removes upstreams whose registration lapsed and did not come back.
func (b *Board) Expire(now time.Time) []Change {
	if b.away || now.Before(b.backAt.Add(LapseGrace)) {
		return nil
	}
	var changes []Change
	for _, u := range b.upstreams {
		if !u.lapsedAt.IsZero() {
			changes = b.remove(u, changes)
		}
	}
	return changes
}

// Len counts the upstreams.
func (b *Board) Len() int {
	return len(b.upstreams)
}

// List gives all upstreams as they registered, known up to a version of the
// registry.
func (b *Board) List(version uint64) registry.Upstreams {
	list := registry.Upstreams{Version: version, Whole: true}
	for _, u := range b.upstreams {
		if u.lapsedAt.IsZero() {
			list.Present = append(list.Present, u.Record)
		}
	}
	return list
}

// Engines lists the engines of a service that take work.
func (b *Board) Engines(service directory.ServiceName) []split.Engine {
	var out []split.Engine
	for _, u := range b.upstreams {
		if u.Service != service || u.Role == upstream.RoleService || u.Draining || !u.lapsedAt.IsZero() {
			continue
		}
		out = append(out, split.Engine{ID: u.ID, Addr: u.Addr, Zone: u.Zone, Role: u.Role})
	}
	return out
}
