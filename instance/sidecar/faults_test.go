package sidecar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
)

// fakeEngine runs decodes until it crashes or they are canceled. It ignores fencing
// numbers. It also serves as the FenceSource.
type fakeEngine struct {
	link.Engine
	mu    sync.Mutex
	state link.EngineState
	// down refuses connections, as an engine that does not run.
	down bool
	// frozen accepts requests and answers none.
	frozen bool
	// stalled gives new decodes no output, as if their KV cache did not arrive.
	stalled bool
	// crash is closed to break off the running decodes.
	crash chan struct{}
	// held are the calls that hold memory.
	held map[contract.CallID]bool
	// late is a delayed order, which takes effect after the next one.
	late *link.Order
}

func (f *fakeEngine) Decode(ctx context.Context, d link.Decode, emit func(contract.Chunk) error) error {
	f.mu.Lock()
	if f.down {
		f.mu.Unlock()
		return link.ErrNotSent
	}
	f.held[d.Call] = true
	crash, stalled := f.crash, f.stalled
	f.mu.Unlock()
	if !stalled {
		_ = emit(contract.Chunk{Texts: []string{"a"}})
	}
	select {
	case <-crash:
		return link.ErrInterrupted
	case <-ctx.Done():
		// The link reports a call that was canceled on this side in this way.
		return fmt.Errorf("%w: %w", link.ErrInterrupted, ctx.Err())
	}
}

func (f *fakeEngine) Resume(context.Context, contract.CallID, contract.Tokens, func(contract.Chunk) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return link.ErrNotSent
	}
	return link.ErrUnknownCall
}

func (f *fakeEngine) Cancel(_ context.Context, call contract.CallID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.held, call)
	return nil
}

func (f *fakeEngine) State(ctx context.Context) (link.EngineState, error) {
	if ctx.Err() != nil {
		return link.EngineState{}, fmt.Errorf("%w: %w", link.ErrNotSent, ctx.Err())
	}
	f.mu.Lock()
	if f.frozen {
		f.mu.Unlock()
		<-ctx.Done()
		return link.EngineState{}, ctx.Err()
	}
	defer f.mu.Unlock()
	if f.down {
		return link.EngineState{}, link.ErrNotSent
	}
	return f.state, nil
}

func (f *fakeEngine) Load(context.Context) (link.EngineLoad, error) { return link.EngineLoad{}, nil }

func (f *fakeEngine) Order(_ context.Context, o link.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Role = o.Role
	if f.late != nil {
		f.state.Role, f.late = f.late.Role, nil
	}
	return nil
}

// restart crashes the engine and restarts it at once, in a new epoch.
func (f *fakeEngine) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Epoch++
	clear(f.held)
	close(f.crash)
	f.crash = make(chan struct{})
}

func (f *fakeEngine) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeEngine) holding() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.held)
}

func (f *fakeEngine) role() upstream.Role {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Role
}

// HighestFence implements FenceSource: the table's highest number is 5.
func (f *fakeEngine) HighestFence(context.Context, upstream.ID) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, errors.New("store down")
	}
	return 5, nil
}

var entryID = instance.Identity{Name: "e", Incarnation: 1}

// testbed is a sidecar beside a fake engine. Its methods act as the entry entryID.
type testbed struct {
	t      *testing.T
	s      *Sidecar
	engine *fakeEngine
}

// reserve reserves a slot and returns the code of the refusal, or "".
func (b *testbed) reserve(name contract.RequestID, fp contract.Fingerprint) contract.Code {
	call := contract.CallID{Request: name, Attempt: 1}
	reply, err := b.s.Reserve(b.t.Context(), &peer.ReserveRequest{Header: peer.Header{From: entryID}, Call: call, Fingerprint: fp, Blocks: 1, ImportBlocks: 1})
	if err != nil {
		b.t.Fatal(err)
	}
	return codeOf(reply.Refusal)
}

func codeOf(r *contract.Refusal) contract.Code {
	if r == nil {
		return ""
	}
	return r.Code
}

// decode reserves a slot and starts a decode; it fails the test if either is refused.
func (b *testbed) decode(name contract.RequestID, fp contract.Fingerprint) {
	call := contract.CallID{Request: name, Attempt: 1}
	if code := b.reserve(name, fp); code != "" {
		b.t.Fatalf("%s was refused: %s", name, code)
	}
	reply, err := b.s.Decode(b.t.Context(), &peer.DecodeRequest{Header: peer.Header{From: entryID}, Call: call})
	if err != nil || reply.Refusal != nil {
		b.t.Fatal(err, reply.Refusal)
	}
	synctest.Wait()
}

