package placement

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/upstream"
)

const (
	// maxPrefixes bounds the prefixes remembered for each upstream.
	maxPrefixes = 64
	// prefixLife is how long a prefix is believed to stay cached.
	prefixLife = 30 * time.Second
	// homeShare is the part of a cached prefix's worth by which the prefix's
	// home is preferred when nobody is known to hold it, so that all entries
	// send equal prefixes to one engine.
	homeShare = 0.1
)

// prefixes are the prompt prefixes that an engine may have cached. Events about
// them come late and with gaps, so this only ever weighs choices; no time that
// a caller is promised counts on it.
type prefixes struct {
	until map[uint64]time.Time
	// seq is that of the last event heard.
	seq uint64
}

// learn takes in events that a report carries. They overlap with those of the
// reports before; what is missing between them was lost.
func (p *prefixes) learn(now time.Time, events []upstream.CacheNews) {
	for _, event := range events {
		if event.Seq <= p.seq {
			continue
		}
		if p.seq > 0 && event.Seq > p.seq+1 {
			p.gap(now)
		}
		p.seq = event.Seq
		if event.Stored {
			p.stored(now, event.Prefix)
		} else {
			p.removed(event.Prefix)
		}
	}
}

// stored notes that a prefix is likely cached.
func (p *prefixes) stored(now time.Time, prefix uint64) {
	if prefix == 0 {
		return
	}
	if p.until == nil {
		p.until = make(map[uint64]time.Time)
	}
	if len(p.until) >= maxPrefixes {
		p.evict(now)
	}
	p.until[prefix] = now.Add(prefixLife)
}

// evict drops what is over, or else what ends first.
func (p *prefixes) evict(now time.Time) {
	var oldest uint64
	for prefix, until := range p.until {
		if !now.Before(until) {
			delete(p.until, prefix)
			continue
		}
		if end, ok := p.until[oldest]; !ok || until.Before(end) {
			oldest = prefix
		}
	}
	if len(p.until) >= maxPrefixes {
		delete(p.until, oldest)
	}
}

// removed notes that a prefix is gone.
func (p *prefixes) removed(prefix uint64) {
	delete(p.until, prefix)
}

// belief is how likely the prefix is cached, from 0 to 1; it falls with time.
func (p *prefixes) belief(now time.Time, prefix uint64) float64 {
	until, ok := p.until[prefix]
	if !ok || prefix == 0 {
		return 0
	}
	return max(0, float64(until.Sub(now))/float64(prefixLife))
}

// gap halves what is believed, because events were lost.
func (p *prefixes) gap(now time.Time) {
	for prefix, until := range p.until {
		p.until[prefix] = now.Add(until.Sub(now) / 2)
	}
}

// PrefixStored notes that an upstream has a prompt prefix cached, because it just
// ran that prompt.
func (b *Board) PrefixStored(now time.Time, id upstream.ID, prefix uint64) {
	if r, ok := b.runners[id]; ok {
		r.cache.stored(now, prefix)
	}
}
