package routing

import (
	"slices"

	"carawayproxy.example/caraway/internal/fleet"
)

// RoleServe is the role of groups that answer callers' requests.
const RoleServe fleet.Role = "serve"

// Preference is a filter that is waived when no candidate is left.
type Preference interface {
	Filter
	// Waivable marks the filter.
	Waivable()
}

// DefaultFilters returns the filters of DefaultPolicy, in order.
func DefaultFilters() []Filter {
	return []Filter{Service{}, Whole{}, Staying{}, Moving{}, Answering{}, Untried{}, Alone{}, Limit{}}
}

// Service keeps groups that serve what the request names: its service,
// version, adapter and role. An empty version or adapter fits any group; an
// empty role is RoleServe, and so is a group's empty role.
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

// Whole keeps groups whose members are all present.
type Whole struct{}

// Name implements Filter.
func (Whole) Name() string { return "whole" }

// Keep implements Filter.
func (Whole) Keep(_ *Request, c *Candidate) (bool, string) {
	if c.Whole {
		return true, ""
	}
	if c.WholeReason == "" {
		return false, "not whole"
	}
	return false, c.WholeReason
}

// Staying drops groups that are drained or have a leaving member.
type Staying struct{}

// Name implements Filter.
func (Staying) Name() string { return "staying" }

// Keep implements Filter.
func (Staying) Keep(_ *Request, c *Candidate) (bool, string) {
	switch {
	case c.Draining:
		return false, "draining"
	case c.Leaving:
		return false, "a member is leaving"
	}
	return true, ""
}

// Moving drops groups that take requests and seem to have stopped.
type Moving struct{}

// Name implements Filter.
func (Moving) Name() string { return "moving" }

// Keep implements Filter.
func (Moving) Keep(_ *Request, c *Candidate) (bool, string) {
	if c.Silent {
		return false, "no stream of it moves"
	}
	return true, ""
}

// Answering drops the groups that have just refused requests. It is waived when
// nothing else is left.
type Answering struct{}

// Name implements Filter.
func (Answering) Name() string { return "answering" }

// Waivable implements Preference.
func (Answering) Waivable() {}

// Keep implements Filter.
func (Answering) Keep(_ *Request, c *Candidate) (bool, string) {
	if c.Refusing {
		return false, "has just refused"
	}
	return true, ""
}

// Untried drops groups that earlier attempts failed on. It is a Preference:
// a tried group is used again only when nothing else exists.
type Untried struct{}

// Name implements Filter.
func (Untried) Name() string { return "untried" }

// Waivable implements Preference.
func (Untried) Waivable() {}

// Keep implements Filter.
func (Untried) Keep(req *Request, c *Candidate) (bool, string) {
	if slices.Contains(req.Tried, c.Group) {
		return false, "tried"
	}
	return true, ""
}

// Alone keeps only idle groups for a request that must run alone.
type Alone struct{}

// Name implements Filter.
func (Alone) Name() string { return "alone" }

// Keep implements Filter.
func (Alone) Keep(req *Request, c *Candidate) (bool, string) {
	busy := c.OwnInFlight+c.PeerInFlight+c.Running+c.Queued+c.SinceReport > 0
	if req.Alone && busy {
		return false, "others in flight"
	}
	return true, ""
}

// Limit drops groups at their learned concurrency limit.
type Limit struct{}

// Name implements Filter.
func (Limit) Name() string { return "limit" }

// Keep implements Filter.
func (Limit) Keep(_ *Request, c *Candidate) (bool, string) {
	if c.Limit > 0 && InFlight(c) >= float64(c.Limit) {
		return false, "at its limit"
	}
	return true, ""
}
