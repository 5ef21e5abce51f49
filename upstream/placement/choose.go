package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/health"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

const (
	// spillSample bounds how many upstreams beyond the watched ones a decision
	// looks at when the watched ones are short.
	spillSample = 8
	// regionCost is the time that another availability zone of the same region
	// adds to a request, farCost that of another region.
	regionCost = time.Millisecond
	farCost    = 100 * time.Millisecond
	// failureCost is added for each failure in a row.
	failureCost = 100 * time.Millisecond
	// unknownCost is added while nothing was heard of an upstream.
	unknownCost = 5 * time.Millisecond
	// fullCost is the wait assumed at an upstream without room.
	fullCost = time.Second
	// soonCost is added while a place is free only soon.
	soonCost = 30 * time.Millisecond
	// crowdCost is added at a full batch, and in part before: tokens come
	// slower from a larger batch.
	crowdCost = 20 * time.Millisecond
	// noiseCost spreads the choices of entries that see the same report.
	noiseCost = 2 * time.Millisecond
)

// candidate is an upstream under consideration; the least cost wins.
type candidate struct {
	r    *runner
	cost time.Duration
	// estimate is what the caller is told, without any hope in it.
	estimate time.Duration
	probe    bool
}

// Decode chooses decode engines, best first. The first choice counts as sent.
func (b *Board) Decode(now time.Time, n Need) []Choice {
	return b.choose(now, poolKey{upstream.RoleDecode, string(n.Model)}, n)
}

// Prefill chooses prefill engines, best first. The first choice counts as sent.
func (b *Board) Prefill(now time.Time, n Need) []Choice {
	return b.choose(now, poolKey{upstream.RolePrefill, string(n.Model)}, n)
}

// Service chooses plain services, best first. The first choice counts as sent.
func (b *Board) Service(now time.Time, n Need) []Choice {
	return b.choose(now, poolKey{upstream.RoleService, n.Pool}, n)
}

func (b *Board) choose(now time.Time, key poolKey, n Need) []Choice {
	p, ok := b.pools[key]
	if !ok {
		return nil
	}
	candidates := b.candidates(now, p, key.role, n)
	ranked := b.score(b, now, key.role, n, candidates)
	return b.take(now, key.role, n, ranked)
}

// candidates collects the upstreams to weigh: the watched ones, and a sample of
// the others when those are short.
func (b *Board) candidates(now time.Time, p *pool, role upstream.Role, n Need) []candidate {
	b.scratch = b.scratch[:0]
	b.addAll(now, p.near, role, n)
	if !b.short(now, role, n) {
		return b.scratch
	}
	b.addSample(now, p.rest[:p.far], role, n)
	if b.short(now, role, n) {
		b.addSample(now, p.rest[p.far:], role, n)
	}
	if len(b.scratch) == 0 {
		b.addDoubtful(now, p.near, n)
	}
	if len(b.scratch) == 0 && len(n.Exclude) > 0 {
		n.Exclude = nil
		b.addDoubtful(now, p.near, n)
	}
	return b.scratch
}

func (b *Board) addAll(now time.Time, runners []*runner, role upstream.Role, n Need) {
	for _, r := range runners {
		b.add(now, r, role, n)
	}
}

// addSample adds some of the runners, from a random place on.
func (b *Board) addSample(now time.Time, runners []*runner, role upstream.Role, n Need) {
	if len(runners) == 0 {
		return
	}
	start := b.random.IntN(len(runners))
	for i := range min(spillSample, len(runners)) {
		b.add(now, runners[(start+i)%len(runners)], role, n)
	}
}

// add weighs one upstream if it may get new work.
func (b *Board) add(now time.Time, r *runner, role upstream.Role, n Need) {
	if !b.takesWork(r, n) || b.quiet[r.up.Place.Zone] {
		return
	}
	verdict := r.health.Verdict(now)
	wrongRole := r.known(now) && r.load.Role != 0 && r.load.Role != role
	if verdict == health.Ejected || wrongRole {
		return
	}
	c := b.weigh(now, r, role, n)
	c.probe = verdict == health.Probing
	b.scratch = append(b.scratch, c)
}

