package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a small stand-in for the platform's store: keyed topics with one
// partition, conditional appends, long polls, and the drill.
type store struct {
	rec  *record
	addr string

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	era     int
	away    bool
	beats   map[string]time.Time // when each engine last wrote, by id
}

type topic struct{ records []storeRecord }

type storeRecord struct {
	key   string
	value []byte
	at    time.Time
}

// newest returns the newest record of each key, by offset.
func (t *topic) newest() map[string]int {
	out := map[string]int{}
	for i, r := range t.records {
		if len(r.value) == 0 {
			delete(out, r.key)
		} else {
			out[r.key] = i
		}
	}
	return out
}

func startStore(rec *record) *store {
	s := &store{rec: rec, topics: map[string]*topic{}, changed: make(chan struct{}), era: 1}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("store: %v", err)
	}
	s.addr = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put appends a record unless the store is away, and returns its offset.
func (s *store) put(name, key string, value []byte) (offset int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	t := s.topic(name)
	t.records = append(t.records, storeRecord{key, value, time.Now()})
	s.wake()
	return len(t.records) - 1, true
}

// value returns the newest value of a key, nil if it has none.
func (s *store) value(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if i, ok := t.newest()[key]; ok {
		return t.records[i].value
	}
	return nil
}

// drill takes the store away for a moment, after which it comes back from a copy of
// some age.
func (s *store) drill(awayFor, age time.Duration) {
	s.mu.Lock()
	copyAt := time.Now().Add(-age)
	s.away = true
	s.wake()
	s.mu.Unlock()
	s.rec.add("store: away")
	time.Sleep(awayFor)
	s.mu.Lock()
	for name, t := range s.topics {
		n := len(t.records)
		t.records = slices.DeleteFunc(slices.Clone(t.records), func(r storeRecord) bool { return r.at.After(copyAt) })
		if n != len(t.records) {
			s.rec.add("store: %s ends at %d, was %d", name, len(t.records), n)
		}
	}
	s.era++
	s.away = false
	s.wake()
	s.mu.Unlock()
	s.rec.add("store: back from a copy that was %s old when it went away, Store-Era %d", age, s.era)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	away := s.away
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	name := query.Get("topic")
	switch r.URL.Path {
	case "/rig/announce": // the way of the engines' own writes
		s.announced(query.Get("key"), body)
	case "/carawayproxy/log-append":
		s.append(w, name, query.Get("at"), query.Has("at"), body)
	case "/carawayproxy/log-newest":
		s.readNewest(w, name)
	case "/carawayproxy/log-read":
		from, _ := strconv.Atoi(query.Get("from"))
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.read(w, r, name, from, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func sendJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) append(w http.ResponseWriter, name, at string, conditional bool, body []byte) {
	if strings.HasPrefix(name, "keyed.op") || strings.HasPrefix(name, "keyed.servers") {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	end := len(t.records)
	if conditional && at != strconv.Itoa(end) {
		sendJSON(w, http.StatusPreconditionFailed, map[string]any{"endOffset": end})
		return
	}
	for len(body) >= 5 {
		size := int(binary.BigEndian.Uint32(body))
		record := body[4 : 4+size]
		n := 1 + int(record[0])
		t.records = append(t.records, storeRecord{string(record[1:n]), slices.Clone(record[n:]), time.Now()})
		body = body[4+size:]
	}
	s.wake()
	sendJSON(w, http.StatusOK, map[string]any{"offset": end, "endOffset": len(t.records)})
}

func (s *store) readNewest(w http.ResponseWriter, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type entry struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	t := s.topic(name)
	entries := []entry{}
	for key, i := range t.newest() {
		entries = append(entries, entry{key, t.records[i].value, i})
	}
	slices.SortFunc(entries, func(a, b entry) int { return strings.Compare(a.Key, b.Key) })
	sendJSON(w, http.StatusOK, map[string]any{"entries": entries, "hasMore": false, "endOffset": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string, from int, wait time.Duration) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		t, changed, away := s.topic(name), s.changed, s.away
		end := len(t.records)
		switch {
		case away:
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case from > end:
			s.mu.Unlock()
			sendJSON(w, http.StatusGone, map[string]any{"firstOffset": 0})
			return
		case from < end:
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, rec := range t.records[from:] {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
				body = append(append(append(body, byte(len(rec.key))), rec.key...), rec.value...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			_, _ = w.Write(binary.BigEndian.AppendUint64(body, 0))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// announced takes an engine's report of itself. An entry changes only if more than
// its seq does.
func (s *store) announced(key string, body []byte) {
	withoutSeq := func(data []byte) string {
		var fields map[string]any
		if json.Unmarshal(data, &fields) != nil {
			return ""
		}
		delete(fields, "seq")
		out, _ := json.Marshal(fields)
		return string(out)
	}
	s.mu.Lock()
	if s.beats != nil {
		s.beats[key] = time.Now()
	}
	s.mu.Unlock()
	if old := s.value("keyed.servers", key); old == nil || withoutSeq(old) != withoutSeq(body) {
		s.put("keyed.servers", key, body)
	}
}

// expireSilent removes the entries of engines after three status report intervals of
// silence.
func (s *store) expireSilent() {
	s.mu.Lock()
	s.beats = map[string]time.Time{}
	s.mu.Unlock()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			var gone []string
			s.mu.Lock()
			for key, at := range s.beats {
				if time.Since(at) > 3*heartbeat {
					gone = append(gone, key)
					delete(s.beats, key)
				}
			}
			s.mu.Unlock()
			for _, key := range gone {
				s.put("keyed.servers", key, nil)
				s.rec.add("store: the entry of %s has expired", key)
			}
		}
	}()
}
