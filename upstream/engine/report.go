package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// GrantedAsks returns the asks of all calls that hold a grant or a place in the prefill
// queue, whether sent to the upstream or not, sorted by call.
func (l *Ledger) GrantedAsks() []Ask {
	return l.sortedAsks(func(*heldCall) bool { return true })
}

// SentAsks returns the asks of the calls that the upstream may be running, that is, those
// that Admit or MarkSent allowed to be sent, sorted by call. If the upstream crashes,
// any of them may be the cause.
func (l *Ledger) SentAsks() []Ask {
	return l.sortedAsks(func(held *heldCall) bool { return held.running })
}

func (l *Ledger) sortedAsks(match func(*heldCall) bool) []Ask {
	var asks []Ask
	for _, table := range l.tables() {
		for _, held := range table {
			if match(held) {
				asks = append(asks, held.ask)
			}
		}
	}
	slices.SortFunc(asks, func(a, b Ask) int { return compareCalls(a.Call, b.Call) })
	return asks
}

// Load reports the capacities and what is available to a new grant. The cache
// events are shared with the ledger and must not be changed.
func (l *Ledger) Load(now time.Time) upstream.Load {
	soonSlots, soonBlocks := l.freeSoon(now)
	load := upstream.Load{
		Upstream:            l.id,
		Role:                l.limits.Role,
		Slots:               l.limits.Slots,
		FreeSlots:           max(0, l.limits.Slots-len(l.grants)),
		Blocks:              l.limits.Blocks,
		FreeBlocks:          max(0, l.limits.Blocks-l.blocks),
		SoonSlots:           soonSlots,
		SoonBlocks:          soonBlocks,
		QueuedTokens:        l.queued,
		PrefillPerSecond:    l.limits.PrefillPerSecond,
		LinkBlocksPerSecond: l.limits.LinkBlocksPerSecond,
		TransferBacklog:     l.link.Backlog(now),
		Cache:               l.cache,
		Leaving:             l.draining,
		At:                  now,
	}
	if l.down {
		load.FreeSlots, load.FreeBlocks = 0, 0
		load.SoonSlots, load.SoonBlocks = 0, 0
	}
	return load
}

// ownedBy reports whether the call belongs to this incarnation of the instance.
func (h *heldCall) ownedBy(owner instance.Identity) bool {
	return h.ask.Owner.Name == owner.Name && h.ask.Owner.Incarnation == owner.Incarnation
}

// compareCalls orders calls by request, then by attempt.
func compareCalls(a, b contract.CallID) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Attempt, b.Attempt))
}
