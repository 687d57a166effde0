package placement

import (
	"math"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// maxLosses is the maximum number of losses stored per instance.
	maxLosses = 8
	// priorReturnWeight is the weight of the prior, in observed returns.
	priorReturnWeight = 20
	// historyRetention is how long the history of an instance or group is kept
	// after it was last seen.
	historyRetention = time.Hour
)

// instanceHistory is the planner's record of one instance.
type instanceHistory struct {
	lastSeen    time.Time
	lostSince   time.Time // zero while alive
	incarnation uint64
	losses      []time.Time
	slowSince   time.Time // zero while not slow
	lastSlowAt  time.Time // last time that it counted as a straggler
}

// history is the planner's bounded state between rounds.
type history struct {
	instances map[fleet.InstanceID]*instanceHistory
	groups    map[fleet.GroupID]*groupHistory
	versions  map[versionKey]*versionHistory
	returns   []float64 // observed returns by class
}

func newHistory(classes int) *history {
	return &history{
		instances: map[fleet.InstanceID]*instanceHistory{},
		groups:    map[fleet.GroupID]*groupHistory{},
		versions:  map[versionKey]*versionHistory{},
		returns:   make([]float64, classes),
	}
}

// observe updates the history from the states of all instances.
func (h *history) observe(p Policy, s Snapshot, now time.Time) {
	for id, st := range s.Instances {
		ih := h.instance(id, now)
		ih.lastSeen = now
		if st.Alive {
			h.recordAlive(p, ih, st, now)
		} else if ih.lostSince.IsZero() {
			ih.recordLoss(now)
		}
	}
	for id, ih := range h.instances {
		if _, listed := s.Instances[id]; listed {
			continue
		}
		if ih.lostSince.IsZero() {
			ih.recordLoss(now)
		}
		if now.Sub(ih.lastSeen) > historyRetention {
			delete(h.instances, id)
		}
	}
}

func (h *history) instance(id fleet.InstanceID, now time.Time) *instanceHistory {
	ih := h.instances[id]
	if ih == nil {
		ih = &instanceHistory{lastSeen: now}
		h.instances[id] = ih
	}
	return ih
}

func (h *history) recordAlive(p Policy, ih *instanceHistory, st InstanceState, now time.Time) {
	restarted := ih.incarnation != 0 && ih.incarnation != st.Report.Incarnation
	if !ih.lostSince.IsZero() && ih.incarnation != 0 {
		h.recordReturn(p, now.Sub(ih.lostSince), restarted)
	} else if restarted {
		ih.recordLoss(now)
	}
	ih.lostSince = time.Time{}
	ih.incarnation = st.Report.Incarnation
}

// recordReturn counts a return for the class under which it is most likely.
func (h *history) recordReturn(p Policy, after time.Duration, reload bool) {
	best, likelihood := -1, 0.0
	for i, c := range p.Returns {
		l := c.Share * math.Exp(-ratio(after, c.Mean)) / c.Mean.Seconds()
		if c.Reload == reload && l > likelihood {
			best, likelihood = i, l
		}
	}
	if best >= 0 {
		h.returns[best]++
	}
}

// classes returns the return classes with shares that combine the prior and the
// observed returns.
func (h *history) classes(p Policy) []ReturnClass {
	classes := slices.Clone(p.Returns)
	total := float64(priorReturnWeight)
	for _, n := range h.returns {
		total += n
	}
	for i := range classes {
		classes[i].Share = (classes[i].Share*priorReturnWeight + h.returns[i]) / total
	}
	return classes
}

func (ih *instanceHistory) recordLoss(now time.Time) {
	ih.lostSince = now
	ih.losses = append(ih.losses, now)
	if len(ih.losses) > maxLosses {
		ih.losses = ih.losses[1:]
	}
}

// wasLostBeforeRemoval reports whether the instance did not answer while it was still
// listed.
func (ih *instanceHistory) wasLostBeforeRemoval() bool {
	return !ih.lostSince.IsZero() && !ih.lostSince.After(ih.lastSeen)
}

// discardCurrentLoss removes the current loss from the history. The failure of a
// whole fabric domain is no evidence against the instance itself.
func (ih *instanceHistory) discardCurrentLoss() {
	n := len(ih.losses)
	if n > 0 && !ih.lostSince.IsZero() && ih.losses[n-1].Equal(ih.lostSince) {
		ih.losses = ih.losses[:n-1]
	}
}

// recentLosses returns the number of losses within the window.
func (ih *instanceHistory) recentLosses(window time.Duration, now time.Time) int {
	n := 0
	for _, at := range ih.losses {
		if now.Sub(at) <= window {
			n++
		}
	}
	return n
}

// markSlow updates the straggler state from whether the instance is slow now.
func (ih *instanceHistory) markSlow(p Policy, slow bool, now time.Time) {
	switch {
	case !slow:
		ih.slowSince = time.Time{}
	case ih.slowSince.IsZero():
		ih.slowSince = now
	case now.Sub(ih.slowSince) >= p.StragglerAfter:
		ih.lastSlowAt = now
	}
}

// isSlow reports whether the instance has been slow for at least StragglerAfter.
func (ih *instanceHistory) isSlow(p Policy, now time.Time) bool {
	return !ih.slowSince.IsZero() && now.Sub(ih.slowSince) >= p.StragglerAfter
}

// isExcluded reports whether the instance must not be assigned a new place,
// because it is flapping or was a straggler recently.
func (ih *instanceHistory) isExcluded(p Policy, now time.Time) bool {
	if ih.recentLosses(p.FlapWindow, now) >= p.FlapCount {
		return true
	}
	return !ih.lastSlowAt.IsZero() && now.Sub(ih.lastSlowAt) < p.StragglerStay
}
