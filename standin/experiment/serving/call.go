package serving

import (
	"time"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
)

const (
	// defaultRetryDelay is the retry delay of callers without a Retry-After.
	defaultRetryDelay = time.Second
	// storeLatency is the latency of one record at a healthy store.
	storeLatency = 50 * time.Millisecond
	// predictedInterval is the predicted time between tokens.
	predictedInterval = 30 * time.Millisecond
	// queuePollInterval is how often a queued call retries admission.
	queuePollInterval = 20 * time.Millisecond
)

// call is one caller's request, including its repeats.
type call struct {
	run    *run
	source *Source
	daemon *daemon
	prompt []uint64
	output int
	keyed  bool

	startedAt   time.Duration // start of the current repeat
	firstSentAt time.Duration // when the first attempt was sent
	repeats     int
	ended       bool

	request      routing.Request
	ticket       admission.Ticket
	group        *groupView
	attempts     int
	job          *job
	tokensLeft   int // remaining tokens over all attempts
	firstTokenAt time.Duration
}

// start sends the call to a random daemon and sets its deadline.
func (c *call) start() {
	r := c.run
	c.startedAt = r.loop.now
	c.daemon = r.daemons[r.rng.IntN(len(r.daemons))]
	c.ended, c.ticket, c.group, c.job = false, nil, nil, nil
	c.attempts, c.tokensLeft, c.firstTokenAt = 0, c.output, 0
	c.request = routing.Request{
		Service: serviceName, Zone: c.daemon.zone,
		PromptTokens: uint32(len(c.prompt) * blockTokens), MaxTokens: maxOutput, Prefixes: c.prompt,
	}
	r.stats.offered(r.loop.now)
	startedAt := c.startedAt
	r.loop.after(callerDeadline, func() {
		if !c.ended && c.startedAt == startedAt {
			c.fail(0, false)
		}
	})
	c.admit(r.loop.now + r.QueueFor)
}

