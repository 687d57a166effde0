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
		last := maps.Clone(t.put)
		for _, r := range history {
			t.add(r)
		}
		t.records, t.put = slices.Clone(t.records[t.first:]), last
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

// outdated returns the keys of a topic whose newest value is not the last one that was
// put, sorted.
func (s *Store) outdated(name string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	var out []string
	for key := range t.put {
		if !bytes.Equal(t.newest[key].value, t.put[key]) {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// putAgain puts the last value of a key again if a restore has replaced it.
func (s *Store) putAgain(name, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if !bytes.Equal(t.newest[key].value, t.put[key]) {
		s.put(name, key, t.put[key])
	}
}

// isDeleted reports whether the last value of a key that was put deleted it.
func (s *Store) isDeleted(name, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topic(name).put[key]) == 0
}

// Drill takes the store away for some time, after which it comes back from a copy that was
// of some age when it went. What the operator and the backend servers had written is
// written again: the routing document at once, an entry of the list within a heartbeat
// interval. Entries of servers that had left expire.
func (w *World) Drill(away, age time.Duration) {
	w.Store.SetUnavailable(true)
	time.Sleep(away)
	w.Store.Restore(away + age)
	w.Store.SetUnavailable(false)
	for _, name := range []string{"keyed.op", "keyed.servers"} {
		keys := w.Store.outdated(name)
		for i, key := range keys {
			after := 50 * time.Millisecond
			switch {
			case name == "keyed.servers" && w.Store.isDeleted(name, key):
				after = 3 * heartbeatInterval
			case name == "keyed.servers":
				after = heartbeatInterval * time.Duration(i+1) / time.Duration(len(keys))
			}
			w.runAfter(after, func() { w.Store.putAgain(name, key) })
		}
	}
}
