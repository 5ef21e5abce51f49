package quarantine

import (
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

var start = time.Unix(1000, 0)

type fps = []contract.Fingerprint

// at gives a moment some seconds after the start.
func at(seconds int) time.Time {
	return start.Add(time.Duration(seconds) * time.Second)
}

// TestQuarantine lists for each history which of the fingerprints 1 to 3 are
// quarantined (Q), suspects (S) or free (-) thirty seconds after the start.
func TestQuarantine(t *testing.T) {
	// tell passes the notes of one table on to another.
	tell := func(from, to *Table, seconds int) { to.Learn(at(seconds), from.Notes(at(seconds))) }
	cases := []struct {
		name    string
		history func(q *Table)
		want    string
	}{
		{"no crash", func(*Table) {}, "---"},
		{"several at one crash", func(q *Table) { q.Crashed(at(0), "a", fps{1, 2, 3}) }, "SSS"},
		{"alone at one crash", func(q *Table) { q.Crashed(at(0), "a", fps{1}) }, "S--"},
		{"alone at two crashes", func(q *Table) { q.Crashed(at(0), "a", fps{1}); q.Crashed(at(1), "b", fps{1}) }, "Q--"},
		{"the same request twice at one crash counts once", func(q *Table) { q.Crashed(at(0), "a", fps{1, 1}) }, "S--"},
		{"one of them at a second crash", func(q *Table) { q.Crashed(at(0), "a", fps{1, 2}); q.Crashed(at(9), "b", fps{1, 3}) }, "QSS"},
		{"fellow victims that finished are free", func(q *Table) {
			q.Crashed(at(0), "a", fps{1, 2})
			q.Finished(at(1), 2)
			q.Crashed(at(9), "b", fps{1, 2})
		}, "QS-"},
		{"a crash heard of again does not count twice", func(q *Table) {
			q.Crashed(at(0), "a", fps{1, 2})
			other := New(Options{})
			tell(q, other, 1)
			tell(other, q, 2)
		}, "SS-"},
		{"nor after the request finished", func(q *Table) {
			q.Crashed(at(0), "a", fps{1, 2})
			other := New(Options{})
			tell(q, other, 1)
			q.Finished(at(2), 1)
			tell(other, q, 3)
		}, "-S-"},
		{"crashes seen by two sidecars add up", func(q *Table) {
			other := New(Options{})
			other.Crashed(at(0), "a", fps{1, 2})
			q.Crashed(at(1), "b", fps{1, 3})
			tell(other, q, 2)
		}, "QSS"},
		{"quarantine is heard of", func(q *Table) {
			other := New(Options{})
			other.Crashed(at(0), "a", fps{1})
			other.Crashed(at(1), "b", fps{1})
			tell(other, q, 2)
		}, "Q--"},
		{"old news are not passed on", func(q *Table) {
			other := New(Options{})
			other.Crashed(at(0), "a", fps{1})
			other.Crashed(at(0), "b", fps{1})
			tell(other, q, 29)
		}, "---"},
		{"quarantine ends", func(q *Table) { q.Crashed(at(-600), "a", fps{1}); q.Crashed(at(-599), "b", fps{1}) }, "---"},
		{"suspicion ends", func(q *Table) { q.Crashed(at(-600), "a", fps{1, 2}); q.Crashed(at(0), "a", fps{1, 3}) }, "S-S"},
		{"memory is bounded, suspects go first", func(q *Table) {
			q.Crashed(at(0), "a", fps{1})
			q.Crashed(at(0), "b", fps{1})
			for fp := range contract.Fingerprint(100) {
				q.Crashed(at(1), "b", fps{10 + fp, 200 + fp})
			}
			if len(q.records) > 16 {
				t.Errorf("%d records", len(q.records))
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
				case q.Alone(at(30), fp):
					got += "S"
				default:
					got += "-"
				}
			}
			if got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

func TestSuspectsNeverMeet(t *testing.T) {
	q := New(Options{})
	q.Crashed(at(0), "a", fps{1, 2})
	cases := []struct {
		fp      contract.Fingerprint
		running fps
		want    bool
	}{{1, fps{2}, true}, {1, fps{3}, false}, {3, fps{1, 2}, false}, {1, fps{1}, false}, {1, nil, false}}
	for _, c := range cases {
		if got := q.Conflict(at(1), c.fp, c.running); got != c.want {
			t.Errorf("%d beside %v: conflict %v, want %v", c.fp, c.running, got, c.want)
		}
	}
}
