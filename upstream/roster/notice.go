package roster

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream/notice"
)

func incarnation(r registry.Record) notice.Incarnation {
	return notice.Incarnation{ID: r.ID, Born: r.Born}
}

func targetIncarnation(t runner.Target) notice.Incarnation {
	return notice.Incarnation{ID: t.ID, Born: t.Born}
}

// isLeaving reports whether an upstream said that it leaves, whatever later lists say.
func (b *Board) isLeaving(u *Upstream) bool {
	return u.Draining || b.notices.Leaving(incarnation(u.Record))
}

// RecordNotice records what an upstream said beside an answer. It reports whether it was not
// known.
func (b *Board) RecordNotice(now time.Time, from runner.Target, n runner.Notice) (isNew bool) {
	if n.Leaving {
		isNew = b.notices.RecordLeaving(now, targetIncarnation(from))
	}
	isNew = b.recordWarmup(now, from, n.Warmup) || isNew
	if n.Pause > 0 {
		b.startPaceAfterPause(now, from)
	}
	return b.notices.RecordPause(now, targetIncarnation(from), n.Pause) || isNew
}

// LeavingNotes returns the notes on leaving upstreams for another process.
func (b *Board) LeavingNotes(now time.Time) []notice.Note {
	return b.notices.Notes(now)
}

// MergeLeaving adds the notes of another process and returns the upstreams that were not
// known to leave.
func (b *Board) MergeLeaving(now time.Time, notes []notice.Note) []notice.Incarnation {
	return b.notices.Merge(now, notes)
}

// Paused reports whether an upstream wants no requests now.
func (b *Board) Paused(now time.Time, t runner.Target) bool {
	return b.notices.PauseLeft(now, targetIncarnation(t)) > 0
}

// pauseSpread is the part of the rest of a pause over which callers come back after it.
const pauseSpread = 0.5

// PauseLeft returns when to come back, if all upstreams for a request that do not leave and
// are not excluded have asked for a pause, else zero: the time until the first of these pauses ends,
// and up to pauseSpread of it more, at random.
func (b *Board) PauseLeft(now time.Time, need Need) time.Duration {
	var earliest time.Duration
	for _, u := range b.members(need.Service, need.Role) {
		if b.isLeaving(u) || b.Exclusion(u.Zone, need) != "" {
			continue
		}
		left := b.notices.PauseLeft(now, incarnation(u.Record))
		if left == 0 {
			return 0
		}
		if earliest == 0 || left < earliest {
			earliest = left
		}
	}
	return earliest + time.Duration(pauseSpread*float64(earliest)*float64(b.random())/(1<<32))
}

// NoticeCount counts the upstreams that said that they leave and those in a pause.
func (b *Board) NoticeCount(now time.Time) (leaving, paused int) {
	for _, u := range b.upstreams {
		if b.isLeaving(u) {
			leaving++
		}
		if b.notices.PauseLeft(now, incarnation(u.Record)) > 0 {
			paused++
		}
	}
	return leaving, paused
}
