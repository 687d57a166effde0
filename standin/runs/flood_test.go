package runs

import (
	"context"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/internal/settings"
)

// Load of the flood test. The engines of one group run 16 requests concurrently.
const (
	smallWorkspace = "desk" // has 7 of 10 weights
	largeWorkspace = "mill"
	// smallCallers and largeCallers are callers at each of two daemons, which can
	// run 32 requests each.
	smallCallers    = 18
	largeCallers    = 40
	timeBeforeFlood = 15 * time.Second
	floodTime       = 15 * time.Second
	// floodDetectionTime is the time within which the daemons detect the flood.
	floodDetectionTime = 8 * time.Second
)

// floodLoad makes and counts the calls of two workspaces.
type floodLoad struct {
	*tampering
	mu          sync.Mutex
	completed   map[string]int
	failed      map[string]int
	duringFlood map[string]string // workspace by id of requests made after the flood was detected
}

// callUntilDone makes one call after another until ctx ends, with a pause after
// an error.
func (f *floodLoad) callUntilDone(ctx context.Context, d *daemonHost, workspace string, detected time.Time) {
	for n := 0; ctx.Err() == nil; n++ {
		id := f.callers.nextID(workspace)
		if time.Now().After(detected) {
			f.mu.Lock()
			f.duringFlood[id] = workspace
			f.mu.Unlock()
		}
		err := f.generate(d, workspace, id)
		f.mu.Lock()
		if err == nil {
			f.completed[workspace]++
		} else {
			f.failed[workspace+" "+connect.CodeOf(err).String()]++
		}
		f.mu.Unlock()
		if err != nil {
			sleep(ctx, 300*time.Millisecond)
		}
	}
}

func (f *floodLoad) generate(d *daemonHost, workspace, id string) error {
	ctx, cancel := context.WithTimeout(f.ctx, callDeadline)
	defer cancel()
	stream, err := f.callers.client(d).Generate(ctx, connect.NewRequest(&carawayv1.GenerateRequest{
		RequestId: id, Workspace: workspace, Service: modelService, Prompt: id, MaxTokens: 2 * requestedTokens,
	}))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
	}
	return stream.Err()
}

// run lets the small workspace call for a while, and then the large one as well.
func (f *floodLoad) run() {
	file := strings.Replace(modelFile(f.ops.groups, 7), "replicas:\n", "  - name: "+largeWorkspace+"\n    share: 3\nreplicas:\n", 1)
	base, _ := f.ops.modelRevision(f.ctx, f.world.daemons[0])
	f.ops.publish(f.ctx, f.world.daemons[0], "trust", []*carawayv1.ServiceChange{
		{Service: modelService, BaseRevision: base, Body: file, File: "drafting.yaml"},
	})
	sleep(f.ctx, 20*time.Second)
	ctx, stop := context.WithTimeout(f.ctx, timeBeforeFlood+floodTime)
	defer stop()
	detected := time.Now().Add(timeBeforeFlood + floodDetectionTime)
	var calls sync.WaitGroup
	for _, d := range f.world.daemons {
		for range smallCallers {
			calls.Go(func() { f.callUntilDone(ctx, d, smallWorkspace, detected) })
		}
		for range largeCallers {
			calls.Go(func() {
				sleep(ctx, timeBeforeFlood)
				f.callUntilDone(ctx, d, largeWorkspace, detected)
			})
		}
	}
	calls.Wait()
}

var routedTo = regexp.MustCompile(`msg=dispatch\.routed .*request=(\S+) .* group=(\S+) `)

// countSharedChoices returns the number of the large workspace's routing
// decisions after the flood was detected, and how many of them chose a group
// that the small workspace used too.
func (f *floodLoad) countSharedChoices(log string) (shared, all int) {
	large, small := map[string]int{}, map[string]int{}
	for _, m := range routedTo.FindAllStringSubmatch(log, -1) {
		switch f.duringFlood[m[1]] {
		case largeWorkspace:
			large[m[2]]++
		case smallWorkspace:
			small[m[2]]++
		}
	}
	for group, n := range large {
		all += n
		if small[group] > 0 {
			shared += n
		}
	}
	return shared, all
}

// A workspace floods a service. Depending on the setting, it must mostly be
// confined to groups of its own, or use all groups.
func TestFloodFromOneWorkspace(t *testing.T) {
	for setting, confined := range map[string]bool{settings.FloodedPart: true, settings.FloodedAll: false} {
		t.Run(setting, func(t *testing.T) {
			t.Parallel()
			log := &logBuffer{}
			f := &floodLoad{completed: map[string]int{}, failed: map[string]int{}, duringFlood: map[string]string{}}
			runInBubble(t, Options{
				Seed: 1, Length: 150 * time.Second, noFaults: true, noOperators: true, callInterval: time.Minute, Log: log,
				size:     Size{Daemons: 2, Fabrics: 4, Engines: 3, Plains: 1},
				settings: drawnSettings{cutOff: settings.CutOffRefuse, flooded: setting},
				tamper:   func(m *tampering) { f.tampering = m; f.run() },
			})
			t.Log(f.completed, f.failed)
			overloaded := " " + connect.CodeResourceExhausted.String()
			assert.Assert(t, f.completed[smallWorkspace] > 500 && f.completed[largeWorkspace] > 100, "%v", f.completed)
			assert.Assert(t, f.failed[largeWorkspace+overloaded] > 100, "too few rejections for a flood: %v", f.failed)
			assert.Assert(t, 20*f.failed[smallWorkspace+overloaded] <= f.completed[smallWorkspace], "more than 1 in 20 calls of the small workspace were rejected: %v", f.failed)
			delete(f.failed, smallWorkspace+overloaded)
			assert.Equal(t, len(f.failed), 1, "errors other than rejections: %v", f.failed)
			shared, all := f.countSharedChoices(log.String())
			assert.Assert(t, all > 100)
			assert.Equal(t, 2*shared < all, confined, "%d of %d routing decisions chose groups of the small workspace", shared, all)
		})
	}
}
