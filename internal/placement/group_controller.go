package placement

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/lease"
)

// GroupEngines is the port to engines that keep their own place in a group.
type GroupEngines interface {
	Order(ctx context.Context, id fleet.InstanceID, address string, o backend.GroupOrder) error
	Report(ctx context.Context, id fleet.InstanceID, address string) (directory.Status, error)
}

// Servers is what a Conductor knows of the engines; *directory.Directory is
// one.
type Servers interface {
	Servers() map[fleet.InstanceID]directory.Listing
	Groups() *group.View
	// Answered takes in what an engine told of itself as of a moment.
	Answered(s directory.Server, moment time.Time)
	Fail(id fleet.InstanceID, now time.Time)
}

// ConductorConfig is what a Conductor works with.
type ConductorConfig struct {
	Planner *Planner
	Leases  lease.Holder
	Scope   lease.Scope
	Servers Servers
	Engines GroupEngines
	// Wanted tells what is wanted now; Revision that of the configuration, zero
	// for not known.
	Wanted   func(standing map[fleet.ServiceName]Standing) (wanted []Wanted, revision uint64)
	InFlight func() map[fleet.GroupID]uint32
	// Failed is told when an engine was found not to answer; nil for nobody.
	Failed func(id fleet.InstanceID)
	Events *event.Logger
	// Rejoin is how long an engine needs to join a group of its last model,
	// Staged how long for a model that is staged on its host.
	Rejoin time.Duration
	Staged func(model string) time.Duration
	// ReportLag is how old an engine's answer to a question is.
	ReportLag func() time.Duration
	// Open is the time from an order to open until a group serves.
	Open func() time.Duration
	// Loads is what the weight store allows. It does not bind while Idle.
	Loads func() LoadLimits
	// Idle reports whether the deployment has just begun and no request has
	// come yet.
	Idle func() bool
	// Settle is how long a new holder watches before it acts, so that the
	// orders of the last one have arrived.
	Settle time.Duration
}

// LoadLimits are what the weight store allows.
type LoadLimits struct {
	// PerSecond is how many engines may begin to load in a second, and Burst
	// how many at once.
	PerSecond float64
	Burst     int
	// AtOnce is how many engines may load at the same time without slowing each
	// other down, and Kept how many of these are kept for engines that have no
	// model yet.
	AtOnce, Kept int
}

// Defaults of a conductor.
const (
	// conductEvery is the time between two rounds; one comes at once after an
	// order was answered.
	roundInterval = 200 * time.Millisecond
	// orderTimeout bounds an order, many times an engine's usual answer.
	orderTimeout = 600 * time.Millisecond
	// orderAgain is how long an order that was accepted may take to show.
	orderResendDelay = 700 * time.Millisecond
)

// Conductor carries out the plans of one scope on engines that keep their own
// place in a group. What it knows of groups it takes from the engines, so that
// any daemon can go on for another.
type Conductor struct {
	cfg    ConductorConfig
	prober *prober

	mu     sync.Mutex
	orders map[fleet.InstanceID]*sentOrder
	// unstaged are engines that did not take on a load onto their host.
	rejectedStages []fleet.InstanceID
	running        sync.WaitGroup
	wake           chan struct{}
	loadLimiter    *rate.Limiter

	// Of the loop alone.
	termState *termState
	// counter numbers epochs. It never starts again, so that no epoch of this
	// process is used twice.
	counter uint64
}

// sentOrder is the last order to an instance.
type sentOrder struct {
	order    backend.GroupOrder
	sentAt   time.Time
	inFlight bool
	accepted bool
	failures int
}

// termState is the work under one term.
type termState struct {
	term    lease.Term
	since   time.Time
	adopted bool
	// leftAt is when the scope was found not to be held, zero while it is.
	leaseLostAt time.Time
	// listed is how many engines were listed, and grownAt when there were more
	// than before for the last time.
	maxListed    int
	lastGrowthAt time.Time
	planner      *Planner
	groups       map[fleet.GroupID]*group.Group
	issued       map[lease.Scope]group.IDMark
	placeHistory *placeHistory
	staging      map[fleet.InstanceID]stageLoad
	// warming has the memberships that only load a model, and warmed counts
	// them.
	warmups       map[fleet.InstanceID]*group.Group
	warmupCounter uint64
	wanted        []Wanted
	listing       map[fleet.InstanceID]directory.Listing
	lastLogged    map[fleet.GroupID]string
	whole         map[fleet.GroupID]bool
}

