package rate

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance"
)

// Durations of leases. An entry spends its shares only while it has unexpired
// leases from a majority of the grantors of its epoch. A lease starts when its
// renewal is sent, and a grantor grants none for an epoch that it has left. So,
// LeaseExpiryWait after a majority of the grantors left an epoch, no entry still in
// that epoch can spend, and its shares can be used by others.
const (
	// LeaseDuration is the duration of a lease.
	LeaseDuration = 800 * time.Millisecond
	// RenewEvery is the interval between renewals.
	RenewEvery = 200 * time.Millisecond
	// LeaseExpiryWait is the duration of a lease plus a margin for clock drift.
	LeaseExpiryWait = LeaseDuration + LeaseDuration/50
	// DefaultGrantorLostAfter is how long a grantor must be missing among the members
	// believed alive before it counts as having left its epoch. A fleet that
	// lost most of its grantors at once can then continue.
	DefaultGrantorLostAfter = time.Minute
	// grantorSearchTimeout is how long an entry that sees no majority of the
	// grantors waits before it proposes a layout without them. It is longer
	// than a newly started entry takes to find the others in the platform's
	// list, which lags.
	grantorSearchTimeout = 5 * time.Second
)

// maxPendingRenewals is the number of renewals to one grantor that may be
// unanswered.
const maxPendingRenewals = 4

// grantedLease is the lease from one grantor, with the send times of the latest
// renewals.
type grantedLease struct {
	sent  [maxPendingRenewals]time.Time
	until time.Time
}

// peerEpoch is another entry's latest known epoch and when it entered it.
type peerEpoch struct {
	incarnation instance.Incarnation
	epoch       uint64
	at          time.Time
}

// epochLease is an entry's right to spend its shares in the epoch of its
// layout: the leases that it holds, and which epoch the other entries are in.
type epochLease struct {
	self             instance.Identity
	grantorLostAfter time.Duration
	leaseDuration    time.Duration
	layout           *Layout
	// adoptedAt is when this entry adopted the layout.
	adoptedAt time.Time
	// previousExpired means that no entry can spend under an earlier epoch any
	// more.
	previousExpired bool
	// previousUntil is when the leases of the previous epoch end.
	previousUntil time.Time
	until         time.Time
	lastMessageAt map[instance.Name]time.Time
	renewalSeq    uint64
	renewedAt     time.Time
	leases        map[instance.Name]*grantedLease
	peerEpochs    map[instance.Name]peerEpoch
	// previousGrantorMissingSince holds, by name, since when a grantor of the
	// previous epoch is not among the members believed alive.
	previousGrantorMissingSince map[instance.Name]time.Time
	// grantorMissingSince holds the same for the grantors of this epoch.
	grantorMissingSince map[instance.Name]time.Time
}

func newEpochLease(self instance.Identity, grantorLostAfter, leaseDuration time.Duration) *epochLease {
	return &epochLease{
		self:                        self,
		grantorLostAfter:            grantorLostAfter,
		leaseDuration:               leaseDuration,
		layout:                      &Layout{},
		previousExpired:             true,
		leases:                      make(map[instance.Name]*grantedLease),
		peerEpochs:                  make(map[instance.Name]peerEpoch),
		previousGrantorMissingSince: make(map[instance.Name]time.Time),
		grantorMissingSince:         make(map[instance.Name]time.Time),
		lastMessageAt:               make(map[instance.Name]time.Time),
	}
}

// validUntil returns when the right to spend ends unless a lease is renewed.
func (l *epochLease) validUntil() time.Time {
	return l.until
}

// computeValidUntil must be called after each change of a lease or the layout.
func (l *epochLease) computeValidUntil() time.Time {
	until := l.previousUntil
	if !contains(l.layout.Members, l.self) {
		return until
	}
	// Each expiry is a candidate; the latest one covered by a majority is used.
	for _, g := range l.layout.Grantors {
		at, ok := l.leaseExpiry(g)
		if ok && at.After(until) && l.majorityValidAt(at) {
			until = at
		}
	}
	return until
}

