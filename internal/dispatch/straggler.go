package dispatch

import "time"

const (
	// stragglerTokens is how many tokens must be received before a group
	// can be classified as a straggler.
	stragglerTokens = 16
	// gapEWMAWeight is the weight of a new sample in the moving average.
	gapEWMAWeight = 0.1
)

// prepareStragglerMove plans an attempt away from a slow group. It returns false if
// there can be none. A request tries this once.
func (r *generation) prepareStragglerMove(t target) bool {
	r.planning.Lock()
	defer r.planning.Unlock()
	if r.leftStraggler || r.moving {
		return false
	}
	r.leftStraggler = true
	return r.prepareMove(t)
}

// prepareMove plans the next attempt while one is under way. It returns false if no
// other group is available or the attempt limit or the retry budget is exhausted.
// Called with planning held.
func (r *generation) prepareMove(t target) bool {
	if r.sentCount >= r.maxAttempts() {
		return false
	}
	r.avoid(t.Candidate)
	dec := r.routeNow()
	if dec.Chosen == nil || !r.reserveRetry() {
		return false
	}
	r.nextDecision = &dec
	return true
}

// tokenPace measures the mean time between an attempt's tokens.
type tokenPace struct {
	chunks int
	tokens int
	gap    float64 // moving average, nanoseconds per token
}

func (p *tokenPace) add(waited time.Duration, tokens int) {
	p.chunks++
	if tokens == 0 {
		return
	}
	if p.tokens > 0 {
		p.gap += gapEWMAWeight * (float64(waited)/float64(tokens) - p.gap)
	}
	p.tokens += tokens
}

func (p *tokenPace) isSlow(bound time.Duration) bool {
	return p.tokens >= stragglerTokens && p.gap > float64(bound)
}
