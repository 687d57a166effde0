package runs

import (
	"fmt"
	"slices"
	"sync"
	"time"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/internal/fleet"
)

// Checker names what a finding is about.
type Checker string

// Checkers of a run.
const (
	CheckRunOnce     Checker = "run-once"       // a non-idempotent call runs at most once
	CheckAnswer      Checker = "own-answer"     // every whole answer is that of its own request
	CheckNotRun      Checker = "not-run"        // a refusal that says not run is true
	CheckWholeGroup  Checker = "whole-group"    // no group serves while a member is missing
	CheckLeaving     Checker = "leaving"        // a leaving backend server gets no new work
	CheckPlannedStop Checker = "planned-stop"   // a planned stop cuts no request
	CheckConfig      Checker = "config-applied" // an accepted configuration is in force in time
	CheckRevert      Checker = "config-reverts" // a configuration never reverts
	CheckRecovery    Checker = "recovery"       // all is well again after the last fault
	CheckRace        Checker = "publish-race"   // of two racing publications at most one is accepted
	CheckOutage      Checker = "log-outage"     // requests that need no log are served while it is down
	CheckCutOff      Checker = "cut-off"        // a daemon that is cut off refuses, unless it is set to serve
	CheckZone        Checker = "zone-lost"      // the other zones serve while one is away
)

// Bounds of the checkers.
const (
	leavingBound  = 3 * time.Second
	configBound   = 7 * time.Second
	sampleEvery   = 100 * time.Millisecond
	missingBound  = 3 * time.Second
	maxFindings   = 20
	networkSettle = 5 * time.Second
)

// Finding is a promise that did not hold.
type Finding struct {
	Checker Checker
	At      time.Duration // since the run's start
	Detail  string
}

func (f Finding) String() string { return fmt.Sprintf("[%s] at %v: %s", f.Checker, f.At, f.Detail) }

// span is when something lasted; an open span has no end yet.
type span struct{ from, to time.Time }

func (s span) overlaps(from, to time.Time) bool {
	return !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from))
}

// backendRun is one request that a backend server began to run.
type backendRun struct {
	at     time.Time
	engine *engineHost // nil for a plain one
	plain  *plainHost
	group  string
	epoch  uint64
}

// place is where an engine has a group's member.
type place struct {
	group string
	epoch uint64
	ip    string
}

// watch collects what happens and what is wrong with it. Backend servers call
// it with their locks held, so it takes none but its own.
type watch struct {
	began time.Time

	mu       sync.Mutex
	findings []Finding
	counts   map[string]int
	// runsOf counts runs by request id, bodies by plain call's body.
	runsOf, bodies map[string]int
	unjudged       []backendRun
	seenAt         map[place]time.Time // when a member was last in its place
	faults         []span              // of any kind
	netFaults      []span              // that hold bytes
	zones          []lostZone
	accepted       []revision
	inForce        map[string]uint64 // highest revision by daemon id
}

type revision struct {
	number uint64
	at     time.Time
}

func newWatch() *watch {
	return &watch{
		began: time.Now(), counts: map[string]int{}, runsOf: map[string]int{}, bodies: map[string]int{},
		seenAt: map[place]time.Time{}, inForce: map[string]uint64{},
	}
}

func (w *watch) find(c Checker, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.findLocked(c, format, args...)
}

func (w *watch) findLocked(c Checker, format string, args ...any) {
	w.counts["finding "+string(c)]++
	if len(w.findings) < maxFindings {
		w.findings = append(w.findings, Finding{Checker: c, At: time.Since(w.began), Detail: fmt.Sprintf(format, args...)})
	}
}

func (w *watch) count(what string) { w.add(what, 1) }

func (w *watch) add(what string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[what] += n
}

// engineRun is called when an engine begins to run an attempt.
func (w *watch) engineRun(e *engineHost, req *carawayv1.RunRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["engine runs"]++
	w.runsOf[req.RequestId]++
	w.unjudged = append(w.unjudged, backendRun{at: time.Now(), engine: e, group: req.Group, epoch: req.Epoch})
}

// plainRun is called when a plain backend server runs a call.
func (w *watch) plainRun(p *plainHost, call *carawayv1.CallRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["plain runs"]++
	w.runsOf[call.RequestId]++
	w.unjudged = append(w.unjudged, backendRun{at: time.Now(), plain: p})
	if call.Method != methodBook {
		return
	}
	w.bodies[string(call.Body)]++
	if n := w.bodies[string(call.Body)]; n > 1 {
		w.findLocked(CheckRunOnce, "booking %q ran %d times, now for request %s", call.Body, n, call.RequestId)
	}
}

func (w *watch) ran(request string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runsOf[request] > 0
}

