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

// store is a stand-in for the platform's record store: the calls log-append, log-read and
// log-newest of PROTOCOL.md, for partition 0. It loses nothing and answers at once.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	beats   map[string]time.Time // last beat of each server
	silence time.Duration        // after which an entry is removed
	server  *http.Server
	addr    string
	down    bool // 503 for all calls of daemons
}

type topic struct {
	records []rec
	newest  map[string]rec
}

type rec struct {
	offset uint64
	key    string
	value  []byte
}

func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string]*topic{}, changed: make(chan struct{}), beats: map[string]time.Time{}, silence: 3600 * time.Millisecond, addr: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /carawayproxy/log-newest", s.serveNewest)
	mux.HandleFunc("GET /carawayproxy/log-read", s.serveRead)
	mux.HandleFunc("POST /carawayproxy/log-append", s.serveAppend)
	mux.HandleFunc("POST /beat", s.serveBeat)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	go s.expire()
	return s, nil
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]rec{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record; an empty value drops the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(name, key, value)
}

func (s *store) putLocked(name, key string, value []byte) {
	t := s.topic(name)
	r := rec{uint64(len(t.records)), key, value}
	t.records = append(t.records, r)
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// expire removes the entries of servers that have been silent for three intervals.
func (s *store) expire() {
	for range time.Tick(200 * time.Millisecond) {
		s.mu.Lock()
		for id, at := range s.beats {
			if time.Since(at) > s.silence {
				delete(s.beats, id)
				s.putLocked("keyed.servers", id, nil)
			}
		}
		s.mu.Unlock()
	}
}

// serveBeat takes a server's status report. The entry changes when more than seq changes.
func (s *store) serveBeat(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	body, err := io.ReadAll(r.Body)
	if err != nil || id == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if string(body) == "gone" {
		delete(s.beats, id)
		s.putLocked("keyed.servers", id, nil)
		return
	}
	s.beats[id] = time.Now()
	if string(s.topic("keyed.servers").newest[id].value) != string(body) {
		s.putLocked("keyed.servers", id, body)
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type entry struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset uint64 `json:"offset"`
	}
	q := r.URL.Query()
	entries := []entry{}
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t := s.topic(q.Get("topic"))
	for _, x := range t.newest {
		if x.key > q.Get("after") {
			entries = append(entries, entry{x.key, x.value, x.offset})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	slices.SortFunc(entries, func(a, b entry) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, http.StatusOK, map[string]any{"entries": entries, "hasMore": false, "endOffset": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		t, changed := s.topic(q.Get("topic")), s.changed
		end := uint64(len(t.records))
		if from > end {
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]any{"firstOffset": 0})
			return
		}
		body := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, end), 0)
		for _, x := range t.records[from:] {
			body = binary.BigEndian.AppendUint32(body, uint32(1+len(x.key)+len(x.value)))
			body = append(append(append(body, byte(len(x.key))), x.key...), x.value...)
		}
		s.mu.Unlock()
		if from < end {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			_, _ = w.Write(body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	q := r.URL.Query()
	name := q.Get("topic")
	switch {
	case s.isDown():
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil || len(body) < 5 || 5+int(body[4]) > len(body):
		w.WriteHeader(http.StatusBadRequest)
		return
	case name == "keyed.op" || name == "keyed.servers":
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := uint64(len(s.topic(name).records))
	if q.Has("at") && q.Get("at") != strconv.FormatUint(end, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"endOffset": end})
		return
	}
	n := 5 + int(body[4])
	s.putLocked(name, string(body[5:n]), body[n:])
	writeJSON(w, http.StatusOK, map[string]any{"offset": end, "endOffset": end + 1})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
