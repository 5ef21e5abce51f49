// Package pace decides how many requests a cold or recovered upstream gets. Shares divides
// the stated limit of a cold upstream among the gateways, Controller finds the pace of an
// upstream from its answers. Nothing here has a lock: the board of package roster, which is
// kept in a shared table, serializes access.
package pace

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/instance"
)

// Times and figures of the fleet as one gateway knows it.
const (
	// KeepSilent is how long a gateway that is no longer heard keeps its units: it may
	// still reach upstreams. Less than the limit is used meanwhile.
	KeepSilent = 5 * time.Minute
	// LeastOf is the number of gateways among which a gateway that does not know the
	// fleet counts itself: twice the design size, so that the sum keeps the limit also
	// if all gateways have just started.
	LeastOf = 740
	// StatementAge is the age up to which the gateways may use different statements of
	// each other's traffic.
	StatementAge = 2 * time.Second
	// maxHolders bounds the gateways that are remembered.
	maxHolders = 4096
)

// Gateway is one live gateway and the requests per second to the service that it states.
type Gateway struct {
	Name    instance.Name
	Traffic float64
	// Stated is false if there is no recent statement: the gateway is then taken to
	// have as much traffic as the busiest one.
	Stated bool
	// Listed means that others listed it and it has sent no message: it may be long gone.
	Listed bool
}

// Fleet is the gateways as this one knows them, with their weights for one service.
type Fleet struct {
	self holder
	// ownTraffic holds the own figures of the last StatementAge. The lowest one counts, so
	// that no other gateway takes this one for smaller than it does itself.
	ownTraffic []ownFigure
	others     map[instance.Name]*holder
	// complete is set if all live gateways are believed to be known.
	complete bool
	// version rises with each change, so that owners are computed again.
	version uint64
}

// ownFigure is the weight of this gateway that was stated from a time on.
type ownFigure struct {
	at     time.Time
	weight float64
}

// holder is a gateway that owns units.
type holder struct {
	hash   uint64
	weight float64
	seenAt time.Time
	listed bool
}

// NewFleet returns the fleet of a gateway that knows no other one yet.
func NewFleet(self instance.Name) *Fleet {
	return &Fleet{self: holder{hash: xxhash.Sum64String(string(self)), weight: 1}, others: make(map[instance.Name]*holder), version: 1}
}

// weight follows the traffic; the constant keeps a gateway whose traffic has just arrived
// from being without any share.
func weight(traffic float64) float64 {
	return 1 + max(0, traffic)
}

// Update replaces the stated figures; own is the one of this gateway. complete tells whether all live
// gateways are believed to be known; if not, this one takes the least share. Gateways that
// are missing keep their weight for KeepSilent, unless they were only listed.
func (f *Fleet) Update(now time.Time, own float64, complete bool, live []Gateway) {
	most := weight(own)
	for _, g := range live {
		if g.Stated {
			most = max(most, weight(g.Traffic))
		}
	}
	ownWeight := f.least(now, weight(own))
	changed := f.complete != complete || f.self.weight != ownWeight
	f.complete, f.self.weight = complete, ownWeight
	for _, g := range live {
		w := most
		if g.Stated {
			w = weight(g.Traffic)
		}
		h, ok := f.others[g.Name]
		if !ok {
			if len(f.others) >= maxHolders {
				continue
			}
			h = &holder{hash: xxhash.Sum64String(string(g.Name))}
			f.others[g.Name] = h
		}
		changed = changed || h.weight != w
		h.weight, h.seenAt, h.listed = w, now, g.Listed
	}
	for name, h := range f.others {
		if now.Sub(h.seenAt) >= KeepSilent || h.listed && h.seenAt.Before(now) {
			delete(f.others, name)
			changed = true
		}
	}
	if changed {
		f.version++
	}
}

// least records the own weight and returns the lowest one of the last StatementAge.
func (f *Fleet) least(now time.Time, own float64) float64 {
	if n := len(f.ownTraffic); n == 0 || f.ownTraffic[n-1].weight != own {
		f.ownTraffic = append(f.ownTraffic, ownFigure{now, own})
	}
	// A figure counts until StatementAge after it was replaced.
	for len(f.ownTraffic) > 1 && now.Sub(f.ownTraffic[1].at) >= StatementAge {
		f.ownTraffic = f.ownTraffic[1:]
	}
	lowest := own
	for _, o := range f.ownTraffic {
		lowest = min(lowest, o.weight)
	}
	return lowest
}

// Size returns the number of gateways that may own units.
func (f *Fleet) Size() int {
	return 1 + len(f.others)
}

// owns reports whether a unit with the given seed belongs to this gateway, with even without
// regard to the traffic. One that may not know all others takes the least share.
func (f *Fleet) owns(seed uint64, even bool) bool {
	if !f.complete && unitExponential(mix(f.self.hash+1)^seed)/LeastOf < unitExponential(f.self.hash^seed) {
		return false
	}
	return f.first(seed, even)
}

// first reports whether this gateway is the first one for a seed among those that it knows:
// the one with the lowest exponentially distributed hash, whose rate is the weight or, with
// even, the same for all.
func (f *Fleet) first(seed uint64, even bool) bool {
	own := f.self.score(seed, even)
	for _, h := range f.others {
		if h.score(seed, even) < own {
			return false
		}
	}
	return true
}

func (h *holder) score(seed uint64, even bool) float64 {
	if even {
		return unitExponential(h.hash ^ seed)
	}
	return unitExponential(h.hash^seed) / h.weight
}

// unitExponential turns a number into an exponentially distributed one of mean 1.
func unitExponential(x uint64) float64 {
	const bits = 53
	return -math.Log((float64(mix(x)>>(64-bits)) + 0.5) / (1 << bits))
}
