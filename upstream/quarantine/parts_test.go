package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

type partIDs = []contract.PartID

// Parts of the prompts of these tests.
const (
	first  contract.PartID = 1
	other  contract.PartID = 2
	deadly contract.PartID = 13
)

// cutAt is a cut of a request that was sent 100 ms before.
func cutAt(seconds float64, crash CrashID, request contract.Fingerprint, parts ...contract.PartID) Cut {
	at := start.Add(time.Duration(seconds * float64(time.Second)))
	return Cut{Crash: crash, Request: request, Parts: parts, SentAt: at.Add(-100 * time.Millisecond), At: at}
}

// bansOf lists the banned sets of parts.
func bansOf(t *PartTable) string {
	var sets []string
	for _, b := range t.bans {
		sets = append(sets, fmt.Sprint(b.parts))
	}
	slices.Sort(sets)
	return strings.Join(sets, " ")
}

// TestBans compares what is banned 30 seconds after start. Parts are in hex.
func TestBans(t *testing.T) {
	cut := func(q *PartTable, seconds float64, crash CrashID, request contract.Fingerprint, parts ...contract.PartID) {
		q.RecordCut(at(int(seconds)), cutAt(seconds, crash, request, parts...))
	}
	begun := func(q *PartTable, seconds int, parts ...contract.PartID) { q.RecordAnswerBegun(at(seconds), parts) }
	cases := []struct {
		name    string
		history func(q *PartTable)
		want    string
	}{
		{"two crashes", func(q *PartTable) { cut(q, 1, 1, 1, first, deadly); cut(q, 2, 2, 2, first, deadly) }, ""},
		{"three crashes, the first part sound since", func(q *PartTable) {
			cut(q, 1, 1, 1, first, deadly)
			cut(q, 2, 2, 2, first, deadly)
			cut(q, 3, 3, 3, first, deadly)
			begun(q, 4, first, other)
		}, "[d]"},
		{"three crashes, nothing else known: only prompts with both are refused", func(q *PartTable) {
			cut(q, 1, 1, 1, first, deadly)
			cut(q, 2, 2, 2, first, deadly)
			cut(q, 3, 3, 3, first, deadly)
		}, "[1 d]"},
		{"three crashes with different other parts", func(q *PartTable) {
			cut(q, 1, 1, 1, first, deadly)
			cut(q, 2, 2, 2, other, deadly)
			cut(q, 3, 3, 3, deadly)
		}, "[d]"},
		{"a set is widened by two crashes with one of its parts", func(q *PartTable) {
			for i := range 3 {
				cut(q, float64(i), CrashID(i), contract.Fingerprint(i), first, deadly)
			}
			q.Decide(at(5))
			cut(q, 6, 6, 6, other, deadly)
			cut(q, 7, 7, 7, other, deadly)
		}, "[d]"},
		{"one request at three crashes is a matter of that request", func(q *PartTable) {
			cut(q, 1, 1, 1, first, deadly)
			cut(q, 2, 2, 1, first, deadly)
			cut(q, 3, 3, 1, first, deadly)
		}, ""},
		{"engines that crash together", func(q *PartTable) {
			for i := range 9 {
				cut(q, 1, CrashID(i), contract.Fingerprint(i), first)
			}
		}, ""},
		{"one crash seen by several processes", func(q *PartTable) {
			for i := range 9 {
				cut(q, float64(i), 1, contract.Fingerprint(i), first)
			}
		}, ""},
		{"an answer between crashes", func(q *PartTable) {
			cut(q, 1, 1, 1, first)
			cut(q, 2, 2, 2, first)
			begun(q, 3, first)
			cut(q, 4, 3, 3, first)
			cut(q, 5, 4, 4, first)
		}, ""},
		{"a part that was sound before needs five crashes", func(q *PartTable) {
			begun(q, 0, other)
			for i := range 4 {
				cut(q, float64(2+i), CrashID(i), contract.Fingerprint(i), other)
			}
		}, ""},
		{"a part that was sound before and no longer is", func(q *PartTable) {
			begun(q, 0, other)
			for i := range 5 {
				cut(q, float64(2+i), CrashID(i), contract.Fingerprint(i), other)
			}
		}, "[2]"},
		{"bystanders at the same crashes", func(q *PartTable) {
			for i := range 6 {
				cut(q, float64(i), CrashID(i), contract.Fingerprint(i), first, deadly)
				cut(q, float64(i), CrashID(i), contract.Fingerprint(100+i), first)
				if i > 0 {
					cut(q, float64(i), CrashID(i), contract.Fingerprint(200+i), first, other)
				}
			}
		}, "[1 d]"},
		{"a bystander at a crash of its own", func(q *PartTable) {
			for i := range 3 {
				cut(q, float64(i), CrashID(i), contract.Fingerprint(i), first, deadly)
			}
			cut(q, 9, 9, 9, first)
			begun(q, 10, first)
		}, "[d]"},
		{"two deadly parts at once", func(q *PartTable) {
			for i := range 4 {
				cut(q, float64(2*i), CrashID(i), contract.Fingerprint(i), first, deadly)
				cut(q, float64(2*i+1), CrashID(10+i), contract.Fingerprint(10+i), other, deadly+1)
			}
			begun(q, 9, first, other)
		}, "[d] [e]"},
		{"a prompt with all banned parts is answered after all", func(q *PartTable) {
			for i := range 3 {
				cut(q, float64(i), CrashID(i), contract.Fingerprint(i), first, deadly)
			}
			q.Decide(at(5))
			begun(q, 6, first, deadly)
		}, ""},
		{"a false ban is dropped when a cut shows what explains its crashes", func(q *PartTable) {
			for i := range 3 {
				cut(q, float64(i), CrashID(i), contract.Fingerprint(i), other)
			}
			q.Decide(at(5))
			for i := range 3 {
				cut(q, float64(i), CrashID(i), contract.Fingerprint(10+i), other, deadly)
			}
			cut(q, 8, 8, 8, deadly)
			cut(q, 9, 9, 9, deadly)
		}, "[d]"},
		{"one crash without a part that answers began with before", func(q *PartTable) {
			begun(q, 0, first)
			for i := range 3 {
				cut(q, float64(i+1), CrashID(i), contract.Fingerprint(i), first, deadly)
			}
			cut(q, 5, 5, 5, other, deadly)
		}, "[d]"},
		{"one crash without a part of which nothing is known", func(q *PartTable) {
			for i := range 3 {
				cut(q, float64(i+1), CrashID(i), contract.Fingerprint(i), first, deadly)
			}
			cut(q, 5, 5, 5, other, deadly)
		}, "[1 d]"},
		{"parts that no request has all of", func(q *PartTable) {
			cut(q, 1, 1, 1, 1, 2, 3, 9)
			cut(q, 2, 2, 2, 1, 2, 4, 9)
			cut(q, 3, 3, 3, 1, 3, 4, 9)
			cut(q, 4, 4, 4, 2, 3, 4, 9)
		}, "[1 9]"},
		{"requests without shared parts", func(q *PartTable) {
			for i := range 9 {
				cut(q, float64(i), CrashID(i), contract.Fingerprint(i))
			}
		}, ""},
		{"old cuts do not count", func(q *PartTable) {
			for i := range 2 {
				cut(q, float64(i-4000), CrashID(i), contract.Fingerprint(i), deadly)
			}
			cut(q, 5, 5, 5, deadly)
		}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := NewPartTable()
			c.history(q)
			q.Decide(at(30))
			if got := bansOf(q); got != c.want {
				t.Errorf("banned %q, want %q", got, c.want)
			}
		})
	}
}

