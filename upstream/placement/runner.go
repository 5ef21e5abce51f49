package placement

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/health"
)

const (
	// settleTime is how long a message to a sidecar may take. A report that
	// comes earlier after a send may not show that send.
	settleTime = 5 * time.Millisecond
	// staleAfter is the age at which a report says nothing any more.
	staleAfter = 5 * time.Second
	// freshFor is how long a report of a full upstream keeps work away.
	freshFor = 100 * time.Millisecond
	// maxSends bounds the own sends that are remembered for each upstream.
	maxSends = 32
)

// send is work of this entry that a report may not show yet.
type send struct {
	at     time.Time
	slots  int
	blocks int
	tokens contract.Tokens
}

// runner is one upstream as the entry sees it: the last report, corrected by
// the entry's own sends since, and by the time that passed.
type runner struct {
	up upstream.Upstream
	// rank orders upstreams for this entry, home for all entries alike.
	rank, home uint64
	distance   int
	health     *health.Member
	load       upstream.Load
	seen       time.Time
	// sends are in order of time; pending is their sum.
	sends   []send
	pending send
	cache   prefixes
}

func (r *runner) choice(estimate time.Duration) Choice {
	return Choice{ID: r.up.ID, Addr: r.up.SidecarAddr, Place: r.up.Place, Estimate: estimate}
}

// known reports whether there is a report that still says something.
func (r *runner) known(now time.Time) bool {
	return !r.seen.IsZero() && now.Sub(r.seen) < staleAfter
}

// observe takes in a report. Sends that it must show are forgotten.
func (r *runner) observe(now time.Time, l upstream.Load) {
	r.load = l
	r.seen = now
	r.forget(now.Add(-settleTime))
}

// forget drops sends made before a time. They are in order of time.
func (r *runner) forget(before time.Time) {
	old := 0
	for old < len(r.sends) && r.sends[old].at.Before(before) {
		old++
	}
	r.drop(old)
}

// drop forgets the first sends.
func (r *runner) drop(count int) {
	for _, s := range r.sends[:count] {
		r.pending.add(s, -1)
	}
	r.sends = slices.Delete(r.sends, 0, count)
}

// sent remembers own work.
func (r *runner) sent(s send) {
	r.forget(s.at.Add(-staleAfter))
	if len(r.sends) >= maxSends {
		r.drop(1)
	}
	r.sends = append(r.sends, s)
	r.pending.add(s, 1)
}

// add adds the work of other, times sign.
func (s *send) add(other send, sign int) {
	s.slots += sign * other.slots
	s.blocks += sign * other.blocks
	s.tokens += contract.Tokens(sign) * other.tokens
}

// free estimates the slots and blocks that a new grant could take.
func (r *runner) free() (slots, blocks int) {
	return r.load.FreeSlots - r.pending.slots, r.load.FreeBlocks - r.pending.blocks
}

// fitsNow reports whether the need would find room by the estimate.
func (r *runner) fitsNow(n Need) bool {
	slots, blocks := r.free()
	return slots > 0 && (n.Blocks == 0 || blocks >= n.Blocks)
}

// fits is fitsNow, or soon: a sidecar grants places ahead that become free by
// the time at which the KV cache is there.
func (r *runner) fits(n Need) bool {
	slots, blocks := r.free()
	slots += r.load.SoonSlots
	blocks += r.load.SoonBlocks
	return slots > 0 && (n.Blocks == 0 || blocks >= n.Blocks)
}

// occupancy is the used share of the slots, from 0 to 1.
func (r *runner) occupancy() float64 {
	slots, _ := r.free()
	if r.load.Slots <= 0 {
		return 0
	}
	return min(1, max(0, 1-float64(slots)/float64(r.load.Slots)))
}

// linkWait estimates how long the import link is taken, own sends included.
func (r *runner) linkWait(now time.Time) time.Duration {
	wait := r.load.TransferBacklog - now.Sub(r.seen)
	return max(0, wait) + r.transferTime(r.pending.blocks)
}

// transferTime gives how long blocks take on the import link.
func (r *runner) transferTime(blocks int) time.Duration {
	if r.load.LinkBlocksPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(blocks) / r.load.LinkBlocksPerSecond * float64(time.Second))
}

// queueTime estimates how long the prefill queue takes, own sends included. The
// queue drains while nobody reports.
func (r *runner) queueTime(now time.Time) time.Duration {
	queue := r.prefillTime(r.load.QueuedTokens + r.pending.tokens)
	return max(0, queue-now.Sub(r.seen))
}

// prefillTime gives how long the engine takes for prompt tokens.
func (r *runner) prefillTime(tokens contract.Tokens) time.Duration {
	rate := r.load.PrefillPerSecond
	if rate <= 0 {
		rate = assumedPrefillPerSecond
	}
	return time.Duration(float64(tokens) / float64(rate) * float64(time.Second))
}

// assumedPrefillPerSecond, in tokens a second, is used until an engine reports.
const assumedPrefillPerSecond contract.Tokens = 10_000
