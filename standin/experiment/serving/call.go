package serving

import (
	"time"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
)

const (
	// impatience is when callers who were told nothing come back.
	impatience = time.Second
	// storeTakes is the store's time for one record when it is well.
	storeTakes = 50 * time.Millisecond
	// predictedInterval is the time between tokens that is foreseen.
	predictedInterval = 30 * time.Millisecond
	// queueLook is how often a bounded queue is looked at.
	queueLook = 20 * time.Millisecond
)

// call is one caller's request, with its repeats.
type call struct {
	run    *run
	source *Source
	daemon *daemon
	prompt []uint64
	output int
	keyed  bool

	begun   time.Duration // when it asked this time
	sent    time.Duration // when the first attempt was sent
	repeats int
	ended   bool

	request  routing.Request
	ticket   admission.Ticket
	group    *groupView
	attempts int
	job      *job
	left     int // tokens to generate, over all attempts
	token    time.Duration
}

// begin asks a daemon.
func (c *call) begin() {
	r := c.run
	c.begun = r.loop.now
	c.daemon = r.daemons[r.rng.IntN(len(r.daemons))]
	c.ended, c.ticket, c.group, c.job = false, nil, nil, nil
	c.attempts, c.left, c.token = 0, c.output, 0
	c.request = routing.Request{
		Service: serviceName, Zone: c.daemon.zone,
		PromptTokens: uint32(len(c.prompt) * blockTokens), MaxTokens: longestOutput, Prefixes: c.prompt,
	}
	r.stats.offered(r.loop.now)
	begun := c.begun
	r.loop.after(callerDeadline, func() {
		if !c.ended && c.begun == begun {
			c.fail(0, false)
		}
	})
	c.admit(r.loop.now + r.QueueFor)
}

// admit asks admission until there is room or the wait is over.
func (c *call) admit(until time.Duration) {
	r := c.run
	if c.ended {
		return
	}
	decision := c.choose()
	if c.daemon.admission != nil {
		ticket, failure := c.daemon.admission.Admit(r.at(), c.ask(decision.Wait))
		if failure != nil && failure.Reason == fleet.ReasonOverloaded && r.loop.now+queueLook <= until {
			r.loop.after(queueLook, func() { c.admit(until) })
			return
		}
		if failure != nil {
			c.fail(failure.RetryAfter, true)
			return
		}
		c.ticket = ticket
	}
	if c.daemon.budget != nil {
		c.daemon.budget.Request()
	}
	if c.keyed {
		r.loop.after(r.store(), func() { c.attempt(c.choose()) })
		return
	}
	c.attempt(decision)
}

// ask is the request as admission takes it.
func (c *call) ask(wait time.Duration) admission.Request {
	req := admission.Request{
		Workspace: c.source.Workspace, Service: serviceName, Weight: c.source.Weight,
		PredictedWait: wait, PredictedRun: meanOutput * predictedInterval,
		Capacity: c.run.capacity(c.daemon),
	}
	if !c.run.LimitOnly {
		req.Deadline = epoch.Add(c.begun + callerDeadline)
	}
	return req
}

// store is how long the store takes now.
func (r *run) store() time.Duration {
	if r.loop.now >= r.SlowStoreFrom && r.loop.now < r.SlowStoreTo {
		return r.SlowStore
	}
	return storeTakes
}

func (c *call) choose() routing.Decision {
	if c.daemon.admission != nil {
		c.request.Part = c.daemon.admission.Part(c.run.at(), serviceName, c.source.Workspace)
	}
	return c.daemon.policy.Choose(c.request, c.daemon.snapshot(c.run.loop.now), c.daemon.rng)
}

