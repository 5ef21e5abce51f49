package progress

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

var testLimits = Limits{First: 2 * time.Second, Quiet: time.Second, Total: 5 * time.Second}

// endsAfter starts a call whose answer has parts at the given times, and returns how long its
// context lasts.
func endsAfter(t *testing.T, parts ...time.Duration) (lasts time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, call := Start(t.Context(), testLimits)
		defer call.End()
		for _, at := range parts {
			time.AfterFunc(at, func() { Report(ctx) })
		}
		<-ctx.Done()
		lasts = time.Since(began)
		if cause := context.Cause(ctx); !errors.Is(cause, ErrStalled) || !errors.Is(cause, context.DeadlineExceeded) {
			t.Errorf("cause %v", cause)
		}
	})
	return lasts
}

func every(gap time.Duration, n int) (out []time.Duration) {
	for i := range n {
		out = append(out, time.Duration(i+1)*gap)
	}
	return out
}

func TestLimits(t *testing.T) {
	for _, c := range []struct {
		name  string
		parts []time.Duration
		want  time.Duration
	}{
		{"no answer", nil, testLimits.First},
		{"begins late", []time.Duration{1900 * time.Millisecond}, 2900 * time.Millisecond},
		{"stalls", every(900*time.Millisecond, 3), 3700 * time.Millisecond},
		{"never ends", every(500*time.Millisecond, 100), 5500 * time.Millisecond},
	} {
		if got := endsAfter(t, c.parts...); got != c.want {
			t.Errorf("%s: ended after %v, want %v", c.name, got, c.want)
		}
	}
}

func TestBegun(t *testing.T) {
	ctx, call := Start(t.Context(), testLimits)
	if call.Begun() {
		t.Error("begun without a part")
	}
	Report(ctx)
	if !call.Begun() {
		t.Error("not begun with a part")
	}
	call.End()
	if ctx.Err() == nil {
		t.Error("a call that was ended goes on")
	}
	Report(ctx)
	Report(context.Background())
	var none *Call
	if none.Begun() {
		t.Error("an answer begins without a call")
	}
	none.End()
}

// TestCallsInACall checks that the parts of several answers keep the call going that consists of
// them.
func TestCallsInACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, call := Start(t.Context(), testLimits)
		defer call.End()
		for range 5 {
			inner, part := Start(ctx, testLimits)
			time.Sleep(900 * time.Millisecond)
			Report(inner)
			part.End()
		}
		if ctx.Err() != nil {
			t.Error("the call ended although its parts arrived")
		}
		_, part := Start(ctx, testLimits)
		defer part.End()
		time.Sleep(testLimits.Quiet)
		synctest.Wait()
		if ctx.Err() == nil {
			t.Error("the call goes on without a part")
		}
	})
}
