package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/ledger"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/suspect"
)

// router offers groups in order, those of avoided fabric domains last.
type router struct {
	mu     sync.Mutex
	groups []routing.Candidate
	lapsed map[fleet.GroupID]chan struct{}
	shut   map[fleet.GroupID]bool // the gate is closed
	open   int                    // Started without Ended
	pause  time.Duration          // of the process, at the gate
	asked  []routing.Request
}

func newRouter(n int) *router {
	r := &router{lapsed: map[fleet.GroupID]chan struct{}{}, shut: map[fleet.GroupID]bool{}}
	for i := range n {
		id := fleet.GroupID(fmt.Sprint("g", i))
		r.groups = append(r.groups, routing.Candidate{
			Group: id, Epoch: 1, Service: "svc", Address: string(id), Whole: true,
			Fabric: fleet.FabricDomain(fmt.Sprint("f", i/2)), MaxRunning: 8,
		})
		r.lapsed[id] = make(chan struct{})
	}
	return r
}

func (r *router) Route(req routing.Request) routing.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked = append(r.asked, req)
	var dec routing.Decision
	for pass := range 2 {
		for _, c := range r.groups {
			avoided := contains(req.AvoidFabric, c.Fabric)
			if contains(req.Tried, c.Group) || avoided != (pass == 1) {
				continue
			}
			if dec.Chosen == nil {
				dec.Chosen = &c
				continue
			}
			dec.Others = append(dec.Others, routing.Scored{Candidate: c})
		}
	}
	return dec
}

func contains[T comparable](all []T, v T) bool {
	for _, x := range all {
		if x == v {
			return true
		}
	}
	return false
}

func (r *router) Started(fleet.GroupID, uint32) { r.mu.Lock(); r.open++; r.mu.Unlock() }
func (r *router) Ended(fleet.GroupID, uint32)   { r.mu.Lock(); r.open--; r.mu.Unlock() }

func (r *router) Recheck(c routing.Candidate) bool {
	time.Sleep(r.pause)
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.shut[c.Group]
}

func (r *router) Lost(g fleet.GroupID, _ fleet.Epoch) bool {
	select {
	case <-r.lapsed[g]:
		return true
	default:
		return false
	}
}

func (r *router) Lapsed(g fleet.GroupID, _ fleet.Epoch) <-chan struct{} { return r.lapsed[g] }

func (r *router) kill(g fleet.GroupID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.shut[g] {
		r.shut[g] = true
		close(r.lapsed[g])
	}
}

// door admits everything and counts its tickets.
type door struct {
	mu   sync.Mutex
	open int
}

func (d *door) Admit(time.Time, admission.Request) (dispatch.Ticket, *fleet.Failure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open++
	return d, nil
}

func (d *door) Release(time.Time, admission.Result) { d.mu.Lock(); d.open--; d.mu.Unlock() }

// catalog is a fixed configuration.
type catalog struct {
	specs []service.Spec
	stale bool
}

func (c *catalog) Catalog() (*service.Catalog, *fleet.Failure) {
	if c.stale {
		return nil, fleet.Refuse(fleet.ReasonStale, time.Second, "too old")
	}
	cat := &service.Catalog{Revision: 1, Services: map[fleet.ServiceName]*service.Published{}}
	for _, s := range c.specs {
		cat.Services[s.Service] = &service.Published{Spec: s}
	}
	return cat, nil
}

var (
	model = service.Spec{
		Service: "svc", Kind: fleet.KindEngine,
		Versions:   []service.VersionSpec{{Name: "v2"}, {Name: "v1"}},
		Adapters:   []fleet.Adapter{"nepali"},
		Workspaces: []service.WorkspaceSpec{{Name: "w"}},
		Limits:     service.LimitSpec{MaxTokens: 64, MaxBodyBytes: 1000, MaxAttempts: 3, MaxDeadline: time.Minute},
	}
	logbook = service.Spec{
		Service: "book", Kind: fleet.KindPlain,
		Methods:    []service.MethodSpec{{Name: "add"}, {Name: "get", Idempotent: true}},
		Workspaces: []service.WorkspaceSpec{{Name: "w"}},
	}
)

// behaviour is what a backend server does with one attempt.
type behaviour struct {
	Fault string
	At    uint32 // token index at which the fault strikes
}

var (
	engineFaults = []string{"", "", "refused", "not_sent", "broken_before", "cut", "truncated", "gap", "duplicate",
		"crossed", "miscounted", "wrong_version", "stall", "dies", "shut"}
	plainFaults = []string{"", "", "refused", "not_sent", "broken_before", "broken_after", "crossed", "answer_error", "slow", "hang"}
)

// servers are backend servers that follow a script and remember what ran.
type servers struct {
	mu     sync.Mutex
	router *router
	script []behaviour
	ran    map[fleet.RequestID]int // attempts that ran, in part or whole
	once   map[string]int          // runs by body
	tokens uint32                  // of a whole answer
	cancel int
}

func (s *servers) next() behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.script) == 0 {
		return behaviour{}
	}
	b := s.script[0]
	s.script = s.script[1:]
	return b
}

func (s *servers) mark(id fleet.RequestID) { s.mu.Lock(); s.ran[id]++; s.mu.Unlock() }

