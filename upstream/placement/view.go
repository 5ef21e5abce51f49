package placement

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/health"
)

const (
	// reportLag is the maximum delay of a message to a sidecar. A report that arrives
	// sooner after a send may not include that send.
	reportLag = 5 * time.Millisecond
	// staleAfter is the age from which a load report is ignored.
	staleAfter = 5 * time.Second
	// fullReportTTL is how long a report of a full upstream keeps work away.
	fullReportTTL = 100 * time.Millisecond
	// maxRecentSends is the maximum number of sends tracked per upstream.
	maxRecentSends = 32
)

// sentWork is work sent by this entry that a load report may not include yet.
type sentWork struct {
	at     time.Time
	slots  int
	blocks int
	tokens contract.Tokens
}

// upstreamView is the entry's view of one upstream: its configuration, its last load
// report, and the work that the entry sent since.
type upstreamView struct {
	config upstream.Upstream
	// entryHash orders upstreams differently on each entry; fleetHash is the same on
	// all entries.
	entryHash, fleetHash uint64
	distance             int
	health               *health.Member
	load                 upstream.Load
	reportedAt           time.Time
	// recentSends is in order of time; pending is its sum.
	recentSends []sentWork
	pending     sentWork
	prefixes    prefixIndex
}

func (v *upstreamView) choice(estimate time.Duration) Choice {
	return Choice{ID: v.config.ID, Addr: v.config.SidecarAddr, Place: v.config.Place, Estimate: estimate}
}

// hasReport reports whether there is a load report younger than staleAfter.
func (v *upstreamView) hasReport(now time.Time) bool {
	return !v.reportedAt.IsZero() && now.Sub(v.reportedAt) < staleAfter
}

// observe stores a load report and drops the sends that it must already include.
func (v *upstreamView) observe(now time.Time, l upstream.Load) {
	v.load = l
	v.reportedAt = now
	v.dropSendsBefore(now.Add(-reportLag))
}

// dropSendsBefore drops the sends made before a time.
func (v *upstreamView) dropSendsBefore(before time.Time) {
	old := 0
	for old < len(v.recentSends) && v.recentSends[old].at.Before(before) {
		old++
	}
	v.dropOldestSends(old)
}

// dropOldestSends removes the first count sends from the sum.
func (v *upstreamView) dropOldestSends(count int) {
	for _, s := range v.recentSends[:count] {
		v.pending.add(s, -1)
	}
	v.recentSends = slices.Delete(v.recentSends, 0, count)
}

// recordSend adds work to the pending sum. Beyond maxRecentSends the oldest send is
// dropped.
func (v *upstreamView) recordSend(s sentWork) {
	v.dropSendsBefore(s.at.Add(-staleAfter))
	if len(v.recentSends) >= maxRecentSends {
		v.dropOldestSends(1)
	}
	v.recentSends = append(v.recentSends, s)
	v.pending.add(s, 1)
}

// add adds other if sign is 1 and subtracts it if sign is -1.
func (s *sentWork) add(other sentWork, sign int) {
	s.slots += sign * other.slots
	s.blocks += sign * other.blocks
	s.tokens += contract.Tokens(sign) * other.tokens
}

// freeCapacity estimates the slots and blocks available to a new grant.
func (v *upstreamView) freeCapacity() (slots, blocks int) {
	return v.load.FreeSlots - v.pending.slots, v.load.FreeBlocks - v.pending.blocks
}

// fitsNow reports whether the estimated free capacity covers the need.
func (v *upstreamView) fitsNow(n Need) bool {
	slots, blocks := v.freeCapacity()
	return slots > 0 && (n.Blocks == 0 || blocks >= n.Blocks)
}

// fitsSoon is fitsNow with the capacity that the sidecar expects to free soon: it
// grants slots in advance that are free by the time the KV cache arrives.
func (v *upstreamView) fitsSoon(n Need) bool {
	slots, blocks := v.freeCapacity()
	slots += v.load.SoonSlots
	blocks += v.load.SoonBlocks
	return slots > 0 && (n.Blocks == 0 || blocks >= n.Blocks)
}

// occupancy is the used share of the slots, from 0 to 1; 0 without a report.
func (v *upstreamView) occupancy() float64 {
	slots, _ := v.freeCapacity()
	if v.load.Slots <= 0 {
		return 0
	}
	return min(1, max(0, 1-float64(slots)/float64(v.load.Slots)))
}

// linkWait estimates how long the import link is busy, including recent sends.
func (v *upstreamView) linkWait(now time.Time) time.Duration {
	wait := v.load.TransferBacklog - now.Sub(v.reportedAt)
	return max(0, wait) + v.transferTime(v.pending.blocks)
}

// transferTime is the time for blocks on the import link; 0 if it has no rate limit.
func (v *upstreamView) transferTime(blocks int) time.Duration {
	if v.load.LinkBlocksPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(blocks) / v.load.LinkBlocksPerSecond * float64(time.Second))
}

// queueTime estimates the wait in the prefill queue, including recent sends. The time
// since the last report is deducted, since the queue drains meanwhile.
func (v *upstreamView) queueTime(now time.Time) time.Duration {
	queue := v.prefillTime(v.load.QueuedTokens + v.pending.tokens)
	return max(0, queue-now.Sub(v.reportedAt))
}

// prefillTime is the time that the engine takes for prompt tokens, without queueing.
func (v *upstreamView) prefillTime(tokens contract.Tokens) time.Duration {
	rate := v.load.PrefillPerSecond
	if rate <= 0 {
		rate = assumedPrefillPerSecond
	}
	return time.Duration(float64(tokens) / float64(rate) * float64(time.Second))
}

// assumedPrefillPerSecond, in tokens per second, is used until an engine reports its
// rate.
const assumedPrefillPerSecond contract.Tokens = 10_000
