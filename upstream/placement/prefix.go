package placement

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/upstream"
)

const (
	// maxPrefixes is the maximum number of prefixes tracked per upstream.
	maxPrefixes = 64
	// prefixTTL is how long a prefix is assumed to stay cached.
	prefixTTL = 30 * time.Second
	// affinityShare is the share of the prefill time of a prefix that is deducted from
	// the cost of its rendezvous owner, so that all entries send equal prefixes to one
	// engine even if none is known to have them cached.
	affinityShare = 0.1
)

// prefixIndex tracks the prompt prefixes that an engine probably has cached. Cache
// events arrive late and with gaps, so it affects only the ranking and the estimates
// for early refusal, never the estimate in a Choice.
type prefixIndex struct {
	expiresAt map[uint64]time.Time
	// lastSeq is the sequence number of the last applied event.
	lastSeq uint64
}

// applyEvents applies the cache events of a report. Events that an earlier report
// already delivered are skipped; a gap in the sequence means that events were lost.
func (p *prefixIndex) applyEvents(now time.Time, events []upstream.CacheEvent) {
	for _, event := range events {
		if event.Seq <= p.lastSeq {
			continue
		}
		if p.lastSeq > 0 && event.Seq > p.lastSeq+1 {
			p.decayAfterGap(now)
		}
		p.lastSeq = event.Seq
		if event.Stored {
			p.add(now, event.Prefix)
		} else {
			p.remove(event.Prefix)
		}
	}
}

// add marks a prefix as cached for prefixTTL. The hash 0 is ignored.
func (p *prefixIndex) add(now time.Time, prefix uint64) {
	if prefix == 0 {
		return
	}
	if p.expiresAt == nil {
		p.expiresAt = make(map[uint64]time.Time)
	}
	if len(p.expiresAt) >= maxPrefixes {
		p.evict(now)
	}
	p.expiresAt[prefix] = now.Add(prefixTTL)
}

// evict drops expired prefixes or, if there are none, the one that expires first.
func (p *prefixIndex) evict(now time.Time) {
	var oldest uint64
	for prefix, expiresAt := range p.expiresAt {
		if !now.Before(expiresAt) {
			delete(p.expiresAt, prefix)
			continue
		}
		if end, ok := p.expiresAt[oldest]; !ok || expiresAt.Before(end) {
			oldest = prefix
		}
	}
	if len(p.expiresAt) >= maxPrefixes {
		delete(p.expiresAt, oldest)
	}
}

func (p *prefixIndex) remove(prefix uint64) {
	delete(p.expiresAt, prefix)
}

// probability estimates from 0 to 1 how likely the prefix is cached. It falls
// linearly to 0 over prefixTTL.
func (p *prefixIndex) probability(now time.Time, prefix uint64) float64 {
	expiresAt, ok := p.expiresAt[prefix]
	if !ok || prefix == 0 {
		return 0
	}
	return max(0, float64(expiresAt.Sub(now))/float64(prefixTTL))
}

// decayAfterGap halves the remaining lifetime of all prefixes, because the lost events
// may include removals.
func (p *prefixIndex) decayAfterGap(now time.Time) {
	for prefix, expiresAt := range p.expiresAt {
		p.expiresAt[prefix] = now.Add(expiresAt.Sub(now) / 2)
	}
}

// RecordPrefix marks a prompt prefix as cached at an upstream that just ran the
// prompt, without waiting for its cache event. Unknown upstreams are ignored.
func (b *Board) RecordPrefix(now time.Time, id upstream.ID, prefix uint64) {
	if view, ok := b.views[id]; ok {
		view.prefixes.add(now, prefix)
	}
}
