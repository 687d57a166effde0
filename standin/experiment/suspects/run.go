package suspects

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/suspect"
)

// event is a function that runs at one point in virtual time.
type event struct {
	at  time.Duration
	seq int // orders events of the same time
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type group struct {
	id       fleet.GroupID
	epoch    fleet.Epoch
	fabric   fleet.FabricDomain
	alive    bool
	reserved bool             // runs one suspect request alone
	attempts map[*request]int // attempt number by request in flight
}

type request struct {
	number       int
	fingerprint  suspect.Fingerprint
	crashesGroup bool
	daemon       int
	attempts     int
	tried        []*group
	sends        int
	runTime      time.Duration
}

type run struct {
	scenario  Scenario
	policy    suspect.Policy
	rng       *rand.Rand
	now       time.Duration
	queue     events
	seq       int
	groups    []*group
	histories []*suspect.History
	sightings uint64
	outcome   Outcome
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func (r *run) wallTime() time.Time { return epoch.Add(r.now) }

// Run simulates one scenario under one policy. The load and the faults depend on
// the seed alone.
func Run(s Scenario, p suspect.Policy, seed uint64) Outcome {
	r := &run{scenario: s, policy: p, rng: rand.New(rand.NewPCG(seed, 1))}
	groupsByDomain := map[fleet.FabricDomain]int{}
	for d := range s.Domains {
		fabric := fleet.FabricDomain(fmt.Sprint("f", d))
		groupsByDomain[fabric] = s.Groups
		for g := range s.Groups {
			r.groups = append(r.groups, &group{
				id: fleet.GroupID(fmt.Sprintf("g%d-%d", d, g)), epoch: 1, fabric: fabric, alive: true, attempts: map[*request]int{},
			})
		}
	}
	for range s.Daemons {
		h := suspect.NewHistory(epoch)
		h.SetGroups(groupsByDomain)
		r.histories = append(r.histories, h)
	}
	r.scheduleLoadAndFaults(rand.New(rand.NewPCG(seed, 2)))
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.run()
	}
	return r.outcome
}

// schedule runs a function at a point in virtual time.
func (r *run) schedule(t time.Duration, do func()) {
	r.seq++
	heap.Push(&r.queue, event{at: t, seq: r.seq, run: do})
}

func (r *run) scheduleAfter(d time.Duration, do func()) { r.schedule(r.now+d, do) }

// scheduleLoadAndFaults draws the requests and the faults of the run.
func (r *run) scheduleLoadAndFaults(rnd *rand.Rand) {
	for t := time.Duration(0); t < r.scenario.Duration; t += time.Duration(rnd.ExpFloat64() / r.scenario.Rate * float64(time.Second)) {
		q := &request{number: r.seq, fingerprint: suspect.Fingerprint(rnd.Uint64() | 1<<63), daemon: rnd.IntN(r.scenario.Daemons)}
		if rnd.Float64() < r.scenario.Popular {
			q.fingerprint = suspect.Fingerprint(rnd.IntN(popularBodies) + 1)
		}
		q.runTime = uniform(rnd, 4*time.Second, 16*time.Second)
		r.schedule(t, func() { r.send(q) })
	}
	randomTime := func() time.Duration { return time.Duration(rnd.Int64N(int64(r.scenario.Duration))) }
	for i := range r.scenario.Crashers {
		q := &request{number: -1 - i, fingerprint: suspect.Fingerprint(1000 + i), crashesGroup: true, daemon: rnd.IntN(r.scenario.Daemons)}
		r.schedule(randomTime(), func() { r.send(q) })
	}
	for range r.scenario.Deaths {
		g := r.groups[rnd.IntN(len(r.groups))]
		r.schedule(randomTime(), func() { r.killGroup(g) })
	}
	for range r.scenario.DomainOutages {
		r.failDomain(randomTime(), rnd.IntN(r.scenario.Domains), rnd)
	}
	for range r.scenario.ZoneOutages {
		at := randomTime()
		first := rnd.IntN(r.scenario.Domains)
		for d := range zoneDomains {
			r.failDomain(at, (first+d)%r.scenario.Domains, rnd)
		}
	}
}

// failDomain kills all groups of a domain within five seconds.
func (r *run) failDomain(at time.Duration, domain int, rnd *rand.Rand) {
	for _, g := range r.groups[domain*r.scenario.Groups : (domain+1)*r.scenario.Groups] {
		r.schedule(at+uniform(rnd, 0, 5*time.Second), func() { r.killGroup(g) })
	}
}

func uniform(rnd *rand.Rand, a, b time.Duration) time.Duration {
	return a + time.Duration(rnd.Int64N(int64(b-a)))
}

// send receives a caller's request at a daemon.
func (r *run) send(q *request) {
	q.sends++
	q.attempts, q.tried = 0, nil
	if !q.crashesGroup {
		r.outcome.Requests++
	}
	r.startAttempt(q)
}

// startAttempt starts an attempt of a request, or ends the request.
func (r *run) startAttempt(q *request) {
	h := r.histories[q.daemon]
	standing := suspect.Clear
	if h.HasDeaths(q.fingerprint) {
		standing = r.policy.Assess(h.Evidence(q.fingerprint, r.wallTime())).Standing
		h.SetConvicted(q.fingerprint, standing == suspect.Convicted)
	}
	if standing == suspect.Convicted {
		r.finish(q, &r.outcome.Refused)
		return
	}
	g := r.pick(q, standing == suspect.Alone)
	switch {
	case g == nil && standing == suspect.Alone:
		r.finish(q, &r.outcome.NoIdle)
		return
	case g == nil || q.attempts == maxAttempts:
		r.finish(q, &r.outcome.Failed)
		return
	}
	r.runAttempt(q, g, standing == suspect.Alone)
}

// pick returns the less loaded of two random groups, from a fabric domain that
// the request has not tried if there is one.
func (r *run) pick(q *request, alone bool) *group {
	var fresh, rest []*group
	for _, g := range r.groups {
		if !g.alive || g.reserved || (alone && len(g.attempts) > 0) || triedGroup(q, g) {
			continue
		}
		if triedDomain(q, g) {
			rest = append(rest, g)
			continue
		}
		fresh = append(fresh, g)
	}
	if len(fresh) == 0 {
		fresh = rest
	}
	if len(fresh) == 0 {
		return nil
	}
	a, b := fresh[r.rng.IntN(len(fresh))], fresh[r.rng.IntN(len(fresh))]
	if len(b.attempts) < len(a.attempts) {
		return b
	}
	return a
}

func triedGroup(q *request, g *group) bool {
	for _, t := range q.tried {
		if t == g {
			return true
		}
	}
	return false
}

func triedDomain(q *request, g *group) bool {
	for _, t := range q.tried {
		if t.fabric == g.fabric {
			return true
		}
	}
	return false
}

func (q *request) subjects() suspect.Subjects { return suspect.Subjects{Request: q.fingerprint} }

func (r *run) runAttempt(q *request, g *group, alone bool) {
	q.attempts++
	q.tried = append(q.tried, g)
	g.attempts[q] = q.attempts
	g.reserved = alone
	r.histories[q.daemon].Started(g.id, g.epoch, q.subjects(), r.wallTime())
	attempt, ep := q.attempts, g.epoch
	if q.crashesGroup && r.rng.Float64() < crashProbability {
		r.scheduleAfter(uniform(r.rng, time.Second, 4*time.Second), func() {
			if g.epoch == ep && g.alive && g.attempts[q] == attempt {
				r.outcome.Crashed++
				r.killGroup(g)
			}
		})
		return
	}
	runTime := q.runTime
	if q.crashesGroup {
		runTime = uniform(r.rng, 4*time.Second, 16*time.Second)
	}
	r.scheduleAfter(runTime, func() {
		if g.epoch == ep && g.alive && g.attempts[q] == attempt {
			delete(g.attempts, q)
			g.reserved = false
			r.histories[q.daemon].Ended(g.id, ep, q.subjects(), true, r.wallTime())
			r.finish(q, nil)
		}
	})
}

// finish ends a request. The caller of a crashing request sends it again later,
// to a random daemon, as a load balancer would.
func (r *run) finish(q *request, count *int) {
	if !q.crashesGroup {
		if count != nil {
			*count++
		}
		return
	}
	if q.sends < maxCrashSends {
		q.daemon = r.rng.IntN(r.scenario.Daemons)
		r.scheduleAfter(uniform(r.rng, 2*time.Second, 10*time.Second), func() { r.send(q) })
	}
}

// killGroup kills a group. Each daemon detects the loss after a delay of its own.
func (r *run) killGroup(g *group) {
	if !g.alive {
		return
	}
	r.outcome.Lost++
	g.alive, g.reserved = false, false
	ep := g.epoch
	byDaemon := make([][]*request, r.scenario.Daemons)
	for q := range g.attempts {
		byDaemon[q.daemon] = append(byDaemon[q.daemon], q)
	}
	g.attempts = map[*request]int{}
	for d, requests := range byDaemon {
		sortByNumber(requests)
		r.scheduleAfter(uniform(r.rng, 200*time.Millisecond, 1500*time.Millisecond), func() { r.detectLoss(d, g, ep, requests) })
	}
	r.scheduleAfter(repairTime, func() {
		g.epoch++
		g.alive = true
	})
}

// sortByNumber sorts requests, as a run may depend only on its seed and not on
// the order of a map.
func sortByNumber(requests []*request) {
	for i := range requests {
		for j := i; j > 0 && requests[j].number < requests[j-1].number; j-- {
			requests[j], requests[j-1] = requests[j-1], requests[j]
		}
	}
}

// detectLoss records the loss of a group at one daemon, gossips the sighting to
// its peers and retries the daemon's requests.
func (r *run) detectLoss(d int, g *group, ep fleet.Epoch, requests []*request) {
	h := r.histories[d]
	s, _ := h.GroupDied(g.id, ep, g.fabric, "svc", r.wallTime())
	r.sightings++
	binary.LittleEndian.PutUint64(s.ID[:], r.sightings)
	r.scheduleAfter(gossipDelay, func() {
		for peer, ph := range r.histories {
			if peer != d {
				ph.Observe(s, r.wallTime())
			}
		}
	})
	for _, q := range requests {
		h.Ended(g.id, ep, q.subjects(), false, r.wallTime())
		r.startAttempt(q)
	}
}