// addDoubtful adds ejected upstreams and those in quiet zones: when nothing
// else is left, the detection is more likely wrong than all of them.
func (b *Board) addDoubtful(now time.Time, runners []*runner, n Need) {
	for _, r := range runners {
		if b.takesWork(r, n) {
			b.scratch = append(b.scratch, b.weigh(now, r, r.up.Role, n))
		}
	}
}

// takesWork reports whether an upstream may get new work at all: it is neither
// leaving by the platform's list or its own word nor excluded.
func (b *Board) takesWork(r *runner, n Need) bool {
	return !b.leaving[r.up.ID] && !r.load.Leaving && !slices.Contains(n.Exclude, r.up.ID)
}

// short reports whether no candidate has room, or, for prefills, whether none
// would be done within the slack.
func (b *Board) short(now time.Time, role upstream.Role, n Need) bool {
	for _, c := range b.scratch {
		if role == upstream.RolePrefill && (n.Slack <= 0 || c.estimate <= n.Slack) {
			return false
		}
		if role != upstream.RolePrefill && (!c.r.known(now) || c.r.fits(n)) {
			return false
		}
	}
	return true
}

// weigh estimates what an upstream would cost the request.
func (b *Board) weigh(now time.Time, r *runner, role upstream.Role, n Need) candidate {
	c := candidate{r: r, estimate: b.distanceCost(r, n)}
	hope := time.Duration(0)
	switch role {
	case upstream.RolePrefill:
		c.estimate += r.queueTime(now) + r.prefillTime(n.Tokens)
		hope = r.cacheHope(now, n)
	case upstream.RoleDecode:
		c.estimate += r.linkWait(now)
	}
	if role != upstream.RolePrefill && r.known(now) && !r.fits(n) {
		c.estimate += fullCost
	}
	c.cost = c.estimate - hope + r.doubt(now)
	if role != upstream.RolePrefill && r.known(now) && !r.fitsNow(n) {
		c.cost += soonCost
	}
	if role != upstream.RolePrefill {
		c.cost += time.Duration(r.occupancy() * float64(crowdCost))
	}
	return c
}

func (b *Board) distanceCost(r *runner, n Need) time.Duration {
	distance := r.distance
	if n.Near != (zone.Place{}) {
		distance = r.up.Place.Distance(n.Near)
	}
	return [...]time.Duration{0, regionCost, farCost}[distance]
}

// doubt is added for what speaks against an upstream besides its load.
func (r *runner) doubt(now time.Time) time.Duration {
	cost := time.Duration(r.health.Streak()) * failureCost
	if !r.known(now) {
		cost += unknownCost
	}
	return cost
}

// cacheHope is what a cached prefix may save.
func (r *runner) cacheHope(now time.Time, n Need) time.Duration {
	return time.Duration(r.cache.belief(now, n.Prefix) * float64(r.prefixWorth(n)))
}

// prefixWorth is the time for the one block that the need's prefix names: what
// follows in the prompt may be cached as well, but nothing says so.
func (r *runner) prefixWorth(n Need) time.Duration {
	if n.Prefix == 0 {
		return 0
	}
	return r.prefillTime(min(n.Tokens, upstream.BlockTokens))
}

// take turns the ranked candidates into choices and counts the first as sent.
func (b *Board) take(now time.Time, role upstream.Role, n Need, ranked []candidate) []Choice {
	if len(ranked) == 0 {
		return nil
	}
	first := ranked[0]
	work := send{at: now, slots: 1, blocks: n.Blocks}
	if role == upstream.RolePrefill {
		work = send{at: now, tokens: n.Tokens}
	}
	first.r.sent(work)
	if first.probe {
		first.r.health.Probe(now)
	}
	choices := make([]Choice, 0, MaxChoices)
	for _, c := range ranked {
		if len(choices) == MaxChoices {
			break
		}
		choices = append(choices, c.r.choice(c.estimate))
	}
	return choices
}

// byCost orders candidates; equal costs go by name so that runs are repeatable.
func byCost(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.r.up.ID, b.r.up.ID))
}
