package rate

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance"
)

// Times of promises. An entry spends its shares only while it has unexpired
// promises from more than half of the grantors of its epoch. A promise counts
// from when it was asked for, and an entry gives none for an epoch that it has
// left. So, once more than half of the grantors of an epoch left it HoldFor
// ago, nobody who stayed behind can spend, and its shares pass on.
const (
	// Lease is how long a promise lasts.
	Lease = 800 * time.Millisecond
	// RenewEvery is how often promises are renewed.
	RenewEvery = 200 * time.Millisecond
	// HoldFor is the lease and a margin for clocks that drift apart.
	HoldFor = Lease + Lease/50
	// DefaultLostFor is how long a grantor must be missing among the members
	// believed alive before it counts as having left its epoch. It lets a fleet
	// go on that lost most of its grantors at once.
	DefaultLostFor = time.Minute
	// strangersFor is how long an entry that sees too few grantors waits before
	// it proposes a layout without them; longer than an entry that just started
	// takes to find the others in the platform's list, which lags.
	strangersFor = 5 * time.Second
)

// renewals is how many renewals to one grantor may be on their way.
const renewals = 4

// pledge is what this entry has from one grantor.
type pledge struct {
	sent  [renewals]time.Time
	until time.Time
}

// left is what is known of an entry's latest move to another epoch.
type left struct {
	incarnation instance.Incarnation
	epoch       uint64
	at          time.Time
}

// tenure is an entry's right to spend its shares: the layout, the promises it
// has, and who else moved on.
type tenure struct {
	self    instance.Identity
	lostFor time.Duration
	lease   time.Duration
	layout  *Layout
	// since is when this entry learned the layout.
	since time.Time
	// closed means that nobody can spend under an earlier epoch any more.
	closed bool
	// before is until when the promises of the epoch before last.
	before  time.Time
	held    time.Time
	heardAt map[instance.Name]time.Time
	seq     uint64
	renewed time.Time
	pledges map[instance.Name]*pledge
	moves   map[instance.Name]left
	// missing is since when a grantor is not among the members.
	missing map[instance.Name]time.Time
	// unseen is since when a grantor of this epoch is not among the members.
	unseen map[instance.Name]time.Time
}

func newTenure(self instance.Identity, lostFor, lease time.Duration) *tenure {
	return &tenure{
		self:    self,
		lostFor: lostFor,
		lease:   lease,
		layout:  &Layout{},
		closed:  true,
		pledges: make(map[instance.Name]*pledge),
		moves:   make(map[instance.Name]left),
		missing: make(map[instance.Name]time.Time),
		unseen:  make(map[instance.Name]time.Time),
		heardAt: make(map[instance.Name]time.Time),
	}
}

// heldUntil is when the right to spend ends, if nothing more is heard.
func (t *tenure) heldUntil() time.Time {
	return t.held
}

// workOutHeld is called when a promise or the layout changed.
func (t *tenure) workOutHeld() time.Time {
	until := t.before
	if !contains(t.layout.Members, t.self) {
		return until
	}
	// Each expiry is a candidate; the latest that a majority reaches holds.
	for _, g := range t.layout.Grantors {
		at, ok := t.expiry(g)
		if ok && at.After(until) && t.majorityReaches(at) {
			until = at
		}
	}
	return until
}

// distant stands for the end of a promise that an entry gives itself.
const distant = 1000 * time.Hour

// expiry is when a grantor's promise ends.
func (t *tenure) expiry(g instance.Identity) (at time.Time, ok bool) {
	if same(g, t.self) {
		return t.since.Add(distant), true
	}
	p, ok := t.pledges[g.Name]
	if !ok || p.until.IsZero() {
		return time.Time{}, false
	}
	return p.until, true
}

func (t *tenure) majorityReaches(at time.Time) bool {
	return majority(t.layout.Grantors, func(g instance.Identity) bool {
		until, ok := t.expiry(g)
		return ok && !until.Before(at)
	})
}

// adopt moves to a later layout. Promises of the epoch before hold until they
// end, since the grantors count their own wait from when they left it.
func (t *tenure) adopt(now time.Time, next *Layout) {
	before := time.Time{}
	if next.Epoch == t.layout.Epoch+1 {
		before = t.heldUntil()
		limit := now.Add(t.lease)
		if before.After(limit) {
			before = limit
		}
	}
	t.layout, t.since, t.before = next, now, before
	t.closed = len(next.GrantorsBefore) == 0
	t.pledges = make(map[instance.Name]*pledge)
	t.renewed = time.Time{}
	// Whoever wrote the layout saw its grantors; the search for them starts anew.
	t.unseen = make(map[instance.Name]time.Time)
	t.held = t.workOutHeld()
}

