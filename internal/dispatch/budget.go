package dispatch

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/service"
)

// defaultRetryBurst is the default of Config.RetryBurst: the maximum retry
// credit of a service at one daemon, and its initial credit.
const defaultRetryBurst = 64

// budgetShards is the number of shards, each with its own lock.
const budgetShards = 16

// budgets holds the retry budget of each service.
type budgets struct {
	shards [budgetShards]struct {
		mu       sync.Mutex
		services map[fleet.ServiceName]serviceBudget
	}
}

// serviceBudget is a service's budget and the ratio it was created with.
type serviceBudget struct {
	*admission.RetryBudget
	ratio float64
}

// budgetOf returns the retry budget of a service with its current settings.
func (d *Dispatcher) budgetOf(spec *service.Spec) *admission.RetryBudget {
	burst := defaultRetryBurst
	if d.cfg.RetryBurst != nil {
		burst = d.cfg.RetryBurst()
	}
	ratio := orDefault(spec.Limits.RetryRatio, orDefault(d.cfg.RetryRatio, defaultRetryRatio))
	return d.budgets.get(spec.Service, ratio, burst)
}

// get returns a service's budget. It creates a new, full budget if the ratio
// has changed.
func (b *budgets) get(s fleet.ServiceName, ratio float64, burst int) *admission.RetryBudget {
	sh := &b.shards[xxhash.Sum64String(string(s))%budgetShards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	existing, known := sh.services[s]
	if known && existing.ratio == ratio {
		existing.SetBurst(burst)
		return existing.RetryBudget
	}
	if sh.services == nil {
		sh.services = map[fleet.ServiceName]serviceBudget{}
	}
	created := serviceBudget{RetryBudget: admission.NewRetryBudget(ratio, burst), ratio: ratio}
	sh.services[s] = created
	return created.RetryBudget
}
