package placement

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/lease"
)

// GroupEngines sends orders to and reads the status of engines that store their
// own place in a group.
type GroupEngines interface {
	Order(ctx context.Context, id fleet.InstanceID, address string, o backend.GroupOrder) error
	Report(ctx context.Context, id fleet.InstanceID, address string) (directory.Status, error)
}

// Servers is the GroupController's view of the engines. *directory.Directory
// implements it.
type Servers interface {
	Servers() map[fleet.InstanceID]directory.Listing
	Groups() *group.View
	// Answered records the status that an engine reported at a moment.
	Answered(s directory.Server, moment time.Time)
	Fail(id fleet.InstanceID, now time.Time)
}

// GroupControllerConfig configures a GroupController.
type GroupControllerConfig struct {
	Planner *Planner
	Leases  lease.Holder
	Scope   lease.Scope
	Servers Servers
	Engines GroupEngines
	// Wanted returns the wanted groups, given the current number of groups by
	// service, and the revision of the configuration, zero if unknown.
	Wanted   func(counts map[fleet.ServiceName]GroupCounts) (wanted []Wanted, revision uint64)
	InFlight func() map[fleet.GroupID]uint32
	// Evacuated reports whether the operator evacuates an availability zone. Its engines
	// get no place in a group, and its groups do not count. It may be nil.
	Evacuated func(zone fleet.Zone) bool
	// OnEngineFailed is called when an engine is found not to answer. It may be
	// nil.
	OnEngineFailed func(id fleet.InstanceID)
	// LinksLost reports whether this daemon's own links to the engines are lost. No
	// engine counts as down meanwhile. It may be nil.
	LinksLost func() bool
	Events    *event.Logger
	// Metrics counts what the controller measures. It may be nil.
	Metrics metrics.Registry
	// RejoinTime is the time that an engine needs to join a group of the model
	// that it has loaded. StagedLoadTime returns the time for a model that is
	// staged on its host.
	RejoinTime     time.Duration
	StagedLoadTime func(model string) time.Duration
	// ReportAge returns the age of the state in an engine's answer to a probe.
	ReportAge func() time.Duration
	// OpenTime returns the time from an open order until the group serves.
	OpenTime func() time.Duration
	// LoadLimits returns the load limits of the weight store. They do not apply
	// while IsIdle returns true.
	LoadLimits func() LoadLimits
	// IsIdle reports whether the deployment has just started and has not received
	// any request yet.
	IsIdle func() bool
	// SettleTime is the time that a new lease holder waits before it acts, so
	// that the orders of the previous holder have arrived.
	SettleTime time.Duration
}

// LoadLimits limits the loads from the weight store.
type LoadLimits struct {
	// PerSecond is the number of engines that may start loading per second, and
	// Burst the number that may start at once.
	PerSecond float64
	Burst     int
	// MaxConcurrent is the number of engines that can load concurrently without
	// slowing each other down. Reserved is the part of it that is reserved for
	// engines that have no model yet.
	MaxConcurrent, Reserved int
}

// Timing of a GroupController.
const (
	// roundInterval is the time between two rounds. An answered order or probe
	// starts a round earlier, but not within minRoundInterval of the last one: many
	// answers at the same time need one round.
	roundInterval    = 200 * time.Millisecond
	minRoundInterval = 30 * time.Millisecond
	// orderTimeout limits an order; engines usually answer many times faster.
	orderTimeout = 600 * time.Millisecond
	// orderResendDelay is the time that an accepted order may take to show in the
	// engine's reports before it is sent again.
	orderResendDelay = 700 * time.Millisecond
	// idleReportInterval is the time between two log lines about engines that serve
	// nobody.
	idleReportInterval = 4 * time.Second
)

// GroupController carries out the plans of one scope on engines that store
// their own place in a group. It rebuilds its view of the groups from the
// engines' reports, so that any daemon can take over.
type GroupController struct {
	cfg    GroupControllerConfig
	prober *prober

	mu     sync.Mutex
	orders map[fleet.InstanceID]*sentOrder
	// ordersInFlight counts the orders that have no result yet.
	ordersInFlight int
	// rejectedStages are engines that rejected or failed an order to stage a model.
	rejectedStages []fleet.InstanceID
	running        sync.WaitGroup
	wake           chan struct{}
	loadLimiter    *rate.Limiter
	idleCounters   map[IdleCause]metrics.Counter // milliseconds of engines
	idle           idleAccount

	// The fields below are used only by the loop.
	termState *termState
	// counter numbers epochs. It is never reset, so that this process uses no epoch
	// twice.
	counter uint64
}

// sentOrder is the last order sent to an instance.
type sentOrder struct {
	order    backend.GroupOrder
	sentAt   time.Time
	inFlight bool
	accepted bool
	failures int
}

