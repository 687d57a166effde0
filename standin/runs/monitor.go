package runs

import (
	"fmt"
	"slices"
	"sync"
	"time"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/internal/fleet"
)

// Checker names the guarantee that a finding violates.
type Checker string

// Checkers of a run.
const (
	CheckRunOnce     Checker = "run-once"       // a non-idempotent call runs at most once
	CheckAnswer      Checker = "own-answer"     // every complete response belongs to its request
	CheckNotRun      Checker = "not-run"        // a request rejected as not run has not run
	CheckWholeGroup  Checker = "whole-group"    // no group serves while a member is missing
	CheckLeaving     Checker = "leaving"        // a leaving backend server gets no new work
	CheckPlannedStop Checker = "planned-stop"   // a planned stop cuts no request
	CheckConfig      Checker = "config-applied" // an accepted configuration is applied in time
	CheckRevert      Checker = "config-reverts" // a configuration never reverts
	CheckRecovery    Checker = "recovery"       // the system recovers after the last fault
	CheckRace        Checker = "publish-race"   // at most one of two racing publications is accepted
	CheckOutage      Checker = "log-outage"     // requests that need no log are served while it is down
	CheckCutOff      Checker = "cut-off"        // a daemon that is cut off rejects requests, unless set to serve
	CheckZone        Checker = "zone-lost"      // the other zones serve while one is lost
)

// Limits of the checkers.
const (
	leavingBound  = 3 * time.Second
	configBound   = 7 * time.Second
	sampleEvery   = 100 * time.Millisecond
	missingBound  = 3 * time.Second
	maxFindings   = 20
	networkSettle = 5 * time.Second
)

// Finding is a violated guarantee.
type Finding struct {
	Checker Checker
	At      time.Duration // since the start of the run
	Detail  string
}

func (f Finding) String() string { return fmt.Sprintf("[%s] at %v: %s", f.Checker, f.At, f.Detail) }

// span is a time span; to is zero while it lasts.
type span struct{ from, to time.Time }

func (s span) overlaps(from, to time.Time) bool {
	return !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from))
}

// backendRun is one request that a backend server started to run.
type backendRun struct {
	at     time.Time
	engine *engineHost // nil for a plain server's run
	plain  *plainHost
	group  string
	epoch  uint64
}

// memberKey identifies a group member in one epoch by its address.
type memberKey struct {
	group string
	epoch uint64
	ip    string
}

// monitor records events and findings. Backend servers call it with their locks
// held, so it takes only its own lock.
type monitor struct {
	started time.Time

	mu       sync.Mutex
	findings []Finding
	counts   map[string]int
	// runsByRequest counts runs by request id, runsByBody by the body of a
	// plain call.
	runsByRequest, runsByBody map[string]int
	unchecked                 []backendRun            // runs since the last sample
	lastPresent               map[memberKey]time.Time // when a member was last present
	faults                    []span                  // of any kind
	netFaults                 []span                  // faults that hold traffic
	zones                     []lostZone
	accepted                  []revision
	highestRevision           map[string]uint64 // highest revision by daemon id
}

type revision struct {
	number uint64
	at     time.Time
}

func newMonitor() *monitor {
	return &monitor{
		started: time.Now(), counts: map[string]int{}, runsByRequest: map[string]int{}, runsByBody: map[string]int{},
		lastPresent: map[memberKey]time.Time{}, highestRevision: map[string]uint64{},
	}
}

func (m *monitor) addFinding(c Checker, format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addFindingLocked(c, format, args...)
}

func (m *monitor) addFindingLocked(c Checker, format string, args ...any) {
	m.counts["finding "+string(c)]++
	if len(m.findings) < maxFindings {
		m.findings = append(m.findings, Finding{Checker: c, At: time.Since(m.started), Detail: fmt.Sprintf(format, args...)})
	}
}

func (m *monitor) count(event string) { m.add(event, 1) }

func (m *monitor) add(event string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[event] += n
}

// recordEngineRun records that an engine starts to run an attempt.
func (m *monitor) recordEngineRun(e *engineHost, req *carawayv1.RunRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts["engine runs"]++
	m.runsByRequest[req.RequestId]++
	m.unchecked = append(m.unchecked, backendRun{at: time.Now(), engine: e, group: req.Group, epoch: req.Epoch})
}

// recordPlainRun records that a plain backend server runs a call.
func (m *monitor) recordPlainRun(p *plainHost, call *carawayv1.CallRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts["plain runs"]++
	m.runsByRequest[call.RequestId]++
	m.unchecked = append(m.unchecked, backendRun{at: time.Now(), plain: p})
	if call.Method != methodBook {
		return
	}
	m.runsByBody[string(call.Body)]++
	if n := m.runsByBody[string(call.Body)]; n > 1 {
		m.addFindingLocked(CheckRunOnce, "booking %q ran %d times, now for request %s", call.Body, n, call.RequestId)
	}
}

func (m *monitor) hasRun(request string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runsByRequest[request] > 0
}

