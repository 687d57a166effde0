package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/fleet"
)

// behaviour is what a backend server does with one attempt.
type behaviour struct {
	Fault string
	At    uint32 // token index at which the fault occurs
}

var (
	engineFaults = []string{"", "", "refused", "not_sent", "broken_before", "cut", "truncated", "gap", "duplicate",
		"crossed", "miscounted", "wrong_version", "stall", "dies", "shut"}
	plainFaults = []string{"", "", "refused", "not_sent", "broken_before", "broken_after", "crossed", "answer_error", "slow", "hang"}
)

// fakeServers are backend servers that follow a script and record what ran.
type fakeServers struct {
	mu         sync.Mutex
	router     *fakeRouter
	script     []behaviour
	runs       map[fleet.RequestID]int // attempts that ran at least in part
	runsByBody map[string]int          // runs of non-idempotent calls, by body
	tokens     uint32                  // length of a complete answer
	burst      int                     // chunks per burst; one when zero
	engines    backend.Engines         // runs are passed to these engines when set
	cancels    int
	// Attempts that began to stream, in order, with their priorities.
	attempts   []fleet.AttemptID
	priorities []uint32
}

func (s *fakeServers) nextBehaviour() behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.script) == 0 {
		return behaviour{}
	}
	b := s.script[0]
	s.script = s.script[1:]
	return b
}

func (s *fakeServers) recordRun(id fleet.RequestID) { s.mu.Lock(); s.runs[id]++; s.mu.Unlock() }

func (s *fakeServers) Run(ctx context.Context, address string, a backend.Attempt) (backend.Stream, error) {
	if s.engines != nil {
		return s.engines.Run(ctx, address, a)
	}
	b := s.nextBehaviour()
	switch b.Fault {
	case "refused":
		return nil, errors.Wrap(backend.ErrRefused, "full")
	case "not_sent":
		return nil, errors.Wrap(backend.ErrNotSent, "no route")
	case "broken_before":
		return nil, errors.New("connection reset")
	case "shut":
		s.router.loseGroup(fleet.GroupID(address))
	}
	s.recordRun(a.Request)
	s.mu.Lock()
	s.attempts = append(s.attempts, a.ID)
	s.priorities = append(s.priorities, a.Priority)
	s.mu.Unlock()
	st := &stream{ctx: ctx, s: s, a: a, b: b, at: a.ResumeFrom, group: fleet.GroupID(address)}
	if s.burst > 1 {
		return &burstStream{stream: st, size: s.burst}, nil
	}
	return st, nil
}

func (s *fakeServers) Cancel(context.Context, string, fleet.AttemptID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels++
	return nil
}

func (s *fakeServers) Report(context.Context, string) (fleet.Report, error) {
	return fleet.Report{}, nil
}

func (s *fakeServers) Apply(context.Context, string, backend.Order) (backend.OrderResult, error) {
	return backend.OrderResult{}, nil
}

func (s *fakeServers) CacheEvents(context.Context, string, uint64) ([]backend.CacheEvent, uint64, error) {
	return nil, 0, nil
}

// stream returns two tokens per chunk until its fault occurs.
type stream struct {
	ctx   context.Context
	s     *fakeServers
	a     backend.Attempt
	b     behaviour
	at    uint32
	group fleet.GroupID
	ended bool
}

func tokenText(id fleet.RequestID, i uint32) string { return fmt.Sprintf("%s:%d", id, i) }

func (st *stream) Next() (backend.Chunk, error) {
	if st.ended {
		return backend.Chunk{}, io.EOF
	}
	if err := wait(st.ctx, 38*time.Millisecond); err != nil {
		return backend.Chunk{}, err
	}
	c := backend.Chunk{Request: st.a.Request, Attempt: st.a.ID}
	if st.at >= st.b.At {
		if err := st.applyFault(&c); err != nil {
			return backend.Chunk{}, err
		}
	}
	for range 2 {
		if st.at >= st.s.tokens {
			break
		}
		c.Tokens = append(c.Tokens, backend.Token{Index: st.at, Text: tokenText(st.a.Request, st.at)})
		st.at++
	}
	if st.at >= st.s.tokens {
		st.ended = true
		c.End = &backend.End{TokenCount: st.at, Reason: "stop", Version: st.a.Version}
		switch st.b.Fault {
		case "miscounted":
			c.End.TokenCount++
		case "wrong_version":
			c.End.Version = "other"
		}
	}
	return c, nil
}

// applyFault applies the stream's fault to a chunk.
func (st *stream) applyFault(c *backend.Chunk) error {
	switch st.b.Fault {
	case "cut":
		return errors.New("connection reset")
	case "truncated":
		return io.EOF
	case "slow":
		return wait(st.ctx, 2*time.Second)
	case "silent":
		st.b.Fault = ""
		return wait(st.ctx, 7*time.Second)
	case "unlisted": // leaves the view and goes on
		st.s.router.loseGroup(st.group)
	case "gap":
		st.at++
	case "duplicate":
		if st.at > st.a.ResumeFrom {
			st.at--
		}
		st.b.At = st.at + 5
	case "crossed":
		c.Request, c.Attempt = "another", "attempt"
	case "stall":
		<-st.ctx.Done()
		return st.ctx.Err()
	case "dies", "shut":
		st.s.router.loseGroup(st.group)
		<-st.ctx.Done()
		return st.ctx.Err()
	}
	return nil
}

func (st *stream) Close() {}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *fakeServers) Call(ctx context.Context, _ string, c backend.Call) (backend.CallResponse, error) {
	b := s.nextBehaviour()
	switch b.Fault {
	case "refused":
		return backend.CallResponse{}, errors.Wrap(backend.ErrRefused, "full")
	case "not_sent":
		return backend.CallResponse{}, errors.Wrap(backend.ErrNotSent, "no route")
	case "broken_before":
		return backend.CallResponse{}, errors.New("connection reset")
	}
	s.recordRun(c.Request)
	s.mu.Lock()
	s.runsByBody[string(c.Body)]++
	s.mu.Unlock()
	ans := backend.CallResponse{Request: c.Request, Attempt: c.ID, Body: append([]byte("did "), c.Body...)}
	switch b.Fault {
	case "broken_after":
		return backend.CallResponse{}, errors.New("connection reset")
	case "crossed":
		ans.Attempt, ans.Body = "attempt", []byte("another caller's")
	case "answer_error":
		return backend.CallResponse{}, &backend.AnswerError{Message: "no such plant"}
	case "slow":
		if err := wait(ctx, 12*time.Second); err != nil {
			return backend.CallResponse{}, err
		}
	case "hang":
		<-ctx.Done()
		return backend.CallResponse{}, ctx.Err()
	}
	return ans, nil
}

func (s *fakeServers) Health(context.Context, string) (fleet.Report, error) {
	return fleet.Report{}, nil
}