// termState is the state of the controller under one lease term.
type termState struct {
	term    lease.Term
	since   time.Time
	adopted bool
	// leaseLostAt is the time at which the lease was found lost, zero while it is
	// held.
	leaseLostAt time.Time
	// maxListed is the largest number of engines listed so far, and lastGrowthAt
	// the last time at which it grew.
	maxListed    int
	lastGrowthAt time.Time
	planner      *Planner
	groups       map[fleet.GroupID]*group.Group
	issued       map[lease.Scope]group.IDMark
	placeHistory *placeHistory
	staging      map[fleet.InstanceID]stageLoad
	// warmups holds the warm-up groups, which only load a model on one engine.
	// warmupCounter numbers them.
	warmups       map[fleet.InstanceID]*group.Group
	warmupCounter uint64
	wanted        []Wanted
	listing       map[fleet.InstanceID]directory.Listing
	lastLogged    map[fleet.GroupID]string
	whole         map[fleet.GroupID]bool
}

// NewGroupController returns a group controller. It does nothing until Run is
// called.
func NewGroupController(cfg GroupControllerConfig) *GroupController {
	if cfg.Evacuated == nil {
		cfg.Evacuated = func(fleet.Zone) bool { return false }
	}
	c := &GroupController{cfg: cfg, orders: map[fleet.InstanceID]*sentOrder{}, wake: make(chan struct{}, 1)}
	c.loadLimiter = rate.NewLimiter(0, 0) // set by each round
	if cfg.Metrics != nil {
		c.idleCounters = map[IdleCause]metrics.Counter{}
		for _, cause := range IdleCauses {
			c.idleCounters[cause] = metrics.GetOrRegisterCounter("placement.idle_"+string(cause)+"_ms", cfg.Metrics)
		}
	}
	c.prober = newProber(c)
	return c
}

// Run runs the control loop until ctx is done, then waits for orders and probes in
// flight.
func (c *GroupController) Run(ctx context.Context) {
	defer c.running.Wait()
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-c.wake:
		}
		c.round(ctx, time.Now())
		pause.Reset(minRoundInterval)
	}
}

// ProbeGroup probes the members of a group whose streams have stalled at a daemon.
func (c *GroupController) ProbeGroup(id fleet.GroupID) { c.prober.suspectGroup(id) }

// HoldsLease reports whether this daemon currently holds the scope's lease.
func (c *GroupController) HoldsLease() bool {
	hold, ok := c.cfg.Leases.Held(c.cfg.Scope)
	return ok && hold.Valid(time.Now())
}

func (c *GroupController) wakeLoop() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// round probes the engines, plans and sends orders once.
func (c *GroupController) round(ctx context.Context, now time.Time) {
	hold, ok := c.cfg.Leases.Held(c.cfg.Scope)
	if !ok || !hold.Valid(now) {
		c.handleLeaseLost(now)
		return
	}
	if c.termState == nil || c.termState.term != hold.Term {
		c.startTerm(hold.Term, time.Now()) // the process may have been paused since now
	}
	t := c.termState
	if !t.leaseLostAt.IsZero() {
		t.leaseLostAt = time.Time{}
		c.cfg.Events.Emit(eventScopeTaken, "scope", c.cfg.Scope, "term", t.term)
	}
	servers := c.cfg.Servers.Servers()
	t.placeHistory.observe(servers, t.isConfirmed)
	wanted, revision := c.cfg.Wanted(t.groupCounts(c.cfg.Evacuated))
	unconfirmed := t.unconfirmedEngines(servers, wanted)
	c.prober.round(ctx, t, servers, unconfirmed, now)
	growing := t.isListGrowing(len(servers), now, c.cfg.IsIdle())
	if now.Sub(t.since) < c.cfg.SettleTime || len(servers) == 0 || !t.adopted && growing {
		return
	}
	if len(wanted) == 0 {
		return // without the models' sizes the engines' groups are not known
	}
	if !t.adopted {
		if len(unconfirmed) > 0 && now.Sub(t.since) < c.cfg.SettleTime+confirmTimeout(len(servers)) {
			return
		}
		t.adopt(c.cfg.Servers.Groups(), c.cfg.Scope)
		c.cfg.Events.Emit(eventAdopted, "scope", c.cfg.Scope, "term", t.term, "groups", len(t.groups), "servers", len(servers), "unconfirmed", len(unconfirmed))
		wanted, revision = c.cfg.Wanted(t.groupCounts(c.cfg.Evacuated))
	}
	c.logSplit(t, wanted)
	s := c.snapshot(t, servers, wanted, revision)
	for _, a := range t.planner.Plan(s, now) {
		c.apply(t, a)
	}
	c.logGroupChanges(t, s, now)
	c.recordIdle(s, now)
	c.sendOrders(ctx, t, servers, now)
	s.Groups = t.view()
	t.wanted, t.listing = wanted, servers
	limits := c.cfg.LoadLimits()
	c.loadLimiter.SetLimitAt(now, rate.Limit(limits.PerSecond))
	c.loadLimiter.SetBurstAt(now, limits.Burst)
	c.preloadSpares(ctx, t, servers, s, now)
}

