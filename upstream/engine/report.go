package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Running lists all that hold something, in order of calls.
func (l *Ledger) Running() []Ask {
	return l.asks(func(*grant) bool { return true })
}

// Sent lists the calls that were sent to the upstream: when it dies, one of
// them may be the cause.
func (l *Ledger) Sent() []Ask {
	return l.asks(func(held *grant) bool { return held.running })
}

func (l *Ledger) asks(match func(*grant) bool) []Ask {
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

// Load says what a new grant could take now.
func (l *Ledger) Load(now time.Time) upstream.Load {
	soonSlots, soonBlocks := l.soon(now)
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
		Leaving:             l.leaving,
		At:                  now,
	}
	if l.down {
		load.FreeSlots, load.FreeBlocks = 0, 0
		load.SoonSlots, load.SoonBlocks = 0, 0
	}
	return load
}

// ownedBy reports whether the same run of the same instance owns the grant.
func (g *grant) ownedBy(owner instance.Identity) bool {
	return g.ask.Owner.Name == owner.Name && g.ask.Owner.Incarnation == owner.Incarnation
}

// compareCalls orders calls by request and attempt.
func compareCalls(a, b contract.CallID) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Attempt, b.Attempt))
}
