package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance"
)

// seen returns a meter with a full bucket of an account that fills slowly.
func seen(incarnation instance.Incarnation) *Meter {
	a := account(1, 10_000)
	// A long window adds next to nothing to the rate.
	m := NewMeter(Options{Window: 10_000 * time.Hour, Incarnation: incarnation})
	m.Admit(start.Add(-100*time.Hour), a, 0)
	m.Admit(start, a, 0)
	return m
}

// uses states one use for each number of tokens, numbered from one.
func uses(tokens ...float64) (s Statement) {
	s.UpTo = Mark{Incarnation: 1, Sequence: uint64(len(tokens))}
	for i, n := range tokens {
		s.Uses = append(s.Uses, Use{Sequence: uint64(i) + 1, Account: "a", Tokens: n})
	}
	return s
}

// TestHeardOutOfOrder delivers statements in every order of three. Uses that were
// taken in must not be charged again.
func TestHeardOutOfOrder(t *testing.T) {
	base, first, second := uses(1000), uses(1000, 200), uses(1000, 200, 300)
	for _, order := range [][]Statement{{first, second}, {second, first}, {second, second, first}} {
		m := seen(1)
		m.Heard(start, "p", base)
		for _, s := range order {
			m.Heard(start, "p", s)
		}
		if d := m.Admit(start, account(1, 10_000), 0); d.Level != 9500 {
			t.Errorf("level %v after %v, want 9500", d.Level, order)
		}
	}
}

// TestHeardAfterRestart charges all uses of a new incarnation, whose numbers start
// anew, and none of one that is over.
func TestHeardAfterRestart(t *testing.T) {
	m := seen(1)
	m.Heard(start, "p", Statement{UpTo: Mark{Incarnation: 1, Sequence: 9}, Uses: []Use{{Sequence: 9, Account: "a", Tokens: 5000}}})
	m.Heard(start, "p", Statement{UpTo: Mark{Incarnation: 2, Sequence: 1}, Uses: []Use{{Sequence: 1, Account: "a", Tokens: 300}}})
	m.Heard(start, "p", Statement{UpTo: Mark{Incarnation: 1, Sequence: 10}, Uses: []Use{{Sequence: 10, Account: "a", Tokens: 70}}})
	if d := m.Admit(start, account(1, 10_000), 0); d.Level != 9700 {
		t.Errorf("level %v, want 9700", d.Level)
	}
}

// TestStatementsConverge exchanges statements of two meters, of which half are
// lost and some come twice or late, while both admit: in the end each has charged all that the other admitted since they knew each other, once.
func TestStatementsConverge(t *testing.T) {
	type message struct {
		to int
		s  Statement
	}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		a := account(1, 10_000)
		meters := []*Meter{seen(1), seen(2)}
		names := []Peer{"0", "1"}
		now, total := start, 0.0
		var held []message
		tell := func(from int, lost bool) {
			m := message{1 - from, meters[from].Own(now, names[1-from])}
			switch {
			case lost:
			case random.IntN(3) == 0:
				held = append(held, m)
			default:
				meters[m.to].Heard(now, names[from], m.s)
			}
		}
		tell(0, false)
		tell(1, false)
		for _, m := range held {
			meters[m.to].Heard(now, names[1-m.to], m.s)
		}
		held = nil
		for range 60 {
			now = now.Add(time.Millisecond)
			by := random.IntN(2)
			if cost := float64(random.IntN(40)); meters[by].Admit(now, a, cost).Granted {
				total += cost
			}
			tell(by, random.IntN(2) == 0)
			if len(held) > 0 && random.IntN(2) == 0 {
				m := held[len(held)-1]
				meters[m.to].Heard(now, names[1-m.to], m.s)
			}
		}
		for range 2 {
			for i := range meters {
				meters[1-i].Heard(now, names[i], meters[i].Own(now, names[1-i]))
			}
		}
		for i, m := range meters {
			if d := m.Admit(now, a, 0); d.Level < 10_000-total-1 || d.Level > 10_000-total+1 {
				t.Fatalf("seed %d: meter %d has %.0f left after %.0f tokens", seed, i, d.Level, total)
			}
		}
		for i := range meters {
			if s := meters[i].Own(now, names[1-i]); len(s.Uses) > 0 {
				t.Errorf("seed %d: %d uses are told again though they were acknowledged", seed, len(s.Uses))
			}
		}
	}
}

// TestOldUsesAreForgotten bounds what is kept for peers that never answer.
func TestOldUsesAreForgotten(t *testing.T) {
	m := seen(1)
	now := start
	for range 1000 {
		now = now.Add(time.Second)
		m.Admit(now, account(1000, 1000), 1)
		m.Own(now, "silent")
	}
	if got, most := len(m.own.uses), int(keepUses/time.Second)+1; got == 0 || got > most {
		t.Errorf("%d uses are kept, want some and at most %d", got, most)
	}
}
