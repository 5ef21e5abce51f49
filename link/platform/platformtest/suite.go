// Package platformtest is the conformance test suite for implementations of the
// interfaces of package platform. Each implementation calls Run from its tests; the
// faults come from the stand-in behind it.
package platformtest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/internal/standin/memplatform"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// Implementation is an implementation under test and the stand-in that serves it, in
// which the suite sets faults.
type Implementation struct {
	Table     platform.Table
	Objects   platform.Objects
	Instances platform.Instances
	Weights   platform.Weights
	Standin   *memplatform.Platform
}

// Run runs the suite. fresh returns an implementation with empty services; each
// test calls it once.
func Run(t *testing.T, fresh func(t *testing.T) Implementation) {
	t.Run("table", func(t *testing.T) { testTable(t, fresh(t)) })
	t.Run("one of many writers wins", func(t *testing.T) { testConcurrentCommits(t, fresh(t)) })
	t.Run("objects", func(t *testing.T) { testObjects(t, fresh(t)) })
	t.Run("weights", func(t *testing.T) { testWeights(t, fresh(t)) })
	for _, c := range faultCases {
		t.Run("fault/"+c.name, func(t *testing.T) { testFault(t, fresh(t), c) })
	}
}

func set(key, value string, version uint64) platform.Transaction {
	return platform.Transaction{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes:     []platform.Write{{Key: key, Value: []byte(value)}},
	}
}

func testTable(t *testing.T, s Implementation) {
	ctx := t.Context()
	for _, key := range []string{"b/2", "a/1", "b/1", "b/3", "c/1"} {
		check(t, s.Table.Commit(ctx, set(key, "value of "+key, 0)), nil)
	}
	check(t, s.Table.Commit(ctx, set("a/1", "other", 0)), platform.ErrConflict)
	rows, err := s.Table.Get(ctx, "c/1", "absent", "a/1")
	check(t, err, nil)
	if len(rows) != 2 || rows[0].Key != "c/1" || string(rows[1].Value) != "value of a/1" {
		t.Errorf("got rows %v", rows)
	}
	first := rows[1].Version
	check(t, s.Table.Commit(ctx, set("a/1", "second", first)), nil)
	check(t, s.Table.Commit(ctx, set("a/1", "third", first)), platform.ErrConflict)
	both := platform.Transaction{
		Conditions: []platform.Condition{{Key: "a/1", Version: first}},
		Writes:     []platform.Write{{Key: "b/1", Delete: true}, {Key: "d/1"}},
	}
	check(t, s.Table.Commit(ctx, both), platform.ErrConflict)
	scans := []struct {
		prefix, after string
		limit         int
		want          string
	}{
		{"b/", "", 10, "[b/1 b/2 b/3]"},
		{"b/", "b/1", 1, "[b/2]"},
		{"b/", "b/3", 10, "[]"},
		{"", "b/2", 10, "[b/3 c/1]"},
		{"b/", "a/9", 2, "[b/1 b/2]"},
	}
	for _, c := range scans {
		rows, err := s.Table.Scan(ctx, c.prefix, c.after, c.limit)
		check(t, err, nil)
		if got := fmt.Sprint(keys(rows)); got != c.want {
			t.Errorf("scan of %q after %q: got %s, want %s", c.prefix, c.after, got, c.want)
		}
	}
	testVersionsAreNotReused(t, s)
}

// testVersionsAreNotReused checks that a row that is deleted and created again has
// a new version.
func testVersionsAreNotReused(t *testing.T, s Implementation) {
	rows, err := s.Table.Get(t.Context(), "c/1")
	check(t, err, nil)
	old := rows[0].Version
	remove := platform.Transaction{Writes: []platform.Write{{Key: "c/1", Delete: true}}}
	check(t, s.Table.Commit(t.Context(), remove), nil)
	check(t, s.Table.Commit(t.Context(), set("c/1", "again", 0)), nil)
	check(t, s.Table.Commit(t.Context(), set("c/1", "late", old)), platform.ErrConflict)
}

func testConcurrentCommits(t *testing.T, s Implementation) {
	const writers = 16
	var won atomic.Int32
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			err := s.Table.Commit(t.Context(), set("claim", fmt.Sprint(i), 0))
			if err == nil {
				won.Add(1)
			} else if !errors.Is(err, platform.ErrConflict) {
				t.Errorf("unexpected error %v", err)
			}
		})
	}
	wg.Wait()
	if won.Load() != 1 {
		t.Errorf("%d writers won", won.Load())
	}
}

func testObjects(t *testing.T, s Implementation) {
	ctx := t.Context()
	bodies := map[string]string{"snap/1": "one", "snap/2 ü?&/..": "two", "other": ""}
	for name, body := range bodies {
		check(t, s.Objects.Put(ctx, name, []byte(body)), nil)
	}
	for name, want := range bodies {
		body, err := s.Objects.Get(ctx, name)
		check(t, err, nil)
		if string(body) != want {
			t.Errorf("object %q is %q, want %q", name, body, want)
		}
	}
	names, err := s.Objects.List(ctx, "snap/")
	check(t, err, nil)
	if fmt.Sprint(names) != "[snap/1 snap/2 ü?&/..]" {
		t.Errorf("got names %v", names)
	}
	check(t, s.Objects.Delete(ctx, "snap/1"), nil)
	check(t, s.Objects.Delete(ctx, "snap/1"), nil)
	_, err = s.Objects.Get(ctx, "snap/1")
	check(t, err, platform.ErrNotFound)
}

