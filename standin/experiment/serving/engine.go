package serving

import (
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// The engine model. A step reads up to prefillChunk prompt tokens and
// generates one token for each running request that has read its prompt.
const (
	maxRunning    = 40
	prefillChunk  = 256                    // prompt tokens a step
	stepBase      = 15 * time.Millisecond  // a step with nothing to do
	stepRequest   = 250 * time.Microsecond // each request that generates
	stepPrompt    = 50 * time.Microsecond  // each prompt token
	blockTokens   = 64                     // prompt tokens a cache block
	cacheBlocks   = 1500                   // blocks an engine caches
	rateSmoothing = 0.05
)

// job is one attempt at an engine.
type job struct {
	prompt     []uint64 // blocks
	promptLeft int      // tokens to read, set when it starts
	chunk      int      // tokens read in this step
	outputLeft int
	produced   bool // a token was generated
	last       time.Duration
	canceled   bool
	low        bool // priority
	submitted  time.Duration
	delay      Delay // to the first token

	// onCached tells how many blocks of the prompt were cached.
	onCached func(blocks int)
	// onToken tells of a generated token; the first has no interval.
	onToken func(first bool, interval time.Duration)
	onEnd   func()
	onFail  func()
}

// engine is one group, as seen by those who send it requests.
type engine struct {
	loop   *loop
	group  fleet.GroupID
	zone   fleet.Zone
	fabric fleet.FabricDomain
	slow   float64 // factor of each step's time, 1 for a healthy group
	dark   bool

	running []*job
	queue   []*job
	cache   *prefixCache
	busy    bool
	rate    float64 // tokens a second when busy
	ended   int

	// onCache tells of blocks that entered and left the cache.
	onCache func(added, evicted []uint64)
}

// submit queues a job.
func (e *engine) submit(j *job) {
	at := len(e.queue)
	for !j.low && at > 0 && e.queue[at-1].low {
		at--
	}
	j.submitted = e.loop.now
	e.queue = slices.Insert(e.queue, at, j)
	if !e.busy {
		e.step()
	}
}

// step plans one step and what follows it.
func (e *engine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	read, generating := e.readPrompts()
	took := stepBase + time.Duration(generating)*stepRequest + time.Duration(read)*stepPrompt
	took = time.Duration(float64(took) * e.slow)
	e.loop.after(took, func() { e.finish(took) })
}

// admit moves queued jobs into the batch and drops canceled ones.
func (e *engine) admit() {
	e.running = without(e.running, func(j *job) bool { return j.canceled })
	e.queue = without(e.queue, func(j *job) bool { return j.canceled })
	for len(e.running) < maxRunning && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		cached := e.cache.match(j.prompt)
		j.onCached(cached)
		j.promptLeft = max((len(j.prompt)-cached)*blockTokens, 1)
		j.delay.Queue = e.loop.now - j.submitted
		j.delay.Uncached = j.promptLeft
		j.delay.Beside = len(e.running)
		e.running = append(e.running, j)
	}
}

// readPrompts reads one chunk, higher priority first, and returns its tokens and the number of jobs
// that generate.
func (e *engine) readPrompts() (read, generating int) {
	for _, j := range e.running {
		j.chunk = 0
	}
	for _, low := range []bool{false, true} {
		for _, j := range e.running {
			if j.low != low {
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
		if !j.produced {
			j.delay.step(j.chunk, read, generating)
		}
	}
	return read, generating
}

// finish ends a step: one token for each job that generates.
func (e *engine) finish(took time.Duration) {
	if e.dark {
		return
	}
	tokens := 0
	for _, j := range e.running {
		if j.promptLeft > 0 || j.canceled {
			continue
		}
		tokens++
		e.generate(j)
	}
	now := float64(tokens) / took.Seconds()
	e.rate += rateSmoothing * (now - e.rate)
	e.running = without(e.running, func(j *job) bool { return j.outputLeft == 0 })
	e.step()
}

// generate gives one token of the job.
func (e *engine) generate(j *job) {
	first := !j.produced
	if first {
		added, evicted := e.cache.add(j.prompt)
		e.onCache(added, evicted)
	}
	j.onToken(first, e.loop.now-j.last)
	j.produced = true
	j.last = e.loop.now
	j.outputLeft--
	if j.outputLeft == 0 {
		e.ended++
		j.onEnd()
	}
}

// goDark kills the group; its jobs fail when someone finds out.
func (e *engine) goDark(detect func() time.Duration) {
	e.dark = true
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

// comeBack starts the group with an empty cache.
func (e *engine) comeBack() {
	e.dark, e.busy = false, false
	e.cache = newPrefixCache(cacheBlocks)
	e.rate = 0
}

// pendingTokens counts the tokens to generate.
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

// without returns the list in place without the items that drop names.
func without[T any](list []T, drop func(T) bool) []T {
	kept := list[:0]
	for _, item := range list {
		if !drop(item) {
			kept = append(kept, item)
		}
	}
	clear(list[len(kept):])
	return kept
}