// ownLeaseDuration is the duration of the lease that a grantor grants itself;
// in effect it has no end.
const ownLeaseDuration = 1000 * time.Hour

// leaseExpiry returns when a grantor's lease ends; ok is false without one.
func (l *epochLease) leaseExpiry(g instance.Identity) (at time.Time, ok bool) {
	if sameIdentity(g, l.self) {
		return l.adoptedAt.Add(ownLeaseDuration), true
	}
	granted, ok := l.leases[g.Name]
	if !ok || granted.until.IsZero() {
		return time.Time{}, false
	}
	return granted.until, true
}

func (l *epochLease) majorityValidAt(at time.Time) bool {
	return majority(l.layout.Grantors, func(g instance.Identity) bool {
		until, ok := l.leaseExpiry(g)
		return ok && !until.Before(at)
	})
}

// adopt switches to a later layout. Leases of the previous epoch stay valid
// until they end, since the grantors count LeaseExpiryWait from when they left it.
func (l *epochLease) adopt(now time.Time, next *Layout) {
	before := time.Time{}
	if next.Epoch == l.layout.Epoch+1 {
		before = l.validUntil()
		limit := now.Add(l.leaseDuration)
		if before.After(limit) {
			before = limit
		}
	}
	l.layout, l.adoptedAt, l.previousUntil = next, now, before
	l.previousExpired = len(next.GrantorsBefore) == 0
	l.leases = make(map[instance.Name]*grantedLease)
	l.renewedAt = time.Time{}
	// The entry that wrote the layout saw its grantors, so their absence is
	// timed from now.
	l.grantorMissingSince = make(map[instance.Name]time.Time)
	l.until = l.computeValidUntil()
}

// recordEpoch stores which epoch another entry is in, and since when. Older
// incarnations and epochs are ignored.
func (l *epochLease) recordEpoch(now time.Time, from instance.Identity, epoch uint64, inEpoch time.Duration) {
	if _, ok := l.lastMessageAt[from.Name]; !ok && len(l.lastMessageAt) >= maxKnownEntries {
		return
	}
	l.lastMessageAt[from.Name] = now
	known := l.peerEpochs[from.Name]
	if from.Incarnation < known.incarnation || (from.Incarnation == known.incarnation && epoch <= known.epoch) {
		return
	}
	l.peerEpochs[from.Name] = peerEpoch{incarnation: from.Incarnation, epoch: epoch, at: now.Add(-inEpoch)}
}

// checkPreviousExpired sets previousExpired if a majority of the previous
// grantors has left, and reports whether it changed.
func (l *epochLease) checkPreviousExpired(now time.Time) bool {
	if l.previousExpired || !majority(l.layout.GrantorsBefore, func(g instance.Identity) bool { return l.hasLeft(now, g) }) {
		return false
	}
	l.previousExpired = true
	return true
}

// hasLeft reports whether a grantor of the previous epoch can have no unexpired
// lease of that epoch outstanding. A later incarnation under its name shows
// that the process has ended.
func (l *epochLease) hasLeft(now time.Time, g instance.Identity) bool {
	if g.Name == l.self.Name {
		return now.Sub(l.adoptedAt) >= LeaseExpiryWait
	}
	peer, ok := l.peerEpochs[g.Name]
	if ok && peer.incarnation >= g.Incarnation && peer.epoch >= l.layout.Epoch && now.Sub(peer.at) >= LeaseExpiryWait {
		return true
	}
	missing, ok := l.previousGrantorMissingSince[g.Name]
	return ok && l.grantorLostAfter > 0 && now.Sub(missing) >= l.grantorLostAfter
}

// maxKnownEntries bounds the entries whose epoch is known. Of those beyond it none is known,
// as of entries that never sent a message.
const maxKnownEntries = 20_000

// forgetPeerAfter is how long an entry that is no longer a member is remembered. It is far
// above the duration of a lease and of a message's delay, so that what was learned of an
// earlier incarnation is not needed any more.
const forgetPeerAfter = time.Hour

