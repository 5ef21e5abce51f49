package quarantine

import (
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

var start = time.Unix(1000, 0)

type fps = []contract.Fingerprint

// at returns the time that many seconds after start.
func at(seconds int) time.Time {
	return start.Add(time.Duration(seconds) * time.Second)
}

// TestQuarantine compares which of the fingerprints 1 to 3 are quarantined (Q),
// suspects (S) or neither (-) thirty seconds after start.
func TestQuarantine(t *testing.T) {
	// sendNotes sends the notes of one table to another.
	sendNotes := func(from, to *Table, seconds int) { to.MergeNotes(at(seconds), from.Notes(at(seconds))) }
	cases := []struct {
		name    string
		history func(q *Table)
		want    string
	}{
		{"no crash", func(*Table) {}, "---"},
		{"several at one crash", func(q *Table) { q.RecordCrash(at(0), "a", fps{1, 2, 3}) }, "SSS"},
		{"alone at one crash", func(q *Table) { q.RecordCrash(at(0), "a", fps{1}) }, "S--"},
		{"alone at two crashes", func(q *Table) { q.RecordCrash(at(0), "a", fps{1}); q.RecordCrash(at(1), "b", fps{1}) }, "Q--"},
		{"the same request twice at one crash counts once", func(q *Table) { q.RecordCrash(at(0), "a", fps{1, 1}) }, "S--"},
		{"one of two suspects at a second crash", func(q *Table) { q.RecordCrash(at(0), "a", fps{1, 2}); q.RecordCrash(at(9), "b", fps{1, 3}) }, "QSS"},
		{"a suspect that finished is excused", func(q *Table) {
			q.RecordCrash(at(0), "a", fps{1, 2})
			q.RecordCompletion(at(1), 2)
			q.RecordCrash(at(9), "b", fps{1, 2})
		}, "QS-"},
		{"a crash reported again does not count twice", func(q *Table) {
			q.RecordCrash(at(0), "a", fps{1, 2})
			other := New(Options{})
			sendNotes(q, other, 1)
			sendNotes(other, q, 2)
		}, "SS-"},
		{"a crash reported again after the request finished does not count", func(q *Table) {
			q.RecordCrash(at(0), "a", fps{1, 2})
			other := New(Options{})
			sendNotes(q, other, 1)
			q.RecordCompletion(at(2), 1)
			sendNotes(other, q, 3)
		}, "-S-"},
		{"crashes seen by two sidecars add up", func(q *Table) {
			other := New(Options{})
			other.RecordCrash(at(0), "a", fps{1, 2})
			q.RecordCrash(at(1), "b", fps{1, 3})
			sendNotes(other, q, 2)
		}, "QSS"},
		{"quarantine is learned from notes", func(q *Table) {
			other := New(Options{})
			other.RecordCrash(at(0), "a", fps{1})
			other.RecordCrash(at(1), "b", fps{1})
			sendNotes(other, q, 2)
		}, "Q--"},
		{"old records are not sent", func(q *Table) {
			other := New(Options{})
			other.RecordCrash(at(0), "a", fps{1})
			other.RecordCrash(at(0), "b", fps{1})
			sendNotes(other, q, 29)
		}, "---"},
		{"quarantine expires", func(q *Table) { q.RecordCrash(at(-600), "a", fps{1}); q.RecordCrash(at(-599), "b", fps{1}) }, "---"},
		{"suspicion expires", func(q *Table) { q.RecordCrash(at(-600), "a", fps{1, 2}); q.RecordCrash(at(0), "a", fps{1, 3}) }, "S-S"},
		{"records are bounded, suspects are evicted first", func(q *Table) {
			q.RecordCrash(at(0), "a", fps{1})
			q.RecordCrash(at(0), "b", fps{1})
			for fp := range contract.Fingerprint(100) {
				q.RecordCrash(at(1), "b", fps{10 + fp, 200 + fp})
			}
			if len(q.records) > 16 {
				t.Errorf("%d records, want at most 16", len(q.records))
			}
		}, "Q--"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := New(Options{MaxRecords: 16})
			c.history(q)
			got := ""
			for _, fp := range (fps{1, 2, 3}) {
				switch {
				case q.Check(at(30), fp) != nil:
					got += "Q"
				case q.IsSuspect(at(30), fp):
					got += "S"
				default:
					got += "-"
				}
			}
			if got != c.want {
				t.Errorf("got %s, want %s (for requests 1 to 3: Q quarantined, S suspect, - neither)", got, c.want)
			}
		})
	}
}

// TestConflictOfSuspects guards against two suspects running together, after which a
// crash would not show which of them caused it.
func TestConflictOfSuspects(t *testing.T) {
	q := New(Options{})
	q.RecordCrash(at(0), "a", fps{1, 2})
	cases := []struct {
		fp      contract.Fingerprint
		running fps
		want    bool
	}{{1, fps{2}, true}, {1, fps{3}, false}, {3, fps{1, 2}, false}, {1, fps{1}, false}, {1, nil, false}}
	for _, c := range cases {
		if got := q.ConflictsWith(at(1), c.fp, c.running); got != c.want {
			t.Errorf("%d together with %v: conflict %v, want %v", c.fp, c.running, got, c.want)
		}
	}
}
