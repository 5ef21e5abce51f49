// Package retry bounds how many attempts an entry makes beyond the first ones,
// so that a fault does not turn into a multiple of the load. A budget has no
// lock; it lives in a shared table of rank RankStats.
package retry

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Options configure a budget; zero fields get the defaults.
type Options struct {
	// Share is the retries allowed for each first attempt.
	Share float64
	// FloorPerSecond and FloorBurst allow some retries at any load.
	FloorPerSecond, FloorBurst float64
	// MaxSaved bounds the retries that may be saved up.
	MaxSaved float64
}

// Defaults of Options.
const (
	DefaultShare          = 0.1
	DefaultFloorPerSecond = 1
	DefaultFloorBurst     = 32
	DefaultMaxSaved       = 100
)

// Budget is one entry's allowance of retries.
type Budget struct {
	options Options
	// saved comes from first attempts, floor from the passing of time.
	saved, floor float64
	at           time.Time
	// among is the number of processes that share the floor.
	among float64
}

// NewBudget returns a budget whose floor is full.
func NewBudget(o Options) *Budget {
	for _, d := range []struct {
		field *float64
		value float64
	}{
		{&o.Share, DefaultShare},
		{&o.FloorPerSecond, DefaultFloorPerSecond},
		{&o.FloorBurst, DefaultFloorBurst},
		{&o.MaxSaved, DefaultMaxSaved},
	} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	return &Budget{options: o, floor: o.FloorBurst, among: 1}
}

// Spend takes an attempt from the budget that was not asked for before it was
// made. What is missing is made up for by later ones.
func (b *Budget) Spend() {
	if b.saved >= 1 {
		b.saved--
		return
	}
	b.floor--
}

// Among divides the floor and what is saved between a number of processes.
func (b *Budget) Among(processes int) {
	b.among = float64(max(1, processes))
	b.floor = min(b.floor, b.floorBurst())
}

// floorBurst is the most that the floor saves here: one retry at least, else a
// part of it would never be worth a whole one.
func (b *Budget) floorBurst() float64 {
	return max(1, b.options.FloorBurst/b.among)
}

// First records a first attempt.
func (b *Budget) First() {
	b.saved = min(max(1, b.options.MaxSaved/b.among), b.saved+b.options.Share)
}

// Allow reports whether an attempt that ended in a refusal may be followed by
// another one, and takes it from the budget. Only what did not run, or may run
// again, is retried.
func (b *Budget) Allow(now time.Time, refusal *contract.Refusal, repeatable bool) bool {
	if refusal.Ran != contract.RanNo && !repeatable {
		return false
	}
	b.refill(now)
	switch {
	case b.saved >= 1:
		b.saved--
	case b.floor >= 1:
		b.floor--
	default:
		return false
	}
	return true
}

// refill adds what the floor earned since the last call.
func (b *Budget) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		earned := now.Sub(b.at).Seconds() * b.options.FloorPerSecond / b.among
		b.floor = min(b.floorBurst(), b.floor+earned)
	}
	if b.at.Before(now) {
		b.at = now
	}
}