// poll returns the code of a call's failure, or "".
func (b *testbed) poll(name contract.RequestID) contract.Code {
	call := contract.CallID{Request: name, Attempt: 1}
	reply, err := b.s.Poll(b.t.Context(), &peer.PollRequest{Header: peer.Header{From: entryID}, Calls: []peer.Ack{{Call: call}}})
	if err != nil {
		b.t.Fatal(err)
	}
	for _, c := range reply.Chunks {
		if c.Call == call && c.Failure != nil {
			return c.Failure.Code
		}
	}
	return ""
}

// crashTwice crashes the engine twice while the request is running.
func (b *testbed) crashTwice(fp contract.Fingerprint) {
	for _, name := range []contract.RequestID{"c1", "c2"} {
		b.decode(name, fp)
		b.engine.restart()
		time.Sleep(time.Second)
	}
}

// cancel cancels a call on behalf of its entry.
func (b *testbed) cancel(name contract.RequestID) {
	q := &peer.CancelRequest{Header: peer.Header{From: entryID}, Calls: []contract.CallID{{Request: name, Attempt: 1}}}
	if _, err := b.s.Cancel(b.t.Context(), q); err != nil {
		b.t.Fatal(err)
	}
}

// freeze freezes the engine for three seconds while the entry polls for a call, and
// returns the code of that call's failure, or "".
func (b *testbed) freeze(name contract.RequestID) (code contract.Code) {
	b.engine.set(func() { b.engine.frozen = true })
	for range 6 {
		time.Sleep(500 * time.Millisecond)
		code = cmp.Or(code, b.poll(name))
	}
	b.engine.set(func() { b.engine.frozen = false })
	time.Sleep(time.Second)
	return code
}

// order sends an order with a fencing number and the rest of its issuer's lease, and
// returns the code of the refusal, or "".
func (b *testbed) order(fence uint64, lease time.Duration) contract.Code {
	o := link.Order{Kind: link.OrderChangeRole, Fence: fence, Role: upstream.RoleDecode}
	reply, err := b.s.Order(b.t.Context(), &peer.OrderRequest{Header: peer.Header{From: entryID}, Order: o, LeaseLeft: lease})
	if err != nil {
		b.t.Fatal(err)
	}
	return codeOf(reply.Refusal)
}