// NewConductor returns a conductor; it does nothing until Run.
func NewConductor(cfg ConductorConfig) *Conductor {
	c := &Conductor{cfg: cfg, orders: map[fleet.InstanceID]*sentOrder{}, wake: make(chan struct{}, 1)}
	c.loadLimiter = rate.NewLimiter(0, 0) // set by each round
	c.prober = newProber(c)
	return c
}

// Run works until ctx ends and returns once its orders have.
func (c *Conductor) Run(ctx context.Context) {
	defer c.running.Wait()
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-c.wake:
		}
		c.round(ctx, time.Now())
	}
}

// Doubt asks the members of a group, of which a daemon's streams have stopped,
// whether they are there.
func (c *Conductor) Doubt(id fleet.GroupID) { c.prober.suspectGroup(id) }

// Leads reports whether this daemon does the work of the scope now.
func (c *Conductor) Leads() bool {
	hold, ok := c.cfg.Leases.Held(c.cfg.Scope)
	return ok && hold.Valid(time.Now())
}

func (c *Conductor) wakeLoop() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// round looks, plans and orders once.
func (c *Conductor) round(ctx context.Context, now time.Time) {
	hold, ok := c.cfg.Leases.Held(c.cfg.Scope)
	if !ok || !hold.Valid(now) {
		c.handleLeaseLost(now)
		return
	}
	if c.termState == nil || c.termState.term != hold.Term {
		c.startTerm(hold.Term, now)
		c.prober.probeAll(c.cfg.Servers.Servers(), now)
	}
	t := c.termState
	if !t.leaseLostAt.IsZero() {
		t.leaseLostAt = time.Time{}
		c.cfg.Events.Emit(eventScopeTaken, "scope", c.cfg.Scope, "term", t.term)
	}
	servers := c.cfg.Servers.Servers()
	t.placeHistory.observe(servers)
	c.prober.round(ctx, t, servers, now)
	growing := t.isListGrowing(len(servers), now, c.cfg.Idle())
	if now.Sub(t.since) < c.cfg.Settle || len(servers) == 0 || !t.adopted && growing {
		return
	}
	if !t.adopted {
		t.adopt(c.cfg.Servers.Groups(), c.cfg.Scope)
		c.cfg.Events.Emit(eventAdopted, "scope", c.cfg.Scope, "term", t.term, "groups", len(t.groups), "servers", len(servers))
	}
	wanted, revision := c.cfg.Wanted(t.groupCounts())
	if len(wanted) == 0 {
		return
	}
	s := c.snapshot(t, servers, wanted, revision)
	for _, a := range t.planner.Plan(s, now) {
		c.apply(t, a)
	}
	c.logGroupChanges(t, s, now)
	c.sendOrders(ctx, t, servers, now)
	s.Groups = t.view()
	t.wanted, t.listing = wanted, servers
	limits := c.cfg.Loads()
	c.loadLimiter.SetLimitAt(now, rate.Limit(limits.PerSecond))
	c.loadLimiter.SetBurstAt(now, limits.Burst)
	c.preloadSpares(ctx, t, servers, s, now)
}

// keepTenure is how long what a tenure knows is kept for when the scope comes
// back under the same term: nobody else has done its work meanwhile.
const termStateRetention = 5 * time.Second

// leave stops the work while the scope is not held.
func (c *Conductor) handleLeaseLost(now time.Time) {
	t := c.termState
	switch {
	case t == nil:
	case t.leaseLostAt.IsZero():
		t.leaseLostAt = now
		c.cfg.Events.Emit(eventScopeLeft, "scope", c.cfg.Scope, "term", t.term)
	case now.Sub(t.leaseLostAt) > termStateRetention:
		c.termState = nil
	default:
		t.placeHistory.observe(c.cfg.Servers.Servers())
	}
}

// listGrows is how long a list that has grown may still grow: instances that
// start together are listed one after the other, and groups are better formed
// of all of them.
const listGrowthWindow = 600 * time.Millisecond

