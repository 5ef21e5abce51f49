package demand

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

var start = time.Unix(1000, 0)

const engines = directory.ServiceName("engines")

// within reports whether got differs from want by at most a part of want.
func within(got, want, part float64) bool {
	return math.Abs(got-want) <= part*math.Abs(want)
}

// true values of the requests that record draws.
const (
	prompt, output = 5000, 4000
	rate           = 50_000.0
	tokenBase      = 0.0006
	tokenLoad      = 0.00002
)

// record records n requests of a random size whose real outputs are 3/4 of the expected
// ones. One prompt in thirty was cached, and half of them waited.
func record(l *Ledger, random *rand.Rand, now time.Time, n int) {
	for range n {
		p := contract.Tokens(prompt * math.Exp(0.4*random.NormFloat64()-0.08))
		expected := contract.Tokens(output / 0.75 * math.Exp(0.4*random.NormFloat64()-0.08))
		l.RecordRequest(now, engines, p, expected, 2*expected)
		took := float64(p) / rate
		switch {
		case random.IntN(30) == 0:
			took /= 10
		case random.IntN(2) == 0:
			took += 0.3 * random.Float64()
		}
		l.RecordPrefill(now, engines, p, time.Duration(took*float64(time.Second)))
		running := 1 + random.IntN(20)
		pace := (tokenBase + tokenLoad*float64(running)) * (0.9 + 0.2*random.Float64())
		l.RecordPace(now, engines, running, time.Duration(pace*float64(time.Second)))
		l.RecordOutput(now, engines, expected, expected*3/4)
	}
}

func checkEstimate(t *testing.T, what string, e Estimate) {
	t.Helper()
	if !e.Known() || !within(float64(e.Prompt), prompt, 0.1) || !within(float64(e.Output), output, 0.15) {
		t.Errorf("%s: %+v, want prompts of %d and outputs of %d tokens", what, e, prompt, output)
	}
	if !within(e.PrefillRate, rate, 0.15) {
		t.Errorf("%s: %.0f prompt tokens a second, want %.0f", what, e.PrefillRate, rate)
	}
	want := float64(e.Output) * (tokenBase + tokenLoad*15)
	if !within(e.DecodeTime(15).Seconds(), want, 0.1) {
		t.Errorf("%s: %s to decode beside 15 requests, want %.2f s", what, e.DecodeTime(15), want)
	}
}

func TestEstimate(t *testing.T) {
	for seed := range uint64(10) {
		l := NewLedger()
		record(l, rand.New(rand.NewPCG(seed, 1)), start, 300)
		checkEstimate(t, "one process", l.Estimate(start, engines))
	}
}

// TestEstimateFromPeers checks that what each of many processes sees is merged, so that a
// process without any requests knows the demand.
func TestEstimateFromPeers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	newcomer := NewLedger()
	for i := range 40 {
		l := NewLedger()
		record(l, random, start, 8)
		if !newcomer.Apply(start, instance.Name(rune('a'+i)), engines, l.Own(start)[engines]) {
			t.Fatal("a peer's tally was ignored")
		}
	}
	checkEstimate(t, "newcomer", newcomer.Estimate(start, engines))
	for i := range 40 {
		newcomer.Forget(instance.Name(rune('a' + i)))
	}
	if e := newcomer.Estimate(start.Add(time.Second), engines); e.Known() {
		t.Errorf("%+v is known after all peers left", e)
	}
}

// TestUnknown checks that nothing is estimated from a few observations.
func TestUnknown(t *testing.T) {
	l := NewLedger()
	if e := l.Estimate(start, engines); e.Known() {
		t.Errorf("%+v is known of a service without requests", e)
	}
	record(l, rand.New(rand.NewPCG(1, 3)), start, minPaces-1)
	if e := l.Estimate(start.Add(estimateMaxAge), engines); e.Known() {
		t.Errorf("%+v is known after %d requests", e, minPaces-1)
	}
}