// fault notes the beginning of a fault and returns what notes its end.
func (w *watch) fault(kind string, holdsBytes bool) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["fault "+kind]++
	w.counts["faults"]++
	now := time.Now()
	i := len(w.faults)
	w.faults = append(w.faults, span{from: now})
	j := -1
	if holdsBytes {
		j = len(w.netFaults)
		w.netFaults = append(w.netFaults, span{from: now})
	}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.faults[i].to = time.Now()
		if j >= 0 {
			w.netFaults[j].to = time.Now()
		}
	}
}

// quiet reports whether no fault touched the time, nor the while before it in
// which its traces settle.
func (w *watch) quiet(from, to time.Time, settle time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return none(w.faults, from.Add(-settle), to)
}

func none(spans []span, from, to time.Time) bool {
	for _, s := range spans {
		if s.overlaps(from, to) {
			return false
		}
	}
	return true
}

// sample looks at all engines and judges the runs since the last sample.
func (w *watch) sample(world *World) {
	now := time.Now()
	present := map[place]bool{}
	groups := map[string][]*carawayv1.Assignment{}
	for _, e := range world.engines {
		alive, a, _ := e.state()
		if !alive || a == nil {
			continue
		}
		present[place{a.Group, a.Epoch, e.address()}] = true
		groups[e.address()] = append(groups[e.address()], a)
	}
	w.mu.Lock()
	runs := w.unjudged
	w.unjudged = nil
	for p := range present {
		w.seenAt[p] = now
	}
	w.counts["samples"]++
	if !anyWhole(groups, present) {
		w.counts["samples without a whole group"]++
	}
	w.mu.Unlock()
	for _, r := range runs {
		w.judge(world, r, groups)
	}
}

// anyWhole reports whether all members of some group are in their places.
func anyWhole(groups map[string][]*carawayv1.Assignment, present map[place]bool) bool {
	for _, assigned := range groups {
		for _, a := range assigned {
			missing := slices.ContainsFunc(a.Members, func(m string) bool { return !present[place{a.Group, a.Epoch, m}] })
			if !missing {
				return true
			}
		}
	}
	return false
}

func (w *watch) judge(world *World, r backendRun, now map[string][]*carawayv1.Assignment) {
	w.countJudged(r)
	if r.plain != nil {
		w.judgeLeaving(r.at, r.plain.ip, r.plain.leaving())
		return
	}
	var members []string
	for _, a := range now[r.engine.address()] {
		if a.Group == r.group && a.Epoch == r.epoch {
			members = a.Members
		}
	}
	for _, m := range members {
		w.judgeMember(world, r, m)
	}
}

// countJudged counts the runs that no fault of the network keeps from being
// judged.
func (w *watch) countJudged(r backendRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if none(w.netFaults, r.at.Add(-missingBound-networkSettle), r.at) {
		w.counts["runs at backend servers judged"]++
	}
}

func (w *watch) judgeMember(world *World, r backendRun, address string) {
	w.mu.Lock()
	seen, known := w.seenAt[place{r.group, r.epoch, address}]
	held := !none(w.netFaults, r.at.Add(-missingBound-networkSettle), r.at)
	w.mu.Unlock()
	if !held && (!known || r.at.Sub(seen) > missingBound) {
		w.find(CheckWholeGroup, "group %s epoch %d ran a request while member %s was missing for %v", r.group, r.epoch, address, r.at.Sub(seen))
	}
	for _, e := range world.engines {
		if e.address() == address {
			_, _, leaving := e.state()
			w.judgeLeaving(r.at, address, leaving)
		}
	}
}

func (w *watch) judgeLeaving(at time.Time, address string, since time.Time) {
	if since.IsZero() || at.Sub(since) <= leavingBound {
		return
	}
	w.mu.Lock()
	held := !none(w.netFaults, since.Add(-networkSettle), at)
	w.mu.Unlock()
	if !held {
		w.find(CheckLeaving, "%s got work %v after it began to leave", address, at.Sub(since))
	}
}

// accept notes a revision that an operator was told is accepted.
func (w *watch) accept(number uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["publications accepted"]++
	w.accepted = append(w.accepted, revision{number: number, at: time.Now()})
}

// sampleConfig compares a daemon's configuration with what was accepted.
// reachable is since when the daemon could reach the log or a peer.
func (w *watch) sampleConfig(id fleet.DaemonID, number uint64, ready bool, reachable time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if number < w.inForce[string(id)] {
		w.findLocked(CheckRevert, "daemon %s went from revision %d back to %d", id, w.inForce[string(id)], number)
	}
	w.inForce[string(id)] = max(number, w.inForce[string(id)])
	for _, r := range w.accepted {
		due := r.at
		if reachable.After(due) {
			due = reachable
		}
		if number >= r.number || now.Sub(due) <= configBound {
			continue
		}
		w.findLocked(CheckConfig, "daemon %s has revision %d (ready: %v), %d was accepted %v ago", id, number, ready, r.number, now.Sub(r.at))
		return
	}
}
