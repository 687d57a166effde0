package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/standin/stack"
)

// result is what one phase measured, times in microseconds.
type result struct {
	mu       sync.Mutex
	first    *hdrhistogram.Histogram
	gap      *hdrhistogram.Histogram
	tokens   int
	messages int // that brought tokens
	done     int
	failed   int
	lastErr  error
	took     time.Duration
	waited   time.Duration // of the callers' goroutines for a processor, 95 in 100
}

func (r *result) tokensPerSecond() float64 { return float64(r.tokens) / r.took.Seconds() }

func (r *result) tokensPerMessage() float64 {
	return float64(r.tokens) / float64(max(r.messages, 1))
}

// next is one message of a stream: how many tokens it brought, and whether it
// ended the stream.
type next func() (tokens int, ended bool, err error)

// open begins the nth request.
type open func(ctx context.Context, n int, prompt string, tokens uint32) (next, error)

// drive starts requests at a steady rate for the phase and waits for their
// ends.
func drive(opt options, begin open) *result {
	r := &result{first: hdrhistogram.New(1, 60_000_000, 3), gap: hdrhistogram.New(1, 60_000_000, 3)}
	var wg sync.WaitGroup
	waits := beginWaits()
	began := time.Now()
	tick := time.NewTicker(time.Second / ticksASec)
	defer tick.Stop()
	started := 0
	for time.Since(began) < opt.Duration {
		<-tick.C
		due := int(time.Since(began).Seconds() * opt.Rate)
		for ; started < due; started++ {
			n := started
			wg.Go(func() { r.one(begin, n, opt.Tokens) })
		}
	}
	wg.Wait()
	r.took = time.Since(began)
	r.waited = waits.quantile(95)
	return r
}

func (r *result) one(begin open, n int, tokens uint32) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	began := time.Now()
	receive, err := begin(ctx, n, fmt.Sprintf("question %d", n), tokens)
	if err != nil {
		r.fail(err)
		return
	}
	gaps := make([]int64, 0, tokens)
	var first, last time.Time
	got := 0
	for {
		k, ended, err := receive()
		now := time.Now()
		if err != nil {
			r.fail(err)
			return
		}
		if k > 0 && got == 0 {
			first = now
		} else if k > 0 {
			gaps = append(gaps, now.Sub(last).Microseconds())
		}
		got += k
		last = now
		if ended {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done++
	r.tokens += got
	r.messages += len(gaps) + 1
	_ = r.first.RecordValue(first.Sub(began).Microseconds())
	for _, g := range gaps {
		_ = r.gap.RecordValue(g)
	}
}

func (r *result) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed++
	r.lastErr = err
}

func directCalls(targets []target) open {
	var engines []carawayv1connect.EngineServiceClient
	for _, t := range targets {
		engines = append(engines, carawayv1connect.NewEngineServiceClient(httpx.NewClient(httpx.Dialer()), "http://"+t.address))
	}
	return func(ctx context.Context, n int, prompt string, tokens uint32) (next, error) {
		i := n % len(engines)
		s, err := engines[i].Run(ctx, connect.NewRequest(&carawayv1.RunRequest{
			RequestId: prompt, AttemptId: prompt, Service: "bench", Version: "v1", Prompt: prompt, MaxTokens: tokens,
			Group: targets[i].group.Group, Epoch: targets[i].group.Epoch,
		}))
		if err != nil {
			return nil, err
		}
		return func() (int, bool, error) {
			if !s.Receive() {
				return 0, false, ended(s.Err())
			}
			return len(s.Msg().Tokens), s.Msg().End != nil, nil
		}, nil
	}
}

func daemonCalls(d *stack.Daemon, clients int) open {
	var pool []carawayv1connect.InferenceServiceClient
	for range clients {
		pool = append(pool, carawayv1connect.NewInferenceServiceClient(httpx.NewClient(httpx.Dialer()), "http://"+d.Callers))
	}
	return func(ctx context.Context, n int, prompt string, tokens uint32) (next, error) {
		s, err := pool[n%len(pool)].Generate(ctx, connect.NewRequest(&carawayv1.GenerateRequest{
			Workspace: "load", Service: "bench", Prompt: prompt, MaxTokens: tokens,
		}))
		if err != nil {
			return nil, err
		}
		return func() (int, bool, error) {
			if !s.Receive() {
				return 0, false, ended(s.Err())
			}
			return len(s.Msg().Tokens), s.Msg().End != nil, nil
		}, nil
	}
}

func ended(err error) error {
	if err == nil {
		return errors.New("the stream stopped without an end")
	}
	return err
}
