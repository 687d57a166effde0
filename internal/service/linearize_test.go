package service_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/standin/platform"
)

// publishCall is the input of a porcupine operation: one publication of a
// single service.
type publishCall struct {
	Base    uint64
	Comment string
}

// publishResponse is the output of a porcupine operation.
type publishResponse struct {
	Kind     service.OutcomeKind
	Revision uint64
}

// registerModel is a register with compare-and-set on its revision. A
// publication with an unknown outcome may or may not have been accepted.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		revision, call, response := state.(uint64), input.(publishCall), output.(publishResponse)
		current := call.Base == revision
		switch response.Kind {
		case service.Accepted:
			if current && response.Revision == revision+1 {
				return []any{revision + 1}
			}
		case service.Conflicted:
			if !current {
				return []any{revision}
			}
		case service.NotPublished:
			return []any{revision}
		case service.Unknown:
			if current {
				return []any{revision, revision + 1}
			}
			return []any{revision}
		}
		return nil
	},
}

// publishRace is a generated schedule of publications and log faults.
type publishRace struct {
	lostResponses, delay []int   // log faults of each 300 ms step; a negative delay is an outage
	pauses               [][]int // milliseconds before each publication, by publisher
}

func drawPublishRace(t *rapid.T) publishRace {
	r := publishRace{
		lostResponses: rapid.SliceOfN(rapid.IntRange(0, 2), 8, 8).Draw(t, "lose"),
		delay:         rapid.SliceOfN(rapid.SampledFrom([]int{0, 5, 400, -1}), 8, 8).Draw(t, "delay"),
	}
	for range 3 {
		r.pauses = append(r.pauses, rapid.SliceOfN(rapid.SampledFrom([]int{0, 10, 150, 700}), 5, 5).Draw(t, "pauses"))
	}
	return r
}

// run executes the schedule with one daemon per publisher and returns the
// history and the last revision.
func (r publishRace) run(t *testing.T) (history []porcupine.Operation, last uint64) {
	l := newLog()
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for client, pauses := range r.pauses {
		d := startDaemon(t, fleet.DaemonID(fmt.Sprint(client)), l, nil, false)
		wg.Go(func() {
			for i, pause := range pauses {
				time.Sleep(time.Duration(pause)*time.Millisecond + 1)
				call := publishCall{Base: d.fold.Catalog().Revision, Comment: fmt.Sprint(client, i)}
				op := porcupine.Operation{ClientId: client, Input: call, Call: int64(time.Since(start))}
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				out := d.Publish(ctx, publication("p", change(call.Base, "s", "", call.Comment)))
				cancel()
				op.Output = publishResponse{Kind: out.Kind, Revision: out.Revision}
				op.Return = int64(time.Since(start))
				if out.Kind == service.Unknown {
					op.Return = int64(time.Hour) // the log may still receive it
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	for i := range r.lostResponses {
		l.SetFaults(platform.LogFaults{
			LoseResponses: r.lostResponses[i], Down: r.delay[i] < 0, Delay: time.Duration(max(0, r.delay[i])) * time.Millisecond,
		})
		time.Sleep(300 * time.Millisecond)
	}
	l.SetFaults(platform.LogFaults{})
	wg.Wait()
	time.Sleep(5 * time.Second)
	fresh := startDaemon(t, "fresh", l, nil, false)
	time.Sleep(time.Second)
	return history, fresh.fold.Catalog().Revision
}

// TestPublishingIsLinearizable checks that publishing acts as a compare-and-set
// on the service's revision even if responses of the log are lost.
func TestPublishingIsLinearizable(t *testing.T) {
	kinds := map[service.OutcomeKind]int{}
	rapid.Check(t, func(rt *rapid.T) {
		r := drawPublishRace(rt)
		var linearizable bool
		var last, accepted uint64
		synctest.Test(t, func(t *testing.T) {
			var history []porcupine.Operation
			history, last = r.run(t)
			linearizable = porcupine.CheckOperations(registerModel.ToModel(), history)
			accepted = 0
			for _, op := range history {
				kind := op.Output.(publishResponse).Kind
				kinds[kind]++
				if kind == service.Accepted {
					accepted++
				}
			}
		})
		if !linearizable {
			rt.Fatal("history is not linearizable")
		}
		if last < accepted {
			rt.Fatalf("revision %d after %d accepted publications", last, accepted)
		}
	})
	t.Logf("outcomes %v", kinds)
	for _, kind := range []service.OutcomeKind{service.Accepted, service.Conflicted, service.NotPublished} {
		assert.Assert(t, kinds[kind] > 0, "no publication was %s", kind)
	}
}
