// Package traffic measures what each gateway sends to each service and divides what all
// gateways share, such as a budget of retries, by it. Gateways state their traffic to each
// other. No gateway decides for others: each computes its own share from the statements, in
// a way that keeps the sum of all shares at 1 or less also while statements are missing or
// out of date.
//
// A Ledger has no lock of its own: it is kept in a shared table of rank RankDemand, which
// serializes access.
package traffic

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/contract/quota"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

const (
	// HalfLife is the time in which a request loses half of its weight in the rate.
	HalfLife = 2 * time.Second
	// silentAfter is the age of a peer's last statement above which it counts as silent.
	silentAfter = quota.SilentAfter
	// window is the time over which a gateway counts only the least traffic that it
	// stated. Whatever a peer has heard last is not less: the statement that it uses was
	// heard within silentAfter, or it said so in a message heard here within silentAfter.
	// The rest is for messages that are under way.
	window = 2*silentAfter + underWay
	// underWay is the time that a message may take.
	underWay = time.Second
	// startingFor is how long a process takes at most an even share after its start. The
	// least traffic stated within window is that of a rate that was still rising until then.
	startingFor = 2*window + HalfLife
	// bucket is the resolution of window.
	bucket = 500 * time.Millisecond
	// shareMaxAge is how long a share is used: with 370 gateways a new one takes some 15 us,
	// and each request asks several times. It is within the rest of window.
	shareMaxAge = 50 * time.Millisecond
	// evenPart is the part that is divided evenly, so that a gateway whose traffic has just
	// arrived has some.
	evenPart = 0.5
	// maxStated bounds the services in a statement. Traffic that is not stated has no share.
	maxStated = 16
	// minRate is the rate, in requests per second, below which traffic is not stated.
	minRate = 0.05
	// maxRate bounds a stated rate.
	maxRate = 1e6
	// maxPeers bounds the peers whose statements are kept, as the members that gateways know.
	maxPeers = quota.MaxPeers
)

// Statement is what one gateway states to another.
type Statement struct {
	// Rates holds the requests per second that the sender sends to each service.
	Rates map[directory.ServiceName]float64
	// Unheard means that the sender has had no statement of the receiver for a time, so
	// that it may use an old one.
	Unheard bool
	// Starting is how long the sender still takes at most an even share.
	Starting time.Duration
}

// Ledger holds the traffic of this process and the statements of its peers.
type Ledger struct {
	startedAt time.Time
	services  map[directory.ServiceName]*service
	peers     map[instance.Name]peer
}

// peer is a peer's last statement.
type peer struct {
	Statement
	at time.Time
}

// silent reports whether the peer's traffic may differ from its statement, or it may not
// know that of this process.
func (p peer) silent(now time.Time) bool {
	return p.Unheard || now.Sub(p.at) > silentAfter
}

// service is the traffic of this process to one service.
type service struct {
	// rate fades from ratedAt on.
	rate    float64
	ratedAt time.Time
	since   time.Time
	// least holds the least rate stated in each bucket of time, the newest last.
	least []stated
	// share was computed at sharedAt for a number of processes.
	share     float64
	sharedAt  time.Time
	processes int
}

// stated is the least rate that was stated in a bucket.
type stated struct {
	number int64
	rate   float64
}

// NewLedger returns the ledger of a process that starts now.
func NewLedger(now time.Time) *Ledger {
	return &Ledger{startedAt: now, services: make(map[directory.ServiceName]*service), peers: make(map[instance.Name]peer)}
}

// Record records a request that is sent to a service.
func (l *Ledger) Record(now time.Time, name directory.ServiceName) {
	s, ok := l.services[name]
	if !ok {
		s = &service{since: now, ratedAt: now}
		l.services[name] = s
	}
	s.fade(now)
	s.rate += math.Ln2 / HalfLife.Seconds()
}

func (s *service) fade(now time.Time) {
	if now.After(s.ratedAt) {
		s.rate *= math.Exp2(-now.Sub(s.ratedAt).Seconds() / HalfLife.Seconds())
		s.ratedAt = now
	}
}

// Own returns the statement for a peer.
func (l *Ledger) Own(now time.Time, to instance.Name) Statement {
	var names []directory.ServiceName
	for name, s := range l.services {
		if s.fade(now); s.rate >= minRate {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b directory.ServiceName) int {
		return cmp.Or(cmp.Compare(l.services[b].rate, l.services[a].rate), cmp.Compare(a, b))
	})
	names = names[:min(len(names), maxStated)]
	known, ok := l.peers[to]
	out := Statement{Unheard: !ok || now.Sub(known.at) > silentAfter, Starting: l.starting(now)}
	for _, name := range names {
		if out.Rates == nil {
			out.Rates = make(map[directory.ServiceName]float64)
		}
		out.Rates[name] = min(l.services[name].rate, maxRate)
	}
	for name, s := range l.services {
		s.recordStated(now, out.Rates[name])
	}
	return out
}

