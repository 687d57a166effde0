package serving

import (
	"math/rand/v2"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// The workload model: prompts begin with one of a number of shared texts and
// go on with the caller's own; some continue an earlier conversation.
const (
	families       = 200 // shared texts
	familySkew     = 1.1 // of a Zipf distribution
	familyLeast    = 6   // blocks
	familySpan     = 14
	ownLeast       = 2 // blocks
	ownSpan        = 5
	continueShare  = 0.35
	conversations  = 400 // open at once, over all workspaces
	longestPrompt  = 48  // blocks, a conversation ends there
	meanOutput     = 150 // tokens
	leastOutput    = 8
	longestOutput  = 400
	callerDeadline = 15 * time.Second
)

// Source is one workspace's callers.
type Source struct {
	Workspace fleet.Workspace
	Weight    float64
	// Rate is the requests a second.
	Rate float64
	// Flood multiplies the rate from FloodFrom to FloodTo.
	Flood              float64
	FloodFrom, FloodTo time.Duration
	// Repeats is how often a caller repeats a request that got no answer.
	Repeats int
	// Impatient callers repeat after a second whatever they were told.
	Impatient bool
	// Keyed is the share of requests that need a record in the store first.
	Keyed float64
}

// rate returns the requests a second at a time.
func (s Source) rate(now time.Duration) float64 {
	if s.Flood > 0 && now >= s.FloodFrom && now < s.FloodTo {
		return s.Rate * s.Flood
	}
	return s.Rate
}

// callers are a source's callers in one run. What they ask depends on the
// seed and on their own source alone, so that two runs that differ in another
// source's load have the same requests of this one.
type callers struct {
	*Source
	rng     *rand.Rand // of arrivals
	prompts *prompts
}

// newCallers returns the callers of source number at out of several.
func newCallers(s *Source, seed uint64, at, sources int) *callers {
	return &callers{
		Source:  s,
		rng:     rand.New(rand.NewPCG(seed, uint64(10+at))),
		prompts: newPrompts(rand.New(rand.NewPCG(seed, uint64(1000+at))), at, conversations/sources),
	}
}

// prompts draws one source's prompts and output lengths. The shared texts are
// those of all sources, the conversations its own.
type prompts struct {
	rng    *rand.Rand
	zipf   *rand.Zipf
	open   [][]uint64
	atOnce int // conversations open at once
	fresh  uint64
}

func newPrompts(rng *rand.Rand, at, atOnce int) *prompts {
	return &prompts{
		rng: rng, zipf: rand.NewZipf(rng, familySkew, 1, families-1),
		atOnce: atOnce, fresh: uint64(at+1) << 32,
	}
}

// next returns a prompt as blocks. A block stands for the prompt up to its
// end, as a prefix hash does.
func (p *prompts) next() []uint64 {
	if len(p.open) > 0 && p.rng.Float64() < continueShare {
		at := p.rng.IntN(len(p.open))
		prompt := p.extend(p.open[at])
		if len(prompt) > longestPrompt {
			p.open[at] = p.open[len(p.open)-1]
			p.open = p.open[:len(p.open)-1]
		} else {
			p.open[at] = prompt
		}
		return prompt
	}
	family := p.zipf.Uint64()
	shared := make([]uint64, familyLeast+int(family*7%familySpan))
	for i := range shared {
		shared[i] = family<<8 + uint64(i) + 1
	}
	prompt := p.extend(shared)
	if len(p.open) < p.atOnce {
		p.open = append(p.open, prompt)
	} else {
		p.open[p.rng.IntN(p.atOnce)] = prompt
	}
	return prompt
}

// extend appends blocks of the caller's own.
func (p *prompts) extend(prompt []uint64) []uint64 {
	longer := append([]uint64{}, prompt...)
	for range ownLeast + p.rng.IntN(ownSpan) {
		p.fresh++
		longer = append(longer, p.fresh)
	}
	return longer
}

// output draws the length of an answer in tokens.
func (p *prompts) output() int {
	n := int(p.rng.ExpFloat64() * meanOutput)
	return min(max(n, leastOutput), longestOutput)
}
