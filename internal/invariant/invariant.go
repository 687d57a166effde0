// Package invariant checks conditions that must always hold. A violation panics
// with the details; tests install a handler that records it instead.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Breach is a violation of an invariant.
type Breach struct {
	Name   string // stable, listed in docs/PROMISES.md
	Detail string
}

// Error returns the name and the details of the breach.
func (b Breach) Error() string { return "invariant " + b.Name + " broken: " + b.Detail }

// Handler receives breaches. It must be safe for concurrent use.
type Handler func(Breach)

var handler atomic.Pointer[Handler]

// SetHandler installs h and returns a function that restores the previous
// handler. Without a handler, a breach panics.
func SetHandler(h Handler) (restore func()) {
	old := handler.Swap(&h)
	return func() { handler.Store(old) }
}

// Check reports a breach of the named invariant if ok is false.
func Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	b := Breach{Name: name, Detail: fmt.Sprintf(format, args...)}
	if h := handler.Load(); h != nil && *h != nil {
		(*h)(b)
		return
	}
	panic(b)
}