// TestSettling guards against bans that are decided before other processes told what they
// saw of the crashes.
func TestSettling(t *testing.T) {
	// Gateways exchange messages every half second.
	const exchange = 500 * time.Millisecond
	q, peer := NewPartTable(), NewPartTable()
	for i := range 3 {
		q.RecordCut(at(i), cutAt(float64(i), CrashID(i), contract.Fingerprint(i), other))
		peer.RecordCut(at(i), cutAt(float64(i), CrashID(i), contract.Fingerprint(10+i), first, deadly))
	}
	if got := q.Decide(at(2).Add(exchange)); len(got) > 0 {
		t.Errorf("banned %v at once", got)
	}
	q.Merge(at(2).Add(exchange), peer.Notes(at(2).Add(exchange)))
	q.Decide(at(4))
	if got := bansOf(q); got != "[1 d]" {
		t.Errorf("banned %q after the notes of another process", got)
	}
}

// banned returns a table that has banned the deadly part at 5 s.
func banned(t *testing.T) *PartTable {
	t.Helper()
	q := NewPartTable()
	for i := range 3 {
		q.RecordCut(at(i), cutAt(float64(i), CrashID(i), contract.Fingerprint(i), deadly))
	}
	if got := q.Decide(at(5)); len(got) != 1 {
		t.Fatalf("banned %v", got)
	}
	return q
}

