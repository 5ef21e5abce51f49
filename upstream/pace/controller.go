package pace

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Figures of the controller.
const (
	// fullAt is the concurrency from which there is no limit, settledAfter the time without
	// a bad sign after which the controller ends: an upstream may fail again at once.
	fullAt       = 16
	settledAfter = 5 * time.Second
	// goodRatio and slowRatio are the ratios of the time of answers to the usual one up
	// to which the pace is raised and from which it is lowered.
	goodRatio, slowRatio = 1.6, 2.2
	// lowest is the concurrency of a gateway that sends only in its turn, one request at a
	// time.
	lowest = 0.5
	// decrease is the factor to the pace after a rejection or failure, and the lowest one
	// after slow answers.
	decrease = 0.5
	// decreaseInterval is the shortest time between two decreases, if the usual time of
	// an answer is not longer: what was sent before the first one says nothing new.
	decreaseInterval = 100 * time.Millisecond
	// latencyFloor is the time below which answers are not compared: differences are the
	// network's.
	latencyFloor = 10 * time.Millisecond
	// shortTurn is the length of a turn of the gateways that send one request at a time.
	shortTurn = 200 * time.Millisecond
	// turnPart is the part of the slots of an upstream that such gateways may take together
	// at first, as a divisor. Their number doubles for a gateway that had no answer for
	// startDoubling, or for badDoubling after a bad one, so that each gateway has one in time.
	turnPart, maxTurns         = 4, 32
	startDoubling, badDoubling = 150 * time.Millisecond, 500 * time.Millisecond
)

// Reason says why an upstream has the pace that it has.
type Reason string

// Reasons.
const (
	ReasonStart      Reason = "start"
	ReasonGrowing    Reason = "growing"
	ReasonSlow       Reason = "slow"
	ReasonWaiting    Reason = "waiting"
	ReasonRejections Reason = "rejections"
	ReasonFailures   Reason = "failures"
	ReasonSettled    Reason = "settled"
)

// Result is how a call ended.
type Result uint8

// Results.
const (
	Answered Result = iota
	Rejected
	Failed
)

// Outcome is what the end of a call says of the upstream.
type Outcome struct {
	Result Result
	// Latency is the time that the answer took, 0 if it says nothing, and Usual the time
	// that upstreams of its kind take, 0 if it is not known.
	Latency, Usual time.Duration
	// Waiting is set if the upstream reported that requests wait there.
	Waiting bool
}

// Controller finds the concurrency that one gateway may have at an upstream that has just
// started or recovered, from its answers: it is doubled after each round of answers that
// took as long as usual, and lowered in proportion to their slowness, after rejections and
// failures. Until its first good answer a gateway sends only in its turn, so that many
// gateways do not add up to an overload.
type Controller struct {
	seed   uint64
	turns  int
	limit  float64
	reason Reason
	// shortest is the shortest time of an answer, for kinds without a usual one.
	shortest time.Duration
	// ratios and answers are those of the current round, waiting is set if requests
	// waited at the upstream in it.
	ratios, answers float64
	waiting         bool
	// loweredAt is when the limit was last lowered, zero if it never was; turnsFrom is when
	// the turns began to double, fullSince when the limit reached fullAt.
	loweredAt, turnsFrom, fullSince time.Time
}

// NewController returns the controller of an upstream with so many slots, 0 if unknown. f is
// the fleet of gateways that may send to it.
func NewController(now time.Time, id upstream.ID, slots int, f *Fleet) *Controller {
	c := &Controller{
		seed: xxhash.Sum64String(string(id)), turns: min(max(2, slots/turnPart), maxTurns),
		limit: 1, reason: ReasonStart, turnsFrom: now,
	}
	if f.Size() > c.turns {
		c.limit = lowest
	}
	return c
}

// Allow reports whether another call may begin while running ones run. It charges nothing.
func (c *Controller) Allow(now time.Time, running int, f *Fleet) bool {
	switch {
	case c.limit >= fullAt:
		return true
	case c.limit >= 1:
		return float64(running) < c.limit
	default:
		return running == 0 && c.inTurn(now, f)
	}
}

// inTurn reports whether one of the turns belongs to this gateway now.
func (c *Controller) inTurn(now time.Time, f *Fleet) bool {
	number := now.UnixNano() / int64(shortTurn)
	doubling := startDoubling
	if !c.loweredAt.IsZero() {
		doubling = badDoubling
	}
	n := f.Size()
	turns := c.turns
	for left := now.Sub(c.turnsFrom); left >= doubling && turns < n; left -= doubling {
		turns *= 2
	}
	if turns >= n {
		return true
	}
	for i := range turns {
		if f.first(mix(mix(c.seed+uint64(i))+uint64(number)), true) {
			return true
		}
	}
	return false
}

// Ended takes the outcome of a call.
func (c *Controller) Ended(now time.Time, o Outcome) {
	switch o.Result {
	case Rejected:
		c.lower(now, decrease, ReasonRejections, o.Usual)
		return
	case Failed:
		c.lower(now, decrease, ReasonFailures, o.Usual)
		return
	}
	c.ratios += c.ratio(o)
	c.answers++
	c.waiting = c.waiting || o.Waiting
	if c.answers < c.limit {
		return
	}
	ratio, waiting := c.ratios/c.answers, c.waiting
	c.ratios, c.answers, c.waiting = 0, 0, false
	switch {
	case ratio >= slowRatio:
		c.lower(now, max(decrease, goodRatio/ratio), ReasonSlow, o.Usual)
	case ratio > goodRatio:
		c.reason = ReasonSlow
	case waiting && c.limit < fullAt:
		c.reason = ReasonWaiting
	default:
		c.raise(now)
	}
}

// raise doubles the limit, or ends the control of an upstream that needs none.
func (c *Controller) raise(now time.Time) {
	switch {
	case c.limit < fullAt:
		c.limit, c.reason = min(c.limit*2, fullAt), ReasonGrowing
		c.fullSince = now
	case now.Sub(c.fullSince) >= settledAfter:
		c.reason = ReasonSettled
	}
}

// ratio compares the time of an answer with the usual one, or with the shortest one so far.
func (c *Controller) ratio(o Outcome) float64 {
	if o.Latency <= 0 {
		return 1
	}
	if c.shortest == 0 || o.Latency < c.shortest {
		c.shortest = o.Latency
	}
	usual := o.Usual
	if usual <= 0 {
		usual = c.shortest
	}
	return float64(max(o.Latency, latencyFloor)) / float64(max(usual, latencyFloor))
}

// lower multiplies the limit by a factor, unless the last decrease is too recent.
func (c *Controller) lower(now time.Time, factor float64, reason Reason, usual time.Duration) {
	c.ratios, c.answers, c.waiting = 0, 0, false
	if now.Sub(c.loweredAt) < max(decreaseInterval, usual) {
		return
	}
	c.limit, c.reason, c.loweredAt, c.turnsFrom = max(lowest, c.limit*factor), reason, now, now
}

// Missing is the part of a sound upstream that this one falls short of, from 0 to 1. One
// without a bad sign falls short of nothing: it gets its full load within about a second.
func (c *Controller) Missing() float64 {
	if c.reason == ReasonStart || c.reason == ReasonGrowing {
		return 0
	}
	return max(0, 1-c.limit/fullAt)
}

// Limit returns the concurrency that this gateway may have at the upstream, and why. Below 1
// it sends only in its turn.
func (c *Controller) Limit() (concurrency float64, reason Reason) {
	return c.limit, c.reason
}

// Settled reports whether the upstream needs no limit any more.
func (c *Controller) Settled() bool {
	return c.reason == ReasonSettled
}
