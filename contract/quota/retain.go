package quota

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
)

const (
	// MaxPeers bounds the peers whose statements are applied; ten times the design size.
	MaxPeers = 4096
	// peerRetention is how long a peer is kept without a statement. Callers forget a peer
	// that left the fleet sooner; this is for those that they never knew.
	peerRetention = time.Minute
	// maxFormerBuckets bounds the buckets of accounts that no longer exist.
	maxFormerBuckets = 20_000
	// fullBucketAfter is when the bucket of a former account is removed at the latest.
	fullBucketAfter = time.Hour
)

// Retain marks the accounts that no longer exist. Their buckets are removed once they are
// full, not before: an account that is deleted and created again must not get a second
// burst. It returns how many were removed at once.
func (m *Meter) Retain(now time.Time, accounts map[contract.AccountID]*directory.Account) (removed int) {
	m.former = 0
	for id, b := range m.buckets {
		b.former = accounts[id] == nil
		if !b.former {
			continue
		}
		m.former++
		if m.former > maxFormerBuckets || !now.Before(b.fullAt(now)) {
			delete(m.buckets, id)
			m.former--
			removed++
		}
	}
	return removed
}

// Sweep removes the buckets of former accounts that are full, peers without a statement for
// peerRetention, and uses that are no longer stated. It returns how many buckets it removed.
func (m *Meter) Sweep(now time.Time) (removed int) {
	m.own.removeOld(now)
	for name, p := range m.peers {
		if now.Sub(p.lastStatementAt) > peerRetention {
			delete(m.peers, name)
		}
	}
	if m.former == 0 {
		return 0
	}
	for id, b := range m.buckets {
		if b.former && !now.Before(b.fullAt(now)) {
			delete(m.buckets, id)
			m.former--
			removed++
		}
	}
	return removed
}

// fullAt is when a bucket is full if nothing is charged to it, at the rate at which it was
// refilled last.
func (b *bucket) fullAt(now time.Time) time.Time {
	missing := b.burst - b.level
	if missing <= 0 {
		return b.at
	}
	if b.rate <= 0 {
		return b.at.Add(fullBucketAfter)
	}
	return b.at.Add(min(fullBucketAfter, time.Duration(missing/b.rate*float64(time.Second))))
}