// heard records in which epoch another entry is, and for how long.
func (t *tenure) heard(now time.Time, from instance.Identity, epoch uint64, inEpoch time.Duration) {
	t.heardAt[from.Name] = now
	known := t.moves[from.Name]
	if from.Incarnation < known.incarnation || (from.Incarnation == known.incarnation && epoch <= known.epoch) {
		return
	}
	t.moves[from.Name] = left{incarnation: from.Incarnation, epoch: epoch, at: now.Add(-inEpoch)}
}

// close checks whether the epochs before are over and reports whether this just
// came out.
func (t *tenure) close(now time.Time) bool {
	if t.closed || !majority(t.layout.GrantorsBefore, func(g instance.Identity) bool { return t.hasLeft(now, g) }) {
		return false
	}
	t.closed = true
	return true
}

// hasLeft reports whether a grantor of the epoch before can have no unexpired
// promise of that epoch out. A later incarnation under its name shows that the
// process is over.
func (t *tenure) hasLeft(now time.Time, g instance.Identity) bool {
	if g.Name == t.self.Name {
		return now.Sub(t.since) >= HoldFor
	}
	move, ok := t.moves[g.Name]
	if ok && move.incarnation >= g.Incarnation && move.epoch >= t.layout.Epoch && now.Sub(move.at) >= HoldFor {
		return true
	}
	missing, ok := t.missing[g.Name]
	return ok && t.lostFor > 0 && now.Sub(missing) >= t.lostFor
}

// seen notes which grantors are missing among the members believed alive.
func (t *tenure) seen(now time.Time, members []instance.Identity) {
	present := make(map[instance.Name]bool, len(members))
	for _, m := range members {
		present[m.Name] = true
		delete(t.missing, m.Name)
	}
	for _, g := range t.layout.GrantorsBefore {
		if _, noted := t.missing[g.Name]; !noted && !present[g.Name] {
			t.missing[g.Name] = now
		}
	}
	before := t.unseen
	t.unseen = make(map[instance.Name]time.Time)
	for _, g := range t.layout.Grantors {
		since, noted := before[g.Name]
		switch {
		case present[g.Name] || g.Name == t.self.Name:
		case noted:
			t.unseen[g.Name] = since
		default:
			t.unseen[g.Name] = now
		}
	}
}

// mayMoveOn reports whether this entry may propose the next epoch: it sees more
// than half of the grantors of this one, or has looked for them for strangersFor.
// Without that an entry that just started, and has not heard of the others yet,
// would put itself in the place of all of them.
func (t *tenure) mayMoveOn(now time.Time) bool {
	return t.layout.Epoch == 0 || majority(t.layout.Grantors, func(g instance.Identity) bool {
		since, unseen := t.unseen[g.Name]
		return !unseen || now.Sub(since) >= strangersFor
	})
}

// due gives the entries to renew with: the grantors, and until the epochs
// before are over also theirs, to hear that they moved.
func (t *tenure) due(now time.Time) []instance.Identity {
	if t.layout.Epoch == 0 || now.Sub(t.renewed) < RenewEvery {
		return nil
	}
	t.renewed = now
	t.seq++
	asked := append([]instance.Identity(nil), t.layout.Grantors...)
	if !t.closed {
		for _, g := range t.layout.GrantorsBefore {
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

// ask notes that a renewal goes to a grantor now.
func (t *tenure) ask(now time.Time, g instance.Name) (number uint64) {
	p, ok := t.pledges[g]
	if !ok {
		p = &pledge{}
		t.pledges[g] = p
	}
	p.sent[t.seq%renewals] = now
	return t.seq
}

// promised takes a grantor's promise for a renewal.
func (t *tenure) promised(from instance.Identity, epoch, number uint64) {
	p, ok := t.pledges[from.Name]
	fresh := number <= t.seq && t.seq-number < renewals
	if !ok || !fresh || epoch != t.layout.Epoch || !contains(t.layout.Grantors, from) {
		return
	}
	until := p.sent[number%renewals].Add(t.lease)
	if until.After(p.until) {
		p.until = until
		t.held = t.workOutHeld()
	}
}

// grants reports whether this entry may promise to the sender of a renewal.
func (t *tenure) grants(to instance.Identity, epoch uint64) bool {
	return epoch == t.layout.Epoch && contains(t.layout.Grantors, t.self) && contains(t.layout.Members, to)
}
