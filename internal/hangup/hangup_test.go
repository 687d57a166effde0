package hangup

import (
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A signal that arrived before the daemon listened ended the process.
func TestHangupBeforeTheDaemonListensEndedTheProcess(t *testing.T) {
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case <-Signals:
	case <-time.After(10 * time.Second):
		t.Fatal("the signal was not received")
	}
}
