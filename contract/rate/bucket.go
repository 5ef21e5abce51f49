package rate

import (
	"math"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// ClockDrift is how far two clocks may run apart, as a fraction. Tokens accrue
// slower by it, so that a fast clock does not pass the rate.
const ClockDrift = 0.001

// bucket is one entry's part of one account's tokens. Debt makes it negative.
type bucket struct {
	tokens float64
	at     time.Time
}

// accrue adds what came since the last call, up to the limit.
func (b *bucket) accrue(now time.Time, perSecond, limit float64) {
	passed := now.Sub(b.at).Seconds()
	if passed > 0 {
		b.tokens += passed * perSecond * (1 - ClockDrift)
		b.at = now
	}
	b.tokens = math.Min(b.tokens, limit)
}

// give adds tokens up to the limit and returns what did not fit.
func (b *bucket) give(tokens, limit float64) (over float64) {
	sum := b.tokens + tokens
	b.tokens = math.Min(sum, math.Max(limit, b.tokens))
	return sum - b.tokens
}

// until is how long the bucket needs to hold the cost at the given rate.
func until(cost contract.Tokens, held, perSecond float64) time.Duration {
	missing := float64(cost) - held
	if missing <= 0 {
		return 0
	}
	if perSecond <= 0 {
		return 0
	}
	seconds := missing / (perSecond * (1 - ClockDrift))
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
