package backend

import "carawayproxy.example/caraway/internal/fleet"

// OrderKind is the operation of a GroupOrder.
type OrderKind string

// Order kinds for engines that manage their own group membership.
const (
	// OrderJoin joins a group and leaves the current one.
	OrderJoin OrderKind = "join"
	// OrderOpen makes the group leader start to serve requests.
	OrderOpen OrderKind = "open"
	// OrderClose makes the group leader finish its in-flight requests and accept
	// no more.
	OrderClose OrderKind = "close"
	// OrderAbort is like OrderClose but aborts the in-flight requests.
	OrderAbort OrderKind = "cut"
	// OrderLeave leaves the group at once.
	OrderLeave OrderKind = "leave"
	// OrderStage loads a model onto the instance's host.
	OrderStage OrderKind = "stage"
)

// GroupOrder is an order to an engine. Group and Epoch identify the membership
// that it applies to; an engine with another membership is not affected.
type GroupOrder struct {
	Kind    OrderKind
	Group   fleet.GroupID
	Epoch   fleet.Epoch
	Model   string
	Members []fleet.InstanceID // in rank order
}
