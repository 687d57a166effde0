package platform

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

// WeightsConfig configures the weight store.
type WeightsConfig struct {
	// BytesPerSecond is the rate shared by all fetches, 64 GiB/s if zero.
	BytesPerSecond float64
	// ArtifactBytes is the size of each artifact, 16 GiB if zero.
	ArtifactBytes uint64
}

const (
	defaultWeightRate    = 64 << 30
	defaultArtifactBytes = 16 << 30
)

// Weights is the rate-limited weight store. It is safe for concurrent use.
type Weights struct {
	mu      sync.Mutex
	cfg     WeightsConfig
	limiter *rate.Limiter
	down    bool
	fetches int
}

// NewWeights returns a store that holds every artifact.
func NewWeights(cfg WeightsConfig) *Weights {
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = defaultWeightRate
	}
	if cfg.ArtifactBytes == 0 {
		cfg.ArtifactBytes = defaultArtifactBytes
	}
	return &Weights{cfg: cfg, limiter: newByteLimiter(cfg)}
}

// newByteLimiter returns a limiter in MiB, so that an artifact fits its burst.
func newByteLimiter(cfg WeightsConfig) *rate.Limiter {
	burst := int(cfg.ArtifactBytes>>20) + 1
	return rate.NewLimiter(rate.Limit(cfg.BytesPerSecond/(1<<20)), burst)
}

// SetRate sets the store's rate.
func (w *Weights) SetRate(bytesPerSecond float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.BytesPerSecond = bytesPerSecond
	w.limiter.SetLimit(rate.Limit(bytesPerSecond / (1 << 20)))
}

// SetDown starts or ends an outage, during which Fetch fails.
func (w *Weights) SetDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// Fetches returns the number of successful fetches.
func (w *Weights) Fetches() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fetches
}

// Fetch waits until the rate limit admits one artifact and returns its size in
// bytes.
func (w *Weights) Fetch(ctx context.Context) (uint64, error) {
	w.mu.Lock()
	down, size, limiter := w.down, w.cfg.ArtifactBytes, w.limiter
	w.mu.Unlock()
	if down {
		return 0, ErrOutage
	}
	// WaitN fails immediately if the wait would exceed the deadline of ctx.
	if err := limiter.WaitN(ctx, int(size>>20)); err != nil {
		return 0, err
	}
	w.mu.Lock()
	w.fetches++
	w.mu.Unlock()
	return size, nil
}
