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

// madeOf is a daemon put together from arguments; nothing of it runs.
func madeOf(t *testing.T, args ...string) *Daemon {
	t.Helper()
	customary := []string{"--availability-zone=a", "--platform=127.0.0.1:1", "--peers-advertise=127.0.0.1:2"}
	s, err := settings.Parse(append(customary, args...))
	assert.NilError(t, err)
	d, err := New(s, Env{Log: io.Discard, Seed: 1})
	assert.NilError(t, err)
	return d
}

func TestWhenCutOffDecidesHowManyPeersSuffice(t *testing.T) {
	for arg, one := range map[string]bool{
		"--when-cut-off=refuse": false,
		"--when-cut-off=serve":  true,
	} {
		t.Run(arg, func(t *testing.T) {
			assert.Equal(t, madeOf(t, arg).callersPolicy().AnyPeer, one)
		})
	}
	assert.Equal(t, madeOf(t).callersPolicy().AnyPeer, false)
}

func TestWhenFloodedDecidesWhetherAFloodKeepsToAPart(t *testing.T) {
	for arg, want := range map[string]bool{
		"--when-flooded=part": true,
		"--when-flooded=all":  false,
	} {
		t.Run(arg, func(t *testing.T) {
			gates := madeOf(t, arg).admission
			now := time.Now()
			admit := func(name fleet.Workspace, weight float64) {
				_, _ = gates.Admit(now, admission.Request{Service: "s", Workspace: name, Weight: weight})
			}
			admit("small", 7)
			for range 100_000 {
				admit("large", 3)
			}
			assert.Equal(t, gates.Part(now, "s", "large") != routing.Part{}, want)
		})
	}
}
