// Package site simulates the operators' platform and its backend servers: a
// record store, engines that form replica groups, and plain servers. They speak
// the platform's protocols over any listener. World runs them with complete
// daemons over an in-memory network.
package site

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a record store. It is safe for concurrent use.
type Store struct {
	mu           sync.Mutex
	topics       map[string]*topic
	unavailable  bool
	changed      chan struct{} // closed and replaced at each change
	calls        int
	documents    int             // answers that held a routing document
	callsOf      map[string]int  // by the IP address of the caller
	readsOf      map[string]int  // by the IP address of the caller and the topic, with a space between
	turnedAway   map[string]bool // IP addresses of callers that get 503
	droppedReads map[string]int  // per topic: times that its pending reads were dropped
	held         map[string]bool // topics whose reads are not answered
	silent       bool            // calls are not answered, also later
	// loses is the topics of which the next read of each caller is not answered, by IP
	// address. nil for none.
	loses map[string]map[string]bool
	delay time.Duration // before each answer
	// era is sent with each answer unless it is zero. It rises with each Restore.
	era uint64
}

// topic is the single partition that the system uses of a topic.
type topic struct {
	first   uint64
	records []record
	newest  map[string]record
	// history holds all records, and put the last value of each key, for Restore.
	history []record
	put     map[string][]byte
}

// end returns the offset of the next record.
func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

type record struct {
	offset uint64
	key    string
	value  []byte
	raw    []byte // the whole record if it holds no key
	at     time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: map[string]*topic{}, changed: make(chan struct{}), era: 1, droppedReads: map[string]int{}, held: map[string]bool{}, callsOf: map[string]int{}, readsOf: map[string]int{}, turnedAway: map[string]bool{}}
}

// SetUnavailable makes every call fail with status 503 while unavailable is true.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	s.wakeReads()
}

// SetSilent leaves the calls that arrive or are pending while silent is true without an
// answer for good. Their connections stay open.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.dropReads()
}

// LoseNextReads leaves the next read of each caller of each of the topics without an
// answer. Their connections stay open.
func (s *Store) LoseNextReads(topics ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loses = map[string]map[string]bool{}
	for _, name := range topics {
		s.loses[name] = map[string]bool{}
	}
}

// losesRead reports whether a read is not answered. The caller holds mu.
func (s *Store) losesRead(name, ip string) bool {
	lost := s.loses[name]
	if lost == nil || lost[ip] {
		return false
	}
	lost[ip] = true
	return true
}

// SetDelay makes the store answer later by a delay.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// DropAllPendingReads is DropPendingReads of all topics.
func (s *Store) DropAllPendingReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropReads()
}

// dropReads drops the responses of all pending long polls. The caller holds mu.
func (s *Store) dropReads() {
	for name := range s.topics {
		s.droppedReads[name]++
	}
	s.wakeReads()
}

// DropPendingReads drops the responses of the pending long polls of a topic.
// Their connections stay open without data.
func (s *Store) DropPendingReads(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedReads[name]++
	s.wakeReads()
}

// HoldReads leaves reads of a topic unanswered while held is true.
func (s *Store) HoldReads(name string, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[name] = held
	s.wakeReads()
}

// awaitRelease waits while the reads of a topic are held. It returns false if the
// caller has left meanwhile.
func (s *Store) awaitRelease(r *http.Request, name string) bool {
	for {
		s.mu.Lock()
		held, changed := s.held[name], s.changed
		s.mu.Unlock()
		if !held {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// CallsOf returns the number of calls from an IP address so far.
func (s *Store) CallsOf(ip string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callsOf[ip]
}

// DocumentReads returns the number of answers so far that held a routing document.
func (s *Store) DocumentReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.documents
}

// countDocument counts an answer if it holds the record of a routing document. The caller
// holds mu.
func (s *Store) countDocument(topic, key string) {
	if topic == "keyed.op" && key == "config" {
		s.documents++
	}
}

// ReadsOf returns the number of reads of a topic from an IP address so far.
func (s *Store) ReadsOf(ip, topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readsOf[ip+" "+topic]
}

// TurnAway makes every call from an IP address fail with status 503 while away is true.
func (s *Store) TurnAway(ip string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnedAway[ip] = away
	s.wakeReads()
}

// Put appends a record. An empty value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(name, key, value)
}

// PutRaw appends a record that need not hold a key.
func (s *Store) PutRaw(name string, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.add(record{offset: t.end(), raw: raw, at: time.Now()})
	s.wakeReads()
}

// put is Put. The caller holds mu.
func (s *Store) put(name, key string, value []byte) {
	t := s.topic(name)
	t.add(record{offset: t.end(), key: key, value: value, at: time.Now()})
	s.wakeReads()
}

// add appends a record.
func (t *topic) add(r record) {
	t.records, t.history = append(t.records, r), append(t.history, r)
	if r.raw != nil {
		return
	}
	t.put[r.key] = r.value
	if len(r.value) == 0 {
		delete(t.newest, r.key)
	} else {
		t.newest[r.key] = r
	}
}

// Keys returns the keys of a topic that have a value, sorted.
func (s *Store) Keys(name string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.topic(name).newest))
}

