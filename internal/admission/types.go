// Package admission decides whether a request may start. It applies weighted
// fair shares of the workspaces, a concurrency limit learned from latency, and
// the predicted wait against the request's deadline. A refusal is final and
// states when to retry.
package admission

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Request holds the properties of a request that admission depends on.
type Request struct {
	Workspace fleet.Workspace
	Service   fleet.ServiceName
	// Weight is the workspace's weight relative to other workspaces.
	Weight float64
	// MaxInFlight limits the workspace's in-flight requests at this daemon; zero
	// means no limit.
	MaxInFlight uint32
	Deadline    time.Time // zero for none
	// PredictedWait is the router's estimate of the time to first token.
	PredictedWait time.Duration
	// PredictedRun is the estimated time from the first to the last token.
	PredictedRun time.Duration
	// Capacity is this daemon's part of the number of requests that the
	// service's whole groups can run concurrently.
	Capacity uint32
}

// Result is the outcome of an admitted request, from which the limit is learned.
// Times are measured from admission. If the request first waits for a record in
// the log, times are measured from its first attempt, because that wait does not
// reflect the groups' load.
type Result struct {
	// FirstToken is the time to first token.
	FirstToken time.Duration
	// Total is the time to the end of the request.
	Total  time.Duration
	Failed bool
}
