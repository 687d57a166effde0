package ledger

import (
	"container/list"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// answerCache keeps the latest answers of this daemon's own runs, bounded by
// their bytes, so that a repeat here gets an answer that is not recorded yet
// or too large to be.
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

// cachedAnswerOverhead is the size of an answer's bookkeeping, in bytes.
const cachedAnswerOverhead = 256

func newAnswerCache(limit int) *answerCache {
	return &answerCache{limit: limit, byID: map[IntentID]*list.Element{}, order: list.New()}
}

func (h *answerCache) get(id IntentID) (Answer, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.byID[id]
	if !ok {
		return Answer{}, false
	}
	return e.Value.(cachedAnswer).answer, true
}

func (h *answerCache) put(id IntentID, a Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byID[id] != nil {
		return
	}
	h.byID[id] = h.order.PushBack(cachedAnswer{intent: id, answer: a})
	h.bytes += cachedAnswerOverhead + len(a.Body)
	for h.bytes > h.limit {
		h.dropOldest()
	}
}

func (h *answerCache) dropOldest() {
	oldest := h.order.Remove(h.order.Front()).(cachedAnswer)
	delete(h.byID, oldest.intent)
	h.bytes -= cachedAnswerOverhead + len(oldest.answer.Body)
}

// grantLog remembers the latest grants, for the assertion that this process
// never grants a key twice.
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

// add remembers a grant and reports whether the key had none within span.
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

// remove forgets a grant that was given back unused.
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
