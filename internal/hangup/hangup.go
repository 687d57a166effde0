// Package hangup receives SIGHUP from the start of the process on. The signal says
// that the settings have changed, which may be at any moment, and ends a process that
// does not handle it. The package imports little, so that it is initialized before
// almost all others.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives SIGHUP. Signals that arrive while one is pending are dropped.
var Signals = notify()

func notify() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}