// recordStated records that a rate was stated.
func (s *service) recordStated(now time.Time, rate float64) {
	number := now.UnixNano() / int64(bucket)
	if n := len(s.least); n > 0 && s.least[n-1].number == number {
		s.least[n-1].rate = min(s.least[n-1].rate, rate)
		return
	}
	s.least = slices.DeleteFunc(s.least, func(b stated) bool { return b.number < number-int64(window/bucket) })
	s.least = append(s.least, stated{number, rate})
}

// counted is the traffic by which this process takes a share: the least that a peer may have
// heard of it.
func (s *service) counted(now time.Time) float64 {
	if s == nil || now.Sub(s.since) < window {
		return 0
	}
	number, most := now.UnixNano()/int64(bucket), math.Inf(1)
	for _, b := range s.least {
		if b.number >= number-int64(window/bucket) {
			most = min(most, b.rate)
		}
	}
	if math.IsInf(most, 1) {
		return 0
	}
	return most
}

// Apply replaces a peer's statement. It reports false and ignores a statement that no
// process can have made. Statements of more than maxPeers are ignored too; a peer beyond them
// counts as unheard.
func (l *Ledger) Apply(now time.Time, from instance.Name, s Statement) bool {
	if len(s.Rates) > maxStated || s.Starting < 0 || s.Starting > startingFor {
		return false
	}
	for _, rate := range s.Rates {
		if !(rate >= 0 && rate <= maxRate) { // also NaN
			return false
		}
	}
	if _, known := l.peers[from]; !known && len(l.peers) >= maxPeers {
		return true
	}
	s.Rates = maps.Clone(s.Rates)
	l.peers[from] = peer{s, now}
	return true
}

// starting is how long this process still takes at most an even share.
func (l *Ledger) starting(now time.Time) time.Duration {
	return min(startingFor, max(0, l.startedAt.Add(startingFor).Sub(now)))
}

// allStarting reports whether this process and all its peers are known to take at most an
// even share now.
func (l *Ledger) allStarting(now time.Time) bool {
	if l.starting(now) == 0 {
		return false
	}
	for _, p := range l.peers {
		if p.silent(now) || !now.Before(p.at.Add(p.Starting-underWay)) {
			return false
		}
	}
	return true
}

// Forget removes a peer that has left the fleet.
func (l *Ledger) Forget(from instance.Name) {
	delete(l.peers, from)
}

// Retain removes the services for which keep returns false.
func (l *Ledger) Retain(keep func(directory.ServiceName) bool) {
	for name := range l.services {
		if !keep(name) {
			delete(l.services, name)
		}
	}
}

// Rates returns the requests per second to a service that this process and its peers stated,
// by the peer's name; own is the name of this process.
func (l *Ledger) Rates(now time.Time, name directory.ServiceName, own instance.Name) map[instance.Name]float64 {
	out := map[instance.Name]float64{own: l.Rate(now, name)}
	for from, p := range l.peers {
		out[from] = p.Rates[name]
	}
	return out
}

// Rate returns the requests per second that this process sends to a service.
func (l *Ledger) Rate(now time.Time, name directory.ServiceName) float64 {
	s, ok := l.services[name]
	if !ok {
		return 0
	}
	s.fade(now)
	return s.rate
}

// Services returns the services that this process sent requests to.
func (l *Ledger) Services() []directory.ServiceName {
	return slices.Sorted(maps.Keys(l.services))
}

// Share returns the part of what all gateways share for a service that this process may use,
// from 0 to 1. evenPart is divided evenly, the rest by traffic. processes is the number of
// gateways, this one included.
//
// The sum over all gateways is at most 1. A silent peer is taken to send what it stated last
// or what this process sends, whichever is more: gateways that do not hear each other then
// take together no more than if all did. A process that just started has no share until it
// has heard every peer, since others may not count it yet; the uses of a share still let it
// run one request at a time. For startingFor it takes an even share at most, and just that
// while all its peers do the same, as after a restart of the whole fleet: their traffic does
// not give them a share yet.
func (l *Ledger) Share(now time.Time, name directory.ServiceName, processes int) float64 {
	if processes <= 1 {
		return 1
	}
	s, ok := l.services[name]
	if !ok {
		return l.computeShare(now, name, processes)
	}
	if s.processes != processes || now.Sub(s.sharedAt) >= shareMaxAge {
		s.share, s.sharedAt, s.processes = l.computeShare(now, name, processes), now, processes
	}
	return s.share
}

// computeShare returns the share among more than one process.
func (l *Ledger) computeShare(now time.Time, name directory.ServiceName, processes int) float64 {
	unheard := max(0, processes-1-len(l.peers))
	if unheard > 0 && now.Sub(l.startedAt) < silentAfter {
		return 0
	}
	evenly := 1 / float64(processes)
	if unheard == 0 && l.allStarting(now) {
		return evenly
	}
	counted := l.services[name].counted(now)
	all := counted * float64(1+unheard)
	for _, p := range l.peers {
		rate := p.Rates[name]
		if p.silent(now) {
			rate = max(rate, counted)
		}
		all += rate
	}
	if all <= 0 {
		return evenly
	}
	share := evenPart*evenly + (1-evenPart)*counted/all
	if l.starting(now) > 0 {
		return min(share, evenly)
	}
	return share
}
