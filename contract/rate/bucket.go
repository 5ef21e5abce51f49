package rate

import (
	"math"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// ClockDrift is the maximum difference between the rates of two clocks, as a
// fraction. Buckets refill slower by it, so that a fast clock does not exceed
// the rate.
const ClockDrift = 0.001

// bucket is this entry's token bucket for one account. Debt makes it negative.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// refill adds the tokens accrued since the last update, up to limit.
func (b *bucket) refill(now time.Time, perSecond, limit float64) {
	passed := now.Sub(b.updatedAt).Seconds()
	if passed > 0 {
		b.tokens += passed * perSecond * (1 - ClockDrift)
		b.updatedAt = now
	}
	b.tokens = math.Min(b.tokens, limit)
}

// add adds tokens up to limit and returns the excess.
func (b *bucket) add(tokens, limit float64) (overflow float64) {
	sum := b.tokens + tokens
	b.tokens = math.Min(sum, math.Max(limit, b.tokens))
	return sum - b.tokens
}

// refillTime returns how long a bucket that holds the given tokens takes to
// reach cost; 0 if it holds enough or perSecond is not positive.
func refillTime(cost contract.Tokens, held, perSecond float64) time.Duration {
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
