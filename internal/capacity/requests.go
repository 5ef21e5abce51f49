package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
)

// discardSink discards answers.
type discardSink struct{}

func (discardSink) WriteRequestID(contract.RequestID)        {}
func (discardSink) WriteChunk(contract.Chunk) error          { return nil }
func (discardSink) WriteAnswer(contract.ServiceAnswer) error { return nil }

func newRequest(model contract.ModelName, tokens int) contract.Incoming {
	return contract.Incoming{Key: rigKey, Generate: &contract.Generate{
		Model: model, Prompt: "prompt", PromptTokens: 2, MaxTokens: contract.Tokens(tokens)}}
}

// requestCost measures the processor time of entry and sidecars together, and the bytes
// between them, for requests of several lengths with all decode slots in use.
func requestCost() ([]Slope, error) {
	r, err := newRig(2)
	if err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.run(20); err != nil {
		return nil, err
	}
	var times, sizes []Point
	for _, tokens := range []int{25, 50, 100, 200, 400} {
		before, sent := cpuTime(), r.bytes.Load()
		if err := r.run(tokens); err != nil {
			return nil, err
		}
		times = append(times, Point{float64(tokens), microseconds(cpuTime()-before) / rigSlots})
		sizes = append(sizes, Point{float64(tokens), float64(r.bytes.Load()-sent) / rigSlots})
	}
	return []Slope{
		fit("request, processor time", "token", "µs", times),
		fit("request, bytes between processes", "token", "B", sizes),
	}, nil
}

// directCost measures the same streams read from the engine directly. The difference to
// requestCost is what entry and sidecars add.
func directCost() ([]Slope, error) {
	var times []Point
	for _, tokens := range []int{25, 50, 100, 200, 400} {
		before := cpuTime()
		if err := direct(tokens); err != nil {
			return nil, err
		}
		times = append(times, Point{float64(tokens), microseconds(cpuTime()-before) / rigSlots})
	}
	return []Slope{fit("direct call, processor time", "token", "µs", times)}, nil
}

// direct reads as many concurrent streams from the engine as a decode engine has slots.
func direct(tokens int) error {
	var wg sync.WaitGroup
	results := make(chan error, rigSlots)
	for range rigSlots {
		wg.Go(func() {
			call := link.Decode{MaxTokens: contract.Tokens(tokens)}
			results <- stepEngine{}.Decode(context.Background(), call, func(contract.Chunk) error { return nil })
		})
	}
	wg.Wait()
	close(results)
	for err := range results {
		if err != nil {
			return err
		}
	}
	return nil
}

// run runs as many concurrent requests as the decode engine has slots.
func (r *rig) run(tokens int) error {
	var wg sync.WaitGroup
	refused := make(chan error, rigSlots)
	for range rigSlots {
		wg.Go(func() {
			if refusal := r.entry.Serve(context.Background(), newRequest(rigModel, tokens), discardSink{}); refusal != nil {
				refused <- refusal
			}
		})
	}
	wg.Wait()
	select {
	case err := <-refused:
		return fmt.Errorf("capacity: a request was refused: %w", err)
	default:
		return nil
	}
}

// waitingCost measures the memory of waiters at an entry. The requests wait because no
// upstream has their model.
func waitingCost() ([]Slope, error) {
	var points []Point
	for _, count := range []int{250, 500, 1000, 2000} {
		r, err := newRig(2)
		if err != nil {
			return nil, err
		}
		before := memoryInUse()
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for range count {
			wg.Go(func() { r.entry.Serve(ctx, newRequest("none", 10), discardSink{}) })
		}
		<-time.After(time.Second)
		points = append(points, Point{float64(count), memoryInUse() - before})
		cancel()
		wg.Wait()
		r.close()
	}
	return []Slope{fit("waiting request, memory", "request", "B", points)}, nil
}

// pollCost measures a poll of an idle sidecar, which also renews grants, by the number of
// calls that it acknowledges.
func pollCost() ([]Slope, error) {
	r, err := newRig(2)
	if err != nil {
		return nil, err
	}
	defer r.close()
	const polls = 2000
	var times, sizes []Point
	sidecar := r.connPool.Sidecar(r.decode)
	for _, calls := range []int{0, 5, 10, 20} {
		q := &peer.PollRequest{Header: peer.Header{From: instance.Identity{Name: "entry", Incarnation: 1, Place: rigPlace}, Revision: 1}}
		for i := range calls {
			q.Calls = append(q.Calls, peer.Ack{Call: contract.CallID{Request: contract.RequestID(fmt.Sprintf("entry-r-a.18edfe2bfab1cedf.%x", i)), Attempt: 1}, Next: 100})
		}
		before, sent := cpuTime(), r.bytes.Load()
		for range polls {
			if _, err := sidecar.Poll(context.Background(), q); err != nil {
				return nil, err
			}
		}
		times = append(times, Point{float64(calls), microseconds(cpuTime()-before) / polls})
		sizes = append(sizes, Point{float64(calls), float64(r.bytes.Load()-sent) / polls})
	}
	return []Slope{
		fit("poll, processor time of both ends", "call", "µs", times),
		fit("poll, bytes", "call", "B", sizes),
	}, nil
}

// idleTime is the length of an idle measurement and of the wait before it.
const idleTime = 3 * time.Second

// idleCost measures the recurring work of an idle entry and its idle sidecars, by the
// number of sidecars.
func idleCost() ([]Slope, error) {
	var times, sizes []Point
	for _, sidecars := range []int{2, 6, 10, 18} {
		r, err := newRig(sidecars)
		if err != nil {
			return nil, err
		}
		// The first seconds include opening connections and looking for peers.
		<-time.After(idleTime)
		before, sent := cpuTime(), r.bytes.Load()
		<-time.After(idleTime)
		times = append(times, Point{float64(sidecars), microseconds(cpuTime()-before) / idleTime.Seconds()})
		sizes = append(sizes, Point{float64(sidecars), float64(r.bytes.Load()-sent) / idleTime.Seconds()})
		r.close()
	}
	return []Slope{
		fit("idle entry, processor time a second", "idle sidecar", "µs", times),
		fit("idle entry, bytes a second", "idle sidecar", "B", sizes),
	}, nil
}
