package memplatform

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// Always as the count of LoseAnswers or LoseRequests applies the fault until it is
// set to 0.
const Always = -1

// burstDivisor sets the burst of a rate limit: the calls of a second divided by it.
const burstDivisor = 10

// Counts are the calls that a service has admitted. A call counts as one read or
// one write, independent of the number of rows in it.
type Counts struct {
	Reads, Writes int64
	// Throttled calls were refused by the rate limit and are in no other count.
	Throttled int64
}

// Faults injects faults and rate limits into the calls of one service. The zero
// value has no fault and no limit. It is safe for concurrent use.
type Faults struct {
	mu           sync.Mutex
	down         bool
	slow         time.Duration
	loseAnswers  int
	loseRequests int
	reads        *rate.Limiter
	writes       *rate.Limiter
	counts       Counts
	onAdmit      func()
}

// SetDown makes every call fail with ErrUnavailable.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetSlow delays every call by d. A write whose caller gives up during the delay
// still takes effect.
func (f *Faults) SetSlow(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow = d
}

// SetOnAdmit sets a function that is called after a read or write was admitted and before an
// injected delay begins; nil for none.
func (f *Faults) SetOnAdmit(onAdmit func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onAdmit = onAdmit
}

// admitted calls the function set by SetOnAdmit.
func (f *Faults) admitted() {
	f.mu.Lock()
	onAdmit := f.onAdmit
	f.mu.Unlock()
	if onAdmit != nil {
		onAdmit()
	}
}

// LoseAnswers makes the next n writes take effect but return ErrOutcomeUnknown.
func (f *Faults) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseAnswers = n
}

// LoseRequests makes the next n writes return ErrOutcomeUnknown without effect.
func (f *Faults) LoseRequests(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseRequests = n
}

// SetRates limits reads and writes per second; 0 means no limit. Calls over a limit
// fail with ErrThrottled.
func (f *Faults) SetRates(reads, writes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads = newLimiter(reads)
	f.writes = newLimiter(writes)
}

// Counts returns a copy of the counters.
func (f *Faults) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/burstDivisor))
}

// read runs apply as a read. An injected delay lasts at most platform.CallTimeout.
func (f *Faults) read(ctx context.Context, apply func() error) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	slow, err := f.admitRead()
	if err != nil {
		return err
	}
	f.admitted()
	if err := wait(ctx, slow); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return apply()
}

// write runs apply as a write within platform.CallTimeout. If ctx ends during the
// delay, apply still runs later.
func (f *Faults) write(ctx context.Context, apply func() error) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	w, err := f.admitWrite()
	if err != nil {
		return err
	}
	f.admitted()
	if w.dropped {
		return fmt.Errorf("%w: request dropped", platform.ErrOutcomeUnknown)
	}
	if w.slow > 0 {
		err = applyLate(ctx, w.slow, apply)
	} else {
		err = apply()
	}
	if w.loseAnswer {
		return fmt.Errorf("%w: answer dropped", platform.ErrOutcomeUnknown)
	}
	return err
}

// applyLate runs apply after d. If ctx ends before, it returns ErrOutcomeUnknown and
// apply still runs.
func applyLate(ctx context.Context, d time.Duration, apply func() error) error {
	done := make(chan error, 1)
	time.AfterFunc(d, func() { done <- apply() })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, ctx.Err())
	}
}

// writePlan holds the faults that apply to one write: a dropped write has no
// effect, and one with loseAnswer takes effect but returns an error.
type writePlan struct {
	slow       time.Duration
	dropped    bool
	loseAnswer bool
}

func (f *Faults) admitRead() (slow time.Duration, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.admit(f.reads); err != nil {
		return 0, err
	}
	f.counts.Reads++
	return f.slow, nil
}

func (f *Faults) admitWrite() (writePlan, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.admit(f.writes); err != nil {
		return writePlan{}, err
	}
	f.counts.Writes++
	plan := writePlan{slow: f.slow}
	plan.dropped = consume(&f.loseRequests)
	if !plan.dropped {
		plan.loseAnswer = consume(&f.loseAnswers)
	}
	return plan, nil
}

// admit refuses a call if the service is down or the rate limit is exceeded; the
// caller holds mu.
func (f *Faults) admit(limit *rate.Limiter) error {
	if f.down {
		return fmt.Errorf("%w: down", platform.ErrUnavailable)
	}
	if limit != nil && !limit.Allow() {
		f.counts.Throttled++
		return platform.ErrThrottled
	}
	return nil
}

// consume reports whether a fault with n uses left applies, and uses one of them. A
// negative n is without limit.
func consume(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// wait returns nil after d, or the error of ctx if that ends first.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
