package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/event"
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
	mu       sync.Mutex
	open     int
	borrowed bool
}

func (d *door) Admit(time.Time, admission.Request) (dispatch.Ticket, *fleet.Failure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open++
	return d, nil
}

func (d *door) Borrowed() bool { return d.borrowed }

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
	mu      sync.Mutex
	log     []string // name and keyvals of each event
}

// lines returns the events of one name.
func (b *bench) lines(name string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, l := range b.log {
		if strings.HasPrefix(l, name+" ") {
			out = append(out, l)
		}
	}
	return out
}

// record takes an event in.
func (b *bench) record(_ time.Time, e *event.Event, keyvals []any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.log = append(b.log, e.Name+" "+event.Text(keyvals))
}

// newBench returns a bench whose dispatcher is closed by the test.
func newBench(groups int, script ...behaviour) *bench {
	b := &bench{router: newRouter(groups), door: &door{}, catalog: &catalog{specs: []service.Spec{model, logbook}}}
	b.servers = &servers{router: b.router, script: script, ran: map[fleet.RequestID]int{}, once: map[string]int{}, tokens: 20}
	book, verdicts := ledger.NewBook(0), suspect.NewBook()
	b.Dispatcher = dispatch.New(dispatch.Config{
		Self: "d", Events: event.NewLogger(io.Discard, log.InfoLevel, b.record), Router: b.router, Admission: b.door, Knowledge: b.catalog, Engines: b.servers, Plains: b.servers,
		Ledger: ledger.NewClient(ledger.ClientConfig{
			Self: "d", Shards: []ledger.Shard{{Proposer: &direct{fold: book}, Book: book}},
		}),
		Suspects: suspect.NewTracker(suspect.TrackerConfig{Self: "d", Book: verdicts, Proposer: &direct{fold: verdicts}}),
	})
	return b
}
