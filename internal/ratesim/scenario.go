package ratesim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// Scenario describes one measured run.
type Scenario struct {
	Policy  string `json:"policy"`
	Entries int    `json:"entries"`
	// Skew is the share of calls that go to the first entry; 0 spreads them evenly.
	Skew  float64 `json:"skew"`
	Fault string  `json:"fault"`
	Seed  uint64  `json:"seed"`
}

// Faults of a scenario, which last for the middle third of the measured time. FaultFlood
// lasts for all of it; FaultPause is a pause of 4 s.
// FaultLostEntry crashes an entry, FaultQuietZone cuts a zone off.
const (
	FaultNone      = "none"
	FaultFlood     = "flood"
	FaultLostEntry = "lost-entry"
	FaultQuietZone = "quiet-zone"
	FaultStoreDown = "store-down"
	FaultPause     = "pause"
	FaultCuts      = "cuts"
)

// Faults returns all faults.
func Faults() []string {
	return []string{FaultNone, FaultFlood, FaultLostEntry, FaultQuietZone, FaultStoreDown, FaultPause, FaultCuts}
}

// Sizes of a scenario. The load is 0.9 of each account's rate; FaultFlood raises that of
// one account to five times its rate.
const (
	warmUp       = 15 * time.Second
	measuredTime = 90 * time.Second
	// loadFactor and floodFactor are the load as a fraction of an account's rate.
	loadFactor  = 0.9
	floodFactor = 5.0
	maxWait     = 250 * time.Millisecond
	zones       = 3
	drift       = 0.002
)

// Report holds the results of a scenario.
type Report struct {
	Scenario
	// OverTokens is the largest excess of an account over its bound, in tokens.
	OverTokens float64 `json:"over_tokens"`
	// Asked counts the requests of all accounts, Wrongful those that were wrongly
	// refused, and WrongfulShare is the latter's share.
	Asked         int     `json:"asked"`
	Wrongful      int     `json:"wrongful"`
	WrongfulShare float64 `json:"wrongful_share"`
	// WorstServed is the lowest ratio, over the accounts, of tokens granted by the fleet
	// to tokens granted by the ideal entry.
	WorstServed        float64 `json:"worst_served"`
	MessagesPerRequest float64 `json:"messages_per_request"`
	// RenewalsPerSecond is the number of messages that one entry sends independently of
	// the load.
	RenewalsPerSecond   float64 `json:"renewals_per_second"`
	MicrosecondsToAdmit float64 `json:"microseconds_to_admit"`
}

// Run simulates and measures one scenario.
func Run(s Scenario) (Report, error) {
	accounts := defaultAccounts()
	f, err := NewFleet(Options{Policy: s.Policy, Entries: s.Entries, Zones: zones, Seed: s.Seed, Drift: drift,
		Rate: rate.Options{Entries: s.Entries}, Accounts: accounts})
	if err != nil {
		return Report{}, err
	}
	f.Run(warmUp)
	f.Messages, f.Renewals = 0, 0
	scheduleLoad(f, s, accounts)
	scheduleFault(f, s)
	f.Run(warmUp + measuredTime + time.Second)
	return f.report(s, accounts), nil
}

// defaultAccounts returns five accounts of different sizes, modeled on the current ones.
func defaultAccounts() []contract.ClientAccount {
	var accounts []contract.ClientAccount
	for i, perSecond := range []contract.Tokens{20_000, 8000, 2000, 1000, 500} {
		accounts = append(accounts, contract.ClientAccount{
			ID:   contract.AccountID(fmt.Sprint("account-", i+1)),
			Rate: contract.Rate{PerSecond: perSecond, Burst: 2 * perSecond},
		})
	}
	return accounts
}

// scheduleLoad schedules the calls. They cost up to 0.08 of the burst; every twentieth on
// average is a long prompt of a quarter of the burst. A quarter of the cost is refunded
// on average.
func scheduleLoad(f *Fleet, s Scenario, accounts []contract.ClientAccount) {
	rng := rand.New(rand.NewPCG(s.Seed, 11))
	for i, a := range accounts {
		times := loadFactor
		if s.Fault == FaultFlood && i == 1 {
			times = floodFactor
		}
		const meanUse = 0.75
		mean := float64(a.Rate.Burst) / 20
		perSecond := times * float64(a.Rate.PerSecond) / (mean * meanUse)
		for at := warmUp; at < warmUp+measuredTime; at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)) {
			cost := contract.Tokens(1 + rng.Float64()*mean*1.6)
			if rng.IntN(20) == 0 {
				cost = contract.Tokens(mean * 5)
			}
			use := 0.5 + rng.Float64()/2
			pick := rng.Float64()
			f.At(at, func() { f.Request(f.pick(s, pick), a.ID, cost, maxWait, use) })
		}
	}
}

// pick returns the entry that a load balancer would send a call to, among those that are
// up and not cut off. x in [0, 1) is random.
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

// scheduleFault schedules the fault.
func scheduleFault(f *Fleet, s Scenario) {
	from, to := warmUp+measuredTime/3, warmUp+2*measuredTime/3
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
			f.At(at, func() { f.SetCut(f.Entries[0], victim, true) })
			f.At(at+2*time.Second, func() { f.SetCut(f.Entries[0], victim, false) })
		}
	}
}

// quietZone cuts the victim's availability zone off from the other zones and the table,
// or ends that. Meanwhile callers use the other zones.
func (f *Fleet) quietZone(victim *Entry, quiet bool) {
	f.quiet = make(map[instance.Name]bool)
	for _, a := range f.Entries {
		inside := a.Identity.Place == victim.Identity.Place
		if !inside {
			continue
		}
		f.quiet[a.Identity.Name] = quiet
		f.SetStoreCut(a, quiet)
		for _, b := range f.Entries {
			if b.Identity.Place != victim.Identity.Place {
				f.SetCut(a, b, quiet)
			}
		}
	}
}

func (f *Fleet) report(s Scenario, accounts []contract.ClientAccount) Report {
	r := Report{Scenario: s, WorstServed: 1}
	for _, a := range accounts {
		t := f.Tally(a.ID)
		r.OverTokens = max(r.OverTokens, t.MaxExcess)
		r.Asked += t.Asked
		r.Wrongful += t.Wrongful()
		if t.IdealServed > 0 {
			r.WorstServed = min(r.WorstServed, float64(t.Served)/float64(t.IdealServed))
		}
	}
	r.WrongfulShare = float64(r.Wrongful) / float64(max(r.Asked, 1))
	r.MessagesPerRequest = float64(f.Messages) / float64(max(r.Asked, 1))
	r.RenewalsPerSecond = float64(f.Renewals) / float64(s.Entries) / measuredTime.Seconds()
	r.MicrosecondsToAdmit = float64(f.meter.Spent.Microseconds()) / float64(max(r.Asked, 1))
	return r
}
