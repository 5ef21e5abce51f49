// Package upstreamtest holds the contracts of the upstreams' interfaces as test
// suites that each implementation runs.
package upstreamtest

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/engine"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Model is the model that the suite's engines serve.
const Model contract.ModelName = "patterns"

// Pair is a prefill and a decode engine that reach each other, and the stand-ins
// behind them.
type Pair struct {
	Prefill, Decode               link.Engine
	PrefillStandin, DecodeStandin *engine.Engine
}

// Options are those that the suite wants the stand-ins to have.
func Options(role upstream.Role) engine.Options {
	return engine.Options{
		Role:                role,
		Models:              []contract.ModelName{Model},
		Slots:               2,
		Blocks:              16,
		QueueLimit:          2,
		Step:                10 * time.Millisecond,
		PrefillPerSecond:    50_000,
		LinkBlocksPerSecond: 100,
		LoadTime:            10 * time.Millisecond,
		EventLag:            20 * time.Millisecond,
		CheckFence:          true,
	}
}

// RunEngine runs the suite. in runs one case, for instance in a synctest bubble,
// and gives it a fresh pair.
func RunEngine(t *testing.T, in func(t *testing.T, body func(t *testing.T, p Pair))) {
	cases := []struct {
		name string
		body func(t *testing.T, p Pair)
	}{
		{"whole answer", testWhole},
		{"resume after a break", testResume},
		{"resume of an unknown call", testResumeUnknown},
		{"emit fails", testEmitFails},
		{"caller gone in decode", testGoneInDecode},
		{"caller gone in prefill", testGoneInPrefill},
		{"cancel overtakes the decode", testCancelFirst},
		{"result evicted", testEvicted},
		{"full", testFull},
		{"wrong calls", testWrong},
		{"stalled transfer", testStalled},
		{"prefill engine crashes", testPrefillCrash},
		{"decode engine crashes", testDecodeCrash},
		{"poison", testPoison},
		{"orders", testOrders},
		{"cache events", testEvents},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { in(t, c.body) })
	}
}

// prompt is of a bit more than two KV blocks.
var prompt = strings.Repeat("warp weft selvedge twill ", 400)

const (
	answerTokens = 12
	seed         = 7
	// soon bounds the wait for what the engine does by itself.
	soon = 10 * time.Second
	poll = 5 * time.Millisecond
)

func id(n contract.Attempt) contract.CallID {
	return contract.CallID{Request: "rajkot-a.1-7", Attempt: n}
}

func prefill(t *testing.T, p Pair, n contract.Attempt) link.Handle {
	t.Helper()
	handle, err := p.Prefill.Prefill(t.Context(), link.Prefill{Call: id(n), Model: Model, Prompt: prompt})
	check(t, err, nil)
	return handle
}

func decodeOf(handle link.Handle, n contract.Attempt) link.Decode {
	return link.Decode{Call: id(n), Model: Model, Handle: handle, MaxTokens: answerTokens, Seed: seed}
}

// gather collects output, and fails once it has limit tokens if limit is set.
type gather struct {
	texts []string
	usage contract.Usage
	limit int
	then  error
}

func (g *gather) emit(chunk contract.Chunk) error {
	g.texts = append(g.texts, chunk.Texts...)
	g.usage = chunk.Usage
	if g.limit > 0 && len(g.texts) >= g.limit {
		return g.then
	}
	return nil
}

func (g *gather) check(t *testing.T, from, to int) {
	t.Helper()
	want := strings.Join(engine.Expected(prompt, seed, to)[from:], "")
	if got := strings.Join(g.texts, ""); got != want {
		t.Errorf("got output %q, want %q", got, want)
	}
}

func testWhole(t *testing.T, p Pair) {
	var g gather
	check(t, p.Decode.Decode(t.Context(), decodeOf(prefill(t, p, 1), 1), g.emit), nil)
	g.check(t, 0, answerTokens)
	want := contract.Usage{PromptTokens: contract.EstimateTokens(prompt), OutputTokens: answerTokens}
	if g.usage != want {
		t.Errorf("got usage %+v, want %+v", g.usage, want)
	}
	counts := p.PrefillStandin.Counts()
	if counts.WastedTokens != 0 || counts.PrefillTokens != want.PromptTokens {
		t.Errorf("got counts %+v", counts)
	}
	freed(t, p)
}

