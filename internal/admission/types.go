// Package admission decides whether a request may start: weighted fair shares
// for workspaces, a concurrency limit learned from latency, and the deadline
// against the predicted wait. A refusal is final and says when to come back.
package admission

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Request is what admission needs to know of a request.
type Request struct {
	Workspace fleet.Workspace
	Service   fleet.ServiceName
	// Weight is the workspace's share, relative to the other workspaces.
	Weight float64
	// MaxInFlight bounds the workspace's own requests at this daemon, zero
	// for no bound.
	MaxInFlight uint32
	Deadline    time.Time // zero for none
	// PredictedWait is the router's estimate of the time to the first token.
	PredictedWait time.Duration
	// PredictedRun is the estimate of the time from first to last token.
	PredictedRun time.Duration
	// Capacity is how many requests the service's whole groups can run at
	// once, this daemon's part of it.
	Capacity uint32
}

// Result is what became of an admitted request, for learning. Times run from
// admission, but for a request that first waits for a record in the log they
// run from its first attempt: that wait says nothing of the groups' load.
type Result struct {
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// Total is the time to the end.
	Total  time.Duration
	Failed bool
}
