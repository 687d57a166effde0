package ledger

import (
	"container/heap"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/foldtime"
	"carawayproxy.example/caraway/internal/journal"
)

// maxAbandonedIntents is the maximum number of abandoned intents kept per key.
// If one is dropped and lands later, the key can be left without an owner. It
// cannot run twice, because no owner runs an intent that it has abandoned.
const maxAbandonedIntents = 8

// Fold is the fold of one ledger stream. It is safe for concurrent use.
type Fold struct {
	mu       sync.RWMutex
	window   time.Duration
	clock    foldtime.Clock
	entries  map[Key]*Entry
	expiries expiryHeap
	watchers map[Key]*watcher
}

var _ journal.Fold = (*Fold)(nil)

// watcher is the notification channel of one key, shared by its users.
type watcher struct {
	changed chan struct{}
	users   int
}

// NewFold returns an empty fold. window is the lifetime of the keys of this
// daemon's own intents, DefaultWindow if zero.
func NewFold(window time.Duration) *Fold {
	if window == 0 {
		window = DefaultWindow
	}
	return &Fold{
		window:   time.Duration(clampWindow(window.Milliseconds())) * time.Millisecond,
		entries:  map[Key]*Entry{},
		watchers: map[Key]*watcher{},
	}
}

// Kinds implements journal.Fold.
func (f *Fold) Kinds() []journal.Kind {
	return []journal.Kind{KindIntent, KindOutcome, KindAbandoned}
}

// Window returns the lifetime of the keys of this daemon's own intents.
func (f *Fold) Window() time.Duration { return f.window }

// Lookup returns the entry of a key.
func (f *Fold) Lookup(k Key) (Entry, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	e, ok := f.entries[k]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Expired reports whether a key contains a time that is before its window.
func (f *Fold) Expired(k Key) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return expired(k, f.window.Milliseconds(), f.clock.Milli())
}

// Len returns the number of keys.
func (f *Fold) Len() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.entries)
}

// Apply implements journal.Fold.
func (f *Fold) Apply(_ journal.Offset, r journal.Record) (journal.Verdict, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.clock.Observe(r.Author, r.UnixMilli) {
		f.expire()
	}
	switch r.Kind {
	case KindIntent:
		return f.applyIntent(r)
	case KindOutcome:
		return f.applyOutcome(r)
	case KindAbandoned:
		return f.applyAbandoned(r)
	default:
		return journal.Verdict{}, errors.Errorf("unknown kind %q", r.Kind)
	}
}

func (f *Fold) applyIntent(r journal.Record) (journal.Verdict, error) {
	var rec intentRecord
	if err := decode(r.Body, &rec); err != nil {
		return journal.Verdict{}, err
	}
	k := rec.Key.key()
	window := clampWindow(rec.Window)
	if expired(k, window, f.clock.Milli()) {
		return journal.Reject(rejectExpired), nil
	}
	old := f.entries[k]
	if reason := rejectReason(old, rec); reason != "" {
		return journal.Verdict{Reason: reason, Detail: *old}, nil
	}
	e := &Entry{
		Key:       k,
		Phase:     PhaseIntent,
		Intent:    rec.Intent,
		Owner:     r.Author,
		Digest:    rec.Digest,
		ExpiresAt: f.expiryTime(k, r.UnixMilli, window),
	}
	if old != nil {
		e.AbandonedIntents = old.AbandonedIntents
		e.ExpiresAt = max(e.ExpiresAt, old.ExpiresAt)
	}
	f.put(e)
	return journal.Verdict{Accepted: true, Detail: *e}, nil
}

// rejectReason returns why an intent loses against the existing entry, or "" if
// it wins.
func rejectReason(old *Entry, rec intentRecord) string {
	switch {
	case old == nil:
		return ""
	case slices.Contains(old.AbandonedIntents, rec.Intent):
		return rejectAbandoned
	case old.Phase == PhaseAbandoned:
		return ""
	case old.Digest != rec.Digest:
		return rejectMismatch
	default:
		return rejectTaken
	}
}

func (f *Fold) applyOutcome(r journal.Record) (journal.Verdict, error) {
	var rec outcomeRecord
	if err := decode(r.Body, &rec); err != nil {
		return journal.Verdict{}, err
	}
	old := f.entries[rec.Key.key()]
	if old == nil || old.Intent != rec.Intent || old.Phase == PhaseAbandoned {
		return journal.Reject(rejectNoIntent), nil
	}
	if old.Phase == PhaseDone || (old.Phase == PhaseUnknown && rec.Unknown) {
		return journal.Reject(rejectFinal), nil
	}
	e := *old
	e.Phase = PhaseDone
	if rec.Unknown {
		e.Phase = PhaseUnknown
	}
	e.Answer = rec.answer()
	f.put(&e)
	return journal.Accept(), nil
}