// recordFault records the start of a fault. end records its end.
func (m *monitor) recordFault(kind string, holdsBytes bool) (end func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts["fault "+kind]++
	m.counts["faults"]++
	now := time.Now()
	i := len(m.faults)
	m.faults = append(m.faults, span{from: now})
	j := -1
	if holdsBytes {
		j = len(m.netFaults)
		m.netFaults = append(m.netFaults, span{from: now})
	}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.faults[i].to = time.Now()
		if j >= 0 {
			m.netFaults[j].to = time.Now()
		}
	}
}

// noFaultDuring reports whether no fault was active between from and to, or in
// the settle time before from.
func (m *monitor) noFaultDuring(from, to time.Time, settle time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return noneOverlaps(m.faults, from.Add(-settle), to)
}

func noneOverlaps(spans []span, from, to time.Time) bool {
	for _, s := range spans {
		if s.overlaps(from, to) {
			return false
		}
	}
	return true
}

// sample reads the state of all engines and checks the runs since the last
// sample.
func (m *monitor) sample(world *World) {
	now := time.Now()
	present := map[memberKey]bool{}
	groups := map[string][]*carawayv1.Assignment{}
	for _, e := range world.engines {
		alive, a, _ := e.state()
		if !alive || a == nil {
			continue
		}
		present[memberKey{a.Group, a.Epoch, e.address()}] = true
		groups[e.address()] = append(groups[e.address()], a)
	}
	m.mu.Lock()
	runs := m.unchecked
	m.unchecked = nil
	for key := range present {
		m.lastPresent[key] = now
	}
	m.counts["samples"]++
	if !anyWhole(groups, present) {
		m.counts["samples without a whole group"]++
	}
	m.mu.Unlock()
	for _, r := range runs {
		m.checkRun(world, r, groups)
	}
}

// anyWhole reports whether some group has all its members present.
func anyWhole(groups map[string][]*carawayv1.Assignment, present map[memberKey]bool) bool {
	for _, assigned := range groups {
		for _, a := range assigned {
			missing := slices.ContainsFunc(a.Members, func(m string) bool { return !present[memberKey{a.Group, a.Epoch, m}] })
			if !missing {
				return true
			}
		}
	}
	return false
}

func (m *monitor) checkRun(world *World, r backendRun, now map[string][]*carawayv1.Assignment) {
	m.countChecked(r)
	if r.plain != nil {
		m.checkLeaving(r.at, r.plain.ip, r.plain.leaving())
		return
	}
	var members []string
	for _, a := range now[r.engine.address()] {
		if a.Group == r.group && a.Epoch == r.epoch {
			members = a.Members
		}
	}
	for _, address := range members {
		m.checkMember(world, r, address)
	}
}

// countChecked counts a run if no network fault prevents its checks.
func (m *monitor) countChecked(r backendRun) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if noneOverlaps(m.netFaults, r.at.Add(-missingBound-networkSettle), r.at) {
		m.counts["runs at backend servers judged"]++
	}
}

func (m *monitor) checkMember(world *World, r backendRun, address string) {
	m.mu.Lock()
	seen, known := m.lastPresent[memberKey{r.group, r.epoch, address}]
	held := !noneOverlaps(m.netFaults, r.at.Add(-missingBound-networkSettle), r.at)
	m.mu.Unlock()
	if !held && (!known || r.at.Sub(seen) > missingBound) {
		m.addFinding(CheckWholeGroup, "group %s epoch %d ran a request while member %s had been missing for %v", r.group, r.epoch, address, r.at.Sub(seen))
	}
	for _, e := range world.engines {
		if e.address() == address {
			_, _, leaving := e.state()
			m.checkLeaving(r.at, address, leaving)
		}
	}
}

func (m *monitor) checkLeaving(at time.Time, address string, since time.Time) {
	if since.IsZero() || at.Sub(since) <= leavingBound {
		return
	}
	m.mu.Lock()
	held := !noneOverlaps(m.netFaults, since.Add(-networkSettle), at)
	m.mu.Unlock()
	if !held {
		m.addFinding(CheckLeaving, "backend server %s got a request %v after it began to leave", address, at.Sub(since))
	}
}

// recordAccepted records a revision whose publication was confirmed to an
// operator.
func (m *monitor) recordAccepted(number uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts["publications accepted"]++
	m.accepted = append(m.accepted, revision{number: number, at: time.Now()})
}

// sampleConfig checks a daemon's configuration against the accepted revisions.
// reachable is since when the daemon has been able to reach the log or a peer.
func (m *monitor) sampleConfig(id fleet.DaemonID, number uint64, ready bool, reachable time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if number < m.highestRevision[string(id)] {
		m.addFindingLocked(CheckRevert, "daemon %s went from revision %d back to %d", id, m.highestRevision[string(id)], number)
	}
	m.highestRevision[string(id)] = max(number, m.highestRevision[string(id)])
	for _, r := range m.accepted {
		from := r.at
		if reachable.After(from) {
			from = reachable
		}
		if number >= r.number || now.Sub(from) <= configBound {
			continue
		}
		m.addFindingLocked(CheckConfig, "daemon %s has revision %d (ready: %v), %d was accepted %v ago", id, number, ready, r.number, now.Sub(r.at))
		return
	}
}
