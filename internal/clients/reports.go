package clients

import (
	"sync"
	"time"
)

const (
	// reportInterval is the time within which a client and limit are reported once.
	reportInterval = time.Minute
	// maxReports is the number of clients and limits that are reported within it.
	maxReports = 64
)

// Reports bounds the log lines about clients that meet a limit: one for each client and
// limit within a minute, and 64 in all. It is safe for concurrent use.
type Reports struct {
	mu         sync.Mutex
	since      time.Time
	reported   map[[2]string]struct{}
	suppressed int
}

// Report reports whether a client that meets a limit is to be logged, and the number of
// those that were not since the last one that was.
func (r *Reports) Report(client, limit string, now time.Time) (log bool, suppressed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reported == nil || now.Sub(r.since) >= reportInterval {
		r.since, r.reported = now, map[[2]string]struct{}{}
	}
	key := [2]string{client, limit}
	if _, known := r.reported[key]; known || len(r.reported) >= maxReports {
		r.suppressed++
		return false, 0
	}
	r.reported[key] = struct{}{}
	suppressed, r.suppressed = r.suppressed, 0
	return true, suppressed
}