// termStateRetention is how long the term state is kept after the lease was lost.
// If the lease is regained under the same term, no other daemon has controlled the
// scope in between, so the state is still valid.
const termStateRetention = 5 * time.Second

// handleLeaseLost pauses the control of the scope while its lease is not held.
func (c *GroupController) handleLeaseLost(now time.Time) {
	t := c.termState
	switch {
	case t == nil:
	case t.leaseLostAt.IsZero():
		t.leaseLostAt = now
		c.cfg.Events.Emit(eventScopeLeft, "scope", c.cfg.Scope, "term", t.term)
	case now.Sub(t.leaseLostAt) > termStateRetention:
		c.termState = nil
	default:
		t.placeHistory.observe(c.cfg.Servers.Servers(), t.isConfirmed)
	}
}

// listGrowthWindow is how long the list must not grow before it counts as complete.
// Instances that start together are listed one after the other, and groups are
// better formed from all of them.
const listGrowthWindow = 600 * time.Millisecond

// isListGrowing reports whether the list has grown within listGrowthWindow. The
// first entries count as growth only if starting is set, that is, while the
// deployment starts. Otherwise they were listed before this term.
func (t *termState) isListGrowing(listed int, now time.Time, starting bool) bool {
	if listed > t.maxListed {
		if t.maxListed > 0 || starting {
			t.lastGrowthAt = now
		}
		t.maxListed = listed
	}
	return now.Sub(t.lastGrowthAt) < listGrowthWindow
}

// isConfirmed reports whether an engine itself has confirmed its place since the
// term began. The list may be older than an order of an earlier term, so an engine
// that the list shows without a place may have one.
func (t *termState) isConfirmed(l directory.Listing) bool { return !l.AnsweredAsOf.Before(t.since) }

// unconfirmedEngines returns the engines, other than failed ones, that have not
// confirmed their places in this term, none while the models are not known.
func (t *termState) unconfirmedEngines(servers map[fleet.InstanceID]directory.Listing, wanted []Wanted) []fleet.InstanceID {
	if len(wanted) == 0 {
		return nil
	}
	pools := map[fleet.Pool]bool{}
	for _, w := range wanted {
		pools[w.Pool] = true
	}
	var ids []fleet.InstanceID
	for id, l := range servers {
		isEngine := l.Place != nil || pools[fleet.Pool(l.Service)]
		if isEngine && !l.Failed && !t.isConfirmed(l) {
			ids = append(ids, id)
		}
	}
	return ids
}

// confirmTimeout limits how long a new holder waits, after SettleTime, for a number
// of engines to confirm their places before it adopts the groups: two probes of
// each engine, of which maxProbes are sent at a time.
func confirmTimeout(engines int) time.Duration {
	return probeTimeout*time.Duration(engines/maxProbes) + probeTimeout + probeRetryTimeout
}

