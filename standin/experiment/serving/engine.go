package serving

import (
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Parameters of the engine model. A step reads up to prefillChunk prompt tokens
// and generates one token for each running request whose prompt is read.
const (
	maxRunning    = 40
	prefillChunk  = 256                    // prompt tokens per step
	stepBase      = 15 * time.Millisecond  // fixed cost of a step
	stepRequest   = 250 * time.Microsecond // cost of each generating request
	stepPrompt    = 50 * time.Microsecond  // cost of each prompt token
	blockTokens   = 64                     // prompt tokens per cache block
	cacheBlocks   = 1500                   // cache capacity of an engine in blocks
	rateSmoothing = 0.05
)

// job is one attempt at an engine.
type job struct {
	prompt      []uint64 // blocks
	promptLeft  int      // prompt tokens left to read, set on admission
	chunk       int      // prompt tokens read in the current step
	outputLeft  int
	hasOutput   bool // the first token was generated
	lastTokenAt time.Duration
	canceled    bool
	lowPriority bool
	submitted   time.Duration
	delay       Delay // breakdown of the time to first token

	// onCached receives the number of cached blocks of the prompt.
	onCached func(blocks int)
	// onToken is called for each generated token; the first has no interval.
	onToken func(first bool, interval time.Duration)
	onEnd   func()
	onFail  func()
}

// engine is the engine of one group.
type engine struct {
	loop   *loop
	group  fleet.GroupID
	zone   fleet.Zone
	fabric fleet.FabricDomain
	slow   float64 // factor on the duration of each step, 1 for a healthy group
	down   bool

	running []*job
	queue   []*job
	cache   *prefixCache
	busy    bool
	rate    float64 // smoothed tokens per second while busy
	ended   int

	// onCache receives the blocks that entered and left the cache.
	onCache func(added, evicted []uint64)
}

// submit queues a job, ahead of jobs with lower priority.
func (e *engine) submit(j *job) {
	at := len(e.queue)
	for !j.lowPriority && at > 0 && e.queue[at-1].lowPriority {
		at--
	}
	j.submitted = e.loop.now
	e.queue = slices.Insert(e.queue, at, j)
	if !e.busy {
		e.step()
	}
}

// step starts one step and schedules its end.
func (e *engine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	read, generating := e.prefill()
	duration := stepBase + time.Duration(generating)*stepRequest + time.Duration(read)*stepPrompt
	duration = time.Duration(float64(duration) * e.slow)
	e.loop.after(duration, func() { e.finishStep(duration) })
}

// admit moves queued jobs into the batch and drops canceled ones.
func (e *engine) admit() {
	e.running = removeIf(e.running, func(j *job) bool { return j.canceled })
	e.queue = removeIf(e.queue, func(j *job) bool { return j.canceled })
	for len(e.running) < maxRunning && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		cached := e.cache.match(j.prompt)
		j.onCached(cached)
		j.promptLeft = max((len(j.prompt)-cached)*blockTokens, 1)
		j.delay.Queue = e.loop.now - j.submitted
		j.delay.Uncached = j.promptLeft
		j.delay.Running = len(e.running)
		e.running = append(e.running, j)
	}
}

// prefill reads one chunk of prompts, in order of priority. It returns the number
// of tokens read and the number of generating jobs.
func (e *engine) prefill() (read, generating int) {
	for _, j := range e.running {
		j.chunk = 0
	}
	for _, low := range []bool{false, true} {
		for _, j := range e.running {
			if j.lowPriority != low {
				continue
			}
			j.chunk = min(j.promptLeft, prefillChunk-read)
			j.promptLeft -= j.chunk
			read += j.chunk
			if j.promptLeft == 0 {
				generating++
			}
		}
	}
	for _, j := range e.running {
		if !j.hasOutput {
			j.delay.addStep(j.chunk, read, generating)
		}
	}
	return read, generating
}

// finishStep ends a step with one token for each generating job.
func (e *engine) finishStep(duration time.Duration) {
	if e.down {
		return
	}
	tokens := 0
	for _, j := range e.running {
		if j.promptLeft > 0 || j.canceled {
			continue
		}
		tokens++
		e.emitToken(j)
	}
	rate := float64(tokens) / duration.Seconds()
	e.rate += rateSmoothing * (rate - e.rate)
	e.running = removeIf(e.running, func(j *job) bool { return j.outputLeft == 0 })
	e.step()
}

// emitToken generates one token of a job.
func (e *engine) emitToken(j *job) {
	first := !j.hasOutput
	if first {
		added, evicted := e.cache.add(j.prompt)
		e.onCache(added, evicted)
	}
	j.onToken(first, e.loop.now-j.lastTokenAt)
	j.hasOutput = true
	j.lastTokenAt = e.loop.now
	j.outputLeft--
	if j.outputLeft == 0 {
		e.ended++
		j.onEnd()
	}
}

// fail takes the group down. Its jobs fail after a detection delay.
func (e *engine) fail(detect func() time.Duration) {
	e.down = true
	lost := append(append([]*job{}, e.running...), e.queue...)
	e.running, e.queue = nil, nil
	for _, j := range lost {
		e.loop.after(detect(), func() {
			if !j.canceled {
				j.onFail()
			}
		})
	}
}

// restart restarts the group with an empty cache.
func (e *engine) restart() {
	e.down, e.busy = false, false
	e.cache = newPrefixCache(cacheBlocks)
	e.rate = 0
}

// pendingTokens returns the number of tokens left to generate.
func (e *engine) pendingTokens() uint64 {
	sum := 0
	for _, j := range e.running {
		sum += j.outputLeft
	}
	for _, j := range e.queue {
		sum += j.outputLeft
	}
	return uint64(sum)
}

// removeIf removes the items for which drop returns true from the list, in place.
func removeIf[T any](list []T, drop func(T) bool) []T {
	kept := list[:0]
	for _, item := range list {
		if !drop(item) {
			kept = append(kept, item)
		}
	}
	clear(list[len(kept):])
	return kept
}
