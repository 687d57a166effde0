package dispatch

import "time"

const (
	// stragglerTokens is how many tokens are seen before a group can be
	// called a straggler.
	stragglerTokens = 16
	// gapWeight is the weight of a new gap in the mean.
	gapWeight = 0.1
)

// leaveStraggler reports whether there is another group to go to and the
// retry budget lets the request go there, and keeps that decision. A request
// moves once.
func (r *generation) leaveStraggler(t target) bool {
	if r.moved || r.made >= orDefault(r.spec.Limits.MaxAttempts, defaultMaxAttempts) {
		return false
	}
	r.moved = true
	r.avoid(t.Candidate)
	dec := r.routeNow()
	if dec.Chosen == nil || !r.pay() {
		return false
	}
	r.next = &dec
	return true
}

// pace is the mean time between an attempt's tokens.
type pace struct {
	chunks int
	tokens int
	gap    float64 // nanoseconds
}

func (p *pace) add(waited time.Duration, tokens int) {
	p.chunks++
	if tokens == 0 {
		return
	}
	if p.tokens > 0 {
		p.gap += gapWeight * (float64(waited)/float64(tokens) - p.gap)
	}
	p.tokens += tokens
}

func (p *pace) slow(bound time.Duration) bool {
	return p.tokens >= stragglerTokens && p.gap > float64(bound)
}