// TruncateHistory drops a topic's records; the newest one of each key stays.
func (s *Store) TruncateHistory(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += uint64(len(t.records))
	t.records = nil
	s.wakeReads()
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]record{}, put: map[string][]byte{}}
		s.topics[name] = t
	}
	return t
}

// wakeReads wakes all pending reads. The caller holds mu.
func (s *Store) wakeReads() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves the store's calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /carawayproxy/log-newest", s.serveNewest)
	mux.HandleFunc("GET /carawayproxy/log-read", s.serveRead)
	mux.HandleFunc("POST /carawayproxy/log-append", s.serveAppend)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ip, _, _ := net.SplitHostPort(r.RemoteAddr)
		s.mu.Lock()
		s.calls++
		s.callsOf[ip]++
		if r.Method == http.MethodGet {
			s.readsOf[ip+" "+r.URL.Query().Get("topic")]++
		}
		unavailable := s.unavailable || s.turnedAway[ip]
		silent := s.silent || r.Method == http.MethodGet && s.losesRead(r.URL.Query().Get("topic"), ip)
		delay := s.delay
		s.setEra(w)
		s.mu.Unlock()
		if silent {
			_, _ = io.Copy(io.Discard, r.Body) // the caller's leaving ends it
			<-r.Context().Done()
			return
		}
		time.Sleep(delay)
		if unavailable {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.Method == http.MethodGet && !s.awaitRelease(r, r.URL.Query().Get("topic")) {
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type entry struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset uint64 `json:"offset"`
	}
	entries := []entry{}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("after")
	for _, rec := range t.newest {
		if rec.key <= after {
			continue
		}
		s.countDocument(r.URL.Query().Get("topic"), rec.key)
		entries = append(entries, entry{rec.key, rec.value, rec.offset})
	}
	end := t.end()
	s.mu.Unlock()
	slices.SortFunc(entries, func(a, b entry) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"entries": entries, "hasMore": false, "endOffset": end})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	name := r.URL.Query().Get("topic")
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	dropped := s.droppedReads[name]
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.droppedReads[name] != dropped {
			s.mu.Unlock()
			<-r.Context().Done()
			return
		}
		t := s.topic(r.URL.Query().Get("topic"))
		end, changed, unavailable := t.end(), s.changed, s.unavailable || s.turnedAway[ip]
		s.setEra(w)
		if unavailable || from < t.first || from > end {
			s.mu.Unlock()
			status := http.StatusGone
			if unavailable {
				status = http.StatusServiceUnavailable
			}
			w.WriteHeader(status)
			return
		}
		if from < end {
			body := encodeRecords(t, from, end)
			for _, rec := range t.records[from-t.first:] {
				s.countDocument(name, rec.key)
			}
			s.mu.Unlock()
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = w.Write(body)
			return
		}
		first := t.first
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			_, _ = w.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, end), first))
			return
		case <-r.Context().Done():
			return
		}
	}
}

func encodeRecords(t *topic, from, end uint64) []byte {
	body := binary.BigEndian.AppendUint64(nil, end)
	body = binary.BigEndian.AppendUint64(body, t.first)
	for _, rec := range t.records[from-t.first:] {
		if rec.raw != nil {
			body = append(binary.BigEndian.AppendUint32(body, uint32(len(rec.raw))), rec.raw...)
			continue
		}
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
		body = append(body, byte(len(rec.key)))
		body = append(append(body, rec.key...), rec.value...)
	}
	return body
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	query, key := r.URL.Query(), int(body[4])
	s.mu.Lock()
	defer s.mu.Unlock()
	end := s.topic(query.Get("topic")).end()
	if query.Has("at") && query.Get("at") != strconv.FormatUint(end, 10) {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]any{"endOffset": end})
		return
	}
	s.put(query.Get("topic"), string(body[5:5+key]), body[5+key:])
	writeJSON(w, map[string]any{"offset": end, "endOffset": end + 1})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
