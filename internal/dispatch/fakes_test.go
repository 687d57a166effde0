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

// fakeRouter returns groups in order, those in avoided fabric domains last.
type fakeRouter struct {
	mu           sync.Mutex
	groups       []routing.Candidate
	groupLost    map[fleet.GroupID]chan struct{}
	failsRecheck map[fleet.GroupID]bool
	stalled      map[fleet.GroupID]bool // not routed to
	inFlight     int                    // attempts started and not ended
	recheckDelay time.Duration          // simulates a process paused during the recheck
	requests     []routing.Request
}

func newFakeRouter(n int) *fakeRouter {
	r := &fakeRouter{groupLost: map[fleet.GroupID]chan struct{}{}, failsRecheck: map[fleet.GroupID]bool{}, stalled: map[fleet.GroupID]bool{}}
	for i := range n {
		id := fleet.GroupID(fmt.Sprint("g", i))
		r.groups = append(r.groups, routing.Candidate{
			Group: id, Epoch: 1, Service: "svc", Address: string(id), Whole: true,
			Fabric: fleet.FabricDomain(fmt.Sprint("f", i/2)), MaxRunning: 8,
		})
		r.groupLost[id] = make(chan struct{})
	}
	return r
}

func (r *fakeRouter) Route(req routing.Request) routing.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, req)
	var dec routing.Decision
	for pass := range 2 {
		for _, c := range r.groups {
			avoided := contains(req.AvoidFabric, c.Fabric)
			if contains(req.FailedGroups, c.Group) || r.stalled[c.Group] || avoided != (pass == 1) {
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

func (r *fakeRouter) Started(fleet.GroupID, uint32) { r.mu.Lock(); r.inFlight++; r.mu.Unlock() }
func (r *fakeRouter) Ended(fleet.GroupID, uint32)   { r.mu.Lock(); r.inFlight--; r.mu.Unlock() }

func (r *fakeRouter) setStalled(g fleet.GroupID, stalled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalled[g] = stalled
}

func (r *fakeRouter) Recheck(c routing.Candidate) bool {
	time.Sleep(r.recheckDelay)
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failsRecheck[c.Group]
}

func (r *fakeRouter) Charge(routing.Candidate) bool { return true }

func (r *fakeRouter) IsLost(g fleet.GroupID, _ fleet.Epoch) bool {
	select {
	case <-r.groupLost[g]:
		return true
	default:
		return false
	}
}

func (r *fakeRouter) GroupLost(g fleet.GroupID, _ fleet.Epoch) <-chan struct{} { return r.groupLost[g] }

func (r *fakeRouter) loseGroup(g fleet.GroupID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failsRecheck[g] {
		r.failsRecheck[g] = true
		close(r.groupLost[g])
	}
}

// fakeAdmission admits every request and counts the unreleased tickets.
type fakeAdmission struct {
	mu        sync.Mutex
	tickets   int
	overShare bool
}

func (d *fakeAdmission) Admit(time.Time, admission.Request) (dispatch.Ticket, *fleet.Failure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tickets++
	return d, nil
}

func (d *fakeAdmission) OverShare() bool { return d.overShare }

func (d *fakeAdmission) Release(time.Time, admission.Result) { d.mu.Lock(); d.tickets--; d.mu.Unlock() }

// fakeCatalog is a fixed configuration.
type fakeCatalog struct {
	specs []service.Spec
	stale bool
}

func (c *fakeCatalog) Catalog() (*service.Catalog, *fleet.Failure) {
	if c.stale {
		return nil, fleet.NewNotRunFailure(fleet.ReasonStale, time.Second, "too old")
	}
	cat := &service.Catalog{Revision: 1, Services: map[fleet.ServiceName]*service.Published{}}
	for _, s := range c.specs {
		cat.Services[s.Service] = &service.Published{Spec: s}
	}
	return cat, nil
}

var (
	engineSpec = service.Spec{
		Service: "svc", Kind: fleet.KindEngine,
		Versions:   []service.VersionSpec{{Name: "v2"}, {Name: "v1"}},
		Adapters:   []fleet.Adapter{"nepali"},
		Workspaces: []service.WorkspaceSpec{{Name: "w"}},
		Limits:     service.LimitSpec{MaxTokens: 64, MaxBodyBytes: 1000, MaxAttempts: 3, MaxDeadline: time.Minute},
	}
	plainSpec = service.Spec{
		Service: "book", Kind: fleet.KindPlain,
		Methods:    []service.MethodSpec{{Name: "add"}, {Name: "get", Idempotent: true}},
		Workspaces: []service.WorkspaceSpec{{Name: "w"}},
	}
)

// immediateProposer applies each proposal to its fold immediately.
type immediateProposer struct {
	mu   sync.Mutex
	fold journal.Fold
	next journal.Offset
}

func (p *immediateProposer) Propose(_ context.Context, kind journal.Kind, body any) journal.Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, err := journal.Encode(body)
	if err != nil {
		return journal.Result{Outcome: journal.OutcomeNotAppended, Err: err}
	}
	v, err := p.fold.Apply(p.next, journal.Record{Kind: kind, Author: "d", UnixMilli: time.Now().UnixMilli(), Body: data})
	p.next++
	switch {
	case err != nil:
		return journal.Result{Outcome: journal.OutcomeUnknown, Err: err}
	case v.Accepted:
		return journal.Result{Outcome: journal.OutcomeAccepted, Verdict: v}
	default:
		return journal.Result{Outcome: journal.OutcomeRejected, Verdict: v}
	}
}

func (p *immediateProposer) Status() journal.Status { return journal.Status{} }

// fixture is a dispatcher over fakes, with the real ledger and suspect tracker.
type fixture struct {
	*dispatch.Dispatcher
	router    *fakeRouter
	admission *fakeAdmission
	servers   *fakeServers
	catalog   *fakeCatalog
	mu        sync.Mutex
	events    []string // name and key-value pairs of each event
}

// eventsNamed returns the recorded events with the given name.
func (b *fixture) eventsNamed(name string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, l := range b.events {
		if strings.HasPrefix(l, name+" ") {
			out = append(out, l)
		}
	}
	return out
}

// recordEvent is the event logger's hook.
func (b *fixture) recordEvent(_ time.Time, e *event.Event, keyvals []any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, e.Name+" "+event.Text(keyvals))
}

// newFixture returns a fixture; the test must close its dispatcher.
func newFixture(groups int, script ...behaviour) *fixture {
	b := &fixture{router: newFakeRouter(groups), admission: &fakeAdmission{}, catalog: &fakeCatalog{specs: []service.Spec{engineSpec, plainSpec}}}
	b.servers = &fakeServers{router: b.router, script: script, runs: map[fleet.RequestID]int{}, runsByBody: map[string]int{}, tokens: 20}
	intents, verdicts := ledger.NewFold(0), suspect.NewFold()
	b.Dispatcher = dispatch.New(dispatch.Config{
		Self: "d", Events: event.NewLogger(io.Discard, log.InfoLevel, b.recordEvent), Router: b.router, Admission: b.admission, CatalogSource: b.catalog, Engines: b.servers, Plains: b.servers,
		Ledger: ledger.NewClient(ledger.ClientConfig{
			Self: "d", Shards: []ledger.Shard{{Proposer: &immediateProposer{fold: intents}, Fold: intents}},
		}),
		Suspects: suspect.NewTracker(suspect.TrackerConfig{Self: "d", Fold: verdicts, Proposer: &immediateProposer{fold: verdicts}}),
	})
	return b
}
