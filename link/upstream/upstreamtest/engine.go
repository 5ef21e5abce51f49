// Package upstreamtest holds the test suites for the Engine and Service interfaces of
// package link/upstream. The tests of each implementation run them against the
// stand-in of an engine or a service, over TCP or in process.
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

// Pair is a prefill engine and a decode engine that can connect to each other, with
// the stand-ins that serve them.
type Pair struct {
	Prefill, Decode               link.Engine
	PrefillStandin, DecodeStandin *engine.Engine
}

// Options returns the options that the suite needs for a stand-in of the role.
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

// RunEngine runs the suite for link.Engine. runCase runs one case with a new pair, for
// example in a synctest bubble.
func RunEngine(t *testing.T, runCase func(t *testing.T, body func(t *testing.T, p Pair))) {
	cases := []struct {
		name string
		body func(t *testing.T, p Pair)
	}{
		{"whole answer", testFullAnswer},
		{"resume after a break", testResume},
		{"resume of an unknown call", testResumeUnknown},
		{"emit fails", testEmitFails},
		{"caller gone in decode", testCallerGoneInDecode},
		{"caller gone in prefill", testCallerGoneInPrefill},
		{"cancel overtakes the decode", testCancelBeforeDecode},
		{"result evicted", testEvicted},
		{"full", testFull},
		{"rejected calls", testRejectedCalls},
		{"stalled transfer", testStalled},
		{"prefill engine crashes", testPrefillCrash},
		{"decode engine crashes", testDecodeCrash},
		{"poison", testCrashingPrompt},
		{"orders", testOrders},
		{"cache events", testEvents},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { runCase(t, c.body) })
	}
}

// prompt is slightly longer than two KV blocks.
var prompt = strings.Repeat("warp weft selvedge twill ", 400)

