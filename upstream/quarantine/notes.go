package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// crashID derives the ID of a crash from the upstream and the time at which the
// caller detected it.
func crashID(now time.Time, up upstream.ID) CrashID {
	return CrashID(xxhash.Sum64String(string(up) + "@" + strconv.FormatInt(now.UnixNano(), 10)))
}

// IncarnationCrash returns the ID of the crash that ended one incarnation of an upstream,
// which is the same in all processes.
func IncarnationCrash(up upstream.ID, born int64) CrashID {
	return CrashID(xxhash.Sum64String(string(up) + "#" + strconv.FormatInt(born, 10)))
}

// Notes returns the notes to send with a message: records that changed within
// Options.ShareFor, at most Options.MaxNotes of them, quarantined ones first, then
// the latest changes.
func (t *Table) Notes(now time.Time) []Note {
	if len(t.records) == 0 {
		return nil
	}
	var changed []contract.Fingerprint
	for fp, r := range t.records {
		recent := now.Sub(r.changedAt) < t.options.ShareFor
		if recent && now.Before(r.until) && (r.quarantined || len(r.crashes) > 0) {
			changed = append(changed, fp)
		}
	}
	slices.SortFunc(changed, t.compareRecords)
	changed = changed[:min(len(changed), t.options.MaxNotes)]
	notes := make([]Note, 0, len(changed))
	for _, fp := range changed {
		notes = append(notes, t.note(now, fp))
	}
	return notes
}

// note requires that the fingerprint has a record.
func (t *Table) note(now time.Time, fp contract.Fingerprint) Note {
	r := t.records[fp]
	return Note{
		Fingerprint: fp,
		For:         r.until.Sub(now),
		Suspect:     !r.quarantined,
		Crashes:     slices.Clone(r.crashes),
	}
}

// compareRecords orders fingerprints: quarantined ones before suspects, then the latest
// change first.
func (t *Table) compareRecords(a, b contract.Fingerprint) int {
	x, y := t.records[a], t.records[b]
	if x.quarantined != y.quarantined {
		if x.quarantined {
			return -1
		}
		return 1
	}
	return cmp.Or(y.changedAt.Compare(x.changedAt), cmp.Compare(a, b))
}

// MergeNotes merges the notes of another process. A crash counts once, no matter how many
// processes report it. Durations are capped by the options of this table.
func (t *Table) MergeNotes(now time.Time, notes []Note) {
	for _, note := range notes {
		if note.For > 0 {
			t.merge(now, note)
		}
	}
}

func (t *Table) merge(now time.Time, note Note) {
	r := t.ensureRecord(now, note.Fingerprint)
	knownCrashes := len(r.crashes)
	wasQuarantined := r.quarantined
	for _, crash := range note.Crashes {
		r.addCrash(crash)
	}
	if !note.Suspect || len(r.crashes) >= 2 {
		r.quarantined = true
	}
	limit := t.options.Suspicion
	if r.quarantined {
		limit = t.options.Quarantine
	}
	if r.until.IsZero() || r.quarantined != wasQuarantined || len(r.crashes) > knownCrashes {
		r.until = later(r.until, now.Add(min(note.For, limit)))
		r.changedAt = now
	}
}
