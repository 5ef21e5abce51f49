package roster

import (
	"maps"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream/pace"
)

// ColdRule is what a service states of its cold upstreams.
type ColdRule struct {
	// For is how long an upstream is cold after its start.
	For   time.Duration
	Limit pace.Limit
}

// PaceCounts counts the decisions on sends to cold upstreams.
type PaceCounts struct {
	// Sent counts the requests that were sent to cold upstreams, Denied those that began
	// but were not sent, since the turn had passed to another gateway.
	Sent, Denied uint64
}

// SetColdRules replaces the rules of all services by those of a version of the configuration,
// unless they are of a later one. self is this gateway.
func (b *Board) SetColdRules(version uint64, self instance.Name, rules map[directory.ServiceName]ColdRule) {
	if version < b.pace.coldVersion {
		return
	}
	b.pace.cold, b.pace.coldVersion = rules, version
	for service := range b.pace.fleets {
		if _, ok := rules[service]; !ok {
			delete(b.pace.fleets, service)
		}
	}
	for service := range rules {
		if b.pace.fleets[service] == nil {
			b.pace.fleets[service] = pace.NewFleet(self)
		}
	}
}

// ColdServices returns the services whose upstreams may be cold.
func (b *Board) ColdServices() (out []directory.ServiceName) {
	for service := range b.pace.cold {
		out = append(out, service)
	}
	return out
}

// UpdateFleet replaces what is known of the gateways that send to a service, see
// pace.Fleet.Update.
func (b *Board) UpdateFleet(now time.Time, service directory.ServiceName, traffic float64, complete bool, live []pace.Gateway) {
	if f := b.pace.fleets[service]; f != nil {
		f.Update(now, traffic, complete, live)
	}
}

// applyWarmup takes the time for which a registered upstream stays cold; it counts from now,
// since the registration may be some seconds old. A new incarnation is cold for the time
// that its service states, unless it was listed in the first list that this gateway read.
func (b *Board) applyWarmup(now time.Time, u *Upstream, first, back bool, changes []Change) []Change {
	left := u.Warmup
	if !u.pace.registered && !first {
		left = max(left, b.pace.cold[u.Service].For)
	}
	if !u.pace.registered && !first || back && now.Sub(u.pace.answeredAt) > inUseWithin {
		b.startPace(now, u)
	}
	u.pace.registered = true
	u.extendCold(now, left)
	if b.coldShares(now, u) != nil && !u.pace.reportedCold {
		u.pace.reportedCold = true
		changes = append(changes, Change{u.ID, "cold", u.Addr, u.Role})
	}
	return changes
}

// reportWarm adds a change for each upstream that is no longer cold, and forgets the usual
// times of groups without an upstream.
func (b *Board) reportWarm(now time.Time, changes []Change) []Change {
	present := make(map[groupKey]bool)
	for _, u := range b.upstreams {
		present[groupKey{u.Service, u.Role}] = true
		if u.pace.reportedCold && b.coldShares(now, u) == nil {
			u.pace.reportedCold = false
			changes = append(changes, Change{u.ID, "warm", u.Addr, u.Role})
		}
	}
	maps.DeleteFunc(b.pace.usual, func(k groupKey, _ time.Duration) bool { return !present[k] })
	return changes
}

// extendCold records that an upstream stays cold for a time. A shorter time than the known
// one is ignored, since it may be older.
func (u *Upstream) extendCold(now time.Time, left time.Duration) {
	if until := now.Add(left); left > 0 && until.After(u.pace.coldUntil) {
		u.pace.coldUntil = until
	}
}

// recordWarmup records that an upstream said in an answer that it is cold, and reports
// whether it was taken for warm.
func (b *Board) recordWarmup(now time.Time, from runner.Target, left time.Duration) (isNew bool) {
	u, ok := b.upstreams[from.ID]
	if !ok || u.Born != from.Born {
		return false
	}
	u.extendCold(now, left)
	isNew = b.coldShares(now, u) != nil && !u.pace.reportedCold
	u.pace.reportedCold = u.pace.reportedCold || isNew
	return isNew
}

// coldShares returns the shares of an upstream, nil if it is not cold or its service states
// no limit.
func (b *Board) coldShares(now time.Time, u *Upstream) *pace.Shares {
	if !now.Before(u.pace.coldUntil) {
		u.pace.shares = nil
		return nil
	}
	rule, ok := b.pace.cold[u.Service]
	if !ok {
		return nil
	}
	if u.pace.shares == nil {
		u.pace.shares = pace.NewShares(u.ID, rule.Limit)
	}
	u.pace.shares.SetLimit(rule.Limit)
	return u.pace.shares
}

// mayBegin reports whether the limit of an upstream, if it is cold, allows another request
// to begin that leads to a send there.
func (b *Board) mayBegin(now time.Time, u *Upstream) bool {
	s := b.coldShares(now, u)
	return s == nil || s.Free(now, b.pace.fleets[u.Service]) > u.pace.held
}

// TakeSend records that a request is about to be sent to an upstream, and reports whether
// the limit of the upstream allows it. Call it for each plain call, prefill and stream.
func (b *Board) TakeSend(now time.Time, c Choice) bool {
	u := b.find(c)
	if u == nil {
		return true
	}
	s := b.coldShares(now, u)
	if s == nil {
		return true
	}
	if !s.Take(now, b.pace.fleets[u.Service]) {
		b.pace.counts.Denied++
		return false
	}
	b.pace.counts.Sent++
	return true
}

// HoldSend keeps a send for a request that has a reservation at an upstream. The caller
// calls ReleaseSend when the request is sent or gives the reservation back.
func (b *Board) HoldSend(c Choice) {
	if u := b.find(c); u != nil {
		u.pace.held++
	}
}

// ReleaseSend ends a HoldSend.
func (b *Board) ReleaseSend(c Choice) {
	if u := b.find(c); u != nil {
		u.pace.held = max(0, u.pace.held-1)
	}
}

// PaceWait reports whether only the limits of cold upstreams keep a request from being
// placed, and after which time it may be, as far as is known, if so many others are placed
// before it; ok is false if it may not within the given time.
func (b *Board) PaceWait(now time.Time, need Need, ahead int, within time.Duration) (wait time.Duration, blocked, ok bool) {
	wait = within
	if len(b.pace.cold) == 0 {
		return wait, false, true
	}
	owned, warm := 0, within
	for _, u := range b.upstreams {
		if !b.mayServe(now, u, need) {
			continue
		}
		s := b.coldShares(now, u)
		if s == nil || s.Free(now, b.pace.fleets[u.Service]) > u.pace.held {
			return 0, false, true
		}
		blocked = true
		warm = min(warm, u.pace.coldUntil.Sub(now))
		owned += s.Owned(now, b.pace.fleets[u.Service])
		if turn, in := s.Wait(now, b.pace.fleets[u.Service], wait); in {
			wait, ok = turn, true
		}
	}
	if owned > 0 {
		// About so many turns a second come for those ahead.
		wait = max(wait, time.Duration(ahead)*time.Second/time.Duration(owned))
	}
	if blocked && warm < within {
		wait, ok = min(wait, warm), true
	}
	return wait, blocked, ok && wait <= within
}

// PaceCounts returns the decisions on sends to cold upstreams since the start.
func (b *Board) PaceCounts() PaceCounts {
	return b.pace.counts
}
