// Package quarantine decides which requests are refused because they crash
// upstreams. Requests are identified by fingerprint. A request that was running at
// two crashes is quarantined: it is refused for a time. One that was running at a
// single crash is a suspect, even if it was the only one, because upstreams also
// crash for other reasons. A suspect may run again, but not together with another
// suspect, so that a second crash identifies the request that causes it.
//
// A PartTable does the same for the parts that prompts share.
//
// Sidecars and gateways record crashes; processes exchange what they know as notes. A Table
// has no lock of its own: its users guard it with a lock of rank table.RankQuarantine.
package quarantine

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Options configure a table; fields that are not positive get the defaults.
type Options struct {
	// Quarantine is how long a quarantined fingerprint is refused; Suspicion is
	// how long a fingerprint with a single crash stays a suspect.
	Quarantine, Suspicion time.Duration
	// ShareFor is how long a record is included in Notes after it changed.
	ShareFor time.Duration
	// MaxRecords bounds the number of fingerprints with a record.
	MaxRecords int
	// MaxNotes bounds the notes sent with one message.
	MaxNotes int
}

// Defaults of Options.
const (
	DefaultQuarantine = 10 * time.Minute
	DefaultSuspicion  = 10 * time.Minute
	DefaultShareFor   = 15 * time.Second
	DefaultMaxRecords = 4096
	DefaultMaxNotes   = 32
)

// maxCrashes bounds the crashes kept for each fingerprint; the oldest are dropped.
const maxCrashes = 4

// CrashID identifies one crash of one upstream in all processes.
type CrashID uint64

// Note is the record of a fingerprint as it is sent to another process.
type Note struct {
	Fingerprint contract.Fingerprint
	// For is how long the quarantine or suspicion still lasts.
	For time.Duration
	// Suspect is true for a suspect and false for a quarantined fingerprint.
	Suspect bool
	// Crashes lists the crashes at which the request was running.
	Crashes []CrashID
}

// record is the state of one fingerprint; it is ignored from until on.
type record struct {
	// crashes lists the crashes at which the request was running, without the
	// excused ones.
	crashes []CrashID
	// late lists crashes that cut the answer after it had begun, which most often have
	// another cause.
	late []CrashID
	// excused lists crashes that the request is assumed not to have caused,
	// because it completed after them.
	excused     []CrashID
	quarantined bool
	until       time.Time
	changedAt   time.Time
}

// Table holds the records of one process.
type Table struct {
	options Options
	records map[contract.Fingerprint]*record
}

