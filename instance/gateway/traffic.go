package gateway

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/relay"
	"github.com/trefoilwalk/trefoilwalk/upstream/traffic"
)

// TrafficStatus describes what this process sends to a service.
type TrafficStatus struct {
	Service directory.ServiceName
	// Rate is in requests per second, Share this process's part of the prefill backlog, the
	// retry budget and the bytes at the upstreams.
	Rate, Share float64
}

// recordTraffic records a request that was admitted for a service.
func (g *Gateway) recordTraffic(h *table.HeldLocks, service directory.ServiceName) {
	now := g.clock.Now()
	g.traffic.With(h, func(l **traffic.Ledger) { (*l).Record(now, service) })
}

// applyTraffic takes a peer's statement. A peer of an earlier version sends none and counts
// as silent.
func (g *Gateway) applyTraffic(h *table.HeldLocks, now time.Time, m relay.Message) {
	if m.Traffic == nil {
		return
	}
	applied := false
	g.traffic.With(h, func(l **traffic.Ledger) { applied = (*l).Apply(now, m.From.Name, *m.Traffic) })
	if !applied {
		g.log.Warn(string(eventTrafficInvalid), "from", m.From.Name)
	}
}

// share returns this process's part of what all gateways share for a service.
func (g *Gateway) share(h *table.HeldLocks, now time.Time, service directory.ServiceName) (share float64) {
	processes := g.countGateways(h, now)
	g.traffic.With(h, func(l **traffic.Ledger) { share = (*l).Share(now, service, processes) })
	return share
}

// trafficStatus returns the services that this process sent requests to, in order of their
// names.
func (g *Gateway) trafficStatus(h *table.HeldLocks, now time.Time) (out []TrafficStatus) {
	processes := g.countGateways(h, now)
	g.traffic.With(h, func(l **traffic.Ledger) {
		for _, name := range (*l).Services() {
			out = append(out, TrafficStatus{name, (*l).Rate(now, name), (*l).Share(now, name, processes)})
		}
	})
	return out
}
