package dispatch

import (
	"context"
	"io"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/suspect"
)

const (
	// maxRequestAllocs bounds what one generation allocates in dispatch,
	// events switched off.
	maxRequestAllocs = 40
	benchTokens      = 256
)

// quick is all ports of a dispatcher at no cost of its own.
type quick struct {
	cat    *service.Catalog
	chosen routing.Candidate
	lapsed chan struct{}
	tokens []backend.Token
}

func newQuick() *quick {
	spec := service.Spec{
		Service: "svc", Kind: fleet.KindEngine,
		Versions:   []service.VersionSpec{{Name: "v1"}},
		Workspaces: []service.WorkspaceSpec{{Name: "w"}},
	}
	q := &quick{
		cat:    &service.Catalog{Services: map[fleet.ServiceName]*service.Published{"svc": {Spec: spec}}},
		chosen: routing.Candidate{Group: "g", Epoch: 1, Whole: true, MaxRunning: 8},
		lapsed: make(chan struct{}),
	}
	for i := range uint32(benchTokens) {
		q.tokens = append(q.tokens, backend.Token{Index: i, Text: "t"})
	}
	return q
}

func (q *quick) Catalog() (*service.Catalog, *fleet.Failure) { return q.cat, nil }
func (q *quick) Route(routing.Request) routing.Decision {
	return routing.Decision{Chosen: &q.chosen}
}
func (q *quick) Recheck(routing.Candidate) bool                              { return true }
func (q *quick) Lost(fleet.GroupID, fleet.Epoch) bool                        { return false }
func (q *quick) Lapsed(fleet.GroupID, fleet.Epoch) <-chan struct{}           { return q.lapsed }
func (q *quick) Admit(time.Time, admission.Request) (Ticket, *fleet.Failure) { return q, nil }
func (q *quick) Release(time.Time, admission.Result)                         {}
func (q *quick) Borrowed() bool                                              { return false }
func (q *quick) Standing(suspect.Fingerprint) suspect.Standing               { return suspect.Clear }
func (q *quick) Cancel(context.Context, string, fleet.AttemptID) error       { return nil }
func (q *quick) Report(context.Context, string) (fleet.Report, error)        { return fleet.Report{}, nil }
func (q *quick) Apply(context.Context, string, backend.Order) (backend.OrderResult, error) {
	return backend.OrderResult{}, nil
}
func (q *quick) CacheEvents(context.Context, string, uint64) ([]backend.CacheEvent, uint64, error) {
	return nil, 0, nil
}
func (q *quick) Run(_ context.Context, _ string, a backend.Attempt) (backend.Stream, error) {
	return &quickStream{q: q, a: a}, nil
}

// loads and marks are the two pairs of Started and Ended.
type loads struct{}

func (loads) Started(fleet.GroupID, uint32) {}
func (loads) Ended(fleet.GroupID, uint32)   {}

type marks struct{}

func (marks) Started(fleet.GroupID, fleet.Epoch, suspect.Fingerprint)                {}
func (marks) Ended(fleet.GroupID, fleet.Epoch, suspect.Fingerprint)                  {}
func (marks) Died(fleet.GroupID, fleet.Epoch, fleet.FabricDomain, fleet.ServiceName) {}

type quickRouter struct {
	*quick
	loads
}

type quickSuspects struct {
	*quick
	marks
}

// quickStream gives one token a chunk.
type quickStream struct {
	q  *quick
	a  backend.Attempt
	at int
}

func (s *quickStream) Next() (backend.Chunk, error) {
	if s.at > len(s.q.tokens) {
		return backend.Chunk{}, io.EOF
	}
	c := backend.Chunk{Request: s.a.Request, Attempt: s.a.ID}
	if s.at < len(s.q.tokens) {
		c.Tokens = s.q.tokens[s.at : s.at+1]
	} else {
		c.End = &backend.End{TokenCount: uint32(len(s.q.tokens))}
	}
	s.at++
	return c, nil
}

func (s *quickStream) Close() {}

func quickDispatcher() *Dispatcher {
	q := newQuick()
	return New(Config{
		Router: quickRouter{quick: q}, Admission: q, Knowledge: q, Engines: q, Suspects: quickSuspects{quick: q},
	})
}

func ignore([]backend.Token) error { return nil }

// TestTokensAllocateNothing asserts it for the path that each token takes.
func TestTokensAllocateNothing(t *testing.T) {
	d := quickDispatcher()
	defer d.Close()
	r := &generation{sink: ignore, start: time.Now()}
	r.attempts = attempts{d: d, id: "r"}
	r.cursor = cursor{request: "r", attempt: "a", limit: 1 << 30}
	tokens := make([]backend.Token, 2)
	chunk := backend.Chunk{Request: "r", Attempt: "a"}
	allocs := testing.AllocsPerRun(1000, func() {
		tokens[0].Index, tokens[1].Index = r.cursor.next, r.cursor.next+1
		chunk.Tokens = tokens
		assertNoError(r.deliver(chunk))
	})
	assert.Equal(t, allocs, 0.0)
}

func assertNoError(err error) {
	if err != nil {
		panic(err)
	}
}

// TestRequestAllocations bounds a whole generation, its 256 tokens included:
// a fixed part and nothing for each token.
func TestRequestAllocations(t *testing.T) {
	d := quickDispatcher()
	defer d.Close()
	allocs := testing.AllocsPerRun(200, func() {
		_, f := d.Generate(context.Background(), Generation{ID: "r", Workspace: "w", Service: "svc", Prompt: "p"}, ignore)
		if f != nil {
			panic(f)
		}
	})
	t.Logf("%.0f allocations a request of %d tokens", allocs, benchTokens)
	assert.Assert(t, allocs <= maxRequestAllocs, "%.0f", allocs)
}

// BenchmarkGenerate tells the processor time of a request and, by the number
// of its tokens, of a token.
func BenchmarkGenerate(b *testing.B) {
	d := quickDispatcher()
	defer d.Close()
	b.ReportAllocs()
	for range b.N {
		_, f := d.Generate(context.Background(), Generation{ID: "r", Workspace: "w", Service: "svc", Prompt: "p"}, ignore)
		if f != nil {
			b.Fatal(f)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*benchTokens), "ns/token")
}

// burstEngines are quick engines whose chunks arrive several together.
type burstEngines struct {
	*quick
	together int
}

func (e burstEngines) Run(_ context.Context, _ string, a backend.Attempt) (backend.Stream, error) {
	return &burstStream{quickStream: quickStream{q: e.quick, a: a}, together: e.together}, nil
}

type burstStream struct {
	quickStream
	together int
}

func (s *burstStream) Ready() bool { return s.at%s.together != 0 }

// BenchmarkJoined tells the messages to a caller and the processor time in
// dispatch for a token as the engine's tokens arrive alone or together.
func BenchmarkJoined(b *testing.B) {
	for _, together := range []int{1, 4, 16} {
		b.Run(strconv.Itoa(together), func(b *testing.B) {
			d := quickDispatcher()
			defer d.Close()
			d.cfg.Engines = burstEngines{quick: newQuick(), together: together}
			messages := 0
			for b.Loop() {
				_, f := d.Generate(context.Background(), Generation{ID: "r", Workspace: "w", Service: "svc", Prompt: "p"},
					func([]backend.Token) error { messages++; return nil })
				if f != nil {
					b.Fatal(f)
				}
			}
			b.ReportMetric(float64(messages)/float64(b.N*benchTokens), "messages/token")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*benchTokens), "ns/token")
		})
	}
}
