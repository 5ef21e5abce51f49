package memplatform

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// Always makes LoseAnswers and LoseRequests hold until they are set to 0.
const Always = -1

// burstPart is the part of a second's calls that may come at once.
const burstPart = 10

// Counts are the calls that a service took since it was made. One call is one
// read or one write, whatever the number of rows in it.
type Counts struct {
	Reads, Writes int64
	// Throttled calls were refused by the rate limit and are in no other count.
	Throttled int64
}

// Faults stands before one service and makes it fail as told. The zero value
// has no fault and no limit.
type Faults struct {
	mu           sync.Mutex
	down         bool
	slow         time.Duration
	loseAnswers  int
	loseRequests int
	reads        *rate.Limiter
	writes       *rate.Limiter
	counts       Counts
}

// SetDown makes every call fail with ErrUnavailable.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetSlow makes every call take d longer. A write whose caller gives up in that
// time still takes effect.
func (f *Faults) SetSlow(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow = d
}

// LoseAnswers makes the next n writes take effect and then lose their answers.
func (f *Faults) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseAnswers = n
}

// LoseRequests makes the next n writes get no answer without taking effect.
func (f *Faults) LoseRequests(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseRequests = n
}

// SetRates limits reads and writes a second; 0 means no limit.
func (f *Faults) SetRates(reads, writes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads = limiter(reads)
	f.writes = limiter(writes)
}

// Counts gives the calls so far.
func (f *Faults) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/burstPart))
}

// read runs apply as a read within platform.CallTimeout.
func (f *Faults) read(ctx context.Context, apply func() error) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	slow, err := f.admitRead()
	if err != nil {
		return err
	}
	if err := wait(ctx, slow); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return apply()
}

// write runs apply as a write within platform.CallTimeout. When ctx ends first,
// apply still runs.
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
	if w.dropped {
		return fmt.Errorf("%w: request dropped", platform.ErrLostAnswer)
	}
	if w.slow > 0 {
		err = applyLate(ctx, w.slow, apply)
	} else {
		err = apply()
	}
	if w.mute {
		return fmt.Errorf("%w: answer dropped", platform.ErrLostAnswer)
	}
	return err
}

// applyLate runs apply after d, whether or not ctx ends before.
func applyLate(ctx context.Context, d time.Duration, apply func() error) error {
	done := make(chan error, 1)
	time.AfterFunc(d, func() { done <- apply() })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", platform.ErrLostAnswer, ctx.Err())
	}
}

// writeFate is what happens to one write.
type writeFate struct {
	slow    time.Duration
	dropped bool
	mute    bool
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

func (f *Faults) admitWrite() (writeFate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.admit(f.writes); err != nil {
		return writeFate{}, err
	}
	f.counts.Writes++
	fate := writeFate{slow: f.slow}
	fate.dropped = take(&f.loseRequests)
	if !fate.dropped {
		fate.mute = take(&f.loseAnswers)
	}
	return fate, nil
}

// admit refuses a call of a service that is down or over its rate; the caller
// holds mu.
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

// take uses up one of n; a negative n lasts.
func take(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

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
