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

// event is something that happens at a moment of the run.
type event struct {
	at  time.Duration
	seq int // keeps the order of events at one moment
	do  func()
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
	id     fleet.GroupID
	epoch  fleet.Epoch
	fabric fleet.FabricDomain
	alive  bool
	alone  bool
	runs   map[*request]int // the daemon's attempt number
}

type request struct {
	number   int
	print    suspect.Fingerprint
	crashes  bool
	daemon   int
	attempts int
	tried    []*group
	sends    int
	took     time.Duration
}

type run struct {
	s         Scenario
	policy    suspect.Policy
	rnd       *rand.Rand
	now       time.Duration
	queue     events
	seq       int
	groups    []*group
	histories []*suspect.History
	sightings uint64
	out       Outcome
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func (r *run) clock() time.Time { return epoch.Add(r.now) }

// Run plays one scenario under one policy. The load and faults depend on the
// seed alone.
func Run(s Scenario, p suspect.Policy, seed uint64) Outcome {
	r := &run{s: s, policy: p, rnd: rand.New(rand.NewPCG(seed, 1))}
	places := map[fleet.FabricDomain]int{}
	for d := range s.Domains {
		fabric := fleet.FabricDomain(fmt.Sprint("f", d))
		places[fabric] = s.Groups
		for g := range s.Groups {
			r.groups = append(r.groups, &group{
				id: fleet.GroupID(fmt.Sprintf("g%d-%d", d, g)), epoch: 1, fabric: fabric, alive: true, runs: map[*request]int{},
			})
		}
	}
	for range s.Daemons {
		h := suspect.NewHistory(epoch)
		h.SetGroups(places)
		r.histories = append(r.histories, h)
	}
	r.plan(rand.New(rand.NewPCG(seed, 2)))
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.do()
	}
	return r.out
}

func (r *run) at(t time.Duration, do func()) {
	r.seq++
	heap.Push(&r.queue, event{at: t, seq: r.seq, do: do})
}

func (r *run) after(d time.Duration, do func()) { r.at(r.now+d, do) }

// plan draws load and faults.
func (r *run) plan(rnd *rand.Rand) {
	for t := time.Duration(0); t < r.s.Span; t += time.Duration(rnd.ExpFloat64() / r.s.Rate * float64(time.Second)) {
		q := &request{number: r.seq, print: suspect.Fingerprint(rnd.Uint64() | 1<<63), daemon: rnd.IntN(r.s.Daemons)}
		if rnd.Float64() < r.s.Popular {
			q.print = suspect.Fingerprint(rnd.IntN(popularBodies) + 1)
		}
		q.took = between(rnd, 4*time.Second, 16*time.Second)
		r.at(t, func() { r.send(q) })
	}
	moment := func() time.Duration { return time.Duration(rnd.Int64N(int64(r.s.Span))) }
	for i := range r.s.Crashers {
		q := &request{number: -1 - i, print: suspect.Fingerprint(1000 + i), crashes: true, daemon: rnd.IntN(r.s.Daemons)}
		r.at(moment(), func() { r.send(q) })
	}
	for range r.s.Deaths {
		g := r.groups[rnd.IntN(len(r.groups))]
		r.at(moment(), func() { r.die(g) })
	}
	for range r.s.Dark {
		r.dark(moment(), rnd.IntN(r.s.Domains), rnd)
	}
	for range r.s.Zones {
		at := moment()
		first := rnd.IntN(r.s.Domains)
		for d := range zoneDomains {
			r.dark(at, (first+d)%r.s.Domains, rnd)
		}
	}
}

// dark lets all groups of a domain die within seconds.
func (r *run) dark(at time.Duration, domain int, rnd *rand.Rand) {
	for _, g := range r.groups[domain*r.s.Groups : (domain+1)*r.s.Groups] {
		r.at(at+between(rnd, 0, 5*time.Second), func() { r.die(g) })
	}
}

func between(rnd *rand.Rand, a, b time.Duration) time.Duration {
	return a + time.Duration(rnd.Int64N(int64(b-a)))
}

// send is a caller's request at a daemon.
func (r *run) send(q *request) {
	q.sends++
	q.attempts, q.tried = 0, nil
	if !q.crashes {
		r.out.Requests++
	}
	r.try(q)
}

