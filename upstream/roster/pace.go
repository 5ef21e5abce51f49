package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/pace"
	"github.com/trefoilwalk/trefoilwalk/upstream/split"
)

// paceRules holds the rules for cold upstreams and the gateways that share them, by service.
type paceRules struct {
	cold map[directory.ServiceName]ColdRule
	// coldVersion is the version of the configuration that cold follows from.
	coldVersion uint64
	fleets      map[directory.ServiceName]*pace.Fleet
	// everyone is the gateways with equal weights, nil until they are known.
	everyone *pace.Fleet
	// usual is the time that answers of settled upstreams take.
	usual   map[groupKey]time.Duration
	counts  PaceCounts
	changes []PaceChange
}

// PaceChange says that the pace of an upstream has another reason, for the log.
type PaceChange struct {
	ID     upstream.ID
	Reason pace.Reason
	Limit  float64
}

func newPaceRules() paceRules {
	return paceRules{
		cold:   make(map[directory.ServiceName]ColdRule),
		fleets: make(map[directory.ServiceName]*pace.Fleet),
		usual:  make(map[groupKey]time.Duration),
	}
}

// upstreamPace is what limits the requests to one upstream.
type upstreamPace struct {
	// registered is set once a registration of this incarnation was applied.
	registered bool
	coldUntil  time.Time
	// shares is nil unless the upstream is or was just cold. reportedCold is set from the
	// Change that says that it is cold to the one that says that it is warm.
	shares       *pace.Shares
	reportedCold bool
	// controller is nil if the upstream is settled; answeredAt is the time of its last
	// answer.
	controller *pace.Controller
	answeredAt time.Time
	// held counts the requests with a reservation there that are not yet sent.
	held int
}

// UpdateGateways replaces what is known of the gateways. self is this one.
func (b *Board) UpdateGateways(now time.Time, self instance.Name, complete bool, live []pace.Gateway) {
	if b.pace.everyone == nil {
		b.pace.everyone = pace.NewFleet(self)
	}
	b.pace.everyone.Update(now, 0, complete, live)
}

// inUseWithin is the time since the last answer within which an upstream is in use: its pace
// is then known, although its registration lapsed.
const inUseWithin = 2 * time.Second

// usualWeight is the weight of an answer in the usual time of its kind.
const usualWeight = 0.05

// startPace lets the answers of an upstream that has just started or recovered decide how
// much it gets. It is called after a start, an ejection, a pause and a lapse.
func (b *Board) startPace(now time.Time, u *Upstream) {
	if b.pace.everyone == nil {
		return
	}
	u.pace.controller = pace.NewController(now, u.ID, u.Slots, b.pace.everyone)
	b.notePace(u)
}

// startPaceAfterPause starts the pace of an upstream that asks for a pause. Nothing is sent
// there until the pause ends.
func (b *Board) startPaceAfterPause(now time.Time, from runner.Target) {
	if u, ok := b.upstreams[from.ID]; ok && u.Born == from.Born && b.notices.PauseLeft(now, targetIncarnation(from)) == 0 {
		b.startPace(now, u)
	}
}

// maxPaceChanges bounds the changes that are kept for the log.
const maxPaceChanges = 1024

func (b *Board) notePace(u *Upstream) {
	if len(b.pace.changes) < maxPaceChanges {
		limit, reason := u.pace.controller.Limit()
		b.pace.changes = append(b.pace.changes, PaceChange{u.ID, reason, limit})
	}
}

// TakePaceChanges returns the changes since the last call.
func (b *Board) TakePaceChanges() (changes []PaceChange) {
	changes, b.pace.changes = b.pace.changes, nil
	return changes
}

// paceClass is the class of an upstream by its pace: that of a full one if it allows nothing
// now. A stated limit counts in place of the controller as long as it lasts.
func (b *Board) paceClass(now time.Time, u *Upstream) int {
	if u.pace.controller == nil || b.coldShares(now, u) != nil || u.pace.controller.Allow(now, u.calls, b.pace.everyone) {
		return 0
	}
	return 1
}

// RecordAnswer records the time of an answer, by which the pace is found; 0 if it says
// nothing. For a stream it is the time of an event.
func (b *Board) RecordAnswer(now time.Time, c Choice, took time.Duration) {
	u := b.find(c)
	if u == nil {
		return
	}
	u.pace.answeredAt = now
	key := groupKey{u.Service, u.Role}
	if u.pace.controller != nil {
		waiting := u.load.QueueFull(now)
		b.paceOutcome(now, u, pace.Outcome{Latency: took, Waiting: waiting})
		return
	}
	if took <= 0 || b.coldShares(now, u) != nil {
		return
	}
	usual, ok := b.pace.usual[key]
	if !ok {
		usual = took
	}
	b.pace.usual[key] = usual + time.Duration(usualWeight*float64(took-usual))
}

// paceOutcome tells the controller of an upstream, if there is one, how a call ended. While
// the upstream is cold by its own statement only failures and rejections count: the rate
// that it can handle then is stated, too.
func (b *Board) paceOutcome(now time.Time, u *Upstream, o pace.Outcome) {
	c := u.pace.controller
	if c == nil || o.Result == pace.Answered && b.coldShares(now, u) != nil {
		return
	}
	_, before := c.Limit()
	o.Usual = b.pace.usual[groupKey{u.Service, u.Role}]
	c.Ended(now, o)
	if _, after := c.Limit(); after != before {
		b.notePace(u)
	}
	if c.Settled() {
		u.pace.controller = nil
	}
}

// missing is the part of a sound engine that this one falls short of, for the plan of the
// roles: as much as it is cold of the time in which a change of roles must pay, else half of
// what it falls short of now, since nobody knows for how long.
func (b *Board) missing(now time.Time, u *Upstream) float64 {
	switch {
	case b.coldShares(now, u) != nil:
		return min(1, u.pace.coldUntil.Sub(now).Seconds()/split.PaybackTime.Seconds())
	case u.pace.controller != nil:
		return u.pace.controller.Missing() / 2
	}
	return 0
}

// PaceStatus describes the pace of one upstream that has a limit.
type PaceStatus struct {
	ID upstream.ID
	// Limit is the concurrency that this gateway may have there and Reason why, empty if
	// it is settled.
	Limit  float64
	Reason pace.Reason
	// Cold is set while it is cold by its own statement. Ceiling is then the requests a
	// second that this gateway may send.
	Cold    bool
	Ceiling float64
}

// Paces returns the pace of the upstreams that have a limit now, in order of their names.
func (b *Board) Paces(now time.Time) (out []PaceStatus) {
	for _, u := range b.upstreams {
		s := b.coldShares(now, u)
		if s == nil && u.pace.controller == nil {
			continue
		}
		status := PaceStatus{ID: u.ID, Cold: s != nil}
		if u.pace.controller != nil {
			status.Limit, status.Reason = u.pace.controller.Limit()
		}
		if s != nil {
			status.Ceiling = float64(s.Owned(now, b.pace.fleets[u.Service]))
		}
		out = append(out, status)
	}
	slices.SortFunc(out, func(x, y PaceStatus) int { return cmp.Compare(x.ID, y.ID) })
	return out
}
