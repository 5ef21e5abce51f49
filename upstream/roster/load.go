package roster

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/load"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// crossZoneTokens is the load in tokens added to an upstream in another zone: about the
// cost of moving a prompt's KV cache between zones.
const crossZoneTokens = 1500

// crossZoneCalls is the load in calls added to a plain service in another zone.
const crossZoneCalls = 0.25

// slownessTokens is the load in tokens added to a decode engine for each time as much as
// usual that its work takes, at most crossZoneTokens: it decides only between engines whose
// loads differ by less.
const slownessTokens = 1000

// costs ranks the candidates of one choice.
type costs struct {
	now  time.Time
	need Need
	// mean is the mean load of a plain service's upstreams, queues that of the prefill
	// engines of each zone.
	mean   load.Mean
	queues map[zone.AvailabilityZone]*load.MeanQueue
}

// add adds an upstream of the needed service and role to what the candidates are compared
// with.
func (c *costs) add(u *Upstream) {
	switch u.Role {
	case upstream.RoleService:
		c.mean.Add(c.now, &u.load)
	case upstream.RolePrefill:
		if c.queues == nil {
			c.queues = make(map[zone.AvailabilityZone]*load.MeanQueue)
		}
		if c.queues[u.Zone] == nil {
			c.queues[u.Zone] = &load.MeanQueue{}
		}
		c.queues[u.Zone].Add(c.now, &u.load)
	}
}

// of returns what a candidate is ranked by: the expected completion of a call for plain
// services, the tokens before the end of the prompt for prefill engines, and the tokens held
// for decode engines. Upstreams in another zone get a surcharge.
func (c *costs) of(u *Upstream) float64 {
	far := 0.0
	if c.need.Near != "" && c.need.Near != u.Zone {
		far = 1
	}
	switch u.Role {
	case upstream.RoleService:
		return u.load.Completion(c.now, c.mean, u.calls, far*crossZoneCalls)
	case upstream.RolePrefill:
		// The waiting prompts are those of all processes; their size is not known.
		reported, assumed := u.load.Queue(c.now, *c.queues[u.Zone])
		prompt := float64(c.need.Prompt)
		tokens := max(float64(u.tokens), reported*prompt) + assumed*prompt + prompt
		return tokens*u.load.Slowness(c.now) + far*crossZoneTokens
	default:
		slow := min(crossZoneTokens, slownessTokens*max(0, u.load.Slowness(c.now)-1))
		return float64(u.tokens) + slow + far*crossZoneTokens
	}
}

// RecordLoad records the load that an upstream reported beside an answer.
func (b *Board) RecordLoad(now time.Time, c Choice, report runner.Load) {
	if u := b.find(c); u != nil {
		u.load.Record(now, report)
	}
}

// SlowCount counts the upstreams whose last report says that they are slow.
func (b *Board) SlowCount(now time.Time) (n int) {
	for _, u := range b.upstreams {
		if u.load.Slow(now) {
			n++
		}
	}
	return n
}
