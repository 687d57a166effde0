package daemon

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/settings"
)

// newDaemon returns a daemon with the given arguments that is not running.
func newDaemon(t *testing.T, args ...string) *Daemon {
	t.Helper()
	required := []string{"--availability-zone=a", "--platform=127.0.0.1:1", "--peers-advertise=127.0.0.1:2"}
	s, err := settings.Parse(append(required, args...))
	assert.NilError(t, err)
	d, err := New(s, Env{Log: io.Discard, Seed: 1})
	assert.NilError(t, err)
	return d
}

func TestWhenCutOffSelectsReadinessPolicy(t *testing.T) {
	for arg, want := range map[string]bool{
		"--when-cut-off=refuse": false,
		"--when-cut-off=serve":  true,
	} {
		t.Run(arg, func(t *testing.T) {
			assert.Equal(t, newDaemon(t, arg).callerReadinessPolicy().AnyPeer, want)
		})
	}
	assert.Equal(t, newDaemon(t).callerReadinessPolicy().AnyPeer, false)
}

func TestWhenFloodedSelectsGroupRange(t *testing.T) {
	for arg, want := range map[string]bool{
		"--when-flooded=part": true,
		"--when-flooded=all":  false,
	} {
		t.Run(arg, func(t *testing.T) {
			controller := newDaemon(t, arg).admission
			now := time.Now()
			admit := func(name fleet.Workspace, weight float64) {
				_, _ = controller.Admit(now, admission.Request{Service: "s", Workspace: name, Weight: weight})
			}
			admit("small", 7)
			for range 100_000 {
				admit("large", 3)
			}
			assert.Equal(t, controller.GroupRange(now, "s", "large") != routing.GroupRange{}, want)
		})
	}
}
