package routing

import (
	"slices"

	"carawayproxy.example/caraway/internal/fleet"
)

// RoleServe is the role of groups that serve client requests.
const RoleServe fleet.Role = "serve"

// SoftFilter is a Filter that Policy.Choose waives when no candidate passes all
// filters.
type SoftFilter interface {
	Filter
	// Waivable marks the filter as one that may be waived.
	Waivable()
}

// DefaultFilters returns the filters of DefaultPolicy in evaluation order.
func DefaultFilters() []Filter {
	return []Filter{Service{}, HomeRegion{}, NotEvacuated{}, WholeGroup{}, NotDraining{}, NotStalled{}, NotRefusing{}, Untried{}, Exclusive{}, BelowLimit{}, NotPaused{}, WithinRate{}, WithinColdRate{}}
}

// Service keeps groups that match the service, version, adapter and role of
// the request. An empty version or adapter in the request matches any group. An
// empty role, of a request or a group, means RoleServe.
type Service struct{}

// Name implements Filter.
func (Service) Name() string { return "service" }

// Keep implements Filter.
func (Service) Keep(req *Request, c *Candidate) (bool, string) {
	switch {
	case c.Service != req.Service:
		return false, "other service"
	case req.Version != "" && c.Version != req.Version:
		return false, "other version"
	case req.Adapter != "" && !slices.Contains(c.Adapters, req.Adapter):
		return false, "adapter not loaded"
	case roleOr(c.Role) != roleOr(req.Role):
		return false, "other role"
	}
	return true, ""
}

// roleOr returns role, or RoleServe when it is empty.
func roleOr(role fleet.Role) fleet.Role {
	if role == "" {
		return RoleServe
	}
	return role
}

// HomeRegion keeps groups in a home of the request.
type HomeRegion struct{}

// Name implements Filter.
func (HomeRegion) Name() string { return "home" }

// Keep implements Filter.
func (HomeRegion) Keep(req *Request, c *Candidate) (bool, string) {
	if len(req.Homes) > 0 && !slices.Contains(req.Homes, c.Region) {
		return false, "in a region that is no home of the request"
	}
	return true, ""
}

// NotEvacuated drops groups with a member in an availability zone that the operator
// evacuates. It precedes the filters of a group's health, so that the state of the
// servers there hides no evacuation, see Decision.Evacuated.
type NotEvacuated struct{}

// evacuationFilter is the name of NotEvacuated.
const evacuationFilter = "zone in use"

// Name implements Filter.
func (NotEvacuated) Name() string { return evacuationFilter }

// Keep implements Filter.
func (NotEvacuated) Keep(_ *Request, c *Candidate) (bool, string) {
	if c.Evacuated {
		return false, "its availability zone is evacuated"
	}
	return true, ""
}

// WholeGroup keeps groups whose members are all present.
type WholeGroup struct{}

// Name implements Filter.
func (WholeGroup) Name() string { return "whole" }

// Keep implements Filter.
func (WholeGroup) Keep(_ *Request, c *Candidate) (bool, string) {
	if c.Whole {
		return true, ""
	}
	if c.WholeReason == "" {
		return false, "not whole"
	}
	return false, c.WholeReason
}

// NotDraining drops groups that are draining or have a leaving member.
type NotDraining struct{}

// Name implements Filter.
func (NotDraining) Name() string { return "staying" }

// Keep implements Filter.
func (NotDraining) Keep(_ *Request, c *Candidate) (bool, string) {
	switch {
	case c.Draining:
		return false, "draining"
	case c.Leaving:
		return false, "a member is leaving"
	}
	return true, ""
}

// NotStalled drops groups that accept requests but whose streams make no
// progress.
type NotStalled struct{}

// Name implements Filter.
func (NotStalled) Name() string { return "moving" }

// Keep implements Filter.
func (NotStalled) Keep(_ *Request, c *Candidate) (bool, string) {
	if c.Stalled {
		return false, "no stream makes progress"
	}
	return true, ""
}

// NotRefusing drops groups that refused requests recently. It is a SoftFilter.
type NotRefusing struct{}

// Name implements Filter.
func (NotRefusing) Name() string { return "answering" }

// Waivable implements SoftFilter.
func (NotRefusing) Waivable() {}

// Keep implements Filter.
func (NotRefusing) Keep(_ *Request, c *Candidate) (bool, string) {
	if c.Refusing {
		return false, "refused requests recently"
	}
	return true, ""
}

// Untried drops groups on which earlier attempts of the request failed. It is
// a SoftFilter: such a group is retried only when no other is available.
type Untried struct{}

// Name implements Filter.
func (Untried) Name() string { return "untried" }

// Waivable implements SoftFilter.
func (Untried) Waivable() {}

// Keep implements Filter.
func (Untried) Keep(req *Request, c *Candidate) (bool, string) {
	if slices.Contains(req.FailedGroups, c.Group) {
		return false, "tried"
	}
	return true, ""
}

// Exclusive keeps only idle groups for a request that must run alone.
type Exclusive struct{}

// Name implements Filter.
func (Exclusive) Name() string { return "alone" }

// Keep implements Filter.
func (Exclusive) Keep(req *Request, c *Candidate) (bool, string) {
	busy := c.OwnInFlight+c.PeerInFlight+c.Running+c.Queued+c.UnreportedDispatches > 0
	if req.Exclusive && busy {
		return false, "other requests in flight"
	}
	return true, ""
}

// BelowLimit drops groups that have reached their learned concurrency limit.
type BelowLimit struct{}

// limitFilter is the name of BelowLimit.
const limitFilter = "limit"

// Name implements Filter.
func (BelowLimit) Name() string { return limitFilter }

// Keep implements Filter.
func (BelowLimit) Keep(_ *Request, c *Candidate) (bool, string) {
	if c.Limit > 0 && InFlight(c) >= float64(c.Limit) {
		return false, "concurrency limit reached"
	}
	return true, ""
}

// NotPaused drops groups whose leader has asked this daemon for a pause. It is
// evaluated just before WithinRate, see Decision.RateWait.
type NotPaused struct{}

// pauseFilter is the name of NotPaused.
const pauseFilter = "pause"

// Name implements Filter.
func (NotPaused) Name() string { return pauseFilter }

// Keep implements Filter.
func (NotPaused) Keep(_ *Request, c *Candidate) (bool, string) {
	if c.PauseWait > 0 {
		return false, "its leader asked for a pause"
	}
	return true, ""
}

// WithinRate drops groups whose leader has announced a request rate of which this
// daemon has used up its share. It is evaluated just before WithinColdRate, see
// Decision.RateWait.
type WithinRate struct{}

// rateFilter is the name of WithinRate.
const rateFilter = "rate"

// Name implements Filter.
func (WithinRate) Name() string { return rateFilter }

// Keep implements Filter.
func (WithinRate) Keep(_ *Request, c *Candidate) (bool, string) {
	if c.RateWait > 0 {
		return false, "announced request rate used up"
	}
	return true, ""
}

// WithinColdRate drops groups whose leader is cold and of whose requests this daemon has
// used up its share. It is evaluated last, see Decision.RateWait.
type WithinColdRate struct{}

// coldFilter is the name of WithinColdRate.
const coldFilter = "cold"

// Name implements Filter.
func (WithinColdRate) Name() string { return coldFilter }

// Keep implements Filter.
func (WithinColdRate) Keep(_ *Request, c *Candidate) (bool, string) {
	if c.ColdWait > 0 {
		return false, "its leader is cold and this daemon's share is used up"
	}
	return true, ""
}
