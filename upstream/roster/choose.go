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
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Need is what a request asks for.
type Need struct {
	Service directory.ServiceName
	Role    upstream.Role
	// Near is the zone that is best at equal load.
	Near zone.AvailabilityZone
	// Exclude are upstreams that failed the request.
	Exclude []upstream.ID
}

// Choice is one upstream to try.
type Choice struct {
	runner.Target
	Zone zone.AvailabilityZone
	Born int64
	// Calls and Tokens are what this process had running there.
	Calls  int
	Tokens contract.Tokens
}

// Tokens by which an upstream in another zone may be less loaded and still come
// second: about the price of moving a prompt's KV cache between zones.
const farTokens = 1500

// farCalls is the same for upstreams that count calls.
const farCalls = 0.25

// scored is an upstream and what speaks against it.
type scored struct {
	upstream *Upstream
	// class 0 is sound, 1 is full or slow, 2 was ejected.
	class int
	cost  float64
	tie   uint64
}

// Choose gives the upstreams to try, the best first. Ejected and full ones come
// last, since their state may be out of date; those that take no connection and
// those that leave are left out.
func (b *Board) Choose(now time.Time, need Need) []Choice {
	if need.Role == upstream.RolePrefill && b.crowded(need) {
		need.Near = ""
	}
	var list []scored
	for _, u := range b.upstreams {
		if u.Service != need.Service || u.Role != need.Role || u.Draining {
			continue
		}
		if now.Before(u.downUntil) || now.Before(u.turnsUntil) || slices.Contains(need.Exclude, u.ID) {
			continue
		}
		list = append(list, scored{u, u.class(now), u.cost(now, need), b.random()})
	}
	slices.SortFunc(list, func(x, y scored) int {
		return cmp.Or(cmp.Compare(x.class, y.class), cmp.Compare(x.cost, y.cost), cmp.Compare(x.tie, y.tie))
	})
	choices := make([]Choice, len(list))
	for i, s := range list {
		u := s.upstream
		choices[i] = Choice{runner.Target{ID: u.ID, Addr: u.Addr}, u.Zone, u.Born, u.calls, u.tokens}
	}
	return choices
}

// random gives the next of a row of numbers of 32 bits.
func (b *Board) random() uint64 {
	b.turn = b.turn*6364136223846793005 + 1442695040888963407
	return b.turn >> 32
}

// crowded reports whether a prompt had better be read in any zone: a process sees
// its own prompts only, so with all of them near their decode engines a zone that
// has fewer prefill than decode engines would get too many. As many are told so
// as are too many for the zone.
func (b *Board) crowded(need Need) bool {
	var prefill, decode, nearPrefill, nearDecode float64
	for _, u := range b.upstreams {
		if u.Service != need.Service || u.Draining {
			continue
		}
		near := 0.0
		if u.Zone == need.Near {
			near = 1
		}
		switch u.Role {
		case upstream.RolePrefill:
			prefill++
			nearPrefill += near
		case upstream.RoleDecode:
			decode++
			nearDecode += near
		}
	}
	if prefill == 0 || nearDecode == 0 {
		return false
	}
	fits := nearPrefill / prefill / (nearDecode / decode)
	return float64(b.random()) >= fits*(1<<32)
}

func (u *Upstream) class(now time.Time) int {
	switch u.health.Verdict(now) {
	case health.Ejected:
		return 2
	case health.Probing:
		return 0
	}
	if now.Before(u.fullUntil) || now.Before(u.keepsBadly) {
		return 1
	}
	return 0
}

// loadFresh is the age up to which an upstream's own count of its work says more
// than this process's share of it.
const loadFresh = 300 * time.Millisecond

// cost is what speaks against an upstream: the work that it has.
func (u *Upstream) cost(now time.Time, need Need) float64 {
	far := need.Near != "" && need.Near != u.Zone
	if u.Role == upstream.RoleService {
		calls := float64(u.calls)
		if u.load.Known && now.Sub(u.loadAt) < loadFresh {
			calls = max(calls, float64(u.load.Running+u.load.Waiting))
		}
		if far {
			calls += farCalls
		}
		return calls
	}
	tokens := float64(u.tokens)
	if far {
		tokens += farTokens
	}
	return tokens
}

// find gives the row of a choice, unless the upstream has restarted since.
func (b *Board) find(c Choice) *Upstream {
	u, ok := b.upstreams[c.ID]
	if !ok || u.Born != c.Born {
		return nil
	}
	return u
}

// Took notes work that was sent to an upstream.
func (b *Board) Took(c Choice, tokens contract.Tokens) {
	if u := b.find(c); u != nil {
		u.calls++
		u.tokens += tokens
	}
}

// Freed notes that the work is over.
func (b *Board) Freed(c Choice, tokens contract.Tokens) {
	if u := b.find(c); u != nil {
		u.calls = max(0, u.calls-1)
		u.tokens = max(0, u.tokens-tokens)
	}
}

// Probe notes that a request is sent to an upstream that may be ejected.
func (b *Board) Probe(now time.Time, c Choice) {
	if u := b.find(c); u != nil && u.health.Verdict(now) == health.Probing {
		u.health.Probe(now)
	}
}

