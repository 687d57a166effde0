package placement_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/lease"
	"carawayproxy.example/caraway/standin/platform"
)

const (
	rigScope lease.Scope = "placement/00"
	rigLoad              = 10 * time.Second
)

// rig is a fleet with daemons that run the real fold, leases and executor.
type rig struct {
	t        *testing.T
	log      *platform.Log
	engines  []*rigEngine
	mu       sync.Mutex // guards groups and daemons once daemons run
	daemons  []*rigDaemon
	groups   int
	size     int
	spares   int
	inFlight uint32 // on each group
	running  sync.WaitGroup
}

func newRig(t *testing.T, engines int, checksFencing bool) *rig {
	r := &rig{t: t, log: platform.NewLog(platform.LogConfig{}), groups: 1, size: 3}
	for i := range engines {
		r.engines = append(r.engines, &rigEngine{instance: fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("e%d", i)), Address: fmt.Sprintf("10.0.0.%d:7000", i), Zone: "a", Fabric: "f1",
			Pool: "p", Kind: fleet.KindEngine, Accelerators: 8, ChecksFencing: checksFencing,
		}})
	}
	return r
}

func (r *rig) wanted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.groups
}

func (r *rig) setWanted(groups int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.groups = groups
}

// await waits until ok returns true and returns the time that this took.
func (r *rig) await(condition string, bound time.Duration, ok func() bool) time.Duration {
	r.t.Helper()
	start := time.Now()
	for !ok() {
		assert.Assert(r.t, time.Since(start) < bound, "%s: not within %s", condition, bound)
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start)
}

func (r *rig) engineOf(m group.Member) *rigEngine {
	i := slices.IndexFunc(r.engines, func(e *rigEngine) bool { return e.instance.ID == m.Instance })
	return r.engines[i]
}

// onlyGroup returns the single group of a daemon's view.
func (r *rig) onlyGroup(d *rigDaemon) *group.Group {
	r.t.Helper()
	v := d.fold.View()
	assert.Equal(r.t, len(v.Groups), 1)
	for _, g := range v.Groups {
		return g
	}
	return nil
}
