// Package retry implements retry budgets: they bound the attempts beyond the first
// ones, so that a fault does not multiply the load. Entries and gateways
// charge their retries to it; backoff and the choice of an upstream are theirs. The
// limits of an entry are the defaults; those of a gateway come from its settings,
// reduced by a margin in package platform. A budget has no lock of its own: it lives in a shared table of rank RankStats.
package retry

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Options configure a budget; fields that are not positive get the defaults.
type Options struct {
	// Share is the number of retries earned by each first attempt.
	Share float64
	// FloorPerSecond and FloorBurst are the refill rate and the size of a token
	// bucket that allows some retries at any load. SetShare sets the part of it that is
	// this process's.
	FloorPerSecond, FloorBurst float64
	// MaxSaved bounds the unused retries earned by first attempts.
	MaxSaved float64
}

// Defaults of Options.
const (
	DefaultShare          = 0.1
	DefaultFloorPerSecond = 1
	DefaultFloorBurst     = 32
	DefaultMaxSaved       = 100
)

// Budget is a retry budget: retries earned by first attempts, and a token bucket that
// refills over time.
type Budget struct {
	options Options
	// saved holds the unused retries earned by first attempts. bucket holds the
	// tokens of the bucket that FloorPerSecond refills; ChargeWithoutCheck can make it
	// negative.
	saved, bucket float64
	// refilledAt is the time of the last refill of the bucket.
	refilledAt time.Time
	// askedAt is when a retry was last asked for.
	askedAt time.Time
	// share is this process's part of the bucket and of MaxSaved.
	share float64
	// shared is set once the share was above 0.
	shared bool
}

// NewBudget returns a budget with a full bucket that is not divided.
func NewBudget(o Options) *Budget {
	for _, option := range []struct {
		field *float64
		value float64
	}{
		{&o.Share, DefaultShare},
		{&o.FloorPerSecond, DefaultFloorPerSecond},
		{&o.FloorBurst, DefaultFloorBurst},
		{&o.MaxSaved, DefaultMaxSaved},
	} {
		if *option.field <= 0 {
			*option.field = option.value
		}
	}
	return &Budget{options: o, bucket: o.FloorBurst, share: 1}
}

// ChargeWithoutCheck charges an attempt that was made without a call of Allow. It may make the
// bucket negative, so that later retries are refused until it refills.
func (b *Budget) ChargeWithoutCheck() {
	if b.saved >= 1 {
		b.saved--
		return
	}
	b.bucket--
}

// SetShare sets the part, from 0 to 1, of the bucket and of MaxSaved that is this process's.
// The parts of all processes add up to at most 1. Call it at now whenever the part may have
// changed; the time before counts by the part that was set then.
func (b *Budget) SetShare(now time.Time, share float64) {
	b.refill(now)
	size := b.bucketSize()
	b.share = min(1, max(0, share))
	if !b.shared && b.share > 0 {
		// A process that just started has no share yet. Its bucket is full like a new one once
		// it has: the refill alone takes FloorBurst/FloorPerSecond seconds.
		b.bucket += max(0, b.bucketSize()-size)
		b.shared = true
	}
	b.bucket = min(b.bucket, b.bucketSize())
}

// bucketSize returns this process's part of FloorBurst. It is at least 1, because
// with less the bucket would never allow a retry.
func (b *Budget) bucketSize() float64 {
	return max(1, b.options.FloorBurst*b.share)
}

// RecordFirstAttempt records a first attempt, which earns Share of a retry.
func (b *Budget) RecordFirstAttempt() {
	b.saved = min(max(1, b.options.MaxSaved*b.share), b.saved+b.options.Share)
}

// Allow reports whether an attempt that ended in the refusal may be retried, and if
// so charges the retry to the budget. A request that ran or may have run is retried
// only if it is repeatable.
func (b *Budget) Allow(now time.Time, refusal *contract.Refusal, repeatable bool) bool {
	if refusal.Ran != contract.RanNo && !repeatable {
		return false
	}
	b.askedAt = now
	b.refill(now)
	switch {
	case b.saved >= 1:
		b.saved--
	case b.bucket >= 1:
		b.bucket--
	default:
		return false
	}
	return true
}

// idleAfter is how long a budget without retries is kept for a service that no longer
// exists. It is several times the window of a budget, so that a service that is deleted and
// created again gets no second one.
const idleAfter = time.Minute

// Idle reports whether no retry was asked for within idleAfter.
func (b *Budget) Idle(now time.Time) bool {
	return now.Sub(b.askedAt) > idleAfter
}

// refill adds the bucket's tokens for the time since the last refill.
func (b *Budget) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		earned := now.Sub(b.refilledAt).Seconds() * b.options.FloorPerSecond * b.share
		b.bucket = min(b.bucketSize(), b.bucket+earned)
	}
	if b.refilledAt.Before(now) {
		b.refilledAt = now
	}
}
