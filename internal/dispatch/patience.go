package dispatch

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/routing"
)

// maxGivenUp bounds the attempts of a request that are given up for want of a connection.
// Where all dials are slow, the next one is, too.
const maxGivenUp = 2

// givenUpError is the cause of an attempt that was given up before it had a connection.
// It matches backend.ErrNotSent.
type givenUpError struct{}

// errDialGivenUp is the only givenUpError.
var errDialGivenUp = &givenUpError{}

// Error returns a description.
func (*givenUpError) Error() string {
	return "the dial failed or took too long and another group is there: not sent"
}

// Is reports whether target is backend.ErrNotSent.
func (*givenUpError) Is(target error) bool { return target == backend.ErrNotSent }

// Values of connectState.
const (
	stateConnecting int32 = iota
	stateConnected
	stateGivenUp
)

// connectState decides whether an attempt has its connection in time. It is safe for
// concurrent use.
type connectState struct {
	state  atomic.Int32
	failed chan struct{} // closed once a first dial has failed and other ways are tried
	once   sync.Once
}

// recordFailedDial records that a first dial has failed.
func (c *connectState) recordFailedDial() { c.once.Do(func() { close(c.failed) }) }

// connect records that there is a connection. It returns false if the attempt was given
// up before; then nothing may be sent on it.
func (c *connectState) connect() bool {
	return c.state.CompareAndSwap(stateConnecting, stateConnected) || c.state.Load() == stateConnected
}

// giveUp gives up the attempt. It returns false if there was a connection before; then
// something may have been sent.
func (c *connectState) giveUp() bool { return c.state.CompareAndSwap(stateConnecting, stateGivenUp) }

func (c *connectState) isGivenUp() bool { return c.state.Load() == stateGivenUp }

// connectPatience returns a channel that receives when an attempt's dial is slow and one
// that is closed when a first dial has failed, both nil if the dial may take as long as it
// takes, and a function that frees the timer.
func (w *attemptWatch) connectPatience() (slow <-chan time.Time, failed <-chan struct{}, stop func()) {
	if w.r.d.cfg.ConnectPatience <= 0 || w.r.givenUpCount >= maxGivenUp {
		return nil, nil, func() {}
	}
	timer := time.NewTimer(w.r.d.cfg.ConnectPatience)
	return timer.C, w.attempt.connection.failed, func() { timer.Stop() }
}

// giveUpDial ends an attempt that still has no connection, if another group can take the
// request, and plans the next attempt there. It returns false if the attempt goes on.
func (w *attemptWatch) giveUpDial() bool {
	r, a := w.r, w.attempt
	if a.connection.state.Load() != stateConnecting {
		return false
	}
	failed, avoided, unreachable := r.route.FailedGroups, r.route.AvoidFabric, r.route.UnreachableZones
	r.avoid(a.Candidate)
	if a.Zone != "" && !slices.Contains(r.route.UnreachableZones, a.Zone) {
		r.route.UnreachableZones = append(r.route.UnreachableZones, a.Zone)
	}
	next := r.routeNow()
	if next.Chosen == nil || !a.connection.giveUp() {
		// Only what this watch changed: the request's goroutine may read the rest beside it.
		r.route.FailedGroups, r.route.AvoidFabric, r.route.UnreachableZones = failed, avoided, unreachable
		return false
	}
	r.nextDecision = &next
	r.givenUpCount++
	r.givenUp = append(r.givenUp, a.Group)
	a.cancel(errDialGivenUp)
	r.d.checkUnconnected(a.target)
	return true
}

// checkUnconnected connects to the server of an attempt that was given up, without a
// request, and records a refusal if that fails. There is one such check for an address at
// a time.
func (d *Dispatcher) checkUnconnected(t target) {
	if d.cfg.Refusals == nil || d.cfg.LivenessProber == nil {
		return
	}
	if _, busy := d.unconnected.LoadOrStore(t.Address, struct{}{}); busy {
		return
	}
	d.runInBackground(func() {
		defer d.unconnected.Delete(t.Address)
		reached := d.cfg.LivenessProber.MayBeReached(d.background, t.Address)
		if !reached && d.background.Err() == nil {
			d.cfg.Refusals.RecordRefusal(t.Group, t.Epoch, routing.RefusedUnreachable, time.Now())
		}
	})
}

// isGivenUpDial reports whether an attempt was given up before it had a connection.
func isGivenUpDial(cause error) bool { return errors.Is(cause, errDialGivenUp) }
