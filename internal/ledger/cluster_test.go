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

// daemon is one daemon's ledger over the in-memory log.
type daemon struct {
	id     fleet.DaemonID
	ctx    context.Context
	kill   context.CancelFunc
	books  []*ledger.Book // of its shards
	client *ledger.Client
	done   sync.WaitGroup
}

func newDaemon(log journal.Log, id string, shards int) *daemon {
	ctx, kill := context.WithCancel(context.Background())
	d := &daemon{id: fleet.DaemonID(id), ctx: ctx, kill: kill}
	cfg := ledger.ClientConfig{Self: d.id, Gone: func(id fleet.DaemonID) bool { return id == "gone" }}
	for n := range shards {
		book := ledger.NewBook(0)
		replica := journal.NewReplica(journal.Config{Stream: journal.LedgerStream(n), Self: d.id, Log: log, Fold: book})
		d.books = append(d.books, book)
		cfg.Shards = append(cfg.Shards, ledger.Shard{Proposer: replica, Book: book})
		d.done.Go(func() { replica.Run(ctx) })
	}
	d.client = ledger.NewClient(cfg)
	d.done.Go(func() { d.client.Run(ctx) })
	return d
}

func (d *daemon) dead() bool { return d.ctx.Err() != nil }

func (d *daemon) stop() {
	d.kill()
	d.done.Wait()
}

func key(caller string) ledger.Key {
	return ledger.Key{Workspace: "w", Service: "logbook", Caller: caller}
}

// server is a backend server that counts its runs.
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

// step is a point in a call at which a fault may strike.
type step int

const (
	stepIntent  step = iota // before Begin
	stepSend                // granted, not sent
	stepAnswer              // sent, not recorded
	stepOutcome             // recorded, caller not answered
	steps
)

// fate is what strikes one call at one step.
type fate struct {
	at     step
	kill   bool
	freeze time.Duration
}

func drawFate(r *rand.Rand) fate {
	f := fate{at: step(r.IntN(int(steps)))}
	switch r.IntN(4) {
	case 0:
		f.kill = true
	case 1:
		f.freeze = time.Duration(r.IntN(20)) * time.Second
	}
	return f
}

// strike applies a call's fate and reports whether its daemon lives.
func (d *daemon) strike(f fate, at step) bool {
	if f.at == at {
		if f.kill {
			d.kill()
		}
		time.Sleep(f.freeze)
	}
	return !d.dead()
}

// result is what a caller got.
type result struct {
	state fleet.RunState // Unknown when its daemon was killed
	body  string
}

// call is the way of one request through a daemon, as dispatch goes it.
func (d *daemon) call(s *server, caller, id string, f fate) result {
	if !d.strike(f, stepIntent) {
		return result{}
	}
	ctx, cancel := context.WithTimeout(d.ctx, 8*time.Second)
	defer cancel()
	g := d.client.Begin(ctx, key(caller), 7)
	if !d.strike(f, stepSend) {
		return result{}
	}
	switch g.Decision {
	case ledger.Replay:
		return result{state: fleet.Done, body: string(g.Answer.Body)}
	case ledger.Refused:
		return result{state: g.Failure.State}
	}
	if !d.client.Holds(g.Token) || ctx.Err() != nil {
		d.client.Abandon(ctx, g.Token)
		return result{state: fleet.NotRun}
	}
	body := s.run(caller, id)
	if !d.strike(f, stepAnswer) {
		return result{}
	}
	d.client.Finish(ctx, g.Token, ledger.AnswerOf(body))
	if !d.strike(f, stepOutcome) {
		return result{}
	}
	return result{state: fleet.Done, body: string(body)}
}

// disturb switches the log's faults for a while.
func disturb(ctx context.Context, log *platform.Log, r *rand.Rand) {
	for ctx.Err() == nil {
		switch r.IntN(5) {
		case 0:
			log.SetFaults(platform.LogFaults{Down: true})
		case 1:
			log.SetFaults(platform.LogFaults{LoseAnswers: 1 + r.IntN(5)})
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
