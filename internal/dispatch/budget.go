package dispatch

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/service"
)

// retryBurst is the largest credit of retries of a service at one daemon where
// Config.RetryBurst does not say; a service starts with it.
const retryBurst = 64

// budgetShards is how many locks the budgets are spread over.
const budgetShards = 16

// budgets hold the retry budget of each service.
type budgets struct {
	shards [budgetShards]struct {
		mu       sync.Mutex
		services map[fleet.ServiceName]serviceBudget
	}
}

// serviceBudget is a service's budget at the ratio that is in force.
type serviceBudget struct {
	*admission.RetryBudget
	ratio float64
}

// budgetOf returns the retry budget of a service.
func (d *Dispatcher) budgetOf(spec *service.Spec) *admission.RetryBudget {
	burst := retryBurst
	if d.cfg.RetryBurst != nil {
		burst = d.cfg.RetryBurst()
	}
	ratio := orDefault(spec.Limits.RetryRatio, orDefault(d.cfg.RetryRatio, defaultRetryRatio))
	return d.budgets.of(spec.Service, ratio, burst)
}

// of returns a service's budget, a new and full one when the ratio changed.
func (b *budgets) of(s fleet.ServiceName, ratio float64, burst int) *admission.RetryBudget {
	sh := &b.shards[xxhash.Sum64String(string(s))%budgetShards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	have, known := sh.services[s]
	if known && have.ratio == ratio {
		have.SetBurst(burst)
		return have.RetryBudget
	}
	if sh.services == nil {
		sh.services = map[fleet.ServiceName]serviceBudget{}
	}
	made := serviceBudget{RetryBudget: admission.NewRetryBudget(ratio, burst), ratio: ratio}
	sh.services[s] = made
	return made.RetryBudget
}
