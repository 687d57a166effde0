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

// result holds the measurements of one phase. The histograms are in
// microseconds.
type result struct {
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
	tokens     int
	messages   int // stream messages that carried tokens
	completed  int
	failed     int
	lastErr    error
	duration   time.Duration
	schedWait  time.Duration // 95th percentile of the scheduling latency of the callers' goroutines
}

func (r *result) tokensPerSecond() float64 { return float64(r.tokens) / r.duration.Seconds() }

func (r *result) tokensPerMessage() float64 {
	return float64(r.tokens) / float64(max(r.messages, 1))
}

// receiveFunc receives one message of a stream. It returns the number of tokens
// in the message and whether the message ended the stream.
type receiveFunc func() (tokens int, ended bool, err error)

// openStreamFunc opens the stream of the nth request.
type openStreamFunc func(ctx context.Context, n int, prompt string, tokens uint32) (receiveFunc, error)

// drive starts requests at the constant rate of the options for the duration
// of the phase and waits until all of them have finished.
func drive(opt options, open openStreamFunc) *result {
	r := &result{firstToken: hdrhistogram.New(1, 60_000_000, 3), tokenGap: hdrhistogram.New(1, 60_000_000, 3)}
	var wg sync.WaitGroup
	latency := newSchedLatency()
	startTime := time.Now()
	tick := time.NewTicker(time.Second / ticksPerSecond)
	defer tick.Stop()
	started := 0
	for time.Since(startTime) < opt.Duration {
		<-tick.C
		target := int(time.Since(startTime).Seconds() * opt.Rate)
		for ; started < target; started++ {
			n := started
			wg.Go(func() { r.runRequest(open, n, opt.Tokens) })
		}
	}
	wg.Wait()
	r.duration = time.Since(startTime)
	r.schedWait = latency.quantile(95)
	return r
}

// runRequest runs the nth request to its end and records its latencies.
func (r *result) runRequest(open openStreamFunc, n int, tokens uint32) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	startTime := time.Now()
	receive, err := open(ctx, n, fmt.Sprintf("question %d", n), tokens)
	if err != nil {
		r.fail(err)
		return
	}
	gaps := make([]int64, 0, tokens)
	var first, last time.Time
	received := 0
	for {
		count, ended, err := receive()
		now := time.Now()
		if err != nil {
			r.fail(err)
			return
		}
		if count > 0 && received == 0 {
			first = now
		} else if count > 0 {
			gaps = append(gaps, now.Sub(last).Microseconds())
		}
		received += count
		last = now
		if ended {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completed++
	r.tokens += received
	r.messages += len(gaps) + 1
	_ = r.firstToken.RecordValue(first.Sub(startTime).Microseconds())
	for _, g := range gaps {
		_ = r.tokenGap.RecordValue(g)
	}
}

func (r *result) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed++
	r.lastErr = err
}

// directCalls opens streams at the engines, in rotation.
func directCalls(targets []target) openStreamFunc {
	var engines []carawayv1connect.EngineServiceClient
	for _, t := range targets {
		engines = append(engines, carawayv1connect.NewEngineServiceClient(httpx.NewClient(httpx.Dialer()), "http://"+t.address))
	}
	return func(ctx context.Context, n int, prompt string, tokens uint32) (receiveFunc, error) {
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
				return 0, false, streamError(s.Err())
			}
			return len(s.Msg().Tokens), s.Msg().End != nil, nil
		}, nil
	}
}

// daemonCalls opens streams through the daemon, over the given number of
// connections.
func daemonCalls(d *stack.Daemon, clients int) openStreamFunc {
	var pool []carawayv1connect.InferenceServiceClient
	for range clients {
		pool = append(pool, carawayv1connect.NewInferenceServiceClient(httpx.NewClient(httpx.Dialer()), "http://"+d.Callers))
	}
	return func(ctx context.Context, n int, prompt string, tokens uint32) (receiveFunc, error) {
		s, err := pool[n%len(pool)].Generate(ctx, connect.NewRequest(&carawayv1.GenerateRequest{
			Workspace: "load", Service: "bench", Prompt: prompt, MaxTokens: tokens,
		}))
		if err != nil {
			return nil, err
		}
		return func() (int, bool, error) {
			if !s.Receive() {
				return 0, false, streamError(s.Err())
			}
			return len(s.Msg().Tokens), s.Msg().End != nil, nil
		}, nil
	}
}

// streamError returns the error of a stream that has no more messages, also
// when the stream closed cleanly but without an end message.
func streamError(err error) error {
	if err == nil {
		return errors.New("stream closed without an end message")
	}
	return err
}
