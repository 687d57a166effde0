// Package invariant asserts what must always hold. A breach stops the process
// with the state that shows it; tests install a handler that records it.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Breach is an invariant that did not hold.
type Breach struct {
	Name   string // stable name, listed in docs/PROMISES.md
	Detail string
}

// Error describes the breach.
func (b Breach) Error() string { return "invariant " + b.Name + " broken: " + b.Detail }

// Handler receives breaches. It must be safe for concurrent use.
type Handler func(Breach)

var handler atomic.Pointer[Handler]

// SetHandler installs h and returns a function that puts the previous one
// back. Without a handler a breach panics.
func SetHandler(h Handler) (restore func()) {
	old := handler.Swap(&h)
	return func() { handler.Store(old) }
}

// Check reports a breach of the named invariant unless ok holds.
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