// growing reports whether the list still grows. While the deployment begins its
// first part is growth as well; later it was there before this tenure.
func (t *termState) isListGrowing(listed int, now time.Time, begins bool) bool {
	if listed > t.maxListed {
		if t.maxListed > 0 || begins {
			t.lastGrowthAt = now
		}
		t.maxListed = listed
	}
	return now.Sub(t.lastGrowthAt) < listGrowthWindow
}

// enter begins the work under a new term.
func (c *Conductor) startTerm(term lease.Term, now time.Time) {
	c.termState = &termState{
		term:         term,
		since:        now,
		planner:      c.cfg.Planner.Fork(),
		groups:       map[fleet.GroupID]*group.Group{},
		issued:       map[lease.Scope]group.IDMark{},
		placeHistory: newPlaceHistory(),
		staging:      map[fleet.InstanceID]stageLoad{},
		warmups:      map[fleet.InstanceID]*group.Group{},
		lastLogged:   map[fleet.GroupID]string{},
		whole:        map[fleet.GroupID]bool{},
	}
	c.cfg.Events.Emit(eventScopeTaken, "scope", c.cfg.Scope, "term", term)
}

// adopt takes over the groups that the engines tell of. A rank of which none
// tells is a lost member.
func (t *termState) adopt(view *group.View, scope lease.Scope) {
	t.adopted = true
	for id, g := range view.Groups {
		own := *g
		own.Scope, own.Term = scope, t.term
		t.groups[id] = &own
	}
}

// Standing is how many groups of a service there are.
type Standing struct {
	// Groups are those that are not on their way out, Coming those of them
	// that do not serve yet, Going those on their way out.
	Groups, Coming, Going int
}

func (t *termState) groupCounts() map[fleet.ServiceName]Standing {
	all := map[fleet.ServiceName]Standing{}
	for id, g := range t.groups {
		s := all[g.Service]
		if g.Phase == group.PhaseActive {
			s.Groups++
			if !t.whole[id] {
				s.Coming++
			}
		} else {
			s.Going++
		}
		all[g.Service] = s
	}
	return all
}

// snapshot is what one plan rests on.
func (c *Conductor) snapshot(t *termState, servers map[fleet.InstanceID]directory.Listing, wanted []Wanted, revision uint64) Snapshot {
	s := Snapshot{
		Scope:     c.cfg.Scope,
		Term:      t.term,
		Revision:  revision,
		Wanted:    wanted,
		Groups:    t.view(),
		Instances: map[fleet.InstanceID]InstanceState{},
		InFlight:  c.cfg.InFlight(),
		FastLoads: c.cfg.Idle(),
	}
	pools := map[fleet.Pool]bool{}
	for _, w := range wanted {
		pools[w.Pool] = true
	}
	for id, l := range servers {
		if pools[fleet.Pool(l.Service)] {
			s.Instances[id] = c.instance(t, s.Groups, l)
		}
	}
	return s
}

// view is the groups of the tenure as the planner takes them.
func (t *termState) view() *group.View {
	v := &group.View{Groups: t.groups, ByInstance: map[fleet.InstanceID]fleet.GroupID{}, Issued: t.issued}
	for id, g := range t.groups {
		for _, m := range g.Members {
			if m.Instance != "" {
				v.ByInstance[m.Instance] = id
			}
		}
	}
	return v
}

// instance is one engine as the planner takes it.
func (c *Conductor) instance(t *termState, groups *group.View, l directory.Listing) InstanceState {
	st := InstanceState{
		Instance: fleet.Instance{
			ID: l.Instance, Address: l.Address, Zone: l.Zone, Fabric: l.Fabric,
			Pool: fleet.Pool(l.Service), Kind: fleet.KindEngine, Accelerators: 1, Leaving: l.Leaving,
		},
		Report:         fleet.Report{Instance: l.Instance, Incarnation: l.Incarnation, Ready: true, ReceivedAt: time.Now()},
		Listed:         true,
		Alive:          !l.Failed,
		LocalLoadTimes: c.localLoadTimes(t, l),
	}
	g := t.groups[groups.ByInstance[l.Instance]]
	if g == nil {
		st.MustLeave = !isUnplaced(l)
		return st
	}
	rank := rankOf(g, l.Instance)
	if isPlacedIn(l.Place, g) {
		st.Report.Ready = l.Place.State == directory.PlaceOpen || rank > 0 && l.Place.State == directory.PlaceReady
		a := group.AssignmentOf(g, g.Members, fleet.Rank(rank))
		st.Report.Assignment = &a
		st.Ejected = l.Place.State == directory.PlaceBroken
		return st
	}
	st.Report.Ready = false
	st.Ejected = t.placeHistory.wasPlacedIn(l.Instance, g)
	return st
}