// startTerm initializes the state for a new term.
func (c *GroupController) startTerm(term lease.Term, now time.Time) {
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

// adopt takes over the groups that the engines report. A rank that no engine
// reports counts as a lost member.
func (t *termState) adopt(view *group.View, scope lease.Scope) {
	t.adopted = true
	for id, g := range view.Groups {
		own := *g
		own.Scope, own.Term = scope, t.term
		t.groups[id] = &own
	}
}

// GroupCounts holds the number of existing groups of a service.
type GroupCounts struct {
	// Groups counts the groups that are not draining, Starting those of them
	// that do not serve yet. Draining counts the draining groups.
	Groups, Starting, Draining int
}

// groupCounts counts the groups without a member in an availability zone that is
// evacuated.
func (t *termState) groupCounts(evacuated func(zone fleet.Zone) bool) map[fleet.ServiceName]GroupCounts {
	all := map[fleet.ServiceName]GroupCounts{}
	for id, g := range t.groups {
		if slices.ContainsFunc(g.Members, func(m group.Member) bool { return evacuated(m.Zone) }) {
			continue
		}
		counts := all[g.Service]
		if g.Phase == group.PhaseActive {
			counts.Groups++
			if !t.whole[id] {
				counts.Starting++
			}
		} else {
			counts.Draining++
		}
		all[g.Service] = counts
	}
	return all
}

// snapshot returns the planner's input.
func (c *GroupController) snapshot(t *termState, servers map[fleet.InstanceID]directory.Listing, wanted []Wanted, revision uint64) Snapshot {
	s := Snapshot{
		Scope:     c.cfg.Scope,
		Term:      t.term,
		Revision:  revision,
		Wanted:    wanted,
		Groups:    t.view(),
		Instances: map[fleet.InstanceID]InstanceState{},
		InFlight:  c.cfg.InFlight(),
		FastLoads: c.cfg.IsIdle(),
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

// view returns the groups in the form that the planner takes.
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

// instance returns the planner's view of one engine.
func (c *GroupController) instance(t *termState, groups *group.View, l directory.Listing) InstanceState {
	st := InstanceState{
		Instance: fleet.Instance{
			ID: l.Instance, Address: l.Address, Zone: l.Zone, Fabric: l.Fabric,
			Pool: fleet.Pool(l.Service), Kind: fleet.KindEngine, Accelerators: 1, Leaving: l.Leaving,
		},
		Report:         fleet.Report{Instance: l.Instance, Incarnation: l.Incarnation, Ready: true, ReceivedAt: time.Now()},
		Listed:         true,
		Alive:          !l.Failed,
		Ended:          l.Failed && c.prober.hasEnded(l.Instance),
		Evacuated:      c.cfg.Evacuated(l.Zone),
		Unreachable:    l.Failed && c.prober.isUnreachable(l.Instance),
		LocalLoadTimes: c.localLoadTimes(l),
		Cold:           l.ColdUntil.After(time.Now()),
	}
	g := t.groups[groups.ByInstance[l.Instance]]
	if g == nil {
		st.MustLeave = !isUnplaced(l) || !t.isConfirmed(l)
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

// localLoadTimes returns the models that an engine can load without the weight
// store and the time that each takes.
func (c *GroupController) localLoadTimes(l directory.Listing) map[string]time.Duration {
	loadTimes := map[string]time.Duration{}
	for _, model := range l.Staged {
		loadTimes[model] = c.cfg.StagedLoadTime(model)
	}
	if l.LoadedModel != "" {
		loadTimes[l.LoadedModel] = c.cfg.RejoinTime
	}
	return loadTimes
}

// isPlacedIn reports whether a place is in the current epoch of a group.
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

// apply applies a planned action to the groups of the term.
func (c *GroupController) apply(t *termState, a Action) {
	switch a.Kind {
	case ActionWait, ActionHalt:
		decision := string(a.Kind) + " " + a.Reason
		if t.lastLogged[a.Group.ID] != decision {
			t.lastLogged[a.Group.ID] = decision
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

// epochsPerTerm separates the epochs of successive terms. Engines reject an epoch
// lower than one that they have seen, so a holder of an older term can't place an
// engine.
const epochsPerTerm = 1 << 20

func (c *GroupController) nextEpoch(t *termState) fleet.Epoch {
	c.counter++
	return fleet.Epoch(uint64(t.term)*epochsPerTerm + c.counter)
}

func (c *GroupController) logDecision(t *termState, a Action) {
	c.cfg.Events.Emit(eventDecision, "kind", a.Kind, "service", a.Service, "group", a.Group.ID, "epoch", a.Group.Epoch,
		"members", instanceIDs(a.Group.Members), "scope", c.cfg.Scope, "term", t.term, "reason", a.Reason, "cost", a.Cost)
}

// logSplit logs the services whose number of wanted groups has changed since the
// last round, or whose demand has been measured since.
func (c *GroupController) logSplit(t *termState, wanted []Wanted) {
	before := map[fleet.ServiceName]Wanted{}
	for _, w := range t.wanted {
		before[w.Service] = w
	}
	for _, w := range wanted {
		if b, known := before[w.Service]; !known || b.Groups != w.Groups || b.Measured != w.Measured {
			c.cfg.Events.Emit(eventSplit, "scope", c.cfg.Scope, "service", w.Service, "groups", w.Groups, "before", b.Groups,
				"size", w.Size, "work", w.Work, "measured", w.Measured)
		}
	}
}

// logGroupChanges logs the groups that became whole or broke.
func (c *GroupController) logGroupChanges(t *termState, s Snapshot, now time.Time) {
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

// recordIdle counts and logs how long engines serve nobody. Groups that the plan of this
// round has formed or changed count as of the next one.
func (c *GroupController) recordIdle(s Snapshot, now time.Time) {
	for cause, seconds := range c.idle.observe(countIdle(s, now), now) {
		if counter := c.idleCounters[cause]; counter != nil {
			counter.Inc(int64(seconds * 1000))
		}
	}
	seconds, period := c.idle.report(idleReportInterval, now)
	if seconds == nil {
		return
	}
	fields := []any{"scope", c.cfg.Scope, "period", period.Round(time.Millisecond), "engines", len(s.Instances)}
	for _, cause := range IdleCauses {
		fields = append(fields, string(cause), math.Round(10*seconds[cause])/10)
	}
	c.cfg.Events.Emit(eventIdle, fields...)
}
