package admission

import "sync"

// RetryBudget bounds retries to a part of the requests: each request adds
// ratio of a retry, up to burst retries, and each retry takes one. It starts
// full and is safe for concurrent use.
type RetryBudget struct {
	ratio float64
	burst float64

	mu   sync.Mutex
	left float64
}

// NewRetryBudget returns a full budget. A negative ratio or burst is taken
// as zero.
func NewRetryBudget(ratio float64, burst int) *RetryBudget {
	full := float64(max(burst, 0))
	return &RetryBudget{ratio: max(ratio, 0), burst: full, left: full}
}

// SetBurst changes the largest credit. What is over it is lost; a larger one
// fills with requests.
func (b *RetryBudget) SetBurst(burst int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = float64(max(burst, 0))
	b.left = min(b.left, b.burst)
}

// Request counts a first attempt.
func (b *RetryBudget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+b.ratio, b.burst)
}

// Allow takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