// near lists the models that an engine has at hand.
func (c *Conductor) localLoadTimes(t *termState, l directory.Listing) map[string]time.Duration {
	near := map[string]time.Duration{}
	for _, model := range l.Staged {
		near[model] = c.cfg.Staged(model)
	}
	if model := t.placeHistory.lastModel(l.Server); model != "" {
		near[model] = c.cfg.Rejoin
	}
	return near
}

// at reports whether a place is the one in a group's present epoch.
func isPlacedIn(p *directory.Place, g *group.Group) bool {
	return p != nil && p.Group == g.ID && p.Epoch == g.Epoch
}

func rankOf(g *group.Group, id fleet.InstanceID) int {
	for i, m := range g.Members {
		if m.Instance == id {
			return i
		}
	}
	return -1
}

// apply takes an action of a plan into the groups of the tenure.
func (c *Conductor) apply(t *termState, a Action) {
	switch a.Kind {
	case ActionWait, ActionHalt:
		what := string(a.Kind) + " " + a.Reason
		if t.lastLogged[a.Group.ID] != what {
			t.lastLogged[a.Group.ID] = what
			c.logDecision(t, a)
		}
		return
	case ActionForm:
		g := *a.Group
		_, mark, _ := group.ParseID(g.ID)
		t.issued[c.cfg.Scope] = mark
		g.ID = group.FormatID(lease.Scope(g.Model), mark)
		g.Epoch = c.nextEpoch(t)
		t.groups[g.ID] = &g
		a.Group = &g
	case ActionRepair:
		g := *a.Group
		g.Epoch = c.nextEpoch(t)
		t.groups[g.ID] = &g
		a.Group = &g
	case ActionDrain:
		g := *a.Group
		g.Phase = group.PhaseDraining
		t.groups[g.ID] = &g
	case ActionDissolve:
		delete(t.groups, a.Group.ID)
	}
	c.logDecision(t, a)
}

// epochsPerTerm leaves room for the epochs of one term below those of the
// next. Engines refuse an epoch below one that they have seen, so a holder
// whose term is over can't place an engine anew.
const epochsPerTerm = 1 << 20

func (c *Conductor) nextEpoch(t *termState) fleet.Epoch {
	c.counter++
	return fleet.Epoch(uint64(t.term)*epochsPerTerm + c.counter)
}

func (c *Conductor) logDecision(t *termState, a Action) {
	c.cfg.Events.Emit(eventDecision, "kind", a.Kind, "service", a.Service, "group", a.Group.ID, "epoch", a.Group.Epoch,
		"members", instanceIDs(a.Group.Members), "scope", c.cfg.Scope, "term", t.term, "reason", a.Reason, "cost", a.Cost)
}

// sayWholeness logs the groups that began or ceased to serve.
func (c *Conductor) logGroupChanges(t *termState, s Snapshot, now time.Time) {
	for id := range t.whole {
		if t.groups[id] == nil {
			delete(t.whole, id)
			delete(t.lastLogged, id)
		}
	}
	for id, g := range t.groups {
		w := group.Whole(g, aliveReports(s.Instances), now, 0)
		switch was := t.whole[id]; {
		case w.Whole && !was:
			c.cfg.Events.Emit(eventGroupWhole, "service", g.Service, "group", id, "epoch", g.Epoch)
		case !w.Whole && was:
			c.cfg.Events.Emit(eventGroupBroken, "service", g.Service, "group", id, "epoch", g.Epoch, "reason", w.Reason)
		}
		t.whole[id] = w.Whole
	}
}
