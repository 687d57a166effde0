package admission

import "sync"

// RetryBudget limits retries to a fraction of the requests. Every request adds
// ratio to the budget, up to burst, and every retry takes one. The budget starts
// full. It is safe for concurrent use.
type RetryBudget struct {
	ratio float64
	burst float64

	mu        sync.Mutex
	available float64
}

// NewRetryBudget returns a full budget. A negative ratio or burst is treated as
// zero.
func NewRetryBudget(ratio float64, burst int) *RetryBudget {
	full := float64(max(burst, 0))
	return &RetryBudget{ratio: max(ratio, 0), burst: full, available: full}
}

// SetBurst changes the maximum budget. If it shrinks, the excess is discarded;
// if it grows, later requests fill it.
func (b *RetryBudget) SetBurst(burst int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = float64(max(burst, 0))
	b.available = min(b.available, b.burst)
}

// Request records a first attempt.
func (b *RetryBudget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+b.ratio, b.burst)
}

// Allow takes one retry from the budget and reports whether it was available.
func (b *RetryBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