const (
	answerTokens = 12
	seed         = 7
	// waitTimeout limits the wait for a change that the engine makes by itself.
	waitTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
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

func decodeRequest(handle link.Handle, n contract.Attempt) link.Decode {
	return link.Decode{Call: id(n), Model: Model, Handle: handle, MaxTokens: answerTokens, Seed: seed}
}

// collector collects output. If limit is set, emit returns limitErr once it has limit
// tokens.
type collector struct {
	texts    []string
	usage    contract.Usage
	limit    int
	limitErr error
}

func (g *collector) emit(chunk contract.Chunk) error {
	g.texts = append(g.texts, chunk.Texts...)
	g.usage = chunk.Usage
	if g.limit > 0 && len(g.texts) >= g.limit {
		return g.limitErr
	}
	return nil
}

// check fails the test unless the output is that of tokens from up to, not including, to.
func (g *collector) check(t *testing.T, from, to int) {
	t.Helper()
	want := strings.Join(engine.Expected(prompt, seed, to)[from:], "")
	if got := strings.Join(g.texts, ""); got != want {
		t.Errorf("got output %q, want %q", got, want)
	}
}

func testFullAnswer(t *testing.T, p Pair) {
	var g collector
	check(t, p.Decode.Decode(t.Context(), decodeRequest(prefill(t, p, 1), 1), g.emit), nil)
	g.check(t, 0, answerTokens)
	want := contract.Usage{PromptTokens: contract.EstimateTokens(prompt), OutputTokens: answerTokens}
	if g.usage != want {
		t.Errorf("got usage %+v, want %+v", g.usage, want)
	}
	counts := p.PrefillStandin.Counts()
	if counts.WastedTokens != 0 || counts.PrefillTokens != want.PromptTokens {
		t.Errorf("got counts %+v", counts)
	}
	waitFreed(t, p)
}

func testResume(t *testing.T, p Pair) {
	var g collector
	err := p.Decode.Decode(t.Context(), decodeRequest(prefill(t, p, 1), 1), func(chunk contract.Chunk) error {
		p.DecodeStandin.BreakStreams()
		return g.emit(chunk)
	})
	check(t, err, link.ErrInterrupted)
	from := len(g.texts)
	if from == 0 || from >= answerTokens {
		t.Fatalf("the stream was interrupted after %d tokens", from)
	}
	check(t, p.Decode.Resume(t.Context(), id(1), contract.Tokens(from), g.emit), nil)
	g.check(t, 0, answerTokens)
	waitFreed(t, p)
}

func testResumeUnknown(t *testing.T, p Pair) {
	var g collector
	check(t, p.Decode.Resume(t.Context(), id(9), 0, g.emit), link.ErrUnknownCall)
}

func testEmitFails(t *testing.T, p Pair) {
	g := collector{limit: 2, limitErr: errors.New("reader is gone")}
	check(t, p.Decode.Decode(t.Context(), decodeRequest(prefill(t, p, 1), 1), g.emit), g.limitErr)
	waitFreed(t, p)
}

func testCallerGoneInDecode(t *testing.T, p Pair) {
	ctx, cancel := context.WithCancel(t.Context())
	d := decodeRequest(prefill(t, p, 1), 1)
	d.MaxTokens = 1000
	err := p.Decode.Decode(ctx, d, func(contract.Chunk) error {
		cancel()
		return nil
	})
	check(t, err, link.ErrInterrupted)
	waitFreed(t, p)
}

func testCallerGoneInPrefill(t *testing.T, p Pair) {
	p.PrefillStandin.SlowBy(1000)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := p.Prefill.Prefill(ctx, link.Prefill{Call: id(1), Model: Model, Prompt: prompt})
	check(t, err, link.ErrInterrupted)
	waitFreed(t, p)
}

func testCancelBeforeDecode(t *testing.T, p Pair) {
	handle := prefill(t, p, 1)
	check(t, p.Decode.Cancel(t.Context(), id(1)), nil)
	var g collector
	check(t, p.Decode.Decode(t.Context(), decodeRequest(handle, 1), g.emit), link.ErrInterrupted)
	waitFreed(t, p)
}

func testEvicted(t *testing.T, p Pair) {
	handle := prefill(t, p, 1)
	waitUntil(t, func() bool { return p.PrefillStandin.Counts().WastedTokens == handle.Tokens })
	var g collector
	check(t, p.Decode.Decode(t.Context(), decodeRequest(handle, 1), g.emit), link.ErrEvicted)
	waitFreed(t, p)
}

func testFull(t *testing.T, p Pair) {
	p.DecodeStandin.SetTransfersStalled(true)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	for n := range contract.Attempt(2) {
		d := decodeRequest(prefill(t, p, n+1), n+1)
		go func() { done <- p.Decode.Decode(ctx, d, new(collector).emit) }()
	}
	waitUntil(t, func() bool { return p.DecodeStandin.Counts().Holding == 2 })
	check(t, p.Decode.Decode(t.Context(), decodeRequest(prefill(t, p, 3), 3), new(collector).emit), link.ErrFull)
	cancel()
	check(t, <-done, link.ErrInterrupted)
	check(t, <-done, link.ErrInterrupted)
	large := decodeRequest(prefill(t, p, 4), 4)
	large.MaxTokens = 100_000
	check(t, p.Decode.Decode(t.Context(), large, new(collector).emit), link.ErrFull)
	p.DecodeStandin.SetTransfersStalled(false)
	waitFreed(t, p)
}

func testRejectedCalls(t *testing.T, p Pair) {
	handle := prefill(t, p, 1)
	other := decodeRequest(handle, 1)
	other.Model = "absent"
	check(t, p.Decode.Decode(t.Context(), other, new(collector).emit), link.ErrRejected)
	check(t, p.Prefill.Decode(t.Context(), decodeRequest(handle, 1), new(collector).emit), link.ErrRejected)
	_, err := p.Decode.Prefill(t.Context(), link.Prefill{Call: id(2), Model: Model, Prompt: prompt})
	check(t, err, link.ErrRejected)
	huge := strings.Repeat(prompt, 20)
	_, err = p.Prefill.Prefill(t.Context(), link.Prefill{Call: id(3), Model: Model, Prompt: huge})
	check(t, err, link.ErrRejected)
}

func testStalled(t *testing.T, p Pair) {
	handle := prefill(t, p, 1)
	p.DecodeStandin.SetTransfersStalled(true)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	check(t, p.Decode.Decode(ctx, decodeRequest(handle, 1), new(collector).emit), link.ErrInterrupted)
	p.DecodeStandin.SetTransfersStalled(false)
	var g collector
	check(t, p.Decode.Decode(t.Context(), decodeRequest(prefill(t, p, 2), 2), g.emit), nil)
	g.check(t, 0, answerTokens)
	waitFreed(t, p)
}
