package placement

import (
	"fmt"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// orderPatience is how many times longer a group may wait for its members to
// be ordered than for a load to go on.
const orderingTimeoutFactor = 10

// groupHistory is what the planner remembers of one group.
type groupHistory struct {
	lastSeen    time.Time
	epoch       fleet.Epoch
	brokenSince time.Time // zero while no member is lost
	drainSince  time.Time // zero while not draining
	progress    float64   // of the load, over all members
	progressAt  time.Time
}

// observeGroup takes the state of a group in.
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

// since keeps the moment from which a state has lasted.
func updateSince(at *time.Time, lasts bool, now time.Time) {
	if !lasts {
		*at = time.Time{}
	} else if at.IsZero() {
		*at = now
	}
}

// forgetGroups drops the groups that the round did not see.
func (h *history) forgetGroups(now time.Time) {
	for id, gh := range h.groups {
		if now.Sub(gh.lastSeen) > historyRetention {
			delete(h.groups, id)
		}
	}
}

// versionKey names what a group loads for a service.
type versionKey struct {
	service  fleet.ServiceName
	version  fleet.Version
	role     fleet.Role
	adapters string
}

func versionKeyOf(w *Wanted) versionKey {
	return versionKey{service: w.Service, version: w.Version, role: w.Role, adapters: fmt.Sprint(w.Adapters)}
}

// versionHistory counts the loads of a version that failed in a row.
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

// forgetVersions drops the versions that are not wanted any more.
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

// fail counts one failed load and sets when to try again.
func (vh *versionHistory) recordFailure(p Policy, loadTime time.Duration, now time.Time) {
	vh.failures++
	backoff := loadTime << min(vh.failures, 10)
	vh.retryAt = now.Add(min(backoff, p.MaxBackoff))
}

// checkLoads watches the loading groups: one that makes no progress for too
// long is dissolved, and counts against its version.
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

// stuck reports whether a loading group has made no progress for too long.
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
	patience := time.Duration(r.policy.StuckLoads * float64(c.wanted.LoadTime))
	if !ordered {
		patience *= orderingTimeoutFactor
	}
	return r.now.Sub(c.hist.progressAt) > max(patience, 30*time.Second)
}

// halted reports whether the rollout of a version has failed: its loads fail
// while other versions of the service serve.
func (r *round) isRolloutHalted(w *Wanted) bool {
	return r.hist.version(w).failures >= r.policy.LoadFailures && r.outdatedGroups(w.Service) > 0
}

// held reports whether a version must not be loaded now.
func (r *round) isLoadBlocked(w *Wanted) bool {
	return r.isRolloutHalted(w) || r.now.Before(r.hist.version(w).retryAt)
}

// outdated counts the groups of a service that nothing wants as they are.
func (r *round) outdatedGroups(s fleet.ServiceName) int {
	n := 0
	for _, c := range r.groups {
		if c.group.Service == s && c.wanted == nil && !c.draining() {
			n++
		}
	}
	return n
}
