package serving

import "container/list"

// prefixCache is an engine's LRU cache of prompt blocks.
type prefixCache struct {
	limit    int
	elements map[uint64]*list.Element
	order    *list.List // front is the most recent
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, elements: map[uint64]*list.Element{}, order: list.New()}
}

// match returns the number of leading blocks that are cached and marks them as
// used.
func (c *prefixCache) match(blocks []uint64) int {
	for i, b := range blocks {
		element, ok := c.elements[b]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(blocks)
}

// add caches blocks and returns the new ones and the evicted ones.
func (c *prefixCache) add(blocks []uint64) (added, evicted []uint64) {
	for _, b := range blocks {
		if element, ok := c.elements[b]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.elements[b] = c.order.PushFront(b)
		added = append(added, b)
	}
	for c.order.Len() > c.limit {
		last := c.order.Back()
		b := c.order.Remove(last).(uint64)
		delete(c.elements, b)
		evicted = append(evicted, b)
	}
	return added, evicted
}
