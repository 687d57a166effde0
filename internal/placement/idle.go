package placement

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// Losses of engines by the dozen leave engines behind that serve nobody. What they cost,
// and which step of a repair costs most, shows in the engine-seconds by cause.

// IdleCause is why an engine serves nobody.
type IdleCause string

// Causes, from the one that placement can do least about.
const (
	IdleDown    IdleCause = "down"    // listed, and does not answer
	IdleLoading IdleCause = "loading" // outside groups, and no model is at hand
	IdleBroken  IdleCause = "broken"  // in a group that lacks another member
	IdleForming IdleCause = "forming" // in a group whose members are there and not all ready
	IdleSpare   IdleCause = "spare"   // outside groups, with a model at hand
)

// IdleCauses lists all causes.
var IdleCauses = []IdleCause{IdleDown, IdleLoading, IdleBroken, IdleForming, IdleSpare}

// countIdle returns the number of engines that serve nobody, by cause. Engines that leave,
// or are in an availability zone that is evacuated, are not counted.
func countIdle(s Snapshot, now time.Time) map[IdleCause]int {
	counts := map[IdleCause]int{}
	causes := map[fleet.GroupID]IdleCause{}
	for id, g := range s.Groups.Groups {
		causes[id] = idleCauseOf(s, g, now)
	}
	for id, st := range s.Instances {
		placed, inGroup := s.Groups.ByInstance[id]
		switch {
		case st.Instance.Leaving, st.Evacuated:
		case !st.Alive:
			counts[IdleDown]++
		case inGroup:
			if cause := causes[placed]; cause != "" {
				counts[cause]++
			}
		case len(st.LocalLoadTimes) == 0:
			counts[IdleLoading]++
		default:
			counts[IdleSpare]++
		}
	}
	return counts
}

// idleCauseOf returns why the members of a group that answer serve nobody, "" if they do.
func idleCauseOf(s Snapshot, g *group.Group, now time.Time) IdleCause {
	if group.Whole(g, aliveReports(s.Instances), now, 0).Whole {
		return ""
	}
	for _, m := range g.Members {
		if st, known := s.Instances[m.Instance]; !known || !st.Alive {
			return IdleBroken
		}
	}
	return IdleForming
}

// maxIdleGap is the longest time between two counts that is taken as one of control. After
// a longer one the scope was not held, or the process paused.
const maxIdleGap = 5 * roundInterval

// idleAccount adds up the time that engines serve nobody. The zero value is ready for use.
type idleAccount struct {
	counts  map[IdleCause]int // of the last observation
	at      time.Time
	seconds map[IdleCause]float64 // engine-seconds since reportedAt
	// reportedAt is when the account was last read.
	reportedAt time.Time
}

// observe records the counts that hold from now on. It returns the engine-seconds since
// the last observation.
func (a *idleAccount) observe(counts map[IdleCause]int, now time.Time) map[IdleCause]float64 {
	added := map[IdleCause]float64{}
	if passed := now.Sub(a.at); !a.at.IsZero() && passed <= maxIdleGap {
		for cause, n := range a.counts {
			added[cause] = float64(n) * passed.Seconds()
		}
	}
	if a.seconds == nil {
		a.seconds, a.reportedAt = map[IdleCause]float64{}, now
	}
	for cause, seconds := range added {
		a.seconds[cause] += seconds
	}
	a.counts, a.at = counts, now
	return added
}

// report returns the engine-seconds since the last report if interval has passed, nil
// otherwise.
func (a *idleAccount) report(interval time.Duration, now time.Time) (seconds map[IdleCause]float64, period time.Duration) {
	period = now.Sub(a.reportedAt)
	if a.seconds == nil || period < interval {
		return nil, 0
	}
	seconds = a.seconds
	a.seconds, a.reportedAt = map[IdleCause]float64{}, now
	return seconds, period
}
