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

// publishCall is one publication to a single service, as porcupine sees it.
type publishCall struct {
	Base    uint64
	Comment string
}

// publishAnswer is what the publisher was told.
type publishAnswer struct {
	Kind     service.OutcomeKind
	Revision uint64
}

// registerModel is a register with compare-and-set on its revision. Unknown
// publications may or may not have counted.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		revision, call, answer := state.(uint64), input.(publishCall), output.(publishAnswer)
		current := call.Base == revision
		switch answer.Kind {
		case service.Accepted:
			if current && answer.Revision == revision+1 {
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

// race is one drawn run of publishers.
type race struct {
	lose, delay []int // log faults at each tick
	pauses      [][]int
}

func drawRace(t *rapid.T) race {
	r := race{
		lose:  rapid.SliceOfN(rapid.IntRange(0, 2), 8, 8).Draw(t, "lose"),
		delay: rapid.SliceOfN(rapid.SampledFrom([]int{0, 5, 400, -1}), 8, 8).Draw(t, "delay"),
	}
	for range 3 {
		r.pauses = append(r.pauses, rapid.SliceOfN(rapid.SampledFrom([]int{0, 10, 150, 700}), 5, 5).Draw(t, "pauses"))
	}
	return r
}

// run lets three publishers race at three daemons over a log with faults and
// returns the history and the last revision.
func (r race) run(t *testing.T) (history []porcupine.Operation, last uint64) {
	l := newLog()
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin := time.Now()
	for client, pauses := range r.pauses {
		d := start(t, fleet.DaemonID(fmt.Sprint(client)), l, nil, false)
		wg.Go(func() {
			for i, pause := range pauses {
				time.Sleep(time.Duration(pause)*time.Millisecond + 1)
				call := publishCall{Base: d.book.Catalog().Revision, Comment: fmt.Sprint(client, i)}
				op := porcupine.Operation{ClientId: client, Input: call, Call: int64(time.Since(begin))}
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				out := d.Publish(ctx, publication("p", change(call.Base, "s", "", call.Comment)))
				cancel()
				op.Output = publishAnswer{Kind: out.Kind, Revision: out.Revision}
				op.Return = int64(time.Since(begin))
				if out.Kind == service.Unknown {
					op.Return = int64(time.Hour) // it may still arrive
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	for i := range r.lose {
		l.SetFaults(platform.LogFaults{
			LoseAnswers: r.lose[i], Down: r.delay[i] < 0, Delay: time.Duration(max(0, r.delay[i])) * time.Millisecond,
		})
		time.Sleep(300 * time.Millisecond)
	}
	l.SetFaults(platform.LogFaults{})
	wg.Wait()
	time.Sleep(5 * time.Second)
	fresh := start(t, "fresh", l, nil, false)
	time.Sleep(time.Second)
	return history, fresh.book.Catalog().Revision
}

// Publishing is a compare-and-set on the service's revision, whatever answers
// are lost.
func TestPublishingIsLinearizable(t *testing.T) {
	kinds := map[service.OutcomeKind]int{}
	rapid.Check(t, func(rt *rapid.T) {
		r := drawRace(rt)
		var verdict bool
		var last, won uint64
		synctest.Test(t, func(t *testing.T) {
			var history []porcupine.Operation
			history, last = r.run(t)
			verdict = porcupine.CheckOperations(registerModel.ToModel(), history)
			won = 0
			for _, op := range history {
				kind := op.Output.(publishAnswer).Kind
				kinds[kind]++
				if kind == service.Accepted {
					won++
				}
			}
		})
		if !verdict {
			rt.Fatal("history is not linearizable")
		}
		if last < won {
			rt.Fatalf("revision %d after %d accepted publications", last, won)
		}
	})
	t.Logf("outcomes %v", kinds)
	for _, kind := range []service.OutcomeKind{service.Accepted, service.Conflicted, service.NotPublished} {
		assert.Assert(t, kinds[kind] > 0, "no publication was %s", kind)
	}
}
