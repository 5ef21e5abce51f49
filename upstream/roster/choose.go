package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/health"
	"github.com/trefoilwalk/trefoilwalk/upstream/pace"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Need describes the upstream that a request needs.
type Need struct {
	Service directory.ServiceName
	Role    upstream.Role
	// Near is the preferred availability zone; empty means no preference.
	Near zone.AvailabilityZone
	// Prompt is the size of a request to a prefill engine.
	Prompt contract.Tokens
	// Bytes is the size of the request's body, and MostBytes that of all bodies that this
	// process may have at one upstream; 0 for no bound.
	Bytes, MostBytes int64
	// Exclude lists upstreams that have already failed the request.
	Exclude []upstream.ID
	// Homes are the regions in which the request may run; nil means all, an empty list none.
	Homes []zone.Region
}

// Choice is a candidate upstream, with a copy of its state at the time of the decision.
type Choice struct {
	runner.Target
	Zone zone.AvailabilityZone
	// Calls and Tokens are the work that this process had running there.
	Calls  int
	Tokens contract.Tokens
	// Bytes is Need.Bytes.
	Bytes int64
	// Class ranks it before its cost: 0 for a healthy one, 1 for one that is full or whose
	// pace allows nothing now, 2 for an ejected one.
	Class int
}

// scored is a candidate with its sort keys, in order of precedence.
type scored struct {
	upstream *Upstream
	// class is 0 for healthy, 1 for full, a recent early eviction of a KV cache or a pace
	// that allows nothing now, or classEjected.
	class      int
	cost       float64
	tieBreaker uint64
}

// classEjected is the class of ejected upstreams.
const classEjected = 2

// Choose returns the upstreams to try, best first; of more than sampleSize, those of a random
// sample. Full and ejected ones come last, since their state may be out of date. Leaving,
// paused, down, role-changing and excluded ones are left out, those in zones that the
// request must not use, and cold ones whose share is used up.
func (b *Board) Choose(now time.Time, need Need) []Choice {
	if need.Role == upstream.RolePrefill && b.spillToAnyZone(need) {
		need.Near = ""
	}
	costs := costs{now: now, need: need}
	members := b.members(need.Service, need.Role)
	list, healthy := make([]scored, 0, min(len(members), sampleSize)), 0
	for i := range members {
		if i >= sampleSize && len(list) >= minCandidates && healthy > 0 {
			break
		}
		u := b.draw(members, i)
		costs.add(u)
		if !b.isCandidate(now, u, need) || !b.mayBegin(now, u) {
			continue
		}
		class := max(u.class(now), b.paceClass(now, u))
		if class == 0 {
			healthy++
		}
		list = append(list, scored{upstream: u, class: class, tieBreaker: b.random()})
	}
	for i := range list {
		list[i].cost = costs.of(list[i].upstream)
	}
	slices.SortFunc(list, func(x, y scored) int {
		return cmp.Or(cmp.Compare(x.class, y.class), cmp.Compare(x.cost, y.cost), cmp.Compare(x.tieBreaker, y.tieBreaker))
	})
	choices := make([]Choice, len(list))
	for i, s := range list {
		u := s.upstream
		choices[i] = Choice{runner.Target{ID: u.ID, Addr: u.Addr, Born: u.Born}, u.Zone, u.calls, u.tokens, need.Bytes, s.class}
	}
	return choices
}

// mayServe reports whether an upstream may get a request, its pace left aside.
func (b *Board) mayServe(now time.Time, u *Upstream, need Need) bool {
	return u.Service == need.Service && u.Role == need.Role && b.isCandidate(now, u, need)
}

// isCandidate reports whether an upstream of the needed service and role may get the request.
func (b *Board) isCandidate(now time.Time, u *Upstream, need Need) bool {
	switch {
	case now.Before(u.downUntil), now.Before(u.roleChangeUntil), slices.Contains(need.Exclude, u.ID), !u.hasRoomFor(need):
		return false
	}
	return b.Exclusion(u.Zone, need) == "" && !b.isLeaving(u) && b.notices.PauseLeft(now, incarnation(u.Record)) == 0
}

// random returns the next 32-bit pseudo-random number of a linear congruential generator.
func (b *Board) random() uint64 {
	b.randomState = b.randomState*6364136223846793005 + 1442695040888963407
	return b.randomState >> 32
}

// spillToAnyZone reports whether to ignore the preferred zone for a prefill. A process
// sees only its own prompts, so if every process prefilled near the decode engine, a zone
// with a smaller share of the prefill engines than of the decode engines would be
// overloaded. The excess share of the prompts is chosen at random.
func (b *Board) spillToAnyZone(need Need) bool {
	prefill, nearPrefill := b.countNear(need, upstream.RolePrefill)
	decode, nearDecode := b.countNear(need, upstream.RoleDecode)
	if prefill == 0 || nearDecode == 0 {
		return false
	}
	nearRatio := nearPrefill / prefill / (nearDecode / decode)
	return float64(b.random()) >= nearRatio*(1<<32)
}

