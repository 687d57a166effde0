package serving

import "container/list"

// prefixCache is an engine's cache of prompt blocks: limited, least recently
// used first out.
type prefixCache struct {
	limit  int
	places map[uint64]*list.Element
	order  *list.List // front is the most recent
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, places: map[uint64]*list.Element{}, order: list.New()}
}

// match returns how many leading blocks are cached, and uses them.
func (c *prefixCache) match(blocks []uint64) int {
	for i, b := range blocks {
		place, ok := c.places[b]
		if !ok {
			return i
		}
		c.order.MoveToFront(place)
	}
	return len(blocks)
}

// add caches blocks and returns those that were new and those that went.
func (c *prefixCache) add(blocks []uint64) (added, evicted []uint64) {
	for _, b := range blocks {
		if place, ok := c.places[b]; ok {
			c.order.MoveToFront(place)
			continue
		}
		c.places[b] = c.order.PushFront(b)
		added = append(added, b)
	}
	for c.order.Len() > c.limit {
		last := c.order.Back()
		b := c.order.Remove(last).(uint64)
		delete(c.places, b)
		evicted = append(evicted, b)
	}
	return added, evicted
}
