package ledger

import (
	"container/list"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// answerCache keeps the most recent answers of this daemon's own runs, limited
// by their total size. It answers repeated calls at this daemon if the answer is
// not recorded yet or too large to be recorded.
type answerCache struct {
	mu    sync.Mutex
	limit int
	bytes int
	byID  map[IntentID]*list.Element
	order *list.List // of cachedAnswer, oldest first
}

type cachedAnswer struct {
	intent IntentID
	answer Answer
}

// cachedAnswerOverhead is the estimated size of a cache entry without the body,
// in bytes.
const cachedAnswerOverhead = 256

func newAnswerCache(limit int) *answerCache {
	return &answerCache{limit: limit, byID: map[IntentID]*list.Element{}, order: list.New()}
}

func (c *answerCache) get(id IntentID) (Answer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.byID[id]
	if !ok {
		return Answer{}, false
	}
	return e.Value.(cachedAnswer).answer, true
}

func (c *answerCache) put(id IntentID, a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byID[id] != nil {
		return
	}
	c.byID[id] = c.order.PushBack(cachedAnswer{intent: id, answer: a})
	c.bytes += cachedAnswerOverhead + len(a.Body)
	for c.bytes > c.limit {
		c.dropOldest()
	}
}

func (c *answerCache) dropOldest() {
	oldest := c.order.Remove(c.order.Front()).(cachedAnswer)
	delete(c.byID, oldest.intent)
	c.bytes -= cachedAnswerOverhead + len(oldest.answer.Body)
}

// grantLog keeps the most recent grants for the invariant that this process
// does not grant a key twice.
type grantLog struct {
	mu    sync.Mutex
	byKey map[Key]grantedIntent
	order []Key
	next  int
}

type grantedIntent struct {
	intent IntentID
	at     time.Time
}

func newGrantLog(size int) *grantLog {
	return &grantLog{byKey: map[Key]grantedIntent{}, order: make([]Key, 0, size)}
}

// add records a grant and reports whether the key had no grant within span.
func (g *grantLog) add(k Key, id IntentID, span time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if old, taken := g.byKey[k]; taken && now.Sub(old.at) < span {
		return false
	}
	g.byKey[k] = grantedIntent{intent: id, at: now}
	if len(g.order) < cap(g.order) {
		g.order = append(g.order, k)
		return true
	}
	delete(g.byKey, g.order[g.next])
	g.order[g.next] = k
	g.next = (g.next + 1) % len(g.order)
	return true
}

// remove deletes a grant whose request was not sent.
func (g *grantLog) remove(k Key, id IntentID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byKey[k].intent == id {
		delete(g.byKey, k)
	}
}

type clientMetrics struct {
	appends, runs, replays, waits, uncertain, refused metrics.Counter
}

func newClientMetrics(r metrics.Registry) clientMetrics {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return clientMetrics{
		appends:   metrics.GetOrRegisterCounter("ledger.appends", r),
		runs:      metrics.GetOrRegisterCounter("ledger.runs", r),
		replays:   metrics.GetOrRegisterCounter("ledger.replays", r),
		waits:     metrics.GetOrRegisterCounter("ledger.waits", r),
		uncertain: metrics.GetOrRegisterCounter("ledger.uncertain", r),
		refused:   metrics.GetOrRegisterCounter("ledger.refused", r),
	}
}