// recordMembers updates which grantors are missing among the members believed
// alive.
func (l *epochLease) recordMembers(now time.Time, members []instance.Identity) {
	present := make(map[instance.Name]bool, len(members))
	for _, m := range members {
		present[m.Name] = true
		delete(l.previousGrantorMissingSince, m.Name)
	}
	for name, at := range l.lastMessageAt {
		if !present[name] && now.Sub(at) > forgetPeerAfter {
			delete(l.lastMessageAt, name)
			delete(l.peerEpochs, name)
		}
	}
	for _, g := range l.layout.GrantorsBefore {
		if _, known := l.previousGrantorMissingSince[g.Name]; !known && !present[g.Name] {
			l.previousGrantorMissingSince[g.Name] = now
		}
	}
	before := l.grantorMissingSince
	l.grantorMissingSince = make(map[instance.Name]time.Time)
	for _, g := range l.layout.Grantors {
		since, known := before[g.Name]
		switch {
		case present[g.Name] || g.Name == l.self.Name:
		case known:
			l.grantorMissingSince[g.Name] = since
		default:
			l.grantorMissingSince[g.Name] = now
		}
	}
}

// mayPropose reports whether this entry may propose the next epoch: for a
// majority of this epoch's grantors, each is either seen or missing for
// grantorSearchTimeout. Otherwise an entry that just started, and does not know
// the others yet, would replace all of them.
func (l *epochLease) mayPropose(now time.Time) bool {
	return l.layout.Epoch == 0 || majority(l.layout.Grantors, func(g instance.Identity) bool {
		since, isMissing := l.grantorMissingSince[g.Name]
		return !isMissing || now.Sub(since) >= grantorSearchTimeout
	})
}

// renewalTargets returns the entries to send renewals to, at most once every
// RenewEvery: the grantors and, until the earlier epochs have expired, the
// previous grantors, to learn when they change epoch.
func (l *epochLease) renewalTargets(now time.Time) []instance.Identity {
	if l.layout.Epoch == 0 || now.Sub(l.renewedAt) < RenewEvery {
		return nil
	}
	l.renewedAt = now
	l.renewalSeq++
	asked := append([]instance.Identity(nil), l.layout.Grantors...)
	if !l.previousExpired {
		for _, g := range l.layout.GrantorsBefore {
			if !containsName(asked, g.Name) {
				asked = append(asked, g)
			}
		}
	}
	return asked
}

func containsName(list []instance.Identity, name instance.Name) bool {
	for _, i := range list {
		if i.Name == name {
			return true
		}
	}
	return false
}

// recordRenewal stores that a renewal is sent to a grantor now and returns its
// number.
func (l *epochLease) recordRenewal(now time.Time, g instance.Name) (number uint64) {
	granted, ok := l.leases[g]
	if !ok {
		granted = &grantedLease{}
		l.leases[g] = granted
	}
	granted.sent[l.renewalSeq%maxPendingRenewals] = now
	return l.renewalSeq
}

// acceptGrant extends the lease from a grantor. A grant for another epoch or an
// old renewal is ignored.
func (l *epochLease) acceptGrant(from instance.Identity, epoch, number uint64) {
	granted, ok := l.leases[from.Name]
	fresh := number <= l.renewalSeq && l.renewalSeq-number < maxPendingRenewals
	if !ok || !fresh || epoch != l.layout.Epoch || !contains(l.layout.Grantors, from) {
		return
	}
	until := granted.sent[number%maxPendingRenewals].Add(l.leaseDuration)
	if until.After(granted.until) {
		granted.until = until
		l.until = l.computeValidUntil()
	}
}

// mayGrant reports whether this entry may grant a lease to the sender of a
// renewal.
func (l *epochLease) mayGrant(to instance.Identity, epoch uint64) bool {
	return epoch == l.layout.Epoch && contains(l.layout.Grantors, l.self) && contains(l.layout.Members, to)
}
