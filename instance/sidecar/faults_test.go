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

// fakeEngine runs decodes until it crashes or they are cancelled. It ignores
// fencing numbers.
type fakeEngine struct {
	link.Engine
	mu     sync.Mutex
	state  link.EngineState
	silent bool
	// frozen engines take questions and answer none.
	frozen  bool
	stalled bool
	crash   chan struct{}
	held    map[contract.CallID]bool
	// late is what an order that was delayed on its way does after the next one.
	late *link.Order
}

func (f *fakeEngine) Decode(ctx context.Context, d link.Decode, emit func(contract.Chunk) error) error {
	f.mu.Lock()
	if f.silent {
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
		return link.ErrGone
	case <-ctx.Done():
		// As the link says it of a call that was ended on this side.
		return fmt.Errorf("%w: %w", link.ErrGone, ctx.Err())
	}
}

func (f *fakeEngine) Resume(context.Context, contract.CallID, contract.Tokens, func(contract.Chunk) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent {
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
	if f.silent {
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

// restart crashes the engine and brings it back at once.
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

// Fence implements FenceSource: the table gave out number 5.
func (f *fakeEngine) Fence(context.Context, upstream.ID) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent {
		return 0, errors.New("store down")
	}
	return 5, nil
}

var entryID = instance.Identity{Name: "e", Incarnation: 1}

// bench is a sidecar beside a fake engine.
type bench struct {
	t      *testing.T
	s      *Sidecar
	engine *fakeEngine
}

func (b *bench) reserve(name contract.RequestID, fp contract.Fingerprint) contract.Code {
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

// decode reserves and starts output.
func (b *bench) decode(name contract.RequestID, fp contract.Fingerprint) {
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

// poll gives the failure of a call, if there is one.
func (b *bench) poll(name contract.RequestID) contract.Code {
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

// crashTwice runs a request that crashes the engine, and again.
func (b *bench) crashTwice(fp contract.Fingerprint) {
	for _, name := range []contract.RequestID{"c1", "c2"} {
		b.decode(name, fp)
		b.engine.restart()
		time.Sleep(time.Second)
	}
}

// cancel ends a call as its entry does.
func (b *bench) cancel(name contract.RequestID) {
	q := &peer.CancelRequest{Header: peer.Header{From: entryID}, Calls: []contract.CallID{{Request: name, Attempt: 1}}}
	if _, err := b.s.Cancel(b.t.Context(), q); err != nil {
		b.t.Fatal(err)
	}
}

// freeze lets the engine answer nothing for three seconds while the entry polls for
// a call, and gives that call's failure.
func (b *bench) freeze(name contract.RequestID) (code contract.Code) {
	b.engine.set(func() { b.engine.frozen = true })
	for range 6 {
		time.Sleep(500 * time.Millisecond)
		code = cmp.Or(code, b.poll(name))
	}
	b.engine.set(func() { b.engine.frozen = false })
	time.Sleep(time.Second)
	return code
}

func (b *bench) order(fence uint64, lease time.Duration) contract.Code {
	o := link.Order{Kind: link.OrderChangeRole, Fence: fence, Role: upstream.RoleDecode}
	reply, err := b.s.Order(b.t.Context(), &peer.OrderRequest{Header: peer.Header{From: entryID}, Order: o, LeaseLeft: lease})
	if err != nil {
		b.t.Fatal(err)
	}
	return codeOf(reply.Refusal)
}

// TestFaults brings faults to a sidecar; each case returns what was seen.
func TestFaults(t *testing.T) {
	const ok = contract.Code("")
	cases := []struct {
		name string
		run  func(b *bench) any
		want any
	}{
		{"a request alone at a crash may run again", func(b *bench) any {
			b.decode("r1", 1)
			b.engine.restart()
			time.Sleep(time.Second)
			return b.reserve("r2", 1)
		}, ok},
		{"and is quarantined after the second", func(b *bench) any {
			b.crashTwice(1)
			return b.reserve("r3", 1)
		}, contract.CodeQuarantined},
		{"of two at a crash each may run again", func(b *bench) any {
			b.decode("r1", 1)
			b.decode("r2", 2)
			b.engine.restart()
			time.Sleep(time.Second)
			return b.reserve("r3", 1)
		}, ok},
		{"but not beside the other", func(b *bench) any {
			b.decode("r1", 1)
			b.decode("r2", 2)
			b.engine.restart()
			time.Sleep(time.Second)
			b.reserve("r3", 1)
			return b.reserve("r4", 2)
		}, contract.CodeOverCapacity},
		{"the call that the crash broke off fails", func(b *bench) any {
			b.decode("r1", 1)
			b.engine.restart()
			time.Sleep(time.Second)
			return b.poll("r1")
		}, contract.CodeUpstreamFailed},
		{"news of a quarantine count here", func(b *bench) any {
			other := newBench(b.t)
			other.crashTwice(1)
			b.s.heard(table.NewHeld(), other.s.header())
			return b.reserve("r2", 1)
		}, contract.CodeQuarantined},
		{"a silent engine gets no work", func(b *bench) any {
			b.engine.set(func() { b.engine.silent = true })
			time.Sleep(2 * time.Second)
			return b.reserve("r1", 1)
		}, contract.CodeOverCapacity},
		{"a dead engine breaks its calls off, which ran", func(b *bench) any {
			b.decode("r1", 1)
			b.engine.set(func() { b.engine.silent = true; close(b.engine.crash) })
			time.Sleep(200 * time.Millisecond)
			return b.poll("r1")
		}, contract.CodeUpstreamFailed},
		{"and gets no work from the first call that it breaks off", func(b *bench) any {
			b.decode("r1", 1)
			b.engine.set(func() { b.engine.silent = true; close(b.engine.crash) })
			time.Sleep(200 * time.Millisecond)
			return b.reserve("r2", 2)
		}, contract.CodeOverCapacity},
		{"nor from the first call that does not reach it", func(b *bench) any {
			b.engine.set(func() { b.engine.silent = true })
			b.decode("r1", 1)
			return b.reserve("r2", 2)
		}, contract.CodeOverCapacity},
		{"until it answers", func(b *bench) any {
			b.engine.set(func() { b.engine.silent = true })
			time.Sleep(2 * time.Second)
			b.engine.set(func() { b.engine.silent = false })
			time.Sleep(time.Second)
			return b.reserve("r1", 1)
		}, ok},
		{"a call that its caller left ends no other", func(b *bench) any {
			b.decode("r1", 1)
			b.decode("r2", 2)
			b.cancel("r1")
			time.Sleep(100 * time.Millisecond)
			return b.poll("r2")
		}, ok},
		{"and the engine gets work on", func(b *bench) any {
			b.decode("r1", 1)
			b.cancel("r1")
			time.Sleep(100 * time.Millisecond)
			return b.reserve("r2", 2)
		}, ok},
		{"however many callers leave, nobody is blamed", func(b *bench) any {
			for _, name := range []contract.RequestID{"r1", "r2", "r3"} {
				b.decode(name, 1)
				b.cancel(name)
				time.Sleep(time.Second)
			}
			return b.reserve("r4", 1)
		}, ok},
		{"a frozen engine gets no work", func(b *bench) any {
			b.engine.set(func() { b.engine.frozen = true })
			time.Sleep(3 * time.Second)
			return b.reserve("r1", 1)
		}, contract.CodeOverCapacity},
		{"its calls go elsewhere", func(b *bench) any {
			b.decode("r1", 1)
			return b.freeze("r1")
		}, contract.CodeUpstreamFailed},
		{"and nobody is blamed, however often", func(b *bench) any {
			for _, name := range []contract.RequestID{"r1", "r2", "r3"} {
				b.decode(name, 1)
				b.freeze(name)
			}
			return b.reserve("r4", 1)
		}, ok},
		{"a stalled transfer fails while its cache exists", func(b *bench) any {
			b.engine.set(func() { b.engine.stalled = true })
			b.decode("r1", 1)
			time.Sleep(600 * time.Millisecond)
			return b.poll("r1")
		}, contract.CodeStaleGrant},
		{"and holds no memory", func(b *bench) any {
			b.engine.set(func() { b.engine.stalled = true })
			b.decode("r1", 1)
			time.Sleep(600 * time.Millisecond)
			return b.engine.holding()
		}, 0},
		{"an entry that is gone holds no memory after two seconds", func(b *bench) any {
			b.decode("r1", 1)
			time.Sleep(2 * time.Second)
			return b.engine.holding() + b.s.load(table.NewHeld()).Slots - b.s.load(table.NewHeld()).FreeSlots
		}, 0},
		{"an order of today", func(b *bench) any { return b.order(5, time.Minute) }, ok},
		{"an order that the table has overtaken", func(b *bench) any { return b.order(4, time.Minute) }, contract.CodeStaleOrder},
		{"an order whose lease ends during the call", func(b *bench) any { return b.order(5, OrderTimeout-1) }, contract.CodeStaleOrder},
		{"an order while the table is down, after a restart", func(b *bench) any {
			b.engine.set(func() { b.engine.silent = true })
			return b.order(5, time.Minute)
		}, contract.CodeStoreUnavailable},
		{"a late order of before is put right", func(b *bench) any {
			b.engine.set(func() { b.engine.late = &link.Order{Role: upstream.RolePrefill} })
			b.order(5, time.Minute)
			return b.engine.role()
		}, upstream.RoleDecode},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := c.run(newBench(t)); got != c.want {
					t.Errorf("got %v, want %v", got, c.want)
				}
			})
		})
	}
}

func newBench(t *testing.T) *bench {
	f := &fakeEngine{crash: make(chan struct{}), held: make(map[contract.CallID]bool), state: link.EngineState{Epoch: 1}}
	s := New(Options{
		Self: instance.Identity{Name: "s"}, Upstream: "u", Engine: f, Fences: f,
		Limits: engine.Limits{Role: upstream.RoleDecode, Slots: 4, Blocks: 10, LinkBlocksPerSecond: 100},
	})
	t.Cleanup(s.Close)
	synctest.Wait()
	return &bench{t, s, f}
}