// try starts one attempt, or ends the request.
func (r *run) try(q *request) {
	h := r.histories[q.daemon]
	standing := suspect.Clear
	if h.Touched(q.print) {
		standing = r.policy.Assess(h.Evidence(q.print, r.clock())).Standing
		h.SetConvicted(q.print, standing == suspect.Convicted)
	}
	if standing == suspect.Convicted {
		r.finish(q, &r.out.Refused)
		return
	}
	g := r.pick(q, standing == suspect.Alone)
	switch {
	case g == nil && standing == suspect.Alone:
		r.finish(q, &r.out.NoIdle)
		return
	case g == nil || q.attempts == maxAttempts:
		r.finish(q, &r.out.Failed)
		return
	}
	r.start(q, g, standing == suspect.Alone)
}

// pick takes the less loaded of two groups, of a fabric domain that was not
// tried where there is one.
func (r *run) pick(q *request, alone bool) *group {
	var fresh, rest []*group
	for _, g := range r.groups {
		if !g.alive || g.alone || (alone && len(g.runs) > 0) || tried(q, g) {
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
	a, b := fresh[r.rnd.IntN(len(fresh))], fresh[r.rnd.IntN(len(fresh))]
	if len(b.runs) < len(a.runs) {
		return b
	}
	return a
}

func tried(q *request, g *group) bool {
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

func (r *run) start(q *request, g *group, alone bool) {
	q.attempts++
	q.tried = append(q.tried, g)
	g.runs[q] = q.attempts
	g.alone = alone
	r.histories[q.daemon].Started(g.id, g.epoch, q.print, r.clock())
	attempt, ep := q.attempts, g.epoch
	if q.crashes && r.rnd.Float64() < crashChance {
		r.after(between(r.rnd, time.Second, 4*time.Second), func() {
			if g.epoch == ep && g.alive && g.runs[q] == attempt {
				r.out.Crashed++
				r.die(g)
			}
		})
		return
	}
	took := q.took
	if q.crashes {
		took = between(r.rnd, 4*time.Second, 16*time.Second)
	}
	r.after(took, func() {
		if g.epoch == ep && g.alive && g.runs[q] == attempt {
			delete(g.runs, q)
			g.alone = false
			r.histories[q.daemon].Ended(g.id, ep, q.print, r.clock())
			r.finish(q, nil)
		}
	})
}

// finish ends a request; a crashing one's caller sends it again later,
// wherever the balancer leads it.
func (r *run) finish(q *request, count *int) {
	if !q.crashes {
		if count != nil {
			*count++
		}
		return
	}
	if q.sends < crashSends {
		q.daemon = r.rnd.IntN(r.s.Daemons)
		r.after(between(r.rnd, 2*time.Second, 10*time.Second), func() { r.send(q) })
	}
}

// die kills a group; each daemon with requests there notices on its own.
func (r *run) die(g *group) {
	if !g.alive {
		return
	}
	r.out.Lost++
	g.alive, g.alone = false, false
	ep := g.epoch
	byDaemon := make([][]*request, r.s.Daemons)
	for q := range g.runs {
		byDaemon[q.daemon] = append(byDaemon[q.daemon], q)
	}
	g.runs = map[*request]int{}
	for d, requests := range byDaemon {
		order(requests)
		r.after(between(r.rnd, 200*time.Millisecond, 1500*time.Millisecond), func() { r.notice(d, g, ep, requests) })
	}
	r.after(repair, func() {
		g.epoch++
		g.alive = true
	})
}

// order sorts requests, so that a run depends on nothing but its seed.
func order(requests []*request) {
	for i := range requests {
		for j := i; j > 0 && requests[j].number < requests[j-1].number; j-- {
			requests[j], requests[j-1] = requests[j-1], requests[j]
		}
	}
}

// notice is one daemon's sighting of a death, which peers hear of later; its
// requests go elsewhere.
func (r *run) notice(d int, g *group, ep fleet.Epoch, requests []*request) {
	h := r.histories[d]
	in, _ := h.Died(g.id, ep, g.fabric, "svc", r.clock())
	s := suspect.Sighting{Group: g.id, Epoch: ep, Fabric: g.fabric, Service: "svc", InFlight: in, At: r.clock()}
	r.sightings++
	binary.LittleEndian.PutUint64(s.ID[:], r.sightings)
	r.after(gossip, func() {
		for peer, ph := range r.histories {
			if peer != d {
				ph.Observe(s, r.clock())
			}
		}
	})
	for _, q := range requests {
		h.Ended(g.id, ep, q.print, r.clock())
		r.try(q)
	}
}