// TestBanRefusesPromptsWithAllItsParts also checks the retry delay.
func TestBanRefusesPromptsWithAllItsParts(t *testing.T) {
	q := banned(t)
	refusal := q.Check(at(15), partIDs{first, other, deadly})
	if refusal == nil || refusal.Code != contract.CodeQuarantined || refusal.Ran != contract.RanNo || refusal.After != firstBan-10*time.Second {
		t.Errorf("%+v", refusal)
	}
	if refusal := q.Check(at(15), partIDs{first, other}); refusal != nil {
		t.Errorf("a prompt without the part: %+v", refusal)
	}
}

// TestProbes checks that one process lets one prompt at a time through after a ban, and that
// a crash doubles the ban while an answer ends it.
func TestProbes(t *testing.T) {
	end := at(5).Add(firstBan)
	q := banned(t)
	if q.Check(end.Add(time.Second), partIDs{deadly}) == nil {
		t.Error("a process that may not probe let a prompt through")
	}
	q.SetMayProbe(true)
	if q.Check(end.Add(-time.Second), partIDs{deadly}) == nil {
		t.Error("a prompt was let through before the end")
	}
	if q.Check(end.Add(time.Second), partIDs{deadly}) != nil {
		t.Error("no prompt was let through")
	}
	for i := range 9 {
		if q.Check(end.Add(time.Duration(i+2)*time.Second), partIDs{deadly}) == nil {
			t.Errorf("a second prompt was let through after %d s", i+2)
		}
	}
	crash := end.Add(2 * time.Second)
	q.RecordCut(crash, Cut{Crash: 9, Request: 9, Parts: partIDs{deadly}, SentAt: end.Add(time.Second), At: crash})
	if refusal := q.Check(crash, partIDs{deadly}); refusal == nil || refusal.After != 2*firstBan {
		t.Errorf("after a crash: %+v", refusal)
	}
	q.RecordAnswerBegun(crash.Add(5*time.Minute), partIDs{deadly})
	if refusal := q.Check(crash.Add(5*time.Minute), partIDs{deadly}); refusal != nil {
		t.Errorf("after an answer: %+v", refusal)
	}
}

// TestPartNotes checks that another process learns of cuts, bans and answers, that nothing
// counts twice, and that an answer at either side ends a ban at both.
func TestPartNotes(t *testing.T) {
	a, b := NewPartTable(), NewPartTable()
	exchange := func(seconds int) {
		b.Merge(at(seconds), a.Notes(at(seconds)))
		a.Merge(at(seconds), b.Notes(at(seconds)))
	}
	for i := range 2 {
		a.RecordCut(at(i), cutAt(float64(i), CrashID(i), contract.Fingerprint(i), first, deadly))
		exchange(i)
	}
	exchange(3)
	if bansOf(a)+bansOf(b) != "" || len(a.cuts) != 2 || len(b.cuts) != 2 {
		t.Fatalf("banned %q and %q after two crashes, cuts %d and %d", bansOf(a), bansOf(b), len(a.cuts), len(b.cuts))
	}
	b.RecordCut(at(4), cutAt(4, 4, 4, first, deadly))
	b.Decide(at(6))
	exchange(6)
	if bansOf(a) != "[1 d]" || bansOf(b) != "[1 d]" {
		t.Fatalf("banned %q and %q", bansOf(a), bansOf(b))
	}
	a.RecordAnswerBegun(at(7), partIDs{first})
	exchange(8)
	if bansOf(a) != "[d]" || bansOf(b) != "[d]" {
		t.Errorf("banned %q and %q after an answer with the first part", bansOf(a), bansOf(b))
	}
	late := NewPartTable()
	late.Merge(at(40), a.Notes(at(40)))
	if bansOf(late) != "[d]" {
		t.Errorf("a process that starts later knows %q", bansOf(late))
	}
}

