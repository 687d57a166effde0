// Package plain is the stand-in for a backend server of a plain service. It
// counts the runs of each body, so that a checker can detect repeated
// non-idempotent calls.
package plain

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/httpx"
)

// Config configures a plain backend server.
type Config struct {
	ID string
	// Latency is the duration of one call, 5 ms if zero.
	Latency time.Duration
	// Crashed is called once when the server crashes.
	Crashed func()
	// Observe is called for each call that runs.
	Observe func(call *carawayv1.CallRequest)
}

// Faults are the fault switches of a plain backend server.
type Faults struct {
	LoseAnswers int    `json:"lose_answers"` // number of next calls that run but lose their response
	RefuseNext  int    `json:"refuse_next"`  // number of next calls rejected without being run
	FailNext    int    `json:"fail_next"`    // number of next calls that return a service error
	Cross       int    `json:"cross"`        // number of next responses with the id of another attempt
	DelayMS     int    `json:"delay_ms"`     // added to each call after it took effect
	CrashMarker string `json:"crash_marker"` // bodies that contain this crash the server
	Leaving     bool   `json:"leaving"`
}

// Server is one stand-in backend server. It is safe for concurrent use.
type Server struct {
	cfg         Config
	incarnation uint64

	mu      sync.Mutex
	faults  Faults
	runs    map[string]int // keyed by service, method and body
	total   int
	running int
	crashed bool
}

var _ carawayv1connect.PlainServiceHandler = (*Server)(nil)

const (
	defaultLatency = 5 * time.Millisecond
	// maxBodyBytes is the maximum size of one request.
	maxBodyBytes = 8 << 20
)

// New returns a server that has run no calls.
func New(cfg Config) *Server {
	if cfg.Latency == 0 {
		cfg.Latency = defaultLatency
	}
	return &Server{cfg: cfg, incarnation: uint64(time.Now().UnixNano()), runs: map[string]int{}}
}

// Handler serves the calls, and the fault switches under /standin/.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(carawayv1connect.NewPlainServiceHandler(s, httpx.HandlerOptions(maxBodyBytes)))
	mux.HandleFunc("POST /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	mux.HandleFunc("GET /standin/stats", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]int{"runs": s.Total(), "repeated": s.Repeated()})
	})
	return mux
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current fault switches.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Runs returns how often a method ran with a body.
func (s *Server) Runs(service, method string, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[runKey(service, method, body)]
}

// Total returns the number of calls that ran.
func (s *Server) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Repeated returns the number of bodies that ran more than once.
func (s *Server) Repeated() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, runs := range s.runs {
		if runs > 1 {
			n++
		}
	}
	return n
}

// InFlight returns the number of running calls.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

func runKey(service, method string, body []byte) string {
	return service + "\x00" + method + "\x00" + string(body)
}

// Answer returns the response body of a call, which is the same on every server.
func Answer(method string, body []byte) []byte {
	return []byte(method + " done: " + string(body))
}

// Call runs one call.
func (s *Server) Call(ctx context.Context, req *connect.Request[carawayv1.CallRequest]) (*connect.Response[carawayv1.CallResponse], error) {
	f, err := s.startCall(req.Msg)
	if err != nil {
		return nil, err
	}
	defer s.finishCall()
	// The call took effect in startCall; latency delays only the response.
	if err := sleep(ctx, s.cfg.Latency+time.Duration(f.DelayMS)*time.Millisecond); err != nil {
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	switch {
	case f.LoseAnswers > 0:
		panic(http.ErrAbortHandler)
	case f.FailNext > 0:
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the service answers no"))
	}
	attempt := req.Msg.AttemptId
	if f.Cross > 0 {
		attempt = "crossed-" + attempt
	}
	return connect.NewResponse(&carawayv1.CallResponse{
		RequestId: req.Msg.RequestId,
		AttemptId: attempt,
		Body:      Answer(req.Msg.Method, req.Msg.Body),
	}), nil
}

// startCall counts a call as run and consumes the faults that apply to it.
func (s *Server) startCall(call *carawayv1.CallRequest) (Faults, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if s.crashed {
		panic(http.ErrAbortHandler)
	}
	if f.RefuseNext > 0 {
		s.faults.RefuseNext--
		return f, connect.NewError(connect.CodeFailedPrecondition, errors.New("not taking calls"))
	}
	s.runs[runKey(call.Service, call.Method, call.Body)]++
	s.total++
	s.running++
	if s.cfg.Observe != nil {
		s.cfg.Observe(call)
	}
	if f.CrashMarker != "" && strings.Contains(string(call.Body), f.CrashMarker) {
		s.crashed = true
		if s.cfg.Crashed != nil {
			s.cfg.Crashed()
		}
		panic(http.ErrAbortHandler)
	}
	decrement(&s.faults.LoseAnswers)
	decrement(&s.faults.FailNext)
	decrement(&s.faults.Cross)
	return f, nil
}

func decrement(n *int) {
	if *n > 0 {
		*n--
	}
}

func (s *Server) finishCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Health returns the result of a health check.
func (s *Server) Health(context.Context, *connect.Request[carawayv1.HealthRequest]) (*connect.Response[carawayv1.HealthResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(&carawayv1.HealthResponse{
		Instance:    s.cfg.ID,
		Ready:       true,
		Leaving:     s.faults.Leaving,
		Running:     uint32(s.running),
		Incarnation: s.incarnation,
	}), nil
}
