package backend

import "carawayproxy.example/caraway/internal/fleet"

// OrderKind is what a GroupOrder asks of an engine.
type OrderKind string

// Kinds of order to engines that keep their own place in a group.
const (
	// OrderJoin takes a place in a group, in place of the one that it has.
	OrderJoin OrderKind = "join"
	// OrderOpen makes the head of a group serve.
	OrderOpen OrderKind = "open"
	// OrderClose makes the head end its requests and serve no more.
	OrderClose OrderKind = "close"
	// OrderCut is OrderClose with the requests broken off.
	OrderCut OrderKind = "cut"
	// OrderLeave gives a place up at once.
	OrderLeave OrderKind = "leave"
	// OrderStage loads a model onto the instance's host.
	OrderStage OrderKind = "stage"
)

// GroupOrder is one order. Group and Epoch name the place that it is about;
// an engine with another one is not affected.
type GroupOrder struct {
	Kind    OrderKind
	Group   fleet.GroupID
	Epoch   fleet.Epoch
	Model   string
	Members []fleet.InstanceID // in rank order
}
