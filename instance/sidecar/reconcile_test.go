package sidecar

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
)

// orderCountingEngine carries out orders and counts them.
type orderCountingEngine struct {
	*fakeEngine
	orders int
}

func (e *orderCountingEngine) Order(_ context.Context, o link.Order) error {
	e.set(func() {
		e.orders++
		e.state.Fence = o.Fence
		if o.Kind == link.OrderChangeRole {
			e.state.Role = o.Role
			return
		}
		e.state.Models = append(e.state.Models, o.Model)
		e.state.Version = o.Version
	})
	return nil
}

func (e *orderCountingEngine) String() (s string) {
	e.set(func() {
		s = fmt.Sprintf("%s %v %s, fence %d, %d orders", e.state.Role, e.state.Models, e.state.Version, e.state.Fence, e.orders)
	})
	return s
}

// TestEngineFollowsConfiguration checks that a sidecar orders its engine to the
// configured role, models and versions, also after a restart of the engine, and never
// with a fencing number older than one the engine has accepted.
func TestEngineFollowsConfiguration(t *testing.T) {
	const rev = contract.Revision(7)
	offer := func(s *Sidecar, revision contract.Revision, u upstream.Upstream) {
		next := config.EmptySnapshot()
		next.Revision = revision
		u.ID, u.State = "u", upstream.StateServing
		next.Upstreams["u"] = u
		if _, err := s.Sync(context.Background(), &peer.SyncRequest{Offer: next}); err != nil {
			t.Fatal(err)
		}
	}
	decode := upstream.Upstream{Role: upstream.RoleDecode, Models: []contract.ModelName{"a"}}
	prefill := upstream.Upstream{Role: upstream.RolePrefill, Models: []contract.ModelName{"a", "b"}, Versions: map[contract.ModelName]string{"b": "v2"}}
	cases := []struct {
		name string
		do   func(s *Sidecar, e *orderCountingEngine)
		want string
	}{
		{"nothing to do", func(s *Sidecar, _ *orderCountingEngine) { offer(s, rev, decode) }, "decode [a] , fence 0, 0 orders"},
		{"role, model and version", func(s *Sidecar, _ *orderCountingEngine) { offer(s, rev, prefill) }, "prefill [a b] v2, fence 7, 2 orders"},
		{"unknown upstream", func(s *Sidecar, _ *orderCountingEngine) {
			_, _ = s.Sync(context.Background(), &peer.SyncRequest{Offer: &config.Snapshot{Revision: rev}})
		}, "decode [a] , fence 0, 0 orders"},
		{"older configuration arrives later", func(s *Sidecar, _ *orderCountingEngine) { offer(s, rev, decode); offer(s, rev-1, prefill) }, "decode [a] , fence 0, 0 orders"},
		{"engine restarts and loses its state", func(s *Sidecar, e *orderCountingEngine) {
			offer(s, rev, prefill)
			time.Sleep(2 * time.Second)
			e.set(func() {
				e.state = link.EngineState{Role: upstream.RoleDecode, Models: []contract.ModelName{"a"}, Epoch: 2}
			})
		}, "prefill [a b] v2, fence 7, 4 orders"},
		{"engine has accepted a later order", func(s *Sidecar, e *orderCountingEngine) {
			e.set(func() { e.state.Fence = 9 })
			offer(s, rev, prefill)
		}, "decode [a] , fence 9, 0 orders"},
		{"engine unreachable at first", func(s *Sidecar, e *orderCountingEngine) {
			e.set(func() { e.down = true })
			offer(s, rev, prefill)
			time.Sleep(time.Second)
			e.set(func() { e.down = false })
		}, "prefill [a b] v2, fence 7, 2 orders"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &orderCountingEngine{fakeEngine: &fakeEngine{crash: make(chan struct{}), held: make(map[contract.CallID]bool),
					state: link.EngineState{Epoch: 1, Role: upstream.RoleDecode, Models: []contract.ModelName{"a"}}}}
				s := New(Options{Self: instance.Identity{Name: "s"}, Upstream: "u", Engine: e,
					Limits: engine.Limits{Role: upstream.RoleDecode, Slots: 4, Blocks: 10, LinkBlocksPerSecond: 100}})
				t.Cleanup(s.Close)
				c.do(s, e)
				time.Sleep(2 * ReconcileEvery)
				if got := e.String(); got != c.want {
					t.Errorf("got %s, want %s", got, c.want)
				}
			})
		})
	}
}