// TestInvalidPartNotes checks that notes that no process can have sent change nothing.
func TestInvalidPartNotes(t *testing.T) {
	many := make(partIDs, contract.MaxPromptParts+1)
	for i := range many {
		many[i] = contract.PartID(i)
	}
	q := NewPartTable()
	for _, parts := range []partIDs{nil, {2, 1}, {1, 1}, many} {
		q.Merge(at(1), PartNotes{
			Bans: []BanNote{{Parts: parts, For: time.Second, Lasts: time.Second}},
			Cuts: []CutNote{{Crash: 1, Request: 1, Parts: parts, SentAge: 2, CutAge: 1}},
		})
	}
	valid := partIDs{1}
	q.Merge(at(1), PartNotes{
		Bans: []BanNote{{valid, time.Hour, time.Minute, 0}, {valid, 0, 0, 0}, {valid, 1, 2 * maxBan, 0}, {valid, 1, 1, -1}, {valid, -2 * forgetAfter, 1, 0}},
		Cuts: []CutNote{{1, 1, valid, 1, 2}, {1, 1, valid, 1, -1}},
	})
	if len(q.bans)+len(q.cuts) > 0 {
		t.Errorf("%d bans, %d cuts", len(q.bans), len(q.cuts))
	}
}

// TestPartTableIsBounded feeds parts, cuts and bans that never repeat.
func TestPartTableIsBounded(t *testing.T) {
	q := banned(t)
	next := contract.PartID(1000)
	for i := range 500 {
		now := at(100 + i)
		for n := range contract.PartID(9) {
			q.RecordAnswerBegun(now, partIDs{next + 10 + n})
		}
		q.RecordCut(now, Cut{Crash: CrashID(100 + i), Request: contract.Fingerprint(i), Parts: partIDs{next + 3}, SentAt: now, At: now})
		q.Merge(now, PartNotes{Bans: []BanNote{{partIDs{next + 4}, time.Second, time.Second, 0}}})
		next += 20
	}
	notes := q.Notes(at(600))
	if len(q.cuts) > maxCuts || len(q.bans) > maxBans || len(q.sound)+len(q.olderSound) > maxSoundParts ||
		len(notes.Bans) > DefaultMaxNotes || len(notes.Cuts) > DefaultMaxNotes || len(notes.Sound) > DefaultMaxNotes {
		t.Errorf("%d cuts, %d bans, %d sound parts, notes of %d bans, %d cuts and %d sound parts", len(q.cuts), len(q.bans),
			len(q.sound)+len(q.olderSound), len(notes.Bans), len(notes.Cuts), len(notes.Sound))
	}
}

// incident is a simulated fleet whose engines crash at prompts with deadly parts. Some
// engines crash for other reasons, too.
type incident struct {
	random  *rand.Rand
	tables  []*PartTable
	deadly  [][]contract.PartID
	engines int
	// sound and bad are the requests a second, otherCrashes the other crashes a second.
	sound, bad, otherCrashes float64
	// parts is the number of sound parts that are in use.
	parts int
}

