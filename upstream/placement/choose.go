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
	// spillSample is the number of unwatched upstreams that a decision samples in
	// each distance class when the watched ones lack capacity.
	spillSample = 8
	// sameRegionCost and otherRegionCost are the latency that a request gains in
	// another availability zone of the region and in another region.
	sameRegionCost  = time.Millisecond
	otherRegionCost = 100 * time.Millisecond
	// failureCost is added for each consecutive failure.
	failureCost = 100 * time.Millisecond
	// noReportCost is added while there is no recent load report.
	noReportCost = 5 * time.Millisecond
	// fullCost is the assumed wait at an upstream without capacity.
	fullCost = time.Second
	// soonCost is added if capacity is expected soon but is not free now.
	soonCost = 30 * time.Millisecond
	// occupancyCost is added in proportion to the used slots: a larger batch
	// generates each token more slowly.
	occupancyCost = 20 * time.Millisecond
	// jitterCost bounds the random cost that keeps entries with the same reports
	// from picking the same upstream.
	jitterCost = 2 * time.Millisecond
)

// candidate is an upstream under consideration; the lowest cost is best.
type candidate struct {
	view *upstreamView
	cost time.Duration
	// estimate is the time returned to the caller. It assumes no prefix cache hit.
	estimate time.Duration
	probe    bool
}

// ChooseDecode chooses up to MaxChoices decode engines for the work, best first, and records
// the work as sent to the first.
func (b *Board) ChooseDecode(now time.Time, n Need) []Choice {
	return b.choose(now, poolKey{upstream.RoleDecode, string(n.Model)}, n)
}

// ChoosePrefill chooses up to MaxChoices prefill engines for the work, best first, and
// records the work as sent to the first.
func (b *Board) ChoosePrefill(now time.Time, n Need) []Choice {
	return b.choose(now, poolKey{upstream.RolePrefill, string(n.Model)}, n)
}

// ChooseService chooses up to MaxChoices upstreams of a plain service for the work, best
// first, and records the work as sent to the first.
func (b *Board) ChooseService(now time.Time, n Need) []Choice {
	return b.choose(now, poolKey{upstream.RoleService, n.Pool}, n)
}

func (b *Board) choose(now time.Time, key poolKey, n Need) []Choice {
	p, ok := b.pools[key]
	if !ok {
		return nil
	}
	candidates := b.candidates(now, p, key.role, n)
	ranked := b.rank(b, now, key.role, n, candidates)
	return b.selectChoices(now, key.role, n, ranked)
}

// candidates returns the watched upstreams that are eligible, plus a sample of the
// others if the watched ones lack capacity. If no upstream is eligible, it falls back
// to the watched ones regardless of health, and then also to excluded ones. The result
// aliases b.scratch.
func (b *Board) candidates(now time.Time, p *pool, role upstream.Role, n Need) []candidate {
	b.scratch = b.scratch[:0]
	b.addAll(now, p.watched, role, n)
	if !b.lacksCapacity(now, role, n) {
		return b.scratch
	}
	b.addSample(now, p.rest[:p.firstFar], role, n)
	if b.lacksCapacity(now, role, n) {
		b.addSample(now, p.rest[p.firstFar:], role, n)
	}
	if len(b.scratch) == 0 {
		b.addLastResort(now, p.watched, n)
	}
	if len(b.scratch) == 0 && len(n.Exclude) > 0 {
		n.Exclude = nil
		b.addLastResort(now, p.watched, n)
	}
	return b.scratch
}

func (b *Board) addAll(now time.Time, views []*upstreamView, role upstream.Role, n Need) {
	for _, view := range views {
		b.addEligible(now, view, role, n)
	}
}

// addSample adds up to spillSample upstreams, starting at a random index.
func (b *Board) addSample(now time.Time, views []*upstreamView, role upstream.Role, n Need) {
	if len(views) == 0 {
		return
	}
	start := b.random.IntN(len(views))
	for i := range min(spillSample, len(views)) {
		b.addEligible(now, views[(start+i)%len(views)], role, n)
	}
}

// addEligible adds one upstream unless it may not get new work.
func (b *Board) addEligible(now time.Time, view *upstreamView, role upstream.Role, n Need) {
	if !b.acceptsWork(view, n) || b.unreachableZones[view.config.Place.Zone] {
		return
	}
	verdict := view.health.Verdict(now)
	wrongRole := view.hasReport(now) && view.load.Role != 0 && view.load.Role != role
	if verdict == health.Ejected || wrongRole {
		return
	}
	c := b.estimateCost(now, view, role, n)
	c.probe = verdict == health.Probing
	b.scratch = append(b.scratch, c)
}