// New returns a table without records.
func New(o Options) *Table {
	setDefault(&o.Quarantine, DefaultQuarantine)
	setDefault(&o.Suspicion, DefaultSuspicion)
	setDefault(&o.ShareFor, DefaultShareFor)
	setDefault(&o.MaxRecords, DefaultMaxRecords)
	setDefault(&o.MaxNotes, DefaultMaxNotes)
	return &Table{options: o, records: make(map[contract.Fingerprint]*record)}
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// RecordCrash records a crash of an upstream that no other process records, and the
// requests that were running on it. It returns the fingerprints that this crash
// quarantines. A fingerprint listed more than once counts once.
func (t *Table) RecordCrash(now time.Time, up upstream.ID, running []contract.Fingerprint) []contract.Fingerprint {
	crash := crashID(now, up)
	running = slices.Clone(running)
	slices.Sort(running)
	running = slices.Compact(running)
	var quarantined []contract.Fingerprint
	for _, fp := range running {
		if t.RecordRunning(now, crash, fp) {
			quarantined = append(quarantined, fp)
		}
	}
	return quarantined
}

// RecordRunning records that a request was running at a crash. Requests with the same
// fingerprint count once, wherever they were running. It reports whether the crash
// quarantines them.
func (t *Table) RecordRunning(now time.Time, crash CrashID, fp contract.Fingerprint) bool {
	r := t.ensureRecord(now, fp)
	r.addCrash(crash)
	return t.updateQuarantine(now, r)
}

// RecordLateCrash records a crash of an upstream that had begun the answer to a request. It
// counts half of one recorded by RecordRunning, and not in addition to it. It reports whether
// it quarantines the request.
func (t *Table) RecordLateCrash(now time.Time, crash CrashID, fp contract.Fingerprint) bool {
	r := t.ensureRecord(now, fp)
	if !slices.Contains(slices.Concat(r.crashes, r.late, r.excused), crash) {
		r.late = bounded(append(r.late, crash))
	}
	return t.updateQuarantine(now, r)
}

// isDeadly reports whether a record has enough crashes for a quarantine.
func (r *record) isDeadly() bool {
	return 2*len(r.crashes)+len(r.late) >= 4
}

// updateQuarantine quarantines a record with enough crashes and makes one with fewer a
// suspect. It reports whether the record was not quarantined before.
func (t *Table) updateQuarantine(now time.Time, r *record) bool {
	r.changedAt = now
	if !r.isDeadly() {
		r.until = later(r.until, now.Add(t.options.Suspicion))
		return false
	}
	r.until = later(r.until, now.Add(t.options.Quarantine))
	newlyQuarantined := !r.quarantined
	r.quarantined = true
	return newlyQuarantined
}

// Check returns a refusal of a quarantined request, else nil.
func (t *Table) Check(now time.Time, fp contract.Fingerprint) *contract.Refusal {
	r, ok := t.live(now, fp)
	if !ok || !r.quarantined {
		return nil
	}
	refusal := contract.Refuse(contract.CodeQuarantined, "the request crashed the upstreams that ran it")
	refusal.After = r.until.Sub(now)
	return refusal
}

// IsSuspect reports whether a request is a suspect, which must not run together with
// another suspect.
func (t *Table) IsSuspect(now time.Time, fp contract.Fingerprint) bool {
	r, ok := t.live(now, fp)
	return ok && !r.quarantined && len(r.crashes) > 0
}

// ConflictsWith reports whether the request and one of the others that are running are
// both suspects, so that it must not run together with them.
func (t *Table) ConflictsWith(now time.Time, fp contract.Fingerprint, running []contract.Fingerprint) bool {
	if !t.IsSuspect(now, fp) {
		return false
	}
	return slices.ContainsFunc(running, func(other contract.Fingerprint) bool {
		return other != fp && t.IsSuspect(now, other)
	})
}

// RecordCompletion records that a request completed without a crash. A suspect is excused
// from its crashes, also if other processes report them again; a quarantine stays.
func (t *Table) RecordCompletion(now time.Time, fp contract.Fingerprint) {
	r, ok := t.live(now, fp)
	if !ok || r.quarantined {
		return
	}
	r.excused = bounded(slices.Concat(r.excused, r.late, r.crashes))
	r.crashes, r.late = nil, nil
}

// live returns the record of a fingerprint unless it has expired.
func (t *Table) live(now time.Time, fp contract.Fingerprint) (*record, bool) {
	r, ok := t.records[fp]
	if !ok || !now.Before(r.until) {
		return nil, false
	}
	return r, true
}

// ensureRecord returns the record of a fingerprint and replaces a missing or expired
// one by an empty one.
func (t *Table) ensureRecord(now time.Time, fp contract.Fingerprint) *record {
	if r, ok := t.live(now, fp); ok {
		return r
	}
	if _, ok := t.records[fp]; !ok && len(t.records) >= t.options.MaxRecords {
		t.evict(now)
	}
	r := &record{}
	t.records[fp] = r
	return r
}

// evict deletes the expired records, or if there are none, the first record in the
// order of evictedBefore.
func (t *Table) evict(now time.Time) {
	var first contract.Fingerprint
	var firstRecord *record
	for fp, r := range t.records {
		if !now.Before(r.until) {
			delete(t.records, fp)
			continue
		}
		if firstRecord == nil || r.evictedBefore(firstRecord) {
			first, firstRecord = fp, r
		}
	}
	if len(t.records) >= t.options.MaxRecords {
		delete(t.records, first)
	}
}

// evictedBefore reports whether r is evicted before other: suspects before quarantined
// records, then by expiry.
func (r *record) evictedBefore(other *record) bool {
	if r.quarantined != other.quarantined {
		return other.quarantined
	}
	return r.until.Before(other.until)
}

// addCrash adds a crash unless it is recorded or excused already.
func (r *record) addCrash(crash CrashID) {
	if slices.Contains(r.crashes, crash) || slices.Contains(r.excused, crash) {
		return
	}
	r.crashes = bounded(append(r.crashes, crash))
	r.late = slices.DeleteFunc(r.late, func(c CrashID) bool { return c == crash })
}

// bounded returns the last maxCrashes crashes.
func bounded(crashes []CrashID) []CrashID {
	return crashes[max(0, len(crashes)-maxCrashes):]
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
