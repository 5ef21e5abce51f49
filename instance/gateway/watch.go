package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
)

// Times of the watches of the registry.
const (
	// WatchTimeout and minWatchTimeout bound how long one watch waits for changes.
	WatchTimeout    = 10 * time.Second
	minWatchTimeout = 500 * time.Millisecond
	// WatchPause is the pause after a change of the list of upstreams, so that
	// changes in quick succession need one watch: each answered watch is billed.
	// It is short because a change must be in force within two seconds.
	WatchPause = 300 * time.Millisecond
	// WatchSlack is added to the timeout of a watch for the answer to arrive.
	WatchSlack = 700 * time.Millisecond
)

// ChangeBounds are the times within which changes in the registry must be in force.
type ChangeBounds struct {
	// Config and Upstreams are those of the configuration and of the list of upstreams,
	// counted from the registry's acknowledgement; 0 for no bound.
	Config, Upstreams time.Duration
	// Settle is how long after an outage of the registry, or of connections to it, they hold
	// again. A change that was acknowledged before that must be in force then, or after its
	// bound if that is later.
	Settle time.Duration
}

// configWatchTimeout returns how long a watch of the configuration may wait. The registry loses
// a watch that it gets during an outage, and answers the next read as if nothing had happened:
// only the timeout of the watch shows it. So it ends, and the read after it is answered, before
// the first change after the outage is due. lastRead is the time that the last configuration
// took to arrive and be decoded.
func (b ChangeBounds) configWatchTimeout(lastRead time.Duration) time.Duration {
	return watchTimeout(b.Config, b.Settle, max(ReadTimeout, readMargin*lastRead/100))
}

// upstreamsWatchTimeout is like configWatchTimeout for the list of upstreams, of which a read
// brings only the changes. A removal may be acknowledged right after connections went silent,
// since the registry itself is sound.
func (b ChangeBounds) upstreamsWatchTimeout() time.Duration {
	return watchTimeout(b.Upstreams, b.Settle, ReadTimeout)
}

// readMargin is the time that is kept for the next configuration, in percent of the last one.
const readMargin = 150

// watchTimeout returns how long a watch may wait, WatchTimeout if bound is 0. A change that is
// acknowledged right after the watch was lost is due after the longer of bound and settle. In
// that time the watch ends, WatchSlack later, and the read after it takes the time read, which
// includes decoding and the wait of steps for a worker: the read itself ends after WatchSlack.
func watchTimeout(bound, settle, read time.Duration) time.Duration {
	if bound <= 0 {
		return WatchTimeout
	}
	return min(WatchTimeout, max(minWatchTimeout, max(bound, settle)-WatchSlack-read))
}

// unansweredError means that a watch got no answer, not even that nothing has changed. It may
// have been lost in an outage that is over, or with its connection alone; a read shows whether
// the registry is down now.
type unansweredError struct {
	// waited is how long the watch lasted.
	waited time.Duration
	err    error
}

// Error implements error.
func (e *unansweredError) Error() string {
	return fmt.Sprintf("gateway: no answer to a watch after %v: %v", e.waited.Round(time.Millisecond), e.err)
}

// Unwrap returns the error of the call.
func (e *unansweredError) Unwrap() error { return e.err }

// pollAfter reads once a watch got no answer: at once, or after ReadRetryDelay from the send of a
// watch that broke before, so that a registry which breaks all of them is not asked without end.
func (g *Gateway) pollAfter(h *table.HeldLocks, lost *unansweredError, poll pool.Step) []pool.Effect {
	if lost.waited < ReadRetryDelay {
		g.pool.After(ReadRetryDelay-lost.waited, poll)
		return nil
	}
	return poll(h)
}

// wholeReadError returns the error of a read that has no starting version. Without the history
// that it does not need, the registry has contradicted itself: the read is tried again after a
// pause like after any failure, not at once.
func wholeReadError(err error) error {
	if errors.Is(err, registry.ErrHistoryGone) {
		return fmt.Errorf("gateway: whole read: %v", err)
	}
	return err
}

// watchError returns the error of a call that waited for changes for the time waited: an
// unansweredError if its context ended before the answer or its connection broke.
func watchError(ctx context.Context, waited time.Duration, err error) error {
	if err != nil && (errors.Is(context.Cause(ctx), context.DeadlineExceeded) || errors.Is(err, registry.ErrNoAnswer)) {
		return &unansweredError{waited, err}
	}
	return err
}
