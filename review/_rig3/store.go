package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store: keyed topics with one partition, as PROTOCOL.md tells them.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

type topic struct {
	records []record
	newest  map[string]record
	keys    []string // in the order of their first record
}

type record struct {
	offset uint64
	key    string
	value  []byte
}

func newStore() *store { return &store{topics: map[string]*topic{}, changed: make(chan struct{})} }

// topic returns a topic. The caller holds mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]record{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record. An empty value drops the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, key, value)
}

func (s *store) append(name, key string, value []byte) {
	t := s.topic(name)
	r := record{uint64(len(t.records)), key, value}
	t.records = append(t.records, r)
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) putJSON(name, key string, value any) {
	body, err := json.Marshal(value)
	check(err)
	s.put(name, key, body)
}

// serve serves the store at an address.
func (s *store) serve(address string) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /carawayproxy/log-append", s.serveAppend)
	mux.HandleFunc("GET /carawayproxy/log-read", s.serveRead)
	mux.HandleFunc("GET /carawayproxy/log-newest", s.serveNewest)
	l, err := net.Listen("tcp", address)
	check(err)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Store-Era", "1")
			mux.ServeHTTP(w, r)
		}))
	}()
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	name := q.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := uint64(len(s.topic(name).records))
	if at := q.Get("at"); at != "" && at != strconv.FormatUint(first, 10) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"endOffset": first})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+size || size < 1 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		content := body[4 : 4+size]
		n := int(content[0])
		s.append(name, string(content[1:1+n]), content[1+n:])
		body = body[4+size:]
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": first, "endOffset": len(s.topic(name).records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, changed := uint64(len(t.records)), s.changed
		body := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, end), 0)
		if from < end {
			for _, rec := range t.records[from:] {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
				body = append(append(append(body, byte(len(rec.key))), rec.key...), rec.value...)
			}
		}
		s.mu.Unlock()
		switch {
		case from > end:
			w.WriteHeader(http.StatusGone)
			return
		case from < end || over:
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	entries := []map[string]any{}
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	for _, key := range sortedKeys(t.newest) {
		if rec := t.newest[key]; strings.Compare(key, q.Get("after")) > 0 {
			entries = append(entries, map[string]any{"key": key, "value": rec.value, "offset": rec.offset})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"entries": entries, "hasMore": false, "endOffset": end})
}
