package placement

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"carawayproxy.example/caraway/internal/group"
)

// maxAccounted bounds the time that one round accounts for; what a frozen
// daemon did not see it does not count.
const maxAccountedTime = 10 * time.Second

// account adds the time since the last round to the measures, and says which
// groups became whole or broke.
func (e *Executor) recordMetrics(run *scopeRun, s Snapshot, now time.Time) {
	past := now.Sub(run.measuredAt)
	first := run.measuredAt.IsZero()
	run.measuredAt = now
	e.logGroupChanges(run, s, now)
	if first {
		return
	}
	ms := min(past, maxAccountedTime).Milliseconds()
	freshness := run.planner.policy.Freshness
	for service, m := range MeasureServices(s, now, freshness) {
		down := metrics.GetOrRegisterCounter("placement.group_downtime_ms."+string(service), e.cfg.Metrics)
		down.Inc(int64(m.Down()) * ms)
		stranded := metrics.GetOrRegisterCounter("placement.stranded_accelerator_ms."+string(service), e.cfg.Metrics)
		stranded.Inc(int64(m.Stranded) * ms)
	}
}

// sayWholeness logs the groups of the scope that became whole or broke.
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