// applyAbandoned releases a key whose intent was abandoned. An abandonment that
// precedes its intent in the log prevents the intent from winning.
func (f *Fold) applyAbandoned(r journal.Record) (journal.Verdict, error) {
	var rec abandonedRecord
	if err := decode(r.Body, &rec); err != nil {
		return journal.Verdict{}, err
	}
	k := rec.Key.key()
	old := f.entries[k]
	if old == nil {
		old = &Entry{Key: k, Phase: PhaseAbandoned}
	}
	if slices.Contains(old.AbandonedIntents, rec.Intent) {
		return journal.Reject(rejectAbandoned), nil
	}
	owned := old.Intent == rec.Intent
	if owned && (old.Phase == PhaseDone || old.Phase == PhaseUnknown) {
		return journal.Reject(rejectFinal), nil
	}
	e := *old
	e.AbandonedIntents = append(slices.Clip(slices.Clone(old.AbandonedIntents)), rec.Intent)
	if len(e.AbandonedIntents) > maxAbandonedIntents {
		e.AbandonedIntents = e.AbandonedIntents[1:]
	}
	e.ExpiresAt = max(e.ExpiresAt, f.expiryTime(k, r.UnixMilli, clampWindow(rec.Window)))
	if owned {
		e.Phase = PhaseAbandoned
	}
	f.put(&e)
	return journal.Accept(), nil
}

// put stores an entry and notifies the watchers of its key.
func (f *Fold) put(e *Entry) {
	if old := f.entries[e.Key]; old == nil || old.ExpiresAt != e.ExpiresAt {
		heap.Push(&f.expiries, expiry{expiresAt: e.ExpiresAt, key: e.Key})
	}
	f.entries[e.Key] = e
	f.wake(e.Key)
}

// expiryTime returns when a key that is used now expires, in Unix milliseconds.
// It uses the later of the fold's clock and the author's clock, because the
// fold's clock may lag after a time without records. A key that contains a later
// time is kept until that time is outside the window too, so that the key
// cannot be used as a new one.
func (f *Fold) expiryTime(k Key, authorMilli, window int64) int64 {
	lastUse := max(f.clock.Milli(), authorMilli)
	if at, ok := keyTime(k); ok && at > lastUse && at <= lastUse+window {
		lastUse = at
	}
	return lastUse + window
}

// expire deletes the expired keys.
func (f *Fold) expire() {
	now := f.clock.Milli()
	for len(f.expiries) > 0 && f.expiries[0].expiresAt < now {
		next := heap.Pop(&f.expiries).(expiry)
		if e := f.entries[next.key]; e != nil && e.ExpiresAt == next.expiresAt {
			delete(f.entries, next.key)
			f.wake(next.key)
		}
	}
}

// Watch returns a channel that is closed when the key next changes. The caller
// must call done when it no longer needs the channel.
func (f *Fold) Watch(k Key) (changed <-chan struct{}, done func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.watchers[k]
	if w == nil {
		w = &watcher{changed: make(chan struct{})}
		f.watchers[k] = w
	}
	w.users++
	return w.changed, func() { f.unwatch(k, w) }
}

func (f *Fold) unwatch(k Key, w *watcher) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.users--
	if w.users == 0 && f.watchers[k] == w {
		delete(f.watchers, k)
	}
}

// wake notifies the watchers of a key.
func (f *Fold) wake(k Key) {
	if w := f.watchers[k]; w != nil {
		close(w.changed)
		delete(f.watchers, k)
	}
}

// expired reports whether a key contains a time that is before the window.
func expired(k Key, window, nowMilli int64) bool {
	at, ok := keyTime(k)
	return ok && at+window < nowMilli
}

// keyTime returns the time in a key that is a version 7 UUID.
func keyTime(k Key) (unixMilli int64, ok bool) {
	if len(k.Caller) != 36 {
		return 0, false
	}
	id, err := uuid.Parse(k.Caller)
	if err != nil || id.Version() != 7 {
		return 0, false
	}
	for _, c := range id[:6] {
		unixMilli = unixMilli<<8 | int64(c)
	}
	return unixMilli, true
}

// expiry is a scheduled expiry of a key. It is stale if the entry's ExpiresAt
// has changed since.
type expiry struct {
	expiresAt int64
	key       Key
}

// expiryHeap orders keys by their expiry, earliest first.
type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiry)) }
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