// TestFade checks that a lasting change of the demand is followed and that a short one is
// not.
func TestFade(t *testing.T) {
	l := NewLedger()
	now := start
	minute := func(seconds int, p, o contract.Tokens) {
		for range seconds {
			now = now.Add(time.Second)
			for range 10 {
				l.RecordRequest(now, engines, p, o, 2*o)
			}
		}
	}
	minute(60, 1000, 1000)
	minute(3, 8000, 1000)
	if e := l.Estimate(now, engines); e.Prompt > 2000 {
		t.Errorf("mean prompt %d after a burst of long ones for 3 s", e.Prompt)
	}
	minute(60, 8000, 1000)
	if e := l.Estimate(now, engines); e.Prompt < 6500 {
		t.Errorf("mean prompt %d a minute after all became 8,000 tokens long", e.Prompt)
	}
	now = now.Add(20 * HalfLife)
	if e := l.Estimate(now, engines); e.Prompt != 0 {
		t.Errorf("%+v is known long after the last request", e)
	}
}

// TestReserve checks how much output is reserved: half way to the maximum until the outputs
// are known, then what eight of ten requests take.
func TestReserve(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 4))
	l := NewLedger()
	if got := l.Estimate(start, engines).Reserve(100, 300); got != 200 {
		t.Errorf("%d tokens reserved before anything is known, want 200, half way from 100 to 300", got)
	}
	for range 2000 {
		l.RecordOutput(start, engines, 100, contract.Tokens(100*math.Exp(0.5*random.NormFloat64())))
	}
	e := l.Estimate(start.Add(estimateMaxAge), engines)
	// The 80th percentile of the distribution is exp(0.5 · 0.84).
	if got := e.Reserve(1000, 3000); !within(float64(got), 1000*math.Exp(0.42), 0.1) {
		t.Errorf("%d tokens reserved, want what eight of ten take, 1,522", got)
	}
	if got := e.Reserve(1000, 1200); got != 1200 {
		t.Errorf("%d tokens reserved, want at most the maximum of 1,200", got)
	}
}

// TestRestore checks that a stored demand is used until newer observations outweigh it.
func TestRestore(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 5))
	old := NewLedger()
	record(old, random, start, 2000)
	l := NewLedger()
	l.Restore(start, engines, old.All(start)[engines])
	checkEstimate(t, "restored", l.Estimate(start, engines))
	for range 900 {
		l.RecordRequest(start, engines, 500, 100, 100)
	}
	if e := l.Estimate(start.Add(estimateMaxAge), engines); e.Prompt > 1000 {
		t.Errorf("mean prompt %d after 900 of 500 tokens and stored ones of %d", e.Prompt, prompt)
	}
}

// TestInvalidTally checks that tallies that no process can have counted are ignored.
func TestInvalidTally(t *testing.T) {
	for name, tally := range map[string]Tally{
		"not a number":     {Requests: math.NaN()},
		"infinite":         {Pace: math.Inf(1)},
		"negative":         {Prompt: -1},
		"too many buckets": {PrefillRates: Distribution{Counts: make([]uint32, maxBuckets+1)}},
		"bucket far away":  {OutputRatios: Distribution{First: math.MaxInt, Counts: []uint32{1}}},
	} {
		l := NewLedger()
		if l.Apply(start, "p", engines, tally) || l.Restore(start, engines, tally) {
			t.Errorf("%s: accepted", name)
		}
	}
}

func TestRetain(t *testing.T) {
	l := NewLedger()
	l.RecordRequest(start, "a", 1, 1, 1)
	l.RecordRequest(start, "b", 1, 1, 1)
	l.Retain(func(name directory.ServiceName) bool { return name == "a" })
	if got := l.Own(start); len(got) != 1 || got["a"].Requests == 0 {
		t.Errorf("%v after b was removed from the configuration, want only a", got)
	}
}

// TestOwnSharesNoMemory guards against a message to a peer that changes while it is sent.
func TestOwnSharesNoMemory(t *testing.T) {
	l := NewLedger()
	record(l, rand.New(rand.NewPCG(1, 6)), start, 10)
	before := l.Own(start)[engines]
	count := before.PrefillRates.count()
	record(l, rand.New(rand.NewPCG(1, 6)), start, 10)
	if after := before.PrefillRates.count(); after != count {
		t.Errorf("%v prefills in a message after more were recorded, want %v", after, count)
	}
}
