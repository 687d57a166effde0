package placement

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"carawayproxy.example/caraway/internal/group"
)

// maxAccountedTime limits the time that one round adds to the counters, so that
// the time in which a daemon was paused is not counted.
const maxAccountedTime = 10 * time.Second

// recordMetrics adds the time since the last round to the downtime and
// stranded-accelerator counters and logs the groups that became whole or broke.
func (e *Executor) recordMetrics(run *scopeRun, s Snapshot, now time.Time) {
	elapsed := now.Sub(run.measuredAt)
	first := run.measuredAt.IsZero()
	run.measuredAt = now
	e.logGroupChanges(run, s, now)
	if first {
		return
	}
	ms := min(elapsed, maxAccountedTime).Milliseconds()
	freshness := run.planner.policy.Freshness
	for service, m := range MeasureServices(s, now, freshness) {
		down := metrics.GetOrRegisterCounter("placement.group_downtime_ms."+string(service), e.cfg.Metrics)
		down.Inc(int64(m.Down()) * ms)
		stranded := metrics.GetOrRegisterCounter("placement.stranded_accelerator_ms."+string(service), e.cfg.Metrics)
		stranded.Inc(int64(m.Stranded) * ms)
	}
}

// logGroupChanges logs the groups of the scope that became whole or broke.
func (e *Executor) logGroupChanges(run *scopeRun, s Snapshot, now time.Time) {
	for id := range run.whole {
		if s.Groups.Groups[id] == nil {
			delete(run.whole, id)
			delete(run.lastLogged, id)
		}
	}
	for id, g := range s.Groups.Groups {
		if g.Scope != run.scope {
			continue
		}
		w := group.Whole(g, aliveReports(s.Instances), now, run.planner.policy.Freshness)
		switch was := run.whole[id]; {
		case w.Whole && !was:
			delete(run.lastLogged, id)
			e.cfg.Events.Emit(eventGroupWhole, "service", g.Service, "group", id, "epoch", g.Epoch)
		case !w.Whole && was:
			e.cfg.Events.Emit(eventGroupBroken, "service", g.Service, "group", id, "epoch", g.Epoch, "reason", w.Reason)
		}
		run.whole[id] = w.Whole
	}
}