// attempt sends the request to the chosen group.
func (c *call) attempt(d routing.Decision) {
	if c.ended {
		return
	}
	if d.Chosen == nil {
		c.fail(impatience, true)
		return
	}
	r := c.run
	g := c.view(d.Chosen.Group)
	c.group = g
	if c.attempts == 0 {
		c.sent = r.loop.now
	}
	c.attempts++
	g.started(r.loop.now)
	r.stats.attempt(r.loop.now)
	j := c.newJob()
	c.job = j
	delay := crossZone
	if g.engine.zone == c.daemon.zone {
		delay = sameZone
	}
	r.loop.after(delay, func() { c.send(g.engine, j) })
	if r.Retries.FirstToken > 0 {
		r.loop.after(r.Retries.FirstToken, func() {
			if c.job == j && !j.produced && !c.ended {
				c.attemptFailed(j)
			}
		})
	}
}

// send puts the job on the engine, or finds that it can't.
func (c *call) send(e *engine, j *job) {
	if j.canceled {
		return
	}
	if e.dark {
		c.run.loop.after(connectFails, func() { c.attemptFailed(j) })
		return
	}
	e.submit(j)
}

func (c *call) newJob() *job {
	r := c.run
	j := &job{prompt: c.prompt, outputLeft: c.left, low: c.ticket != nil && c.ticket.Borrowed()}
	j.onCached = func(blocks int) { r.stats.cached(r.loop.now, blocks, len(c.prompt)) }
	j.onToken = func(first bool, interval time.Duration) {
		c.left--
		if c.token == 0 {
			c.token = r.loop.now
			r.stats.firstToken(c.source, r.loop.now, r.loop.now-c.begun)
			r.stats.delay(c.source, r.loop.now, r.loop.now-c.begun, j.delay)
		} else if !first {
			r.stats.interval(r.loop.now, interval)
		}
	}
	j.onEnd = func() { c.succeed() }
	j.onFail = func() { c.attemptFailed(j) }
	return j
}

// attemptFailed repeats the attempt elsewhere, if it may.
func (c *call) attemptFailed(j *job) {
	if c.ended || c.job != j {
		return
	}
	j.canceled = true
	c.group.own--
	group := c.group
	c.group, c.job = nil, nil
	retries := c.run.Retries
	c.request.Tried = append(c.request.Tried, group.engine.group)
	if retries.AvoidFabric {
		c.request.AvoidFabric = append(c.request.AvoidFabric, group.engine.fabric)
	}
	if c.attempts > retries.Most || (c.daemon.budget != nil && !c.daemon.budget.Allow()) {
		c.fail(impatience, false)
		return
	}
	c.run.stats.retry(c.run.loop.now)
	c.attempt(c.choose())
}

// succeed ends the call with its whole answer.
func (c *call) succeed() {
	r := c.run
	c.close(false)
	r.stats.answered(c.source, r.loop.now, r.loop.now-c.begun)
}

// fail ends the call and lets its caller come back.
func (c *call) fail(retryAfter time.Duration, refused bool) {
	r := c.run
	c.close(true)
	r.stats.failed(c.source, r.loop.now, refused)
	if c.repeats >= c.source.Repeats {
		return
	}
	if c.source.Impatient || retryAfter == 0 {
		retryAfter = impatience
	}
	c.repeats++
	r.loop.after(retryAfter, c.begin)
}

// close gives back what the call holds.
func (c *call) close(failed bool) {
	c.ended = true
	if c.job != nil {
		c.job.canceled = true
		c.job = nil
	}
	if c.group != nil {
		c.group.own--
		c.group = nil
	}
	if c.ticket == nil {
		return
	}
	res := admission.Result{Total: c.run.loop.now - c.sent, Failed: failed}
	if c.token > 0 {
		res.FirstToken = c.token - c.sent
	}
	c.ticket.Release(c.run.at(), res)
	c.ticket = nil
}

// view returns the daemon's view of a group.
func (c *call) view(id fleet.GroupID) *groupView {
	for _, g := range c.daemon.groups {
		if g.engine.group == id {
			return g
		}
	}
	return nil
}