// run simulates 40 s and returns how many deadly prompts reached engines later than 3 s
// after the fifth crash, and the share of sound ones refused later than 6 s after it.
func (n *incident) run() (reached int, refused float64) {
	const step = 10 * time.Millisecond
	type call struct {
		table, engine int
		parts         partIDs
		request       contract.Fingerprint
		sent          time.Time
		begins        time.Time
		deadly        bool
	}
	var calls []call
	up := make([]time.Time, n.engines)
	var crashes []time.Time
	nextID, ended, soundSent, soundRefused := 0, 0, 0, 0
	send := func(now time.Time, parts partIDs, isDeadly bool) {
		nextID++
		table, engine := n.random.IntN(len(n.tables)), n.random.IntN(n.engines)
		parts = slices.Compact(slices.Sorted(slices.Values(parts)))
		late := len(crashes) >= 5 && now.After(crashes[4].Add(6*time.Second))
		if late && !isDeadly {
			soundSent++
		}
		if n.tables[table].Check(now, parts) != nil {
			if late && !isDeadly {
				soundRefused++
			}
			return
		}
		if isDeadly && len(crashes) >= 5 && now.After(crashes[4].Add(3*time.Second)) {
			reached++
		}
		if now.Before(up[engine]) {
			return
		}
		takes := time.Duration(50+n.random.IntN(100)) * time.Millisecond
		calls = append(calls, call{table, engine, parts, contract.Fingerprint(nextID), now, now.Add(takes), isDeadly})
	}
	crash := func(now time.Time, engine int) {
		crashes = append(crashes, now)
		up[engine] = now.Add(3 * time.Second)
		ended++
		kept := calls[:0]
		for _, c := range calls {
			if c.engine != engine {
				kept = append(kept, c)
				continue
			}
			n.tables[c.table].RecordCut(now, Cut{Crash: CrashID(ended), Request: c.request, Parts: c.parts, SentAt: c.sent, At: now})
		}
		calls = kept
	}
	for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(step) {
		if n.random.Float64() < n.sound*step.Seconds() {
			send(now, partIDs{contract.PartID(1 + n.random.IntN(n.parts)), contract.PartID(1 + n.random.IntN(n.parts))}, false)
		}
		if n.random.Float64() < n.bad*step.Seconds() {
			parts := append(partIDs{contract.PartID(1 + n.random.IntN(n.parts))}, n.deadly[n.random.IntN(len(n.deadly))]...)
			send(now, parts, true)
		}
		if n.random.Float64() < n.otherCrashes*step.Seconds() {
			if engine := n.random.IntN(n.engines); !now.Before(up[engine]) {
				crash(now, engine)
			}
		}
		for i := 0; i < len(calls); i++ {
			c := calls[i]
			if now.Before(c.begins) {
				continue
			}
			if c.deadly {
				crash(now, c.engine)
				i = -1
				continue
			}
			calls = slices.Delete(calls, i, i+1)
			i--
			n.tables[c.table].RecordAnswerBegun(now, c.parts)
		}
		if now.Sub(start)%(500*time.Millisecond) == 0 {
			for i, t := range n.tables {
				t.Decide(now)
				for _, peer := range n.tables[i+1:] {
					peer.Merge(now, t.Notes(now))
					t.Merge(now, peer.Notes(now))
				}
			}
		}
	}
	return reached, float64(soundRefused) / float64(max(1, soundSent))
}

// TestIncidents plays random incidents: fleets, rates, parts and other crashes.
func TestIncidents(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 7))
		n := &incident{
			random: random, engines: 6 + random.IntN(30), parts: []int{1, 3, 30, 300}[random.IntN(4)],
			sound: 5 + 60*random.Float64(), bad: 0.3 + 5*random.Float64(), otherCrashes: 0.5 * random.Float64() * float64(random.IntN(2)),
			deadly: [][]contract.PartID{{1013}},
		}
		if random.IntN(4) == 0 {
			n.deadly = append(n.deadly, partIDs{1014})
		}
		for range 1 + random.IntN(8) {
			n.tables = append(n.tables, NewPartTable())
		}
		reached, refused := n.run()
		if most := 3 * len(n.deadly); reached > most {
			t.Errorf("seed %d: %d deadly prompts reached engines later than 3 s after the fifth crash, want at most %d", seed, reached, most)
		}
		if refused > 0 {
			t.Errorf("seed %d: %.0f%% of the sound prompts are refused", seed, 100*refused)
		}
	}
}