// countNear counts the upstreams of a role that may get a request, and those of them in its
// preferred zone; of more than sampleSize, in a random sample.
func (b *Board) countNear(need Need, role upstream.Role) (all, near float64) {
	members := b.members(need.Service, role)
	for i := range min(len(members), sampleSize) {
		u := b.draw(members, i)
		if b.Exclusion(u.Zone, need) != "" || b.isLeaving(u) {
			continue
		}
		all++
		if u.Zone == need.Near {
			near++
		}
	}
	return all, near
}

func (u *Upstream) class(now time.Time) int {
	switch u.health.Verdict(now) {
	case health.Ejected:
		return classEjected
	case health.Probing:
		return 0
	}
	if now.Before(u.fullUntil) || now.Before(u.evictionPenaltyUntil) {
		return 1
	}
	return 0
}

// find returns the upstream of a choice, or nil if it is gone or has restarted since.
func (b *Board) find(c Choice) *Upstream {
	u, ok := b.upstreams[c.ID]
	if !ok || u.Born != c.Born {
		return nil
	}
	return u
}

// AddCall adds a call that was sent to an upstream to its running work. The caller
// calls RemoveCall with the same tokens when the call ends.
func (b *Board) AddCall(c Choice, tokens contract.Tokens) {
	if u := b.find(c); u != nil {
		u.calls++
		u.tokens += tokens
		u.bytes += c.Bytes
		u.load.Sent()
	}
}

// RemoveCall removes a call from the running work of an upstream.
func (b *Board) RemoveCall(c Choice, tokens contract.Tokens) {
	if u := b.find(c); u != nil {
		u.calls = max(0, u.calls-1)
		u.load.Ended()
		u.tokens = max(0, u.tokens-tokens)
		u.bytes = max(0, u.bytes-c.Bytes)
	}
}

// RecordProbe records that a request was sent to an upstream; call it for each one. If the
// upstream is probing, it gets no other request until the probe ends or times out.
func (b *Board) RecordProbe(now time.Time, c Choice) {
	if u := b.find(c); u != nil && u.health.Verdict(now) == health.Probing {
		u.health.RecordProbe(now)
	}
}

// MarkFull records that an upstream rejected a request for lack of capacity.
func (b *Board) MarkFull(now time.Time, c Choice) {
	if u := b.find(c); u != nil {
		u.fullUntil = now.Add(FullFor)
		if u.Role != upstream.RoleDecode {
			// A decode engine rejects reservations whenever its memory is full.
			b.paceOutcome(now, u, pace.Outcome{Result: pace.Rejected})
		}
	}
}

// RecordEviction records that a prefill engine evicted a KV cache before it could be
// fetched. For EvictionPenaltyFor, other engines are tried first.
func (b *Board) RecordEviction(now time.Time, c Choice) {
	if u := b.find(c); u != nil {
		u.evictionPenaltyUntil = now.Add(EvictionPenaltyFor)
	}
}

// maxBrokenReservations is the number of consecutive reservations that an engine may
// fail to honor before it counts as down: it is probably changing its role or about to
// leave.
const maxBrokenReservations = 2

// RecordBrokenReservation records that an engine rejected a request for which it had
// reserved memory.
func (b *Board) RecordBrokenReservation(now time.Time, c Choice) {
	u := b.find(c)
	if u == nil {
		return
	}
	u.brokenReservations++
	if u.brokenReservations >= maxBrokenReservations {
		u.downUntil = now.Add(DownFor)
	}
}

// RoleOrder is an order to an engine to change its role.
type RoleOrder struct {
	ID upstream.ID
	To upstream.Role
	// Busy is the time left for which the engine takes no work, Pending that in which
	// the order may still take effect.
	Busy, Pending time.Duration
}

// RecordRoleOrder records an order to an engine: the engine gets no work for a time, and
// counts as an engine of its new role. Times earlier than the known ones are ignored.
func (b *Board) RecordRoleOrder(now time.Time, o RoleOrder) {
	u, ok := b.upstreams[o.ID]
	if !ok {
		return
	}
	if until := now.Add(o.Busy); until.After(u.roleChangeUntil) {
		u.roleChangeUntil = until
	}
	if until := now.Add(o.Pending); until.After(u.orderedUntil) {
		u.orderedRole, u.orderedUntil = o.To, until
	}
}

