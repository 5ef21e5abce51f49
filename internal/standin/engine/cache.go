package engine

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/link/upstream/engineapi"
)

// Limits of cache events.
const (
	maxEvents   = 4096
	eventsReply = 256
)

// cache holds prompt prefixes in limited memory and tells of them late.
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

// match gives how many of the prefixes, from the shortest on, are cached.
func (c *cache) match(prefixes []uint64) int {
	for i, prefix := range prefixes {
		if _, ok := c.lastUse[prefix]; !ok {
			return i
		}
	}
	return len(prefixes)
}

// store caches prefixes and evicts those used longest ago.
func (c *cache) store(prefixes []uint64, now time.Time) {
	// The longest is touched first, so that it is also evicted first.
	for i := len(prefixes) - 1; i >= 0; i-- {
		c.clock++
		if _, ok := c.lastUse[prefixes[i]]; !ok {
			c.tell(prefixes[i], true, now)
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
	c.tell(oldest, false, now)
}

// tell adds an event, or loses it.
func (c *cache) tell(prefix uint64, stored bool, now time.Time) {
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

// since gives the events after a number that are old enough to be told.
func (c *cache) since(after uint64, now time.Time) []engineapi.CacheEvent {
	told := []engineapi.CacheEvent{}
	for _, event := range c.events {
		if now.Sub(event.at) < c.options.EventLag || len(told) == eventsReply {
			break
		}
		if event.Seq > after {
			told = append(told, event.CacheEvent)
		}
	}
	return told
}
