package dispatch

import (
	"sync"

	"carawayproxy.example/caraway/internal/fleet"
)

// retryBurst is the largest credit of retries; a service starts with it.
const retryBurst = 64

// budgetShards is how many locks the budgets are spread over.
const budgetShards = 16

// budgets hold the retry credit of each service: each request adds the
// service's ratio, each retry takes one.
type budgets struct {
	shards [budgetShards]struct {
		mu     sync.Mutex
		credit map[fleet.ServiceName]float64
	}
}

func (b *budgets) shard(s fleet.ServiceName) int {
	h := uint32(2166136261)
	for i := range len(s) {
		h = (h ^ uint32(s[i])) * 16777619
	}
	return int(h % budgetShards)
}

// earn adds the credit of one request.
func (b *budgets) earn(s fleet.ServiceName, ratio float64) {
	sh := &b.shards[b.shard(s)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.credit == nil {
		sh.credit = map[fleet.ServiceName]float64{}
	}
	credit, known := sh.credit[s]
	if !known {
		credit = retryBurst
	}
	sh.credit[s] = min(credit+ratio, retryBurst)
}

// spend takes the credit of one retry and reports whether there was one.
func (b *budgets) spend(s fleet.ServiceName) bool {
	sh := &b.shards[b.shard(s)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.credit[s] < 1 {
		return false
	}
	sh.credit[s]--
	return true
}
