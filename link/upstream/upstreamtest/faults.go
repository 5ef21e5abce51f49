package upstreamtest

import (
	"errors"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

func testPrefillCrash(t *testing.T, p Pair) {
	handle := prefill(t, p, 1)
	before, err := p.Prefill.State(t.Context())
	check(t, err, nil)
	p.PrefillStandin.Crash()
	_, err = p.Prefill.Prefill(t.Context(), link.Prefill{Call: id(2), Model: Model, Prompt: prompt})
	check(t, err, link.ErrInterrupted)
	check(t, p.Decode.Decode(t.Context(), decodeRequest(handle, 1), new(collector).emit), link.ErrEvicted)
	p.PrefillStandin.Restart()
	after, err := p.Prefill.State(t.Context())
	check(t, err, nil)
	if after.Epoch == before.Epoch {
		t.Error("the epoch is the same after a restart")
	}
	prefill(t, p, 3)
}

func testDecodeCrash(t *testing.T, p Pair) {
	d := decodeRequest(prefill(t, p, 1), 1)
	g := collector{}
	err := p.Decode.Decode(t.Context(), d, func(chunk contract.Chunk) error {
		if len(g.texts) == 0 {
			p.DecodeStandin.Crash()
		}
		return g.emit(chunk)
	})
	check(t, err, link.ErrInterrupted)
	check(t, p.Decode.Resume(t.Context(), id(1), 1, g.emit), link.ErrInterrupted)
	p.DecodeStandin.Restart()
	check(t, p.Decode.Resume(t.Context(), id(1), 1, g.emit), link.ErrUnknownCall)
	// A new decode with an offset, on any engine, continues the delivered output.
	again := decodeRequest(prefill(t, p, 2), 2)
	again.Offset = contract.Tokens(len(g.texts))
	check(t, p.Decode.Decode(t.Context(), again, g.emit), nil)
	g.check(t, 0, answerTokens)
	waitFreed(t, p)
}

func testCrashingPrompt(t *testing.T, p Pair) {
	p.PrefillStandin.CrashOn("selvedge")
	_, err := p.Prefill.Prefill(t.Context(), link.Prefill{Call: id(1), Model: Model, Prompt: prompt})
	check(t, err, link.ErrInterrupted)
	p.PrefillStandin.Restart()
	p.PrefillStandin.CrashOn("")
	p.DecodeStandin.CrashOn("selvedge")
	check(t, p.Decode.Decode(t.Context(), decodeRequest(prefill(t, p, 2), 2), new(collector).emit), link.ErrInterrupted)
	if crashes := p.PrefillStandin.Counts().Crashes + p.DecodeStandin.Counts().Crashes; crashes != 2 {
		t.Errorf("%d crashes", crashes)
	}
}

func testOrders(t *testing.T, p Pair) {
	steps := []struct {
		name  string
		order link.Order
		want  error
	}{
		{"load", link.Order{Kind: link.OrderLoadModel, Fence: 5, Model: "other", Version: "2"}, nil},
		{"same number", link.Order{Kind: link.OrderLoadAdapter, Fence: 5, Model: "adapter", Version: "3"}, nil},
		{"old number", link.Order{Kind: link.OrderChangeRole, Fence: 4, Role: upstream.RolePrefill}, link.ErrStaleFence},
		{"unknown order", link.Order{Kind: "repaint", Fence: 6}, link.ErrRejected},
		{"unknown role", link.Order{Kind: link.OrderChangeRole, Fence: 6}, link.ErrRejected},
		{"role", link.Order{Kind: link.OrderChangeRole, Fence: 7, Role: upstream.RolePrefill}, nil},
	}
	for _, s := range steps {
		if err := p.Decode.Order(t.Context(), s.order); !errors.Is(err, s.want) {
			t.Errorf("%s: got %v, want %v", s.name, err, s.want)
		}
	}
	state, err := p.Decode.State(t.Context())
	check(t, err, nil)
	if state.Role != upstream.RolePrefill || state.Fence != 7 || state.Version != "3" || len(state.Models) != 3 {
		t.Errorf("got state %+v", state)
	}
	load, err := p.Decode.Load(t.Context())
	check(t, err, nil)
	if load.Slots != 2 || load.Blocks != 16 || load.Epoch != state.Epoch {
		t.Errorf("got load %+v", load)
	}
}

func testEvents(t *testing.T, p Pair) {
	prefill(t, p, 1)
	events, err := p.Prefill.Events(t.Context(), 0)
	check(t, err, nil)
	if len(events) != 0 {
		t.Errorf("got events %v before the event lag passed", events)
	}
	want := upstream.PrefixHashes(Model, prompt)
	waitUntil(t, func() bool {
		events, err = p.Prefill.Events(t.Context(), 0)
		return err == nil && len(events) == len(want)
	})
	for _, event := range events {
		if !event.Stored || (event.Prefix != want[0] && event.Prefix != want[1]) {
			t.Errorf("got event %+v", event)
		}
	}
	rest, err := p.Prefill.Events(t.Context(), events[0].Seq)
	check(t, err, nil)
	if len(rest) != len(events)-1 {
		t.Errorf("got %d events after the first", len(rest))
	}
	// The second run of the prompt computes only the tokens that are not cached.
	prefill(t, p, 2)
	tokens := contract.EstimateTokens(prompt)
	if got := p.PrefillStandin.Counts().PrefillTokens; got != 2*tokens-2*upstream.BlockTokens {
		t.Errorf("computed %d tokens for two prompts of %d", got, tokens)
	}
}

// waitFreed waits until both engines hold no call and no KV block.
func waitFreed(t *testing.T, p Pair) {
	t.Helper()
	waitUntil(t, func() bool {
		a, b := p.PrefillStandin.Counts(), p.DecodeStandin.Counts()
		return a.Holding+b.Holding+a.UsedBlocks+b.UsedBlocks == 0
	})
}

// waitUntil waits until a condition holds. It ends the test if that takes longer than
// waitTimeout.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatal("the condition did not hold within the timeout")
		}
	}
}

// check fails the test unless err wraps want; nil wants no error.
func check(t *testing.T, err, want error) {
	t.Helper()
	if (want == nil && err != nil) || !errors.Is(err, want) {
		t.Errorf("got error %v, want %v", err, want)
	}
}