// RoleOrders returns the orders that engines are carrying out or may still carry out, nil
// if there are none.
func (b *Board) RoleOrders(now time.Time) []RoleOrder {
	var out []RoleOrder
	for id, u := range b.upstreams {
		busy, pending := u.roleChangeUntil.Sub(now), u.orderedUntil.Sub(now)
		if busy > 0 || pending > 0 {
			out = append(out, RoleOrder{ID: id, To: u.orderedRole, Busy: max(0, busy), Pending: max(0, pending)})
		}
	}
	return out
}

// MarkDown records that an upstream is unreachable: it gets no work for DownFor.
func (b *Board) MarkDown(now time.Time, c Choice) {
	if u := b.find(c); u != nil {
		u.downUntil = now.Add(DownFor)
	}
}

// MarkMisdirected records that another upstream answered at the address: the upstream
// gets no work for MisdirectedFor.
func (b *Board) MarkMisdirected(now time.Time, c Choice) {
	if u := b.find(c); u != nil {
		u.downUntil = now.Add(MisdirectedFor)
	}
}

// RecordFailure records a failed call for outlier detection.
func (b *Board) RecordFailure(now time.Time, c Choice) {
	if u := b.find(c); u != nil {
		u.health.RecordFailure(now)
		b.paceOutcome(now, u, pace.Outcome{Result: pace.Failed})
	}
}

// RecordResult records an unsuccessful call with MarkMisdirected, MarkDown, MarkFull or
// RecordFailure, depending on its result.
func (b *Board) RecordResult(now time.Time, c Choice, result runner.Result) {
	if !result.Misdirected {
		b.RecordLoad(now, c, result.Load)
	}
	switch {
	case result.NoDescriptor:
	case result.Misdirected:
		b.MarkMisdirected(now, c)
	case result.Refused, result.Reach == runner.NotSent:
		b.MarkDown(now, c)
	case result.Reach == runner.Rejected:
		b.MarkFull(now, c)
	default:
		b.RecordFailure(now, c)
	}
}

// RecordSuccess records a successful call, its latency, and the load in the reply if
// there is one.
func (b *Board) RecordSuccess(now time.Time, c Choice, took time.Duration, load runner.Load) {
	u := b.find(c)
	if u == nil {
		return
	}
	ejected := u.health.Verdict(now) != health.Healthy
	u.health.RecordSuccess(now, took)
	if ejected && u.health.Verdict(now) == health.Healthy {
		b.startPace(now, u)
	}
	u.brokenReservations = 0
	u.load.Record(now, load)
}

// PrefillBacklog limits the prompts queued at a prefill engine, as the time to prefill
// them. A prompt that waits longer outlasts the reservation at its decode engine, which
// then grants the same memory twice.
const PrefillBacklog = 800 * time.Millisecond

// The backlog share is adapted by additive increase and multiplicative decrease: each
// prompt that waited longer than PrefillBacklog shrinks it, each other one grows it. The
// wait thus falls even if engines slow down or more processes send than are known.
const (
	backlogDecreaseFactor = 0.7
	backlogIncreaseStep   = 0.05
	minBacklogShare       = 0.1
)

// RecordPrefill updates the backlog share from the time that one prefill took, including
// its wait in the queue. rate is the prefill rate of one engine, in tokens per second.
func (b *Board) RecordPrefill(prompt contract.Tokens, took time.Duration, rate float64) {
	if rate <= 0 {
		return
	}
	prefillTime := time.Duration(float64(prompt) / rate * float64(time.Second))
	if took-prefillTime > PrefillBacklog {
		b.backlogShare = max(minBacklogShare, b.backlogShare*backlogDecreaseFactor)
	} else {
		b.backlogShare = min(1, b.backlogShare+backlogIncreaseStep)
	}
}

// MayPrefill reports whether this process may send another prompt to the prefill engines that
// a request may use; the role of its need is ignored. share is the process's part of the
// allowed backlog; one with no prompt running there may always send one. rate is the prefill
// rate of one engine in tokens per second; as long as it is not known, 0, each engine gets
// one prompt at a time.
func (b *Board) MayPrefill(need Need, prompt contract.Tokens, rate, share float64) bool {
	engines, calls, sent := 0, 0, contract.Tokens(0)
	for _, u := range b.members(need.Service, upstream.RolePrefill) {
		if b.Exclusion(u.Zone, need) == "" {
			engines++
			calls += u.calls
			sent += u.tokens
		}
	}
	if sent == 0 {
		return true
	}
	if rate <= 0 {
		return calls < engines
	}
	allowed := PrefillBacklog.Seconds() * b.backlogShare * rate * float64(engines)
	return float64(sent+prompt) <= allowed*share
}
