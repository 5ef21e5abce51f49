// Package notice keeps what upstreams say of themselves beside their answers: that they
// leave, and that they want no requests for a time.
package notice

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Limits of a Book.
const (
	// MaxPause bounds a pause: an upstream that asked for a longer one is tried again then.
	MaxPause = 5 * time.Minute
	// KeepFor is how long a record is kept after the last notice, so that a list of
	// upstreams from before it does not undo it.
	KeepFor = 10 * time.Minute
	// MaxRecords bounds the incarnations with a record.
	MaxRecords = 8192
	// shareFor is how long a record is sent to other processes after it was made, and
	// MaxNotes how many of them go into one message.
	shareFor = 15 * time.Second
	MaxNotes = 32
)

// Incarnation is one run of an upstream.
type Incarnation struct {
	ID   upstream.ID
	Born int64
}

// Note tells another process that an upstream leaves.
type Note struct {
	Upstream Incarnation
	// Age is the time since this process learned it.
	Age time.Duration
}

// record is what one incarnation said.
type record struct {
	// leavingSince is zero if it did not say that it leaves.
	leavingSince time.Time
	pausedUntil  time.Time
	heardAt      time.Time
}

// Book holds the notices of upstreams. Leaving is never taken back, pauses only grow: both
// end with the incarnation. A Book has no lock of its own.
type Book struct {
	records map[Incarnation]*record
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{records: make(map[Incarnation]*record)}
}

// RecordLeaving records that an upstream leaves, and reports whether that was not known.
func (b *Book) RecordLeaving(now time.Time, from Incarnation) bool {
	r := b.record(now, from)
	if !r.leavingSince.IsZero() {
		return false
	}
	r.leavingSince = now
	return true
}

// RecordPause records that an upstream wants no requests for a time, at most MaxPause. It
// reports whether the pause ends later than was known. A pause that is not positive is
// ignored.
func (b *Book) RecordPause(now time.Time, from Incarnation, pause time.Duration) bool {
	if pause <= 0 {
		return false
	}
	r := b.record(now, from)
	until := now.Add(min(pause, MaxPause))
	if !until.After(r.pausedUntil) {
		return false
	}
	r.pausedUntil = until
	return true
}

// record returns the record of an incarnation, and makes it if there is none.
func (b *Book) record(now time.Time, of Incarnation) *record {
	r, ok := b.records[of]
	if !ok {
		if len(b.records) >= MaxRecords {
			b.removeOldest()
		}
		r = &record{}
		b.records[of] = r
	}
	r.heardAt = now
	return r
}

func (b *Book) removeOldest() {
	var oldest Incarnation
	var at time.Time
	for of, r := range b.records {
		if at.IsZero() || r.heardAt.Before(at) {
			oldest, at = of, r.heardAt
		}
	}
	delete(b.records, oldest)
}

// Leaving reports whether an upstream said that it leaves.
func (b *Book) Leaving(of Incarnation) bool {
	r, ok := b.records[of]
	return ok && !r.leavingSince.IsZero()
}

// PauseLeft is how long an upstream still wants no requests, zero if it takes them.
func (b *Book) PauseLeft(now time.Time, of Incarnation) time.Duration {
	r, ok := b.records[of]
	if !ok {
		return 0
	}
	return max(0, r.pausedUntil.Sub(now))
}

// Expire removes the records of upstreams that are not present and said nothing for KeepFor.
func (b *Book) Expire(now time.Time, present func(Incarnation) bool) {
	for of, r := range b.records {
		if now.Sub(r.heardAt) >= KeepFor && !present(of) {
			delete(b.records, of)
		}
	}
}

// Notes returns the upstreams that said that they leave within shareFor, the latest first,
// at most MaxNotes.
func (b *Book) Notes(now time.Time) (notes []Note) {
	for of, r := range b.records {
		if age := now.Sub(r.leavingSince); !r.leavingSince.IsZero() && age < shareFor {
			notes = append(notes, Note{of, age})
		}
	}
	slices.SortFunc(notes, func(a, b Note) int { return int(a.Age - b.Age) })
	return notes[:min(len(notes), MaxNotes)]
}

// Merge adds the notes of another process and returns the upstreams that were not known to
// leave.
func (b *Book) Merge(now time.Time, notes []Note) (leaving []Incarnation) {
	for _, n := range notes[:min(len(notes), MaxNotes)] {
		if b.Leaving(n.Upstream) {
			continue
		}
		// As old as it was there, so that it is not passed on for ever.
		r := b.record(now, n.Upstream)
		r.leavingSince = now.Add(-max(0, n.Age))
		leaving = append(leaving, n.Upstream)
	}
	return leaving
}
