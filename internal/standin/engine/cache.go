package engine

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/link/upstream/engineapi"
)

// Limits on the events that are kept, and on those in one reply.
const (
	maxEvents         = 4096
	maxEventsPerReply = 256
)

// cache is the prefix cache: it holds at most Options.CacheBlocks prompt prefixes
// and reports its changes as events after Options.EventLag. Engine.mu guards it.
type cache struct {
	options Options
	// lastUse orders the blocks for eviction.
	lastUse map[uint64]uint64
	clock   uint64
	seq     uint64
	events  []cacheEvent
}

type cacheEvent struct {
	engineapi.CacheEvent
	at time.Time
}

func newCache(options Options) *cache {
	return &cache{options: options, lastUse: make(map[uint64]uint64)}
}

// match returns how many of the prefixes, shortest first, are cached without a
// gap.
func (c *cache) match(prefixes []uint64) int {
	for i, prefix := range prefixes {
		if _, ok := c.lastUse[prefix]; !ok {
			return i
		}
	}
	return len(prefixes)
}

// store caches prefixes and evicts the least recently used ones beyond the limit.
func (c *cache) store(prefixes []uint64, now time.Time) {
	// The longest prefix is marked as used first, so that it is evicted before
	// the prefixes that it extends.
	for i := len(prefixes) - 1; i >= 0; i-- {
		c.clock++
		if _, ok := c.lastUse[prefixes[i]]; !ok {
			c.addEvent(prefixes[i], true, now)
		}
		c.lastUse[prefixes[i]] = c.clock
	}
	for len(c.lastUse) > c.options.CacheBlocks {
		c.evictOne(now)
	}
}

func (c *cache) evictOne(now time.Time) {
	var oldest uint64
	use := c.clock + 1
	for prefix, last := range c.lastUse {
		if last < use {
			oldest, use = prefix, last
		}
	}
	delete(c.lastUse, oldest)
	c.addEvent(oldest, false, now)
}

// addEvent records a change of the cache. Each Options.EventGap-th event is
// dropped, so that its sequence number is missing, and the oldest are dropped
// beyond maxEvents.
func (c *cache) addEvent(prefix uint64, stored bool, now time.Time) {
	c.seq++
	if c.seq%c.options.EventGap == 0 {
		return
	}
	event := engineapi.CacheEvent{Seq: c.seq, Prefix: prefix, Stored: stored}
	c.events = append(c.events, cacheEvent{event, now})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// since returns the events after a sequence number that are at least
// Options.EventLag old, up to maxEventsPerReply.
func (c *cache) since(after uint64, now time.Time) []engineapi.CacheEvent {
	visible := []engineapi.CacheEvent{}
	for _, event := range c.events {
		if now.Sub(event.at) < c.options.EventLag || len(visible) == maxEventsPerReply {
			break
		}
		if event.Seq > after {
			visible = append(visible, event.CacheEvent)
		}
	}
	return visible
}
