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

// drop is a sink that only looks for the end.
type drop struct{}

func (drop) Accepted(contract.RequestID)           {}
func (drop) Generated(contract.Chunk) error        { return nil }
func (drop) Answered(contract.ServiceAnswer) error { return nil }

func incoming(model contract.ModelName, tokens int) contract.Incoming {
	return contract.Incoming{Key: rigKey, Generate: &contract.Generate{
		Model: model, Prompt: "prompt", PromptTokens: 2, MaxTokens: contract.Tokens(tokens)}}
}

// requestCost measures the processor time of entry and sidecars together for
// requests of several lengths, with all slots of the decode engine in use.
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
		before, sent := cpu(), r.bytes.Load()
		if err := r.run(tokens); err != nil {
			return nil, err
		}
		times = append(times, Point{float64(tokens), micros(cpu()-before) / rigSlots})
		sizes = append(sizes, Point{float64(tokens), float64(r.bytes.Load()-sent) / rigSlots})
	}
	return []Slope{
		fit("request, processor time", "token", "µs", times),
		fit("request, bytes between processes", "token", "B", sizes),
	}, nil
}

// directCost measures the same streams taken from the stand-in engine directly:
// what is above it is added by entry and sidecars.
func directCost() ([]Slope, error) {
	var times []Point
	for _, tokens := range []int{25, 50, 100, 200, 400} {
		before := cpu()
		if err := direct(tokens); err != nil {
			return nil, err
		}
		times = append(times, Point{float64(tokens), micros(cpu()-before) / rigSlots})
	}
	return []Slope{fit("direct call, processor time", "token", "µs", times)}, nil
}

// direct takes as many streams at a time as the decode engine has slots.
func direct(tokens int) error {
	var wg sync.WaitGroup
	failed := make(chan error, rigSlots)
	for range rigSlots {
		wg.Go(func() {
			call := link.Decode{MaxTokens: contract.Tokens(tokens)}
			failed <- stepEngine{}.Decode(context.Background(), call, func(contract.Chunk) error { return nil })
		})
	}
	wg.Wait()
	close(failed)
	for err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

// run runs as many requests at a time as the decode engine has slots.
func (r *rig) run(tokens int) error {
	var wg sync.WaitGroup
	refused := make(chan error, rigSlots)
	for range rigSlots {
		wg.Go(func() {
			if refusal := r.entry.Serve(context.Background(), incoming(rigModel, tokens), drop{}); refusal != nil {
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

// waitingCost measures the memory of requests that wait in an entry.
func waitingCost() ([]Slope, error) {
	var points []Point
	for _, count := range []int{250, 500, 1000, 2000} {
		r, err := newRig(2)
		if err != nil {
			return nil, err
		}
		before := memory()
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for range count {
			wg.Go(func() { r.entry.Serve(ctx, incoming("none", 10), drop{}) })
		}
		<-time.After(time.Second)
		points = append(points, Point{float64(count), memory() - before})
		cancel()
		wg.Wait()
		r.close()
	}
	return []Slope{fit("waiting request, memory", "request", "B", points)}, nil
}

// pollCost measures an idle poll, which is also the renewal of grants, with
// several numbers of calls named.
func pollCost() ([]Slope, error) {
	r, err := newRig(2)
	if err != nil {
		return nil, err
	}
	defer r.close()
	const polls = 2000
	var times, sizes []Point
	sidecar := r.dials.Sidecar(r.decode)
	for _, calls := range []int{0, 5, 10, 20} {
		q := &peer.PollRequest{Header: peer.Header{From: instance.Identity{Name: "entry", Incarnation: 1, Place: rigPlace}, Revision: 1}}
		for i := range calls {
			q.Calls = append(q.Calls, peer.Ack{Call: contract.CallID{Request: contract.RequestID(fmt.Sprintf("entry-r-a.18edfe2bfab1cedf.%x", i)), Attempt: 1}, Next: 100})
		}
		before, sent := cpu(), r.bytes.Load()
		for range polls {
			if _, err := sidecar.Poll(context.Background(), q); err != nil {
				return nil, err
			}
		}
		times = append(times, Point{float64(calls), micros(cpu()-before) / polls})
		sizes = append(sizes, Point{float64(calls), float64(r.bytes.Load()-sent) / polls})
	}
	return []Slope{
		fit("poll, processor time of both ends", "call", "µs", times),
		fit("poll, bytes", "call", "B", sizes),
	}, nil
}

// idleFor is how long an idle fleet is measured.
const idleFor = 3 * time.Second

// idleCost measures an entry with nothing to do but its recurring work, before
// several numbers of idle sidecars that it watches.
func idleCost() ([]Slope, error) {
	var times, sizes []Point
	for _, sidecars := range []int{2, 6, 10, 18} {
		r, err := newRig(sidecars)
		if err != nil {
			return nil, err
		}
		// The first seconds also open connections and look for peers.
		<-time.After(idleFor)
		before, sent := cpu(), r.bytes.Load()
		<-time.After(idleFor)
		times = append(times, Point{float64(sidecars), micros(cpu()-before) / idleFor.Seconds()})
		sizes = append(sizes, Point{float64(sidecars), float64(r.bytes.Load()-sent) / idleFor.Seconds()})
		r.close()
	}
	return []Slope{
		fit("idle entry, processor time a second", "idle sidecar", "µs", times),
		fit("idle entry, bytes a second", "idle sidecar", "B", sizes),
	}, nil
}
