package ratesim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// Scenario is one measured run.
type Scenario struct {
	Policy  string `json:"policy"`
	Entries int    `json:"entries"`
	// Skew is the share of calls that reach one entry; 0 means even.
	Skew  float64 `json:"skew"`
	Fault string  `json:"fault"`
	Seed  uint64  `json:"seed"`
}

// Faults that a scenario may have, from a third to two thirds of its time.
const (
	FaultNone      = "none"
	FaultFlood     = "flood"
	FaultLostEntry = "lost-entry"
	FaultQuietZone = "quiet-zone"
	FaultStoreDown = "store-down"
	FaultPause     = "pause"
	FaultCuts      = "cuts"
)

// Faults lists them all.
func Faults() []string {
	return []string{FaultNone, FaultFlood, FaultLostEntry, FaultQuietZone, FaultStoreDown, FaultPause, FaultCuts}
}

// Sizes of a scenario. The load is 0.9 of each account's rate.
const (
	warmUp   = 15 * time.Second
	measured = 90 * time.Second
	offered  = 0.9
	flooded  = 5.0
	patience = 250 * time.Millisecond
	zones    = 3
	drift    = 0.002
)

// Report is what a scenario gave.
type Report struct {
	Scenario
	// OverTokens is the most that any account got beyond its bound.
	OverTokens float64 `json:"over_tokens"`
	// Asked and Wrongful count requests of all accounts that reached a live
	// entry.
	Asked         int     `json:"asked"`
	Wrongful      int     `json:"wrongful"`
	WrongfulShare float64 `json:"wrongful_share"`
	// WorstServed is the least share of its due that any account got.
	WorstServed        float64 `json:"worst_served"`
	MessagesPerRequest float64 `json:"messages_per_request"`
	// RenewalsPerSecond is what one entry sends whatever the load.
	RenewalsPerSecond   float64 `json:"renewals_per_second"`
	MicrosecondsToAdmit float64 `json:"microseconds_to_admit"`
}

// Run measures one scenario.
func Run(s Scenario) (Report, error) {
	accounts := fiveAccounts()
	f, err := New(Options{Policy: s.Policy, Entries: s.Entries, Zones: zones, Seed: s.Seed, Drift: drift,
		Rate: rate.Options{Entries: s.Entries}, Accounts: accounts})
	if err != nil {
		return Report{}, err
	}
	f.Run(warmUp)
	f.Messages, f.Renewals = 0, 0
	load(f, s, accounts)
	disturb(f, s)
	f.Run(warmUp + measured + time.Second)
	return f.report(s, accounts), nil
}

// fiveAccounts are today's: a few of them large.
func fiveAccounts() []contract.ClientAccount {
	var accounts []contract.ClientAccount
	for i, perSecond := range []contract.Tokens{20_000, 8000, 2000, 1000, 500} {
		accounts = append(accounts, contract.ClientAccount{
			ID:   contract.AccountID(fmt.Sprint("account-", i+1)),
			Rate: contract.Rate{PerSecond: perSecond, Burst: 2 * perSecond},
		})
	}
	return accounts
}

// load schedules the calls: costs up to a tenth of the burst and now and then a
// long prompt; half of the charge is given back on average.
func load(f *Fleet, s Scenario, accounts []contract.ClientAccount) {
	rng := rand.New(rand.NewPCG(s.Seed, 11))
	for i, a := range accounts {
		times := offered
		if s.Fault == FaultFlood && i == 1 {
			times = flooded
		}
		const meanUse = 0.75
		mean := float64(a.Rate.Burst) / 20
		perSecond := times * float64(a.Rate.PerSecond) / (mean * meanUse)
		for at := warmUp; at < warmUp+measured; at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)) {
			cost := contract.Tokens(1 + rng.Float64()*mean*1.6)
			if rng.IntN(20) == 0 {
				cost = contract.Tokens(mean * 5)
			}
			use := 0.5 + rng.Float64()/2
			pick := rng.Float64()
			f.At(at, func() { f.Request(f.pick(s, pick), a.ID, cost, patience, use) })
		}
	}
}

// pick is the balancer: it knows which entries answer.
func (f *Fleet) pick(s Scenario, x float64) *Entry {
	var open []*Entry
	for _, e := range f.Entries {
		if e.Up && !f.quiet[e.Identity.Name] {
			open = append(open, e)
		}
	}
	if s.Skew > 0 && x < s.Skew {
		return open[0]
	}
	return open[int(x*1e6)%len(open)]
}

// disturb schedules the fault.
func disturb(f *Fleet, s Scenario) {
	from, to := warmUp+measured/3, warmUp+2*measured/3
	victim := f.Entries[1]
	switch s.Fault {
	case FaultLostEntry:
		f.At(from, func() { f.Crash(victim) })
		f.At(to, func() { _ = f.Start(victim) })
	case FaultStoreDown:
		f.At(from, func() { f.StoreDown = true })
		f.At(to, func() { f.StoreDown = false })
	case FaultPause:
		f.At(from, func() { f.Pause(victim, 4*time.Second) })
	case FaultQuietZone:
		f.At(from, func() { f.quietZone(victim, true) })
		f.At(to, func() { f.quietZone(victim, false) })
	case FaultCuts:
		for at := from; at < to; at += 5 * time.Second {
			f.At(at, func() { f.Cut(f.Entries[0], victim, true) })
			f.At(at+2*time.Second, func() { f.Cut(f.Entries[0], victim, false) })
		}
	}
}

// quietZone cuts the victim's availability zone off; callers go elsewhere.
func (f *Fleet) quietZone(victim *Entry, quiet bool) {
	f.quiet = make(map[instance.Name]bool)
	for _, a := range f.Entries {
		inside := a.Identity.Place == victim.Identity.Place
		if !inside {
			continue
		}
		f.quiet[a.Identity.Name] = quiet
		f.CutStore(a, quiet)
		for _, b := range f.Entries {
			if b.Identity.Place != victim.Identity.Place {
				f.Cut(a, b, quiet)
			}
		}
	}
}

func (f *Fleet) report(s Scenario, accounts []contract.ClientAccount) Report {
	r := Report{Scenario: s, WorstServed: 1}
	for _, a := range accounts {
		t := f.Tally(a.ID)
		r.OverTokens = max(r.OverTokens, t.Over)
		r.Asked += t.Asked
		r.Wrongful += t.Wrongful()
		if t.Due > 0 {
			r.WorstServed = min(r.WorstServed, float64(t.Served)/float64(t.Due))
		}
	}
	r.WrongfulShare = float64(r.Wrongful) / float64(max(r.Asked, 1))
	r.MessagesPerRequest = float64(f.Messages) / float64(max(r.Asked, 1))
	r.RenewalsPerSecond = float64(f.Renewals) / float64(s.Entries) / measured.Seconds()
	r.MicrosecondsToAdmit = float64(f.meter.Spent.Microseconds()) / float64(max(r.Asked, 1))
	return r
}