// TestFaults checks how a sidecar treats calls and orders when the engine crashes,
// hangs or is unreachable, a transfer stalls, or a caller or entry goes away.
func TestFaults(t *testing.T) {
	const ok = contract.Code("")
	cases := []struct {
		name string
		run  func(b *testbed) any
		want any
	}{
		{"a request alone at a crash may run again", func(b *testbed) any {
			b.decode("r1", 1)
			b.engine.restart()
			time.Sleep(time.Second)
			return b.reserve("r2", 1)
		}, ok},
		{"a request at two crashes is quarantined", func(b *testbed) any {
			b.crashTwice(1)
			return b.reserve("r3", 1)
		}, contract.CodeQuarantined},
		{"one of two suspects may run again", func(b *testbed) any {
			b.decode("r1", 1)
			b.decode("r2", 2)
			b.engine.restart()
			time.Sleep(time.Second)
			return b.reserve("r3", 1)
		}, ok},
		{"two suspects may not run together", func(b *testbed) any {
			b.decode("r1", 1)
			b.decode("r2", 2)
			b.engine.restart()
			time.Sleep(time.Second)
			b.reserve("r3", 1)
			return b.reserve("r4", 2)
		}, contract.CodeOverCapacity},
		{"a call interrupted by a crash fails", func(b *testbed) any {
			b.decode("r1", 1)
			b.engine.restart()
			time.Sleep(time.Second)
			return b.poll("r1")
		}, contract.CodeUpstreamFailed},
		{"a quarantine learned from another sidecar applies", func(b *testbed) any {
			other := newTestbed(b.t)
			other.crashTwice(1)
			b.s.learnQuarantine(table.NewHeldLocks(), other.s.header())
			return b.reserve("r2", 1)
		}, contract.CodeQuarantined},
		{"an unreachable engine gets no work", func(b *testbed) any {
			b.engine.set(func() { b.engine.down = true })
			time.Sleep(2 * time.Second)
			return b.reserve("r1", 1)
		}, contract.CodeOverCapacity},
		{"a call interrupted by an engine's death counts as run", func(b *testbed) any {
			b.decode("r1", 1)
			b.engine.set(func() { b.engine.down = true; close(b.engine.crash) })
			time.Sleep(200 * time.Millisecond)
			return b.poll("r1")
		}, contract.CodeUpstreamFailed},
		{"the first interrupted call stops new work", func(b *testbed) any {
			b.decode("r1", 1)
			b.engine.set(func() { b.engine.down = true; close(b.engine.crash) })
			time.Sleep(200 * time.Millisecond)
			return b.reserve("r2", 2)
		}, contract.CodeOverCapacity},
		{"the first call that cannot be sent stops new work", func(b *testbed) any {
			b.engine.set(func() { b.engine.down = true })
			b.decode("r1", 1)
			return b.reserve("r2", 2)
		}, contract.CodeOverCapacity},
		{"an engine that answers again gets work", func(b *testbed) any {
			b.engine.set(func() { b.engine.down = true })
			time.Sleep(2 * time.Second)
			b.engine.set(func() { b.engine.down = false })
			time.Sleep(time.Second)
			return b.reserve("r1", 1)
		}, ok},
		{"canceling a call does not end another", func(b *testbed) any {
			b.decode("r1", 1)
			b.decode("r2", 2)
			b.cancel("r1")
			time.Sleep(100 * time.Millisecond)
			return b.poll("r2")
		}, ok},
		{"canceling a call does not stop new work", func(b *testbed) any {
			b.decode("r1", 1)
			b.cancel("r1")
			time.Sleep(100 * time.Millisecond)
			return b.reserve("r2", 2)
		}, ok},
		{"canceled calls are never suspects", func(b *testbed) any {
			for _, name := range []contract.RequestID{"r1", "r2", "r3"} {
				b.decode(name, 1)
				b.cancel(name)
				time.Sleep(time.Second)
			}
			return b.reserve("r4", 1)
		}, ok},
		{"a frozen engine gets no work", func(b *testbed) any {
			b.engine.set(func() { b.engine.frozen = true })
			time.Sleep(3 * time.Second)
			return b.reserve("r1", 1)
		}, contract.CodeOverCapacity},
		{"calls of a frozen engine fail and can be retried elsewhere", func(b *testbed) any {
			b.decode("r1", 1)
			return b.freeze("r1")
		}, contract.CodeUpstreamFailed},
		{"calls of a frozen engine are never suspects", func(b *testbed) any {
			for _, name := range []contract.RequestID{"r1", "r2", "r3"} {
				b.decode(name, 1)
				b.freeze(name)
			}
			return b.reserve("r4", 1)
		}, ok},
		{"a stalled transfer fails while its KV cache exists", func(b *testbed) any {
			b.engine.set(func() { b.engine.stalled = true })
			b.decode("r1", 1)
			time.Sleep(600 * time.Millisecond)
			return b.poll("r1")
		}, contract.CodeStaleGrant},
		{"a stalled transfer holds no memory", func(b *testbed) any {
			b.engine.set(func() { b.engine.stalled = true })
			b.decode("r1", 1)
			time.Sleep(600 * time.Millisecond)
			return b.engine.holding()
		}, 0},
		{"an entry that stops polling holds no memory after two seconds", func(b *testbed) any {
			b.decode("r1", 1)
			time.Sleep(2 * time.Second)
			return b.engine.holding() + b.s.load(table.NewHeldLocks()).Slots - b.s.load(table.NewHeldLocks()).FreeSlots
		}, 0},
		{"an order with the current fencing number is accepted", func(b *testbed) any { return b.order(5, time.Minute) }, ok},
		{"an order with a stale fencing number is refused", func(b *testbed) any { return b.order(4, time.Minute) }, contract.CodeStaleOrder},
		{"an order whose lease may end during the call is refused", func(b *testbed) any { return b.order(5, OrderTimeout-1) }, contract.CodeStaleOrder},
		{"an order is refused while the table is down after a restart", func(b *testbed) any {
			b.engine.set(func() { b.engine.down = true })
			return b.order(5, time.Minute)
		}, contract.CodeStoreUnavailable},
		{"the effect of a delayed earlier order is repaired", func(b *testbed) any {
			b.engine.set(func() { b.engine.late = &link.Order{Role: upstream.RolePrefill} })
			b.order(5, time.Minute)
			return b.engine.role()
		}, upstream.RoleDecode},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := c.run(newTestbed(t)); got != c.want {
					t.Errorf("got %v, want %v", got, c.want)
				}
			})
		})
	}
}

func newTestbed(t *testing.T) *testbed {
	f := &fakeEngine{crash: make(chan struct{}), held: make(map[contract.CallID]bool), state: link.EngineState{Epoch: 1}}
	s := New(Options{
		Self: instance.Identity{Name: "s"}, Upstream: "u", Engine: f, Fences: f,
		Limits: engine.Limits{Role: upstream.RoleDecode, Slots: 4, Blocks: 10, LinkBlocksPerSecond: 100},
	})
	t.Cleanup(s.Close)
	synctest.Wait()
	return &testbed{t, s, f}
}
