// Package quarantine decides which requests must not run because they crash
// upstreams. It knows them by fingerprint. A request that was present at two
// crashes is refused for a time. One that was present at a single crash is a
// suspect, also if it was alone there, because upstreams die for other reasons
// too: it is tried again, but never together with another suspect, so that the
// next crash tells the guilty one from its fellow victims.
// A table has no lock; it lives in a shared table of rank RankQuarantine.
package quarantine

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Options configure a table; zero fields get the defaults.
type Options struct {
	// Quarantine is how long a fingerprint is refused, Suspicion how long one
	// crash is held against it.
	Quarantine, Suspicion time.Duration
	// Spread is how long news are passed on after they were learned.
	Spread time.Duration
	// MaxRecords bounds the fingerprints remembered.
	MaxRecords int
	// MaxNotes bounds the notes on one message.
	MaxNotes int
}

// Defaults of Options.
const (
	DefaultQuarantine = 10 * time.Minute
	DefaultSuspicion  = 10 * time.Minute
	DefaultSpread     = 15 * time.Second
	DefaultMaxRecords = 4096
	DefaultMaxNotes   = 32
)

// maxCrashes bounds the crashes remembered of one fingerprint.
const maxCrashes = 4

// CrashID names one crash of one upstream, the same wherever it is heard of.
type CrashID uint64

// Note tells another process about a fingerprint.
type Note struct {
	Fingerprint contract.Fingerprint
	// For is how long the quarantine or suspicion goes on.
	For time.Duration
	// Suspect means that the fingerprint is not quarantined.
	Suspect bool
	// Crashes are those at which it was present.
	Crashes []CrashID
}

// record is what is known of one fingerprint.
type record struct {
	// crashes are those at which it was present and which nothing excuses.
	crashes []CrashID
	// excused are crashes that it did not cause, since it ran to its end after.
	excused     []CrashID
	quarantined bool
	until       time.Time
	learned     time.Time
}

// Table is what one process knows of requests that crash upstreams.
type Table struct {
	options Options
	records map[contract.Fingerprint]*record
}

// New returns an empty table.
func New(o Options) *Table {
	setDefault(&o.Quarantine, DefaultQuarantine)
	setDefault(&o.Suspicion, DefaultSuspicion)
	setDefault(&o.Spread, DefaultSpread)
	setDefault(&o.MaxRecords, DefaultMaxRecords)
	setDefault(&o.MaxNotes, DefaultMaxNotes)
	return &Table{options: o, records: make(map[contract.Fingerprint]*record)}
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Crashed takes in that an upstream died while requests were running there, and
// returns those that are quarantined by that.
func (t *Table) Crashed(now time.Time, up upstream.ID, running []contract.Fingerprint) []contract.Fingerprint {
	crash := crashID(now, up)
	running = slices.Clone(running)
	slices.Sort(running)
	running = slices.Compact(running)
	var found []contract.Fingerprint
	for _, fp := range running {
		r := t.record(now, fp)
		r.present(crash)
		if t.judge(now, r) {
			found = append(found, fp)
		}
	}
	return found
}

// judge quarantines or suspects, and reports whether it newly quarantined.
func (t *Table) judge(now time.Time, r *record) bool {
	r.learned = now
	if len(r.crashes) < 2 {
		r.until = later(r.until, now.Add(t.options.Suspicion))
		return false
	}
	r.until = later(r.until, now.Add(t.options.Quarantine))
	fresh := !r.quarantined
	r.quarantined = true
	return fresh
}

// Check refuses a quarantined request.
func (t *Table) Check(now time.Time, fp contract.Fingerprint) *contract.Refusal {
	r, ok := t.live(now, fp)
	if !ok || !r.quarantined {
		return nil
	}
	refusal := contract.Refuse(contract.CodeQuarantined, "the request crashed the upstreams that ran it")
	refusal.After = r.until.Sub(now)
	return refusal
}

// Alone reports whether a request is a suspect, which must not run beside
// another suspect.
func (t *Table) Alone(now time.Time, fp contract.Fingerprint) bool {
	r, ok := t.live(now, fp)
	return ok && !r.quarantined && len(r.crashes) > 0
}

// Conflict reports whether a request must not join those that are running: both
// it and one of them are suspects.
func (t *Table) Conflict(now time.Time, fp contract.Fingerprint, running []contract.Fingerprint) bool {
	if !t.Alone(now, fp) {
		return false
	}
	return slices.ContainsFunc(running, func(other contract.Fingerprint) bool {
		return other != fp && t.Alone(now, other)
	})
}

// Finished notes that a request ran to its end without a crash, which excuses it
// from the crashes at which it was present.
func (t *Table) Finished(now time.Time, fp contract.Fingerprint) {
	r, ok := t.live(now, fp)
	if !ok || r.quarantined {
		return
	}
	r.excused = bounded(append(r.excused, r.crashes...))
	r.crashes = nil
}

// live finds a record that is not over.
func (t *Table) live(now time.Time, fp contract.Fingerprint) (*record, bool) {
	r, ok := t.records[fp]
	if !ok || !now.Before(r.until) {
		return nil, false
	}
	return r, true
}

// record finds or makes the record of a fingerprint; one that is over starts
// anew.
func (t *Table) record(now time.Time, fp contract.Fingerprint) *record {
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

// evict makes room: records that are over, else the one that ends first, and a
// suspect before one in quarantine.
func (t *Table) evict(now time.Time) {
	var victim contract.Fingerprint
	var least *record
	for fp, r := range t.records {
		if !now.Before(r.until) {
			delete(t.records, fp)
			continue
		}
		if least == nil || r.before(least) {
			victim, least = fp, r
		}
	}
	if len(t.records) >= t.options.MaxRecords {
		delete(t.records, victim)
	}
}

// before reports whether r is given up before other.
func (r *record) before(other *record) bool {
	if r.quarantined != other.quarantined {
		return other.quarantined
	}
	return r.until.Before(other.until)
}

// present adds a crash unless it is known or excused.
func (r *record) present(crash CrashID) {
	if slices.Contains(r.crashes, crash) || slices.Contains(r.excused, crash) {
		return
	}
	r.crashes = bounded(append(r.crashes, crash))
}

func bounded(crashes []CrashID) []CrashID {
	return crashes[max(0, len(crashes)-maxCrashes):]
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
