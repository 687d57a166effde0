package serving

import (
	"math/rand/v2"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Parameters of the workload model. Prompts start with one of a number of shared
// texts, followed by blocks of the caller's own. Some continue a conversation.
const (
	promptFamilies    = 200 // number of shared texts
	familySkew        = 1.1 // exponent of the Zipf distribution of shared texts
	minFamilyBlocks   = 6   // blocks
	familyBlocksSpan  = 14
	minOwnBlocks      = 2 // blocks
	ownBlocksSpan     = 5
	continueShare     = 0.35
	openConversations = 400 // concurrent conversations over all workspaces
	maxPromptBlocks   = 48  // a conversation ends beyond this length
	meanOutput        = 150 // tokens
	minOutput         = 8
	maxOutput         = 400
	callerDeadline    = 15 * time.Second
)

// Source describes the callers of one workspace.
type Source struct {
	Workspace fleet.Workspace
	Weight    float64
	// Rate is in requests per second.
	Rate float64
	// Flood multiplies the rate from FloodFrom to FloodTo.
	Flood              float64
	FloodFrom, FloodTo time.Duration
	// Repeats is the maximum number of repeats of a failed request.
	Repeats int
	// IgnoresRetryAfter makes callers repeat after defaultRetryDelay, regardless
	// of the Retry-After of the response.
	IgnoresRetryAfter bool
	// Keyed is the share of requests that first need a record in the store.
	Keyed float64
}

// rate returns the requests per second at a time.
func (s Source) rate(now time.Duration) float64 {
	if s.Flood > 0 && now >= s.FloodFrom && now < s.FloodTo {
		return s.Rate * s.Flood
	}
	return s.Rate
}

// callers generates the requests of a source in one run. They depend only on the
// seed and on their own source, so that runs which differ in the load of another
// source have the same requests of this one.
type callers struct {
	*Source
	rng     *rand.Rand // for arrivals
	prompts *prompts
}

// newCallers returns the callers of the source with index at.
func newCallers(s *Source, seed uint64, at, sources int) *callers {
	return &callers{
		Source:  s,
		rng:     rand.New(rand.NewPCG(seed, uint64(10+at))),
		prompts: newPrompts(rand.New(rand.NewPCG(seed, uint64(1000+at))), at, openConversations/sources),
	}
}

// prompts generates a source's prompts and output lengths. The shared texts are
// common to all sources, the conversations are not.
type prompts struct {
	rng          *rand.Rand
	zipf         *rand.Zipf
	open         [][]uint64
	maxOpen      int // maximum concurrent conversations
	lastOwnBlock uint64
}

func newPrompts(rng *rand.Rand, at, maxOpen int) *prompts {
	return &prompts{
		rng: rng, zipf: rand.NewZipf(rng, familySkew, 1, promptFamilies-1),
		maxOpen: maxOpen, lastOwnBlock: uint64(at+1) << 32,
	}
}

// next returns a prompt as blocks. A block identifies the prompt up to its end,
// like a prefix hash.
func (p *prompts) next() []uint64 {
	if len(p.open) > 0 && p.rng.Float64() < continueShare {
		at := p.rng.IntN(len(p.open))
		prompt := p.extend(p.open[at])
		if len(prompt) > maxPromptBlocks {
			p.open[at] = p.open[len(p.open)-1]
			p.open = p.open[:len(p.open)-1]
		} else {
			p.open[at] = prompt
		}
		return prompt
	}
	family := p.zipf.Uint64()
	shared := make([]uint64, minFamilyBlocks+int(family*7%familyBlocksSpan))
	for i := range shared {
		shared[i] = family<<8 + uint64(i) + 1
	}
	prompt := p.extend(shared)
	if len(p.open) < p.maxOpen {
		p.open = append(p.open, prompt)
	} else {
		p.open[p.rng.IntN(p.maxOpen)] = prompt
	}
	return prompt
}

// extend returns the prompt with random blocks of the caller's own appended.
func (p *prompts) extend(prompt []uint64) []uint64 {
	longer := append([]uint64{}, prompt...)
	for range minOwnBlocks + p.rng.IntN(ownBlocksSpan) {
		p.lastOwnBlock++
		longer = append(longer, p.lastOwnBlock)
	}
	return longer
}

// output returns a random output length in tokens.
func (p *prompts) output() int {
	n := int(p.rng.ExpFloat64() * meanOutput)
	return min(max(n, minOutput), maxOutput)
}
