package placement_test

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/fleet"
)

var errUnreachable = errors.New("engine unreachable")

// rigEngine is an engine that carries out orders in virtual time.
type rigEngine struct {
	instance fleet.Instance
	mu       sync.Mutex
	down     bool
	report   fleet.Report
	loaded   fleet.Version // kept when a new assignment arrives
	highest  uint64
	orders   []rigOrder // accepted
	refused  int
}

type rigOrder struct {
	by     fleet.DaemonID
	token  uint64
	at     time.Time
	assign *fleet.Assignment
}

func (e *rigEngine) apply(by fleet.DaemonID, o backend.Order) (backend.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return backend.OrderResult{}, errUnreachable
	}
	if e.instance.ChecksFencing && o.FencingToken < e.highest {
		e.refused++
		return backend.OrderResult{Reason: "old fencing token", HighestToken: e.highest}, nil
	}
	e.highest = max(e.highest, o.FencingToken)
	e.orders = append(e.orders, rigOrder{by, o.FencingToken, time.Now(), o.Assign})
	e.report.Assignment, e.report.Ready = o.Assign, false
	switch {
	case o.Assign == nil:
		e.loaded = ""
	case o.Assign.Version == e.loaded:
		e.report.Ready = true
	default:
		time.AfterFunc(rigLoad, func() { e.finish(o.Assign) })
	}
	return backend.OrderResult{Accepted: true, HighestToken: e.highest}, nil
}

// refusals returns the number of rejected orders.
func (e *rigEngine) refusals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refused
}

func (e *rigEngine) finish(a *fleet.Assignment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.report.Assignment == a && !e.down {
		e.report.Ready, e.loaded = true, a.Version
	}
}

// kill stops the engine. resume continues it with its state; restart starts it
// without an assignment.
func (e *rigEngine) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
}

func (e *rigEngine) resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

func (e *rigEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
	e.report.Assignment, e.report.Ready = nil, false
	e.report.Incarnation++
	e.loaded = ""
}

func (e *rigEngine) state() (fleet.Report, bool) {
	s := e.freeze()
	return s.report, s.up
}

// engineState is the state of an engine at one moment.
type engineState struct {
	report fleet.Report
	up     bool
	loaded fleet.Version
}

func (e *rigEngine) freeze() engineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := engineState{report: e.report, up: !e.down, loaded: e.loaded}
	s.report.ReceivedAt = time.Now()
	return s
}

// lateOrders counts the orders accepted with a token after a moment.
func (e *rigEngine) lateOrders(token uint64, after time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, o := range e.orders {
		if o.token == token && o.at.After(after) {
			n++
		}
	}
	return n
}
