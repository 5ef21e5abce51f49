// Package placement decides where an entry sends work. A board holds what the
// entry knows of upstreams: the configuration, loads that ride on replies, and
// the work that it sent itself and that no report shows yet. All of this is a
// hint: the sidecar beside an upstream grants or refuses. A board has no lock;
// it lives in a shared table of rank RankBoard.
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

// Policies.
const (
	// PolicyReserve places by the estimated time until work can be done.
	PolicyReserve = "reserve"
	// PolicyLeastLoaded takes the least loaded upstream that it knows.
	PolicyLeastLoaded = "least-loaded"
	// PolicyRandomOfTwo takes the less loaded of two random upstreams.
	PolicyRandomOfTwo = "random-of-two"
)

// DefaultWatch is how many upstreams of each pool an entry watches.
const DefaultWatch = 8

// MaxChoices bounds the choices of one decision.
const MaxChoices = 3

// ErrPolicy means that no such policy exists.
var ErrPolicy = errors.New("placement: unknown policy")

// Options configure a board.
type Options struct {
	// Self is where the entry is.
	Self zone.Place
	// Policy is one of the Policy constants; empty means PolicyReserve.
	Policy string
	// Watch is how many upstreams of each pool are watched; 0 means
	// DefaultWatch.
	Watch int
	// Seed tells entries apart, so that they watch different upstreams.
	Seed uint64
	// Health configures outlier detection.
	Health health.Options
}

// Need is what a request wants of an upstream.
type Need struct {
	// Model is set for engines, Pool for services.
	Model contract.ModelName
	Pool  string
	// Tokens is the prompt's length.
	Tokens contract.Tokens
	// Blocks is the memory for prompt and output.
	Blocks int
	// Prefix is a hash of the prompt's beginning; 0 when it has none to share.
	Prefix uint64
	// Near is the place that the work should be close to; the zero value means
	// the entry's own.
	Near zone.Place
	// Exclude lists upstreams that were tried already.
	Exclude []upstream.ID
	// Slack is the time left to the first token's target; 0 means no target.
	Slack time.Duration
}

// Choice is an upstream that could do the work.
type Choice struct {
	ID    upstream.ID
	Addr  string
	Place zone.Place
	// Estimate is the time until a prefill could be done or a decode started.
	Estimate time.Duration
}

// Board is what one entry knows of upstreams.
type Board struct {
	options Options
	score   scorer
	random  *rand.Rand
	runners map[upstream.ID]*runner
	byAddr  map[string]*runner
	pools   map[poolKey]*pool
	groups  map[poolKey]*health.Group
	watched []*runner
	leaving map[upstream.ID]bool
	quiet   map[zone.AvailabilityZone]bool
	// scratch holds the candidates of one decision.
	scratch []candidate
}

// NewBoard returns an empty board. It fails with ErrPolicy.
func NewBoard(o Options) (*Board, error) {
	if o.Policy == "" {
		o.Policy = PolicyReserve
	}
	score, ok := scorers[o.Policy]
	if !ok {
		return nil, fmt.Errorf("%w: %q", ErrPolicy, o.Policy)
	}
	if o.Watch < 1 {
		o.Watch = DefaultWatch
	}
	return &Board{
		options: o,
		score:   score,
		random:  rand.New(rand.NewPCG(o.Seed, 1)),
		runners: make(map[upstream.ID]*runner),
		pools:   make(map[poolKey]*pool),
		groups:  make(map[poolKey]*health.Group),
	}, nil
}

// ReservesFirst reports whether the policy wants decode memory reserved before
// a prefill starts. The baselines prefill first, as is usual.
func (b *Board) ReservesFirst() bool {
	return b.options.Policy == PolicyReserve
}

// Get gives an upstream's configuration.
func (b *Board) Get(id upstream.ID) (upstream.Upstream, bool) {
	r, ok := b.runners[id]
	if !ok {
		return upstream.Upstream{}, false
	}
	return r.up, true
}

// SetLeaving replaces the upstreams that the platform lists as leaving.
func (b *Board) SetLeaving(_ time.Time, ids []upstream.ID) {
	b.leaving = make(map[upstream.ID]bool, len(ids))
	for _, id := range ids {
		b.leaving[id] = true
	}
}

// SetQuiet replaces the availability zones that nobody hears from.
func (b *Board) SetQuiet(_ time.Time, zones []zone.AvailabilityZone) {
	b.quiet = make(map[zone.AvailabilityZone]bool, len(zones))
	for _, z := range zones {
		b.quiet[z] = true
	}
}

// Observe takes in what a sidecar says of its upstream.
func (b *Board) Observe(now time.Time, l upstream.Load) {
	if r, ok := b.runners[l.Upstream]; ok {
		r.observe(now, l)
		r.cache.learn(now, l.Cache)
	}
}

// Failed records that an upstream or its sidecar failed a call. A refusal for
// want of room is no failure.
func (b *Board) Failed(now time.Time, id upstream.ID) {
	if r, ok := b.runners[id]; ok {
		r.health.Failed(now)
	}
}

// FailedAt is Failed for the upstream whose sidecar is at an address.
func (b *Board) FailedAt(now time.Time, addr string) {
	if r, ok := b.byAddr[addr]; ok {
		r.health.Failed(now)
	}
}

// Succeeded records an answer of an upstream and how long it took.
func (b *Board) Succeeded(now time.Time, id upstream.ID, took time.Duration) {
	if r, ok := b.runners[id]; ok {
		r.health.Succeeded(now, took)
	}
}

// Watched lists the bounded set of upstreams that the entry asks for their load
// when nothing else is sent to them, its own availability zone first.
func (b *Board) Watched(time.Time) []Choice {
	choices := make([]Choice, 0, len(b.watched))
	for _, r := range b.watched {
		choices = append(choices, r.choice(0))
	}
	return choices
}