// addLastResort also adds ejected upstreams and those in unreachable zones: if no other is
// left, a detection error is more likely than a failure of all of them.
func (b *Board) addLastResort(now time.Time, views []*upstreamView, n Need) {
	for _, view := range views {
		if b.acceptsWork(view, n) {
			b.scratch = append(b.scratch, b.estimateCost(now, view, view.config.Role, n))
		}
	}
}

// acceptsWork reports whether an upstream may get new work at all: neither the
// platform nor its own report marks it as draining, and the request does not exclude it.
func (b *Board) acceptsWork(view *upstreamView, n Need) bool {
	return !b.draining[view.config.ID] && !view.load.Leaving && !slices.Contains(n.Exclude, view.config.ID)
}

// lacksCapacity reports whether no candidate has capacity or, for prefills, whether
// none would finish within the slack.
func (b *Board) lacksCapacity(now time.Time, role upstream.Role, n Need) bool {
	for _, c := range b.scratch {
		if role == upstream.RolePrefill && (n.Slack <= 0 || c.estimate <= n.Slack) {
			return false
		}
		if role != upstream.RolePrefill && (!c.view.hasReport(now) || c.view.fitsSoon(n)) {
			return false
		}
	}
	return true
}

// estimateCost computes the time estimate and the ranking cost of an upstream.
func (b *Board) estimateCost(now time.Time, view *upstreamView, role upstream.Role, n Need) candidate {
	c := candidate{view: view, estimate: b.distanceCost(view, n)}
	cacheSaving := time.Duration(0)
	switch role {
	case upstream.RolePrefill:
		c.estimate += view.queueTime(now) + view.prefillTime(n.Tokens)
		cacheSaving = view.expectedCacheSaving(now, n)
	case upstream.RoleDecode:
		c.estimate += view.linkWait(now)
	}
	if role != upstream.RolePrefill && view.hasReport(now) && !view.fitsSoon(n) {
		c.estimate += fullCost
	}
	c.cost = c.estimate - cacheSaving + view.penalty(now)
	if role != upstream.RolePrefill && view.hasReport(now) && !view.fitsNow(n) {
		c.cost += soonCost
	}
	if role != upstream.RolePrefill {
		c.cost += time.Duration(view.occupancy() * float64(occupancyCost))
	}
	return c
}

func (b *Board) distanceCost(view *upstreamView, n Need) time.Duration {
	distance := view.distance
	if n.Near != (zone.Place{}) {
		distance = view.config.Place.Distance(n.Near)
	}
	return [...]time.Duration{0, sameRegionCost, otherRegionCost}[distance]
}

// penalty is the cost of recent failures and of a missing load report.
func (v *upstreamView) penalty(now time.Time) time.Duration {
	cost := time.Duration(v.health.ConsecutiveFailures()) * failureCost
	if !v.hasReport(now) {
		cost += noReportCost
	}
	return cost
}

// expectedCacheSaving is the prefill time saved by a prefix cache hit, multiplied by
// its probability.
func (v *upstreamView) expectedCacheSaving(now time.Time, n Need) time.Duration {
	return time.Duration(v.prefixes.probability(now, n.Prefix) * float64(v.prefixPrefillTime(n)))
}

// prefixPrefillTime is the prefill time of the one block that Need.Prefix covers.
// Later blocks of the prompt may be cached too, but are not tracked.
func (v *upstreamView) prefixPrefillTime(n Need) time.Duration {
	if n.Prefix == 0 {
		return 0
	}
	return v.prefillTime(min(n.Tokens, upstream.BlockTokens))
}

// selectChoices converts the best candidates into choices and records the work as
// sent to the first.
func (b *Board) selectChoices(now time.Time, role upstream.Role, n Need, ranked []candidate) []Choice {
	if len(ranked) == 0 {
		return nil
	}
	first := ranked[0]
	work := sentWork{at: now, slots: 1, blocks: n.Blocks}
	if role == upstream.RolePrefill {
		work = sentWork{at: now, tokens: n.Tokens}
	}
	first.view.recordSend(work)
	if first.probe {
		first.view.health.RecordProbe(now)
	}
	choices := make([]Choice, 0, MaxChoices)
	for _, c := range ranked {
		if len(choices) == MaxChoices {
			break
		}
		choices = append(choices, c.view.choice(c.estimate))
	}
	return choices
}

// byCost orders candidates by cost, then by ID so that the order is deterministic.
func byCost(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.view.config.ID, b.view.config.ID))
}
