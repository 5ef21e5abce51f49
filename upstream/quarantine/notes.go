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

// crashID names a crash by the upstream and the moment at which its own sidecar
// saw it.
func crashID(now time.Time, up upstream.ID) CrashID {
	return CrashID(xxhash.Sum64String(string(up) + "@" + strconv.FormatInt(now.UnixNano(), 10)))
}

// Notes gives the news to put on a message: what was learned lately, the
// quarantined first, then the latest.
func (t *Table) Notes(now time.Time) []Note {
	if len(t.records) == 0 {
		return nil
	}
	var fresh []contract.Fingerprint
	for fp, r := range t.records {
		isNews := now.Sub(r.learned) < t.options.Spread
		if isNews && now.Before(r.until) && (r.quarantined || len(r.crashes) > 0) {
			fresh = append(fresh, fp)
		}
	}
	slices.SortFunc(fresh, t.compareNews)
	fresh = fresh[:min(len(fresh), t.options.MaxNotes)]
	notes := make([]Note, 0, len(fresh))
	for _, fp := range fresh {
		notes = append(notes, t.note(now, fp))
	}
	return notes
}

func (t *Table) note(now time.Time, fp contract.Fingerprint) Note {
	r := t.records[fp]
	return Note{
		Fingerprint: fp,
		For:         r.until.Sub(now),
		Suspect:     !r.quarantined,
		Crashes:     slices.Clone(r.crashes),
	}
}

// compareNews orders fingerprints: quarantined before suspects, then the latest.
func (t *Table) compareNews(a, b contract.Fingerprint) int {
	x, y := t.records[a], t.records[b]
	if x.quarantined != y.quarantined {
		if x.quarantined {
			return -1
		}
		return 1
	}
	return cmp.Or(y.learned.Compare(x.learned), cmp.Compare(a, b))
}

// Learn takes in the notes of another process. Notes about the same crash count
// once, whoever tells of it. Times are capped by this process's own options.
func (t *Table) Learn(now time.Time, notes []Note) {
	for _, note := range notes {
		if note.For > 0 {
			t.learn(now, note)
		}
	}
}

func (t *Table) learn(now time.Time, note Note) {
	r := t.record(now, note.Fingerprint)
	known := len(r.crashes)
	was := r.quarantined
	for _, crash := range note.Crashes {
		r.present(crash)
	}
	if !note.Suspect || len(r.crashes) >= 2 {
		r.quarantined = true
	}
	limit := t.options.Suspicion
	if r.quarantined {
		limit = t.options.Quarantine
	}
	if r.until.IsZero() || r.quarantined != was || len(r.crashes) > known {
		r.until = later(r.until, now.Add(min(note.For, limit)))
		r.learned = now
	}
}
