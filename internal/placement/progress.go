package placement

import (
	"fmt"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// orderingTimeoutFactor multiplies the load timeout of a group whose members have
// not all received their orders yet.
const orderingTimeoutFactor = 10

// groupHistory is the planner's record of one group.
type groupHistory struct {
	lastSeen    time.Time
	epoch       fleet.Epoch
	brokenSince time.Time // zero while no member is lost
	drainSince  time.Time // zero while not draining
	progress    float64   // of the load, summed over all members
	progressAt  time.Time
}

// observeGroup updates the history of a group and returns it.
func (h *history) observeGroup(c *groupState, now time.Time) *groupHistory {
	gh := h.groups[c.group.ID]
	if gh == nil || gh.epoch != c.group.Epoch {
		gh = &groupHistory{epoch: c.group.Epoch, progressAt: now}
		h.groups[c.group.ID] = gh
	}
	gh.lastSeen = now
	if !c.loading() {
		gh.progressAt = now
	}
	updateSince(&gh.brokenSince, c.broken(), now)
	updateSince(&gh.drainSince, c.draining(), now)
	return gh
}

// updateSince sets at to the time at which the state began, or to zero if the
// state does not hold.
func updateSince(at *time.Time, lasts bool, now time.Time) {
	if !lasts {
		*at = time.Time{}
	} else if at.IsZero() {
		*at = now
	}
}

// forgetGroups removes the groups that were last seen more than historyRetention
// ago.
func (h *history) forgetGroups(now time.Time) {
	for id, gh := range h.groups {
		if now.Sub(gh.lastSeen) > historyRetention {
			delete(h.groups, id)
		}
	}
}

// versionKey identifies what a group loads for a service.
type versionKey struct {
	service  fleet.ServiceName
	version  fleet.Version
	role     fleet.Role
	adapters string
}

func versionKeyOf(w *Wanted) versionKey {
	return versionKey{service: w.Service, version: w.Version, role: w.Role, adapters: fmt.Sprint(w.Adapters)}
}

// versionHistory counts the consecutive failed loads of a version.
type versionHistory struct {
	revision uint64
	failures int
	retryAt  time.Time
}

func (h *history) version(w *Wanted) *versionHistory {
	k := versionKeyOf(w)
	vh := h.versions[k]
	if vh == nil || vh.revision != w.Revision {
		vh = &versionHistory{revision: w.Revision}
		h.versions[k] = vh
	}
	return vh
}

// forgetVersions removes the versions that are no longer wanted.
func (h *history) forgetVersions(wanted []Wanted) {
	keep := map[versionKey]bool{}
	for i := range wanted {
		keep[versionKeyOf(&wanted[i])] = true
	}
	for k := range h.versions {
		if !keep[k] {
			delete(h.versions, k)
		}
	}
}

// recordFailure counts one failed load and sets the time of the next attempt with
// exponential backoff.
func (vh *versionHistory) recordFailure(p Policy, loadTime time.Duration, now time.Time) {
	vh.failures++
	backoff := loadTime << min(vh.failures, 10)
	vh.retryAt = now.Add(min(backoff, p.MaxBackoff))
}

// checkLoads dissolves loading groups that have made no progress for too long and
// counts a failure for their version.
func (r *round) checkLoads() {
	for _, c := range r.groups {
		if c.wanted == nil || c.draining() {
			continue
		}
		if c.whole {
			r.hist.version(c.wanted).failures = 0
			continue
		}
		if c.loading() && r.isLoadStuck(c) {
			r.hist.version(c.wanted).recordFailure(r.policy, c.wanted.LoadTime, r.now)
			r.dissolve(c, "its load makes no progress")
		}
	}
}

// isLoadStuck reports whether a loading group has made no progress within its
// timeout.
func (r *round) isLoadStuck(c *groupState) bool {
	progress, ordered := 0.0, true
	for _, m := range c.composition {
		rep, _ := r.Report(m.Instance)
		ordered = ordered && rep.Assignment != nil && rep.Assignment.Group == c.group.ID
		progress += rep.LoadProgress
		if rep.Ready {
			progress++
		}
	}
	if progress != c.hist.progress {
		c.hist.progress, c.hist.progressAt = progress, r.now
	}
	timeout := time.Duration(r.policy.StuckLoads * float64(c.wanted.LoadTime))
	if !ordered {
		timeout *= orderingTimeoutFactor
	}
	return r.now.Sub(c.hist.progressAt) > max(timeout, 30*time.Second)
}

// isRolloutHalted reports whether the rollout of a version has failed: its loads
// fail while other versions of the service are still serving.
func (r *round) isRolloutHalted(w *Wanted) bool {
	return r.hist.version(w).failures >= r.policy.LoadFailures && r.outdatedGroups(w.Service) > 0
}

// isLoadBlocked reports whether a version must not be loaded now.
func (r *round) isLoadBlocked(w *Wanted) bool {
	return r.isRolloutHalted(w) || r.now.Before(r.hist.version(w).retryAt)
}

// outdatedGroups counts the groups of a service that match no wanted group.
func (r *round) outdatedGroups(s fleet.ServiceName) int {
	n := 0
	for _, c := range r.groups {
		if c.group.Service == s && c.wanted == nil && !c.draining() {
			n++
		}
	}
	return n
}
