package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/ledger"
	"carawayproxy.example/caraway/standin/platform"
)

// daemon is one daemon's ledger on the in-memory log.
type daemon struct {
	id     fleet.DaemonID
	ctx    context.Context
	kill   context.CancelFunc
	folds  []*ledger.Fold // of its shards
	client *ledger.Client
	done   sync.WaitGroup
}

func newDaemon(log journal.Log, id string, shards int) *daemon {
	ctx, kill := context.WithCancel(context.Background())
	d := &daemon{id: fleet.DaemonID(id), ctx: ctx, kill: kill}
	cfg := ledger.ClientConfig{Self: d.id, HasStopped: func(id fleet.DaemonID) bool { return id == "gone" }}
	for n := range shards {
		fold := ledger.NewFold(0)
		replica := journal.NewReplica(journal.Config{Stream: journal.LedgerStream(n), Self: d.id, Log: log, Fold: fold})
		d.folds = append(d.folds, fold)
		cfg.Shards = append(cfg.Shards, ledger.Shard{Proposer: replica, Fold: fold})
		d.done.Go(func() { replica.Run(ctx) })
	}
	d.client = ledger.NewClient(cfg)
	d.done.Go(func() { d.client.Run(ctx) })
	return d
}

func (d *daemon) killed() bool { return d.ctx.Err() != nil }

func (d *daemon) stop() {
	d.kill()
	d.done.Wait()
}

func key(caller string) ledger.Key {
	return ledger.Key{Workspace: "w", Service: "logbook", Caller: caller}
}

// server is a backend server that records which calls ran.
type server struct {
	mu   sync.Mutex
	runs map[string][]string // by key, the calls that ran
}

func (s *server) run(key, call string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key] = append(s.runs[key], call)
	return []byte(call)
}

// step is a point in a call at which a fault can be injected.
type step int

const (
	stepIntent  step = iota // before Begin
	stepSend                // granted, not yet sent
	stepAnswer              // sent, not yet recorded
	stepOutcome             // recorded, caller not yet answered
	steps
)

// fault is the fault of one call: at one step the daemon is killed or paused.
type fault struct {
	at    step
	kill  bool
	pause time.Duration
}

func randomFault(r *rand.Rand) fault {
	f := fault{at: step(r.IntN(int(steps)))}
	switch r.IntN(4) {
	case 0:
		f.kill = true
	case 1:
		f.pause = time.Duration(r.IntN(20)) * time.Second
	}
	return f
}

// inject applies the fault if the call is at its step. It reports whether the
// daemon is still running.
func (d *daemon) inject(f fault, at step) bool {
	if f.at == at {
		if f.kill {
			d.kill()
		}
		time.Sleep(f.pause)
	}
	return !d.killed()
}

// result is the response to a caller.
type result struct {
	state fleet.RunState // RunStateUnknown if the daemon was killed
	body  string
}

// call processes one request in the same steps as package dispatch.
func (d *daemon) call(s *server, caller, id string, f fault) result {
	if !d.inject(f, stepIntent) {
		return result{}
	}
	ctx, cancel := context.WithTimeout(d.ctx, 8*time.Second)
	defer cancel()
	g := d.client.Begin(ctx, key(caller), 7)
	if !d.inject(f, stepSend) {
		return result{}
	}
	switch g.Decision {
	case ledger.Replay:
		return result{state: fleet.Done, body: string(g.Answer.Body)}
	case ledger.Refused:
		return result{state: g.Failure.State}
	}
	if !d.client.IsGrantValid(g.Token) || ctx.Err() != nil {
		d.client.Abandon(ctx, g.Token)
		return result{state: fleet.NotRun}
	}
	body := s.run(caller, id)
	if !d.inject(f, stepAnswer) {
		return result{}
	}
	d.client.Finish(ctx, g.Token, ledger.AnswerOf(body))
	if !d.inject(f, stepOutcome) {
		return result{}
	}
	return result{state: fleet.Done, body: string(body)}
}

// injectLogFaults changes the faults of the log at random until ctx ends, then
// clears them.
func injectLogFaults(ctx context.Context, log *platform.Log, r *rand.Rand) {
	for ctx.Err() == nil {
		switch r.IntN(5) {
		case 0:
			log.SetFaults(platform.LogFaults{Down: true})
		case 1:
			log.SetFaults(platform.LogFaults{LoseResponses: 1 + r.IntN(5)})
		case 2:
			log.SetFaults(platform.LogFaults{Delay: time.Duration(r.IntN(3000)) * time.Millisecond})
		default:
			log.SetFaults(platform.LogFaults{})
		}
		select {
		case <-time.After(time.Duration(r.IntN(6000)) * time.Millisecond):
		case <-ctx.Done():
		}
	}
	log.SetFaults(platform.LogFaults{})
}

func callID(caller string, n int) string { return fmt.Sprintf("%s/%d", caller, n) }
