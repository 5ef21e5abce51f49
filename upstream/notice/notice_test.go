package notice

import (
	"strconv"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/upstream"
)

var start = time.Unix(1000, 0)

func at(seconds int) time.Time {
	return start.Add(time.Duration(seconds) * time.Second)
}

func TestLeaving(t *testing.T) {
	b := NewBook()
	old, next := Incarnation{"u", 1}, Incarnation{"u", 2}
	if !b.RecordLeaving(at(0), old) || b.RecordLeaving(at(1), old) {
		t.Error("a notice is new once")
	}
	b.RecordPause(at(2), old, time.Second)
	if !b.Leaving(old) || b.Leaving(next) {
		t.Error("the notice is the old incarnation's, and stays with it")
	}
	b.Expire(at(3600), func(of Incarnation) bool { return of == old })
	if !b.Leaving(old) {
		t.Error("forgotten while the upstream is present")
	}
	b.Expire(at(3600), func(Incarnation) bool { return false })
	if b.Leaving(old) {
		t.Error("kept for ever")
	}
}

func TestPause(t *testing.T) {
	cases := []struct {
		name   string
		pauses []time.Duration
		want   time.Duration
	}{
		{"none", nil, 0},
		{"one", []time.Duration{3 * time.Second}, 3 * time.Second},
		{"a shorter one does not end a longer one", []time.Duration{3 * time.Second, time.Second}, 3 * time.Second},
		{"a longer one", []time.Duration{time.Second, 3 * time.Second}, 3 * time.Second},
		{"zero and negative", []time.Duration{0, -time.Second}, 0},
		{"hours", []time.Duration{24 * time.Hour}, MaxPause},
	}
	for _, c := range cases {
		b := NewBook()
		of := Incarnation{"u", 1}
		for _, pause := range c.pauses {
			b.RecordPause(at(0), of, pause)
		}
		if got := b.PauseLeft(at(0), of); got != c.want {
			t.Errorf("%s: %v left, want %v", c.name, got, c.want)
		}
		if left := b.PauseLeft(at(0).Add(c.want), of); left != 0 {
			t.Errorf("%s: %v left at its end", c.name, left)
		}
		if left := b.PauseLeft(at(0), Incarnation{"u", 2}); left != 0 {
			t.Errorf("%s: %v left for the next incarnation", c.name, left)
		}
	}
}

// TestNotes checks that leaving is passed on, by others too, for a limited time, and that
// pauses are not: each process has its own.
func TestNotes(t *testing.T) {
	a, b, c := NewBook(), NewBook(), NewBook()
	of := Incarnation{"u", 1}
	a.RecordLeaving(at(0), of)
	a.RecordPause(at(0), of, time.Minute)
	if got := b.Merge(at(10), a.Notes(at(10))); len(got) != 1 || len(b.Merge(at(11), a.Notes(at(11)))) != 0 {
		t.Errorf("%v learned", got)
	}
	if got := c.Merge(at(12), b.Notes(at(12))); len(got) != 1 {
		t.Errorf("%v learned from the second process", got)
	}
	if !b.Leaving(of) || !c.Leaving(of) || b.PauseLeft(at(10), of) != 0 {
		t.Error("leaving is passed on, pauses are not")
	}
	if len(a.Notes(at(60)))+len(b.Notes(at(60)))+len(c.Notes(at(60))) != 0 {
		t.Error("notes are passed on for ever")
	}
}

func TestBookIsBounded(t *testing.T) {
	b := NewBook()
	for i := range MaxRecords + 100 {
		b.RecordLeaving(at(0).Add(time.Duration(i)), Incarnation{upstream.ID(strconv.Itoa(i)), 1})
	}
	if len(b.records) > MaxRecords || len(b.Notes(at(1))) != MaxNotes {
		t.Errorf("%d records, %d notes", len(b.records), len(b.Notes(at(1))))
	}
	if !b.Leaving(Incarnation{upstream.ID(strconv.Itoa(MaxRecords + 99)), 1}) || b.Leaving(Incarnation{"0", 1}) {
		t.Error("the oldest record goes first")
	}
}
