// Package placement ranks the upstreams that an entry may send a request to. A
// Board holds the configured upstreams, the load reports that arrive with replies,
// and the work that the entry sent since the last report. Its estimates are hints:
// admission is left to the sidecar beside each upstream.
package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/health"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Placement policies.
const (
	// PolicyReserve ranks by the estimated time until the work can be done, and
	// reserves decode memory before the prefill.
	PolicyReserve = "reserve"
	// PolicyLeastLoaded picks the upstream with the lowest known load.
	PolicyLeastLoaded = "least-loaded"
	// PolicyRandomOfTwo picks the less loaded of two random upstreams.
	PolicyRandomOfTwo = "random-of-two"
)

// DefaultWatch is the default number of upstreams watched in each pool.
const DefaultWatch = 8

// MaxChoices is the maximum number of choices returned by one decision.
const MaxChoices = 3

// ErrUnknownPolicy is returned for a policy name that is not one of the Policy constants.
var ErrUnknownPolicy = errors.New("placement: unknown policy")

// Options configure a board.
type Options struct {
	// Self is the location of the entry.
	Self zone.Place
	// Policy is one of the Policy constants; empty means PolicyReserve.
	Policy string
	// WatchCount is how many upstreams of each pool are watched, that is, polled for
	// load reports and examined by every decision; 0 means DefaultWatch.
	WatchCount int
	// Seed differs between entries, so that they watch different upstreams.
	Seed uint64
	// Health configures outlier detection.
	Health health.Options
}

// Need describes the work to place and the constraints on its upstream.
type Need struct {
	// Model is set for engines. Pool, the name of the service, is set for services.
	Model contract.ModelName
	Pool  string
	// Tokens is the prompt's length.
	Tokens contract.Tokens
	// Blocks is the memory for prompt and output.
	Blocks int
	// Prefix is a hash of the start of the prompt; 0 if there is no shareable
	// prefix.
	Prefix uint64
	// Near is the place that the work should be close to; the zero value means
	// the entry's own.
	Near zone.Place
	// Exclude lists upstreams that this request has already tried.
	Exclude []upstream.ID
	// Slack is the time left until the target for the first token; 0 means no
	// target.
	Slack time.Duration
}

// Choice is a candidate upstream for a request.
type Choice struct {
	ID    upstream.ID
	Addr  string
	Place zone.Place
	// Estimate is the estimated time until a prefill ends or a decode starts.
	Estimate time.Duration
}

// Board is one entry's view of all upstreams. It has no lock of its own: it is kept
// in a shared table with lock rank table.RankBoard, which serializes access.
type Board struct {
	options Options
	// rank orders the candidates of a decision.
	rank             rankFunc
	random           *rand.Rand
	views            map[upstream.ID]*upstreamView
	byAddr           map[string]*upstreamView
	pools            map[poolKey]*pool
	healthGroups     map[poolKey]*health.Group
	watched          []*upstreamView
	draining         map[upstream.ID]bool
	unreachableZones map[zone.AvailabilityZone]bool
	// scratch is the candidate buffer that decisions reuse.
	scratch []candidate
}

// NewBoard returns an empty board, or ErrUnknownPolicy if the policy is unknown.
func NewBoard(o Options) (*Board, error) {
	if o.Policy == "" {
		o.Policy = PolicyReserve
	}
	rank, ok := rankFuncs[o.Policy]
	if !ok {
		return nil, fmt.Errorf("%w: %q", ErrUnknownPolicy, o.Policy)
	}
	if o.WatchCount < 1 {
		o.WatchCount = DefaultWatch
	}
	return &Board{
		options:      o,
		rank:         rank,
		random:       rand.New(rand.NewPCG(o.Seed, 1)),
		views:        make(map[upstream.ID]*upstreamView),
		pools:        make(map[poolKey]*pool),
		healthGroups: make(map[poolKey]*health.Group),
	}, nil
}

// ReservesFirst reports whether decode memory must be reserved before the prefill
// starts. The baseline policies prefill first, as is usual.
func (b *Board) ReservesFirst() bool {
	return b.options.Policy == PolicyReserve
}

// Get returns the configuration of an upstream and whether it is configured.
func (b *Board) Get(id upstream.ID) (upstream.Upstream, bool) {
	view, ok := b.views[id]
	if !ok {
		return upstream.Upstream{}, false
	}
	return view.config, true
}

// SetDraining replaces the set of upstreams that the platform lists as draining. They
// get no new work. It does not change their configured state.
func (b *Board) SetDraining(_ time.Time, ids []upstream.ID) {
	b.draining = make(map[upstream.ID]bool, len(ids))
	for _, id := range ids {
		b.draining[id] = true
	}
}

// SetUnreachableZones replaces the set of availability zones from which no instance has
// received a message. Their upstreams are used only as a last resort.
func (b *Board) SetUnreachableZones(_ time.Time, zones []zone.AvailabilityZone) {
	b.unreachableZones = make(map[zone.AvailabilityZone]bool, len(zones))
	for _, z := range zones {
		b.unreachableZones[z] = true
	}
}

// Observe applies a load report from a sidecar. Reports for unknown upstreams are
// ignored.
func (b *Board) Observe(now time.Time, l upstream.Load) {
	if view, ok := b.views[l.Upstream]; ok {
		view.observe(now, l)
		view.prefixes.applyEvents(now, l.Cache)
	}
}

// RecordFailure records a failed call for outlier detection. A refusal for lack of
// capacity must not be recorded as a failure.
func (b *Board) RecordFailure(now time.Time, id upstream.ID) {
	if view, ok := b.views[id]; ok {
		view.health.RecordFailure(now)
	}
}

// RecordFailureAt is RecordFailure for the upstream whose sidecar has the address; an unknown
// address is ignored.
func (b *Board) RecordFailureAt(now time.Time, addr string) {
	if view, ok := b.byAddr[addr]; ok {
		view.health.RecordFailure(now)
	}
}

// RecordSuccess records a successful call and its latency for outlier detection.
func (b *Board) RecordSuccess(now time.Time, id upstream.ID, took time.Duration) {
	if view, ok := b.views[id]; ok {
		view.health.RecordSuccess(now, took)
	}
}

// Watched returns the upstreams that the entry polls for load reports when it sends
// them no other traffic: at most Options.WatchCount per pool, own availability zone first.
func (b *Board) Watched(time.Time) []Choice {
	choices := make([]Choice, 0, len(b.watched))
	for _, view := range b.watched {
		choices = append(choices, view.choice(0))
	}
	return choices
}