func testWeights(t *testing.T, s Implementation) {
	const size = 200_000
	s.Standin.Weights.SetSize("model", size)
	body, err := s.Weights.Fetch(t.Context(), "model")
	check(t, err, nil)
	defer body.Close()
	got, err := io.ReadAll(body)
	check(t, err, nil)
	if !bytes.Equal(got, make([]byte, size)) {
		t.Errorf("got %d bytes", len(got))
	}
	_, err = s.Weights.Fetch(t.Context(), "absent")
	check(t, err, platform.ErrNotFound)
}

// faultCase is a fault and the errors that reads and writes must return under it.
type faultCase struct {
	name  string
	fault func(p *memplatform.Platform)
	// timeout is the caller's timeout.
	timeout     callerTimeout
	read, write error
	// applied is whether the write must take effect, also if it returns an error.
	applied bool
}

// callerTimeout is when the caller's timeout ends; 0 means that it does not.
type callerTimeout int

const (
	// expiredBefore ends before the call, expiresDuring once the service admitted the call and
	// before it takes effect.
	expiredBefore callerTimeout = iota + 1
	expiresDuring
)

const (
	slowDelay = 300 * time.Millisecond
	// lateWriteTimeout bounds the wait for a write that takes effect after its caller gave up.
	lateWriteTimeout = 10 * time.Second
)

var faultCases = []faultCase{
	{name: "none", fault: func(*memplatform.Platform) {}, applied: true},
	{name: "down", fault: func(p *memplatform.Platform) { p.Store.SetDown(true) },
		read: platform.ErrUnavailable, write: platform.ErrUnavailable},
	{name: "response lost", fault: func(p *memplatform.Platform) { p.Store.LoseAnswers(1) },
		write: platform.ErrOutcomeUnknown, applied: true},
	{name: "request lost", fault: func(p *memplatform.Platform) { p.Store.LoseRequests(1) },
		write: platform.ErrOutcomeUnknown},
	{name: "slow", fault: func(p *memplatform.Platform) { p.Store.SetSlow(slowDelay / 6) }, applied: true},
	{name: "slower than the caller's timeout", timeout: expiresDuring,
		fault: func(p *memplatform.Platform) { p.Store.SetSlow(slowDelay) },
		read:  platform.ErrUnavailable, write: platform.ErrOutcomeUnknown, applied: true},
	{name: "caller canceled before the call", timeout: expiredBefore, fault: func(*memplatform.Platform) {},
		read: platform.ErrUnavailable, write: platform.ErrUnavailable},
	{name: "throttled", fault: func(p *memplatform.Platform) {
		p.Store.SetRates(1, 1)
		_, _ = p.Table.Get(context.Background())
		_ = p.Table.Commit(context.Background(), platform.Transaction{})
	}, read: platform.ErrThrottled, write: platform.ErrThrottled},
}

func testFault(t *testing.T, s Implementation, c faultCase) {
	c.fault(s.Standin)
	withTimeout := func(f func(ctx context.Context) error) error {
		ctx, cancel := t.Context(), context.CancelFunc(func() {})
		switch c.timeout {
		case expiredBefore:
			ctx, cancel = context.WithTimeout(ctx, -1)
		case expiresDuring:
			ctx, cancel = timeoutOnceAdmitted(ctx, s.Standin)
		}
		defer cancel()
		return f(ctx)
	}
	check(t, withTimeout(func(ctx context.Context) error {
		_, err := s.Table.Get(ctx, "row")
		return err
	}), c.read)
	check(t, withTimeout(func(ctx context.Context) error { return s.Table.Commit(ctx, set("row", "x", 0)) }), c.write)
	clearFaults(s.Standin)
	rows, err := s.Table.Get(t.Context(), "row")
	check(t, err, nil)
	for end := time.Now().Add(lateWriteTimeout); c.timeout == expiresDuring && len(rows) == 0 && time.Now().Before(end); {
		time.Sleep(slowDelay / 10)
		rows, err = s.Table.Get(t.Context(), "row")
		check(t, err, nil)
	}
	if got := len(rows) == 1; got != c.applied {
		t.Errorf("applied: %v, want %v", got, c.applied)
	}
}

// timedOut is a context whose error is that of an expired deadline once its parent ends.
type timedOut struct{ context.Context }

// Err implements context.Context.
func (c timedOut) Err() error {
	if c.Context.Err() != nil {
		return context.DeadlineExceeded
	}
	return nil
}

// timeoutOnceAdmitted returns a context that ends once the service has admitted a call. A
// timeout from the start of the call would depend on when the call reaches the service: a
// write that does not reach it in time has no effect.
func timeoutOnceAdmitted(parent context.Context, p *memplatform.Platform) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	p.Store.SetOnAdmit(cancel)
	return timedOut{ctx}, func() {
		p.Store.SetOnAdmit(nil)
		cancel()
	}
}

func clearFaults(p *memplatform.Platform) {
	p.Store.SetDown(false)
	p.Store.SetSlow(0)
	p.Store.LoseAnswers(0)
	p.Store.LoseRequests(0)
	p.Store.SetRates(0, 0)
}

// check fails the test unless err wraps want, or is nil if want is nil.
func check(t *testing.T, err, want error) {
	t.Helper()
	if (want == nil && err != nil) || !errors.Is(err, want) {
		t.Errorf("got error %v, want %v", err, want)
	}
}

func keys(rows []platform.Row) []string {
	out := []string{}
	for _, row := range rows {
		out = append(out, row.Key)
	}
	return out
}
