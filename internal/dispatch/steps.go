package dispatch

import (
	"sync/atomic"
	"time"
)

// Step is a step of a forwarded request on the way to its first backend server.
type Step int

// The steps in their order.
const (
	StepRead      Step = iota // the body has been read
	StepAdmitted              // admission has accepted the request, by a first choice of a group
	StepChosen                // the group of the first attempt has been checked and charged
	StepConnected             // there is a connection to a backend server that may be used
	StepWritten               // the request has been written to a backend server
	stepCount
)

var stepNames = [stepCount]string{"read", "admitted", "chosen", "connected", "written"}

// String returns the step's name in metrics and logs.
func (s Step) String() string { return stepNames[s] }

// Steps are the times at which one request reached each step first. It is safe for
// concurrent use after Begin. A nil Steps records nothing.
type Steps struct {
	begin time.Time
	// reached are the nanoseconds from begin, at least one; zero if a step was not reached.
	reached [stepCount]atomic.Int64
}

// Begin sets the time that all steps are measured from: when the request's head had been
// read.
func (s *Steps) Begin(at time.Time) { s.begin = at }

// Reach records that a step was reached at a time. It reports whether that is the first
// time.
func (s *Steps) Reach(step Step, at time.Time) (first bool) {
	return s != nil && s.reached[step].CompareAndSwap(0, max(int64(at.Sub(s.begin)), 1))
}

// After returns the time from the request's head to a step, false if it was not reached.
func (s *Steps) After(step Step) (after time.Duration, ok bool) {
	if s == nil {
		return 0, false
	}
	after = time.Duration(s.reached[step].Load())
	return after, after > 0
}

// AppendTo appends the names and times of the steps that were reached to the keys and
// values of an event.
func (s *Steps) AppendTo(keyvals []any) []any {
	for step := range stepCount {
		if after, ok := s.After(step); ok {
			keyvals = append(keyvals, step.String(), after.Round(time.Millisecond))
		}
	}
	return keyvals
}

// reach records that a request reached a step at a time, zero if it did not.
func (d *Dispatcher) reach(s *Steps, step Step, at time.Time) {
	if !at.IsZero() && s.Reach(step, at) {
		d.countStep(s, step)
	}
}

// countStep adds the time of a step to its histogram if the step was reached.
func (d *Dispatcher) countStep(s *Steps, step Step) {
	if after, ok := s.After(step); ok {
		d.metrics.steps[step].Update(after.Milliseconds())
	}
}