// admit retries admission until the call is admitted or until is reached.
func (c *call) admit(until time.Duration) {
	r := c.run
	if c.ended {
		return
	}
	decision := c.choose()
	if c.daemon.admission != nil {
		ticket, failure := c.daemon.admission.Admit(r.wallTime(), c.admissionRequest(decision.Wait))
		if failure != nil && failure.Reason == fleet.ReasonOverloaded && r.loop.now+queuePollInterval <= until {
			r.loop.after(queuePollInterval, func() { c.admit(until) })
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
		r.loop.after(r.currentStoreLatency(), func() { c.attempt(c.choose()) })
		return
	}
	c.attempt(decision)
}

// admissionRequest returns the call's request to admission.
func (c *call) admissionRequest(wait time.Duration) admission.Request {
	req := admission.Request{
		Workspace: c.source.Workspace, Service: serviceName, Weight: c.source.Weight,
		PredictedWait: wait, PredictedRun: meanOutput * predictedInterval,
		Capacity: c.run.capacity(c.daemon),
	}
	if !c.run.LimitOnly {
		req.Deadline = epoch.Add(c.startedAt + callerDeadline)
	}
	return req
}

// currentStoreLatency returns the current latency of the store.
func (r *run) currentStoreLatency() time.Duration {
	if r.loop.now >= r.SlowStoreFrom && r.loop.now < r.SlowStoreTo {
		return r.SlowStore
	}
	return storeLatency
}

func (c *call) choose() routing.Decision {
	if c.daemon.admission != nil {
		c.request.Groups = c.daemon.admission.GroupRange(c.run.wallTime(), serviceName, c.source.Workspace)
	}
	return c.daemon.policy.Choose(c.request, c.daemon.snapshot(c.run.loop.now), c.daemon.rng)
}

// attempt sends the request to the chosen group.
func (c *call) attempt(d routing.Decision) {
	if c.ended {
		return
	}
	if d.Chosen == nil {
		c.fail(defaultRetryDelay, true)
		return
	}
	r := c.run
	g := c.groupView(d.Chosen.Group)
	c.group = g
	if c.attempts == 0 {
		c.firstSentAt = r.loop.now
	}
	c.attempts++
	g.recordDispatch(r.loop.now)
	r.stats.attempt(r.loop.now)
	j := c.newJob()
	c.job = j
	delay := crossZoneLatency
	if g.engine.zone == c.daemon.zone {
		delay = sameZoneLatency
	}
	r.loop.after(delay, func() { c.send(g.engine, j) })
	if r.Retries.FirstTokenTimeout > 0 {
		r.loop.after(r.Retries.FirstTokenTimeout, func() {
			if c.job == j && !j.hasOutput && !c.ended {
				c.attemptFailed(j)
			}
		})
	}
}

// send submits the job to the engine. If the engine is down, the connection times
// out.
func (c *call) send(e *engine, j *job) {
	if j.canceled {
		return
	}
	if e.down {
		c.run.loop.after(connectTimeout, func() { c.attemptFailed(j) })
		return
	}
	e.submit(j)
}

func (c *call) newJob() *job {
	r := c.run
	j := &job{prompt: c.prompt, outputLeft: c.tokensLeft, lowPriority: c.ticket != nil && c.ticket.OverShare()}
	j.onCached = func(blocks int) { r.stats.cached(r.loop.now, blocks, len(c.prompt)) }
	j.onToken = func(first bool, interval time.Duration) {
		c.tokensLeft--
		if c.firstTokenAt == 0 {
			c.firstTokenAt = r.loop.now
			r.stats.firstToken(c.source, r.loop.now, r.loop.now-c.startedAt)
			r.stats.delay(c.source, r.loop.now, r.loop.now-c.startedAt, j.delay)
		} else if !first {
			r.stats.interval(r.loop.now, interval)
		}
	}
	j.onEnd = func() { c.succeed() }
	j.onFail = func() { c.attemptFailed(j) }
	return j
}

// attemptFailed retries the request on another group, within the limits on
// retries.
func (c *call) attemptFailed(j *job) {
	if c.ended || c.job != j {
		return
	}
	j.canceled = true
	c.group.own--
	group := c.group
	c.group, c.job = nil, nil
	retries := c.run.Retries
	c.request.FailedGroups = append(c.request.FailedGroups, group.engine.group)
	if retries.AvoidFabric {
		c.request.AvoidFabric = append(c.request.AvoidFabric, group.engine.fabric)
	}
	if c.attempts > retries.MaxRetries || (c.daemon.budget != nil && !c.daemon.budget.Allow()) {
		c.fail(defaultRetryDelay, false)
		return
	}
	c.run.stats.retry(c.run.loop.now)
	c.attempt(c.choose())
}

// succeed ends the call with a complete answer.
func (c *call) succeed() {
	r := c.run
	c.release(false)
	r.stats.answered(c.source, r.loop.now, r.loop.now-c.startedAt)
}

// fail ends the call and schedules its caller's next repeat, if any.
func (c *call) fail(retryAfter time.Duration, refused bool) {
	r := c.run
	c.release(true)
	r.stats.failed(c.source, r.loop.now, refused)
	if c.repeats >= c.source.Repeats {
		return
	}
	if c.source.IgnoresRetryAfter || retryAfter == 0 {
		retryAfter = defaultRetryDelay
	}
	c.repeats++
	r.loop.after(retryAfter, c.start)
}

// release ends the call and releases its job, group and admission ticket.
func (c *call) release(failed bool) {
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
	res := admission.Result{Total: c.run.loop.now - c.firstSentAt, Failed: failed}
	if c.firstTokenAt > 0 {
		res.FirstToken = c.firstTokenAt - c.firstSentAt
	}
	c.ticket.Release(c.run.wallTime(), res)
	c.ticket = nil
}

// groupView returns the daemon's view of a group.
func (c *call) groupView(id fleet.GroupID) *groupView {
	for _, g := range c.daemon.groups {
		if g.engine.group == id {
			return g
		}
	}
	return nil
}
