package orders

import (
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

var start = time.Unix(1000, 0)

func toRole(fence uint64, role upstream.Role) link.Order {
	return link.Order{Kind: link.OrderChangeRole, Fence: fence, Role: role}
}

// TestAdmit passes an order with the given fencing number and lease to a gate that
// admitted and finished an order with number 5.
func TestAdmit(t *testing.T) {
	const timeout = time.Second
	cases := []struct {
		name   string
		before func(g *Gate)
		fence  uint64
		lease  time.Duration
		want   contract.Code
	}{
		{"newer", nil, 6, timeout, ""},
		{"same issuer again", nil, 5, timeout, ""},
		{"older", nil, 4, timeout, contract.CodeStaleOrder},
		{"older than the number in the table", func(g *Gate) { g.RecordFence(9) }, 8, timeout, contract.CodeStaleOrder},
		{"older than the number in the engine", func(g *Gate) { g.OrdersToRepeat(link.EngineState{Fence: 9}) }, 8, timeout, contract.CodeStaleOrder},
		{"older than an order refused while another was in progress", func(g *Gate) {
			g.Admit(start, toRole(6, upstream.RoleDecode), timeout, timeout)
			g.Admit(start, toRole(8, upstream.RoleDecode), timeout, timeout)
			g.FinishOrder(link.EngineState{})
		}, 7, timeout, contract.CodeStaleOrder},
		{"lease ends before the timeout", nil, 6, timeout - 1, contract.CodeStaleOrder},
		{"another order in progress", func(g *Gate) { g.Admit(start, toRole(6, upstream.RoleDecode), timeout, timeout) }, 7, timeout, contract.CodeOverCapacity},
		{"no fencing number learned since the start", func(g *Gate) { *g = *NewGate() }, 6, timeout, contract.CodeStoreUnavailable},
	}
	for _, c := range cases {
		g := NewGate()
		g.RecordFence(1)
		g.Admit(start, toRole(5, upstream.RoleDecode), timeout, timeout)
		g.FinishOrder(link.EngineState{Role: upstream.RoleDecode})
		if c.before != nil {
			c.before(g)
		}
		got := contract.Code("")
		if refusal := g.Admit(start, toRole(c.fence, upstream.RolePrefill), c.lease, timeout); refusal != nil {
			got = refusal.Code
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// TestCheck checks an engine's state after a gate accepted a change to role decode
// with number 5 and model m, version 2, with number 6. It counts the orders to
// repeat.
func TestCheck(t *testing.T) {
	right := link.EngineState{Role: upstream.RoleDecode, Models: []contract.ModelName{"m"}, Version: "2"}
	cases := []struct {
		name    string
		learned uint64
		change  func(s *link.EngineState)
		want    int
	}{
		{"right", 6, func(*link.EngineState) {}, 0},
		{"a late order took effect", 6, func(s *link.EngineState) { s.Role = upstream.RolePrefill }, 1},
		{"restarted", 6, func(s *link.EngineState) { *s = link.EngineState{} }, 2},
		{"old version", 6, func(s *link.EngineState) { s.Version = "1" }, 1},
		{"a higher number in the table", 7, func(s *link.EngineState) { s.Role = upstream.RolePrefill }, 0},
		{"a higher number in the engine", 6, func(s *link.EngineState) { s.Role, s.Fence = upstream.RolePrefill, 7 }, 0},
	}
	for _, c := range cases {
		g := NewGate()
		g.RecordFence(1)
		g.Admit(start, toRole(5, upstream.RoleDecode), time.Second, time.Second)
		g.FinishOrder(right)
		g.Admit(start, link.Order{Kind: link.OrderLoadModel, Fence: 6, Model: "m", Version: "2"}, time.Second, time.Second)
		g.FinishOrder(right)
		g.RecordFence(c.learned)
		state := right
		c.change(&state)
		toRepeat := g.OrdersToRepeat(state)
		if len(toRepeat) != c.want {
			t.Errorf("%s: orders to repeat %v, want %d", c.name, toRepeat, c.want)
		}
		for _, o := range toRepeat {
			if o.Fence != 6 {
				t.Errorf("%s: repeated order %v without the highest fencing number", c.name, o)
			}
		}
	}
}
