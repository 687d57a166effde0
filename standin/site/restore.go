package site

import (
	"bytes"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Restore replaces the state of the store by that of some time ago, as a store that comes
// back from a copy of that age. Offsets are given out again from there on.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copiedAt := time.Now().Add(-age)
	for _, t := range s.topics {
		history := t.history
		if i := slices.IndexFunc(history, func(r record) bool { return r.at.After(copiedAt) }); i >= 0 {
			history = history[:i]
		}
		t.first = min(t.first, uint64(len(history)))
		t.records, t.history, t.newest = nil, nil, map[string]record{}
		for _, r := range history {
			t.add(r)
		}
		t.records = slices.Clone(t.records[t.first:])
	}
	s.era++
	s.dropReads()
}

// SetEra sets the era that the answers name, none for zero.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// setEra names the era in an answer. The caller holds mu.
func (s *Store) setEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
}

// newest returns the newest value of each key of a topic.
func (s *Store) newest(name string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]byte{}
	for key, r := range s.topic(name).newest {
		out[key] = r.value
	}
	return out
}

// putIfUnchanged puts a value if the newest one is still that of before, nil for none.
func (s *Store) putIfUnchanged(name, key string, before, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes.Equal(s.topic(name).newest[key].value, before) {
		s.put(name, key, value)
	}
}

// Drill takes the store away for some time, after which it comes back from a copy that was
// of some age when it went. What the operator and the backend servers had written is
// written again: the routing document at once, an entry of the list within a heartbeat
// interval. Entries of servers that had left expire.
func (w *World) Drill(away, age time.Duration) {
	w.Store.SetUnavailable(true)
	time.Sleep(away)
	present := map[string]map[string][]byte{}
	for _, name := range []string{"keyed.op", "keyed.servers"} {
		present[name] = w.Store.newest(name)
	}
	w.Store.Restore(away + age)
	w.Store.SetUnavailable(false)
	for name, values := range present {
		restored := w.Store.newest(name)
		keys := slices.Sorted(maps.Keys(values))
		for i, key := range keys {
			if bytes.Equal(restored[key], values[key]) {
				continue
			}
			after := 50 * time.Millisecond
			if name == "keyed.servers" {
				after = heartbeatInterval * time.Duration(i+1) / time.Duration(len(keys))
			}
			w.runAfter(after, func() { w.Store.putIfUnchanged(name, key, restored[key], values[key]) })
		}
		for key := range restored {
			if values[key] == nil && name == "keyed.servers" {
				w.runAfter(3*heartbeatInterval, func() { w.Store.putIfUnchanged(name, key, restored[key], nil) })
			}
		}
	}
}