func (s *servers) Run(ctx context.Context, address string, a backend.Attempt) (backend.Stream, error) {
	b := s.next()
	switch b.Fault {
	case "refused":
		return nil, errors.Wrap(backend.ErrRefused, "full")
	case "not_sent":
		return nil, errors.Wrap(backend.ErrNotSent, "no route")
	case "broken_before":
		return nil, errors.New("connection reset")
	case "shut":
		s.router.kill(fleet.GroupID(address))
	}
	s.mark(a.Request)
	return &stream{ctx: ctx, s: s, a: a, b: b, at: a.ResumeFrom, group: fleet.GroupID(address)}, nil
}

func (s *servers) Cancel(context.Context, string, fleet.AttemptID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel++
	return nil
}

func (s *servers) Report(context.Context, string) (fleet.Report, error) {
	return fleet.Report{}, nil
}

func (s *servers) Apply(context.Context, string, backend.Order) (backend.OrderResult, error) {
	return backend.OrderResult{}, nil
}

func (s *servers) CacheEvents(context.Context, string, uint64) ([]backend.CacheEvent, uint64, error) {
	return nil, 0, nil
}

// stream gives two tokens a chunk until its fault strikes.
type stream struct {
	ctx   context.Context
	s     *servers
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
		if err := st.strike(&c); err != nil {
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

// strike applies the stream's fault to a chunk.
func (st *stream) strike(c *backend.Chunk) error {
	switch st.b.Fault {
	case "cut":
		return errors.New("connection reset")
	case "truncated":
		return io.EOF
	case "slow":
		return wait(st.ctx, 2*time.Second)
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
		st.s.router.kill(st.group)
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

func (s *servers) Call(ctx context.Context, _ string, c backend.Call) (backend.CallAnswer, error) {
	b := s.next()
	switch b.Fault {
	case "refused":
		return backend.CallAnswer{}, errors.Wrap(backend.ErrRefused, "full")
	case "not_sent":
		return backend.CallAnswer{}, errors.Wrap(backend.ErrNotSent, "no route")
	case "broken_before":
		return backend.CallAnswer{}, errors.New("connection reset")
	}
	s.mark(c.Request)
	s.mu.Lock()
	s.once[string(c.Body)]++
	s.mu.Unlock()
	ans := backend.CallAnswer{Request: c.Request, Attempt: c.ID, Body: append([]byte("did "), c.Body...)}
	switch b.Fault {
	case "broken_after":
		return backend.CallAnswer{}, errors.New("connection reset")
	case "crossed":
		ans.Attempt, ans.Body = "attempt", []byte("another caller's")
	case "answer_error":
		return backend.CallAnswer{}, &backend.AnswerError{Message: "no such plant"}
	case "slow":
		if err := wait(ctx, 12*time.Second); err != nil {
			return backend.CallAnswer{}, err
		}
	case "hang":
		<-ctx.Done()
		return backend.CallAnswer{}, ctx.Err()
	}
	return ans, nil
}

func (s *servers) Health(context.Context, string) (fleet.Report, error) { return fleet.Report{}, nil }

// direct folds a proposal at once.
type direct struct {
	mu   sync.Mutex
	fold journal.Fold
	next journal.Offset
}

func (p *direct) Propose(_ context.Context, kind journal.Kind, body any) journal.Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, err := journal.Encode(body)
	if err != nil {
		return journal.Result{Fate: journal.FateNotAppended, Err: err}
	}
	v, err := p.fold.Apply(p.next, journal.Record{Kind: kind, Author: "d", UnixMilli: time.Now().UnixMilli(), Body: data})
	p.next++
	switch {
	case err != nil:
		return journal.Result{Fate: journal.FateUnknown, Err: err}
	case v.Accepted:
		return journal.Result{Fate: journal.FateAccepted, Verdict: v}
	default:
		return journal.Result{Fate: journal.FateRejected, Verdict: v}
	}
}

func (p *direct) Status() journal.Status { return journal.Status{} }

// bench is a dispatcher over fakes, with the real ledger and tracker.
type bench struct {
	*dispatch.Dispatcher
	router  *router
	door    *door
	servers *servers
	catalog *catalog
}

// newBench returns a bench whose dispatcher is closed by the test.
func newBench(groups int, script ...behaviour) *bench {
	b := &bench{router: newRouter(groups), door: &door{}, catalog: &catalog{specs: []service.Spec{model, logbook}}}
	b.servers = &servers{router: b.router, script: script, ran: map[fleet.RequestID]int{}, once: map[string]int{}, tokens: 20}
	book, verdicts := ledger.NewBook(0), suspect.NewBook()
	b.Dispatcher = dispatch.New(dispatch.Config{
		Self: "d", Router: b.router, Admission: b.door, Knowledge: b.catalog, Engines: b.servers, Plains: b.servers,
		Ledger: ledger.NewClient(ledger.ClientConfig{
			Self: "d", Shards: []ledger.Shard{{Proposer: &direct{fold: book}, Book: book}},
		}),
		Suspects: suspect.NewTracker(suspect.TrackerConfig{Self: "d", Book: verdicts, Proposer: &direct{fold: verdicts}}),
	})
	return b
}
