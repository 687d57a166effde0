package journal_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/standin/platform"
)

// Once the log is known to be unresponsive, a proposal is rejected as not
// appended without waiting for a timeout.
func TestUnresponsiveLogRejectsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platform.NewLog(platform.LogConfig{})
		r := journal.NewReplica(journal.Config{Stream: "s", Self: "d", Log: log, Fold: &recordingFold{}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.Run(ctx)
		}()
		defer func() {
			cancel()
			<-done
		}()
		time.Sleep(time.Second)
		// Calls hang, as with a stopped platform.
		log.SetFaults(platform.LogFaults{Delay: time.Hour})
		time.Sleep(10 * time.Second)
		began := time.Now()
		res := r.Propose(ctx, kindAdd, add{Name: "x"})
		assert.Equal(t, res.Outcome, journal.OutcomeNotAppended)
		assert.Assert(t, time.Since(began) < 100*time.Millisecond, "%s", time.Since(began))

		log.SetFaults(platform.LogFaults{})
		time.Sleep(10 * time.Second)
		assert.Equal(t, r.Propose(ctx, kindAdd, add{Name: "x"}).Outcome, journal.OutcomeAccepted)
	})
}