// Full notes that an upstream refused for want of room.
func (b *Board) Full(now time.Time, c Choice) {
	if u := b.find(c); u != nil {
		u.fullUntil = now.Add(FullFor)
	}
}

// KeptBadly notes that a KV cache was gone before it could be fetched from the
// engine that read the prompt: for a while others are asked first.
func (b *Board) KeptBadly(now time.Time, c Choice) {
	if u := b.find(c); u != nil {
		u.keepsBadly = now.Add(KeepsBadlyFor)
	}
}

// maxRejects is the reservations in a row that an engine may fail to honor before
// it gets no work for a while: it changes its role, or is about to leave.
const maxRejects = 2

// Dishonored notes that an engine rejected a request for which it had reserved
// memory.
func (b *Board) Dishonored(now time.Time, c Choice) {
	u := b.find(c)
	if u == nil {
		return
	}
	u.rejects++
	if u.rejects >= maxRejects {
		u.downUntil = now.Add(DownFor)
	}
}

// Turning notes until when an engine changes its role.
func (b *Board) Turning(id upstream.ID, until time.Time) {
	if u, ok := b.upstreams[id]; ok && until.After(u.turnsUntil) {
		u.turnsUntil = until
	}
}

// Turns gives the engines that change their role and for how much longer.
func (b *Board) Turns(now time.Time) map[upstream.ID]time.Duration {
	var out map[upstream.ID]time.Duration
	for id, u := range b.upstreams {
		if left := u.turnsUntil.Sub(now); left > 0 {
			if out == nil {
				out = make(map[upstream.ID]time.Duration)
			}
			out[id] = left
		}
	}
	return out
}

// Down notes that an upstream takes no connection, or is another one now.
func (b *Board) Down(now time.Time, c Choice) {
	if u := b.find(c); u != nil {
		u.downUntil = now.Add(DownFor)
	}
}

// Misdirected notes that another upstream answered at the address.
func (b *Board) Misdirected(now time.Time, c Choice) {
	if u := b.find(c); u != nil {
		u.downUntil = now.Add(MisdirectedFor)
	}
}

// Failed notes a failure of an upstream.
func (b *Board) Failed(now time.Time, c Choice) {
	if u := b.find(c); u != nil {
		u.health.Failed(now)
	}
}

// Blame notes what a call that got no good answer says of an upstream.
func (b *Board) Blame(now time.Time, c Choice, result runner.Result) {
	switch {
	case result.Misdirected:
		b.Misdirected(now, c)
	case result.Refused, result.Reach == runner.NotSent:
		b.Down(now, c)
	case result.Reach == runner.Rejected:
		b.Full(now, c)
	default:
		b.Failed(now, c)
	}
}

// Succeeded notes an answer and how long it took.
func (b *Board) Succeeded(now time.Time, c Choice, took time.Duration, load runner.Load) {
	u := b.find(c)
	if u == nil {
		return
	}
	u.health.Succeeded(now, took)
	u.rejects = 0
	if load.Known {
		u.load = load
		u.loadAt = now
	}
}

// PrefillBacklog is the work that may wait at a prefill engine, as the time to
// read it. Prompts that wait longer outlast the reservation of their decode
// place, upon which engines grant the same memory twice.
const PrefillBacklog = 800 * time.Millisecond

// rateDecay lets the fastest reading seen fade, so that a fleet whose engines
// turn slow is noticed within some hundred prompts.
const rateDecay = 0.995

// leastPrompt is the prompt from which on a reading says how fast engines are:
// shorter ones are mostly overhead.
const leastPrompt = 500

// The part of the backlog that this process uses shrinks by a factor with each
// prompt that waited longer than the backlog allows and grows by a step with each
// other one, so that the wait comes down also if more processes send than are
// known, or engines turn slow.
const (
	backlogShrinks = 0.7
	backlogGrows   = 0.05
	leastBacklog   = 0.1
)

// Read notes how long an engine took for a prompt.
func (b *Board) Read(prompt contract.Tokens, took time.Duration) {
	if prompt < leastPrompt || took <= 0 {
		return
	}
	b.readRate = max(float64(prompt)/took.Seconds(), b.readRate*rateDecay)
	alone := time.Duration(float64(prompt) / b.readRate * float64(time.Second))
	if took-alone > PrefillBacklog {
		b.backlogPart = max(leastBacklog, b.backlogPart*backlogShrinks)
	} else {
		b.backlogPart = min(1, b.backlogPart+backlogGrows)
	}
}

// MayRead reports whether one of a number of processes may send another prompt
// to the prefill engines of a service: each has an even part of what may wait
// there in all. One prompt at a time is always allowed.
func (b *Board) MayRead(service directory.ServiceName, prompt contract.Tokens, processes int) bool {
	engines, sent := 0, contract.Tokens(0)
	for _, u := range b.upstreams {
		if u.Service == service && u.Role == upstream.RolePrefill {
			engines++
			sent += u.tokens
		}
	}
	if sent == 0 {
		return true
	}
	all := PrefillBacklog.Seconds() * b.backlogPart * b.readRate * float64(engines)
	return float64(sent+prompt) <= all/float64(max(1, processes))
}
