package fair

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// item returns an item with times relative to start; a zero startBy means no
// target, a zero deadline no deadline.
func item(id, account string, startBy, deadline time.Duration, patient bool) Item {
	i := Item{Request: contract.RequestID(id), Account: contract.AccountID(account), Weight: 1, Cost: 10, Arrived: start, Patient: patient}
	if startBy != 0 {
		i.StartBy = start.Add(startBy)
	}
	if deadline != 0 {
		i.Deadline = start.Add(deadline)
	}
	return i
}

func TestOrderAndExpiry(t *testing.T) {
	const s = time.Second
	cases := []struct {
		name    string
		limit   int
		push    []Item
		remove  string
		at      time.Duration
		refused string
		expired string
		popped  string
	}{
		{"less slack first within an account", 9, []Item{item("1", "a", 9*s, 0, false), item("2", "a", 5*s, 0, false), item("3", "a", 0, 0, true)}, "", 0, "", "", "2 1 3"},
		{"accounts in turn", 9, []Item{item("1", "a", 1*s, 0, false), item("2", "a", 2*s, 0, false), item("3", "b", 8*s, 0, false)}, "", 0, "", "", "1 3 2"},
		{"late and patient is served last", 9, []Item{item("1", "a", 1*s, 0, true), item("2", "b", 9*s, 0, false), item("3", "b", 9*s, 0, false)}, "", 2 * s, "", "", "2 3 1"},
		{"late is refused", 9, []Item{item("1", "a", 1*s, 0, false), item("2", "b", 9*s, 0, false)}, "", 2 * s, "", "1", "2"},
		{"patient is refused at its deadline", 9, []Item{item("1", "a", 0, 2*s, true)}, "", 2 * s, "", "1", ""},
		{"caller disconnected", 9, []Item{item("1", "a", 0, 0, true), item("2", "a", 0, 0, true)}, "1", 0, "", "", "2"},
		{"full with requests of the same account", 2, []Item{item("1", "a", 0, 0, true), item("2", "a", 0, 0, true), item("3", "a", 0, 0, true)}, "", 0, "3", "", "1 2"},
		{"evicts for another account", 2, []Item{item("1", "a", 1*s, 0, true), item("2", "a", 2*s, 0, true), item("3", "b", 0, 0, true)}, "", 0, "", "2", "1 3"},
		{"same request twice", 9, []Item{item("1", "a", 0, 0, true), item("1", "a", 0, 0, true)}, "", 0, "1", "", "1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := NewWeighted(c.limit)
			var refused, expired, popped []string
			for _, i := range c.push {
				if q.Push(start, i) != nil {
					refused = append(refused, string(i.Request))
				}
			}
			if c.remove != "" && !q.Remove(contract.RequestID(c.remove)) {
				t.Error("Remove did not find the request")
			}
			now := start.Add(c.at)
			for _, i := range q.Expire(now) {
				expired = append(expired, string(i.Request))
			}
			for i, ok := q.Pop(now); ok; i, ok = q.Pop(now) {
				popped = append(popped, string(i.Request))
			}
			for _, pair := range [][2]string{{join(refused), c.refused}, {join(expired), c.expired}, {join(popped), c.popped}} {
				if pair[0] != pair[1] {
					t.Errorf("requests that were refused, expired or popped: got %q, want %q", pair[0], pair[1])
				}
			}
			if q.Len() != 0 {
				t.Errorf("%d requests left in the queue", q.Len())
			}
		})
	}
}

func join(ids []string) string {
	s := fmt.Sprint(ids)
	return s[1 : len(s)-1]
}

// countLostWithinShare simulates a queue that serves one request per step. The given
// number of accounts stay within their equal share; one more account pushes
// flood/(accounts+1) requests per step. It returns how many requests of the accounts
// within their share were refused or expired.
func countLostWithinShare(q Queue, accounts, flood int, seed uint64) int {
	const step, steps, slack = 10 * time.Millisecond, 300, 500 * time.Millisecond
	parts := accounts + 1
	lost, n := 0, 0
	push := func(now time.Time, account string) {
		n++
		i := Item{Request: contract.RequestID(fmt.Sprint(n)), Account: contract.AccountID(account), Weight: 1, Cost: 100, Arrived: now, StartBy: now.Add(slack)}
		if q.Push(now, i) != nil && account != "flood" {
			lost++
		}
	}
	for s := range steps {
		now := start.Add(time.Duration(s) * step)
		// One request is served per step; each account's share is one per parts steps.
		for f := range flood {
			if (s+f)%parts == 0 {
				push(now, "flood")
			}
		}
		for a := range accounts {
			if (uint64(s)+seed*uint64(a))%uint64(parts) == 0 {
				push(now, fmt.Sprint("account-", a))
			}
		}
		for _, i := range q.Expire(now) {
			if i.Account != "flood" {
				lost++
			}
		}
		q.Pop(now)
	}
	return lost
}

// TestOverloadLeavesOtherAccountsUnaffected guards against an account that takes
// the share of others by sending too much. FIFO fails under the same kind of load.
func TestOverloadLeavesOtherAccountsUnaffected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accounts := rapid.IntRange(1, 9).Draw(t, "accounts")
		flood := rapid.IntRange(1, 8).Draw(t, "flood") * (accounts + 1)
		seed := rapid.Uint64Range(0, 100).Draw(t, "seed")
		if lost := countLostWithinShare(NewWeighted(64), accounts, flood, seed); lost != 0 {
			t.Fatalf("%d requests of accounts within their share lost", lost)
		}
	})
	if lost := countLostWithinShare(NewFIFO(64), 4, 25, 1); lost == 0 {
		t.Error("FIFO lost no request of an account within its share: the load is too low for this test")
	}
}

func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{16, 256, 1024} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := NewWeighted(waiting + 1)
			for i := range waiting {
				q.Push(start, item(fmt.Sprint(i), fmt.Sprint("account-", i%64), time.Hour, 0, false))
			}
			for i := 0; b.Loop(); i++ {
				q.Push(start, item(fmt.Sprint("r", i), fmt.Sprint("account-", i%64), time.Hour, 0, false))
				q.Pop(start)
			}
		})
	}
}