func testResume(t *testing.T, p Pair) {
	var g gather
	err := p.Decode.Decode(t.Context(), decodeOf(prefill(t, p, 1), 1), func(chunk contract.Chunk) error {
		p.DecodeStandin.BreakStreams()
		return g.emit(chunk)
	})
	check(t, err, link.ErrGone)
	from := len(g.texts)
	if from == 0 || from >= answerTokens {
		t.Fatalf("the stream broke off after %d tokens", from)
	}
	check(t, p.Decode.Resume(t.Context(), id(1), contract.Tokens(from), g.emit), nil)
	g.check(t, 0, answerTokens)
	freed(t, p)
}

func testResumeUnknown(t *testing.T, p Pair) {
	var g gather
	check(t, p.Decode.Resume(t.Context(), id(9), 0, g.emit), link.ErrUnknownCall)
}

func testEmitFails(t *testing.T, p Pair) {
	g := gather{limit: 2, then: errors.New("reader is gone")}
	check(t, p.Decode.Decode(t.Context(), decodeOf(prefill(t, p, 1), 1), g.emit), g.then)
	freed(t, p)
}

func testGoneInDecode(t *testing.T, p Pair) {
	ctx, cancel := context.WithCancel(t.Context())
	d := decodeOf(prefill(t, p, 1), 1)
	d.MaxTokens = 1000
	err := p.Decode.Decode(ctx, d, func(contract.Chunk) error {
		cancel()
		return nil
	})
	check(t, err, link.ErrGone)
	freed(t, p)
}

func testGoneInPrefill(t *testing.T, p Pair) {
	p.PrefillStandin.SlowBy(1000)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := p.Prefill.Prefill(ctx, link.Prefill{Call: id(1), Model: Model, Prompt: prompt})
	check(t, err, link.ErrGone)
	freed(t, p)
}

func testCancelFirst(t *testing.T, p Pair) {
	handle := prefill(t, p, 1)
	check(t, p.Decode.Cancel(t.Context(), id(1)), nil)
	var g gather
	check(t, p.Decode.Decode(t.Context(), decodeOf(handle, 1), g.emit), link.ErrGone)
	freed(t, p)
}

func testEvicted(t *testing.T, p Pair) {
	handle := prefill(t, p, 1)
	until(t, func() bool { return p.PrefillStandin.Counts().WastedTokens == handle.Tokens })
	var g gather
	check(t, p.Decode.Decode(t.Context(), decodeOf(handle, 1), g.emit), link.ErrEvicted)
	freed(t, p)
}

func testFull(t *testing.T, p Pair) {
	p.DecodeStandin.Stall(true)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	for n := range contract.Attempt(2) {
		d := decodeOf(prefill(t, p, n+1), n+1)
		go func() { done <- p.Decode.Decode(ctx, d, new(gather).emit) }()
	}
	until(t, func() bool { return p.DecodeStandin.Counts().Holding == 2 })
	check(t, p.Decode.Decode(t.Context(), decodeOf(prefill(t, p, 3), 3), new(gather).emit), link.ErrFull)
	cancel()
	check(t, <-done, link.ErrGone)
	check(t, <-done, link.ErrGone)
	large := decodeOf(prefill(t, p, 4), 4)
	large.MaxTokens = 100_000
	check(t, p.Decode.Decode(t.Context(), large, new(gather).emit), link.ErrFull)
	p.DecodeStandin.Stall(false)
	freed(t, p)
}

func testWrong(t *testing.T, p Pair) {
	handle := prefill(t, p, 1)
	other := decodeOf(handle, 1)
	other.Model = "absent"
	check(t, p.Decode.Decode(t.Context(), other, new(gather).emit), link.ErrRejected)
	check(t, p.Prefill.Decode(t.Context(), decodeOf(handle, 1), new(gather).emit), link.ErrRejected)
	_, err := p.Decode.Prefill(t.Context(), link.Prefill{Call: id(2), Model: Model, Prompt: prompt})
	check(t, err, link.ErrRejected)
	huge := strings.Repeat(prompt, 20)
	_, err = p.Prefill.Prefill(t.Context(), link.Prefill{Call: id(3), Model: Model, Prompt: huge})
	check(t, err, link.ErrRejected)
}

func testStalled(t *testing.T, p Pair) {
	handle := prefill(t, p, 1)
	p.DecodeStandin.Stall(true)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	check(t, p.Decode.Decode(ctx, decodeOf(handle, 1), new(gather).emit), link.ErrGone)
	p.DecodeStandin.Stall(false)
	var g gather
	check(t, p.Decode.Decode(t.Context(), decodeOf(prefill(t, p, 2), 2), g.emit), nil)
	g.check(t, 0, answerTokens)
	freed(t, p)
}
