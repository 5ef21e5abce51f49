package pace

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Limit is the stated limit of a cold upstream, over all gateways.
type Limit struct {
	// PerSecond is the rate of requests that a cold upstream can handle.
	PerSecond float64
	// Over and Slack bound the requests in any second: PerSecond*Over + Slack.
	Over, Slack float64
}

// InAnySecond is the largest number of requests that may be sent within any second.
func (l Limit) InAnySecond() float64 {
	return l.PerSecond*l.Over + l.Slack
}

// A unit is the right to send one request in each unitInterval. Each unit belongs to one
// gateway for a turn; the turns of the units begin at different times, so that in any second
// only one of turn/second units passes to another gateway and can be used by both.
const (
	turn = 3 * time.Second
	// unitInterval is above a second, since a request may leave some milliseconds after
	// the decision to send it.
	unitInterval = 1050 * time.Millisecond
	// disagreement is the factor kept between the units and the limit for gateways that
	// do not know of each other.
	disagreement = 1.5
	// maxUnits bounds the units of one upstream; a higher rate is divided into units of
	// several requests.
	maxUnits = 64
)

// units returns how many units a limit is divided into and how many requests each one
// carries in a unitInterval. With less than two requests in any second there is none, as
// two gateways may use a unit when it changes hands.
func (l Limit) units() (n, size int) {
	most := l.InAnySecond()
	if l.PerSecond <= 0 || most < 2 {
		return 0, 0
	}
	allowed := min(l.PerSecond, most/disagreement/(1+time.Second.Seconds()/turn.Seconds()))
	size = max(1, int(math.Ceil(allowed/maxUnits)))
	return max(1, int(allowed)/size), size
}

// Shares is the share that this gateway has of the stated limit of one upstream. All
// gateways compute the owner of each unit alike, by weighted rendezvous hashing, from the
// fleet as they know it: a gateway that does not know some of the others takes at most the
// units that these would have.
type Shares struct {
	seed  uint64
	limit Limit
	units []unit
	// sentAt is the time of the last send.
	sentAt time.Time
}

// unit is one unit as this gateway sees it.
type unit struct {
	// own tells whether it belongs to this gateway in the given turn, for the given
	// version of the fleet.
	own     bool
	turn    int64
	version uint64
	// sentAt are the times of the last sends, one for each request that it carries.
	sentAt []time.Time
}

// NewShares returns the shares of an upstream's limit.
func NewShares(id upstream.ID, limit Limit) *Shares {
	s := &Shares{seed: xxhash.Sum64String(string(id))}
	s.SetLimit(limit)
	return s
}

// SetLimit replaces the limit. Units that remain keep the times of their sends.
func (s *Shares) SetLimit(limit Limit) {
	if s.limit == limit && s.units != nil {
		return
	}
	n, size := limit.units()
	old := s.units
	s.limit, s.units = limit, make([]unit, n)
	for i := range s.units {
		s.units[i].sentAt = make([]time.Time, size)
		if i < len(old) {
			copy(s.units[i].sentAt, old[i].sentAt)
		}
	}
}

// Free returns how many requests may begin now that lead to a send: its own sends are kept
// apart, so that they do not come in bursts.
func (s *Shares) Free(now time.Time, f *Fleet) int {
	free, owned := s.idle(now, f)
	if now.Sub(s.sentAt) < spacing(owned) {
		return 0
	}
	return free
}

// idle returns how many requests belong to this gateway in each unitInterval, and how many
// of these were not sent in the last one.
func (s *Shares) idle(now time.Time, f *Fleet) (free, owned int) {
	for i := range s.units {
		if !s.owns(now, f, i) {
			continue
		}
		for _, at := range s.units[i].sentAt {
			owned++
			if now.Sub(at) >= unitInterval {
				free++
			}
		}
	}
	return free, owned
}

// spacing is the shortest time between two sends of a gateway that owns so many requests in
// each unitInterval: half of the even one, so that a late request does not lose its turn.
func spacing(owned int) time.Duration {
	return unitInterval / time.Duration(2*max(1, owned))
}

// Take records a send and reports whether it is allowed. One that began earlier need not be
// apart from others.
func (s *Shares) Take(now time.Time, f *Fleet) bool {
	for i := range s.units {
		u := &s.units[i]
		if !s.owns(now, f, i) {
			continue
		}
		for j, at := range u.sentAt {
			if now.Sub(at) >= unitInterval {
				u.sentAt[j], s.sentAt = now, now
				return true
			}
		}
	}
	return false
}

// Owned returns the requests in each unitInterval that belong to this gateway now.
func (s *Shares) Owned(now time.Time, f *Fleet) int {
	_, owned := s.idle(now, f)
	return owned
}

// Wait returns the time until this gateway may send a request, at most within, and whether
// it may within that time as far as is known now.
func (s *Shares) Wait(now time.Time, f *Fleet, within time.Duration) (time.Duration, bool) {
	if s.Free(now, f) > 0 {
		return 0, true
	}
	best, found := within, false
	for i := range s.units {
		idle := time.Duration(math.MaxInt64)
		for _, at := range s.units[i].sentAt {
			idle = min(idle, max(0, unitInterval-now.Sub(at)))
		}
		for at := time.Duration(0); at < within; {
			end := s.turnEnd(now.Add(at), i).Sub(now)
			wait := max(at, idle, s.sentAt.Sub(now)+spacing(1))
			if wait < end && wait < best && f.owns(s.unitSeed(s.turnOf(now.Add(at), i), i), isEven(i)) {
				best, found = wait, true
			}
			at = end
		}
	}
	return best, found
}

// turnOf returns the number of the turn of a unit at a time.
func (s *Shares) turnOf(now time.Time, i int) int64 {
	return (now.UnixNano() + s.offset(i)) / int64(turn)
}

func (s *Shares) turnEnd(now time.Time, i int) time.Time {
	return time.Unix(0, (s.turnOf(now, i)+1)*int64(turn)-s.offset(i))
}

// offset spreads the begins of the turns of the units evenly over a turn.
func (s *Shares) offset(i int) int64 {
	return int64(turn) * int64(i) / int64(len(s.units))
}

func (s *Shares) unitSeed(number int64, i int) uint64 {
	return mix(mix(s.seed+uint64(i)) + uint64(number))
}

// owns reports whether a unit belongs to this gateway now.
func (s *Shares) owns(now time.Time, f *Fleet, i int) bool {
	u := &s.units[i]
	number := s.turnOf(now, i)
	if u.turn != number || u.version != f.version {
		u.own, u.turn, u.version = f.owns(s.unitSeed(number, i), isEven(i)), number, f.version
	}
	return u.own
}

// evenUnits is the distance of the units that are owned without regard to the traffic: each
// third one. A gateway whose traffic has just arrived then has some, and fewer are idle
// while the stated traffic is late.
const evenUnits = 3

func isEven(i int) bool {
	return i%evenUnits == 0
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
