package engine

import (
	"container/list"
	"time"
)

// maxEvents bounds the cache events retained for readers.
const maxEvents = 4096

type cacheEvent struct {
	sequence uint64
	at       time.Time
	prefix   uint64
	evicted  bool
}

// prefixCache is an LRU cache of prompt blocks. It is guarded by the engine's
// lock.
type prefixCache struct {
	capacity int
	eventGap int
	recent   *list.List // of uint64, most recent first
	byPrefix map[uint64]*list.Element
	events   []cacheEvent
	sequence uint64
}

func newPrefixCache(capacity, gap int) *prefixCache {
	return &prefixCache{capacity: capacity, eventGap: gap, recent: list.New(), byPrefix: map[uint64]*list.Element{}}
}

// insert adds the blocks of a prompt and returns how many were cached before.
func (c *prefixCache) insert(prefixes []uint64, now time.Time) (hits int) {
	for _, p := range prefixes {
		if el, ok := c.byPrefix[p]; ok {
			hits++
			c.recent.MoveToFront(el)
			continue
		}
		c.add(p, now)
	}
	return hits
}

func (c *prefixCache) add(prefix uint64, now time.Time) {
	c.byPrefix[prefix] = c.recent.PushFront(prefix)
	c.emit(prefix, false, now)
	for c.recent.Len() > c.capacity {
		oldest := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.byPrefix, oldest)
		c.emit(oldest, true, now)
	}
}

func (c *prefixCache) has(prefix uint64) bool {
	_, ok := c.byPrefix[prefix]
	return ok
}

// emit records an event. With an event gap of n, every nth event is lost.
func (c *prefixCache) emit(prefix uint64, evicted bool, now time.Time) {
	c.sequence++
	if c.eventGap > 0 && c.sequence%uint64(c.eventGap) == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{sequence: c.sequence, at: now, prefix: prefix, evicted: evicted})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// after returns the events after a sequence number that are at least lag old.
func (c *prefixCache) after(sequence uint64, now time.Time, lag time.Duration) []cacheEvent {
	var out []cacheEvent
	for _, ev := range c.events {
		if ev.sequence > sequence && now.Sub(ev.at) >= lag {
			out = append(out, ev)
		}
	}
	return out
}
