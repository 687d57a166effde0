package runs

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/standin/engine"
	"carawayproxy.example/caraway/standin/plain"
)

// Names and limits that the callers use.
const (
	modelService = "drafting"
	plainService = "bookings"
	workspace    = "desk"
	adapter      = "nepali"
	methodBook   = "Book"
	methodLook   = "Look"

	callDeadline = 10 * time.Second
	maxRepeats   = 4
	// One in repeatOldEvery bookings is followed by a repeat of an old one.
	repeatOldEvery  = 4
	requestedTokens = 12
)

// call is one request of a caller to one daemon, with its outcome.
type call struct {
	id         string
	daemon     *daemonHost
	booking    bool // needs the log
	began, end time.Time
	complete   bool
	detail     *carawayv1.FailureDetail // nil for a complete response or a lost connection
	err        error
}

func (c *call) isNotRun() bool {
	return c.detail != nil && c.detail.RunState == carawayv1.RunState_RUN_STATE_NOT_RUN
}

// callers generate the load of a run and check the responses.
type callers struct {
	world    *World
	monitor  *monitor
	interval time.Duration // mean interval between two requests of one caller
	// promptSuffix is appended to the prompts that are sent but not to the
	// expected ones; set only by tests of the checkers.
	promptSuffix atomic.Pointer[string]

	mu     sync.Mutex
	calls  []*call
	lastID int
	// booked holds the answered bookings, oldest first.
	booked []booking
}

// booking is an answered booking.
type booking struct {
	key string
	at  time.Time
}

func (c *callers) nextID(kind string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	return fmt.Sprintf("s%d-%s-%d", c.world.seed, kind, c.lastID)
}

// run makes one caller's requests until ctx ends.
func (c *callers) run(ctx context.Context, r *rand.Rand, request func(context.Context, *rand.Rand)) {
	for {
		pause := time.Duration(r.ExpFloat64() * float64(c.interval))
		select {
		case <-time.After(min(pause, 5*c.interval)):
			request(ctx, r)
		case <-ctx.Done():
			return
		}
	}
}

// pickDaemon chooses a daemon as the platform's load balancer does: a random
// one that is ready, or any if none is. One pick in 20 ignores readiness.
func (c *callers) pickDaemon(r *rand.Rand) *daemonHost {
	var ready []*daemonHost
	for _, d := range c.world.daemons {
		if running, _ := d.daemon(); running != nil {
			if ok, _ := running.Ready(); ok {
				ready = append(ready, d)
			}
		}
	}
	if len(ready) == 0 || r.IntN(20) == 0 {
		return c.world.daemons[r.IntN(len(c.world.daemons))]
	}
	return ready[r.IntN(len(ready))]
}

func (c *callers) client(d *daemonHost) carawayv1connect.InferenceServiceClient {
	return carawayv1connect.NewInferenceServiceClient(c.world.client, "http://"+d.ip+":"+callersPort)
}

// recordCall records a call's outcome. checkRefusals checks it at the end of the
// run.
func (c *callers) recordCall(k *call, err error) {
	k.end = time.Now()
	k.err = err
	k.detail = detailOf(err)
	k.complete = err == nil
	c.monitor.count("calls")
	switch {
	case k.complete:
		c.monitor.count("calls whole")
	case k.detail != nil:
		c.monitor.count("calls refused " + k.detail.RunState.String() + " " + k.detail.Reason)
	default:
		c.monitor.count("calls without an answer")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, k)
}

func detailOf(err error) *carawayv1.FailureDetail {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return nil
	}
	for _, d := range ce.Details() {
		if v, vErr := d.Value(); vErr == nil {
			if f, ok := v.(*carawayv1.FailureDetail); ok {
				return f
			}
		}
	}
	return nil
}

// generate requests one generation and may retry it once if it fails.
func (c *callers) generate(ctx context.Context, r *rand.Rand) {
	prompt := strings.Repeat(fmt.Sprintf("Plant %d. ", r.IntN(5)), 40) + c.nextID("reading")
	for range 1 + r.IntN(2) {
		if c.generateOnce(ctx, c.pickDaemon(r), prompt).complete {
			return
		}
	}
}

func (c *callers) sentSuffix() string {
	if suffix := c.promptSuffix.Load(); suffix != nil {
		return *suffix
	}
	return ""
}

func (c *callers) generateOnce(ctx context.Context, d *daemonHost, prompt string) *call {
	k := &call{id: c.nextID("g"), daemon: d, began: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()
	stream, err := c.client(d).Generate(ctx, connect.NewRequest(&carawayv1.GenerateRequest{
		RequestId: k.id, Workspace: workspace, Service: modelService, Adapter: adapter, Prompt: prompt + c.sentSuffix(), MaxTokens: requestedTokens,
	}))
	if err == nil {
		err = c.readStream(k, prompt, stream)
	}
	c.recordCall(k, err)
	return k
}

var errStreamWithoutEnd = errors.New("the stream has no end")

func (c *callers) readStream(k *call, prompt string, stream *connect.ServerStreamForClient[carawayv1.GenerateResponse]) error {
	defer stream.Close()
	var tokens []*carawayv1.Token
	var end *carawayv1.End
	for stream.Receive() {
		m := stream.Msg()
		if m.RequestId != k.id {
			c.monitor.addFinding(CheckAnswer, "request %s got the response of request %s", k.id, m.RequestId)
		}
		tokens = append(tokens, m.Tokens...)
		end = m.End
	}
	if err := stream.Err(); err != nil {
		return err
	}
	if end == nil {
		return errStreamWithoutEnd
	}
	c.checkTokens(k, prompt, tokens, end)
	return nil
}

func (c *callers) checkTokens(k *call, prompt string, tokens []*carawayv1.Token, end *carawayv1.End) {
	if len(tokens) != requestedTokens || end.TokenCount != requestedTokens {
		c.monitor.addFinding(CheckAnswer, "request %s got %d tokens, the end message counts %d, want %d", k.id, len(tokens), end.TokenCount, requestedTokens)
	}
	for i, t := range tokens {
		want := engine.TokenText(modelService, end.Version, adapter, prompt, uint32(i))
		if t.Index != uint32(i) || t.Text != want {
			c.monitor.addFinding(CheckAnswer, "request %s token %d is %d %q, want %q", k.id, i, t.Index, t.Text, want)
			return
		}
	}
}

// crash sends a request that crashes the engines that run it, three times.
func (c *callers) crash(ctx context.Context, r *rand.Rand) {
	prompt := crashMarker + " " + c.nextID("crash")
	for range 3 {
		c.generateOnce(ctx, c.pickDaemon(r), prompt)
		c.monitor.count("crashing calls")
		sleep(ctx, time.Second)
	}
}

// book makes one booking. It retries with the same key at other daemons until one
// answers, and sometimes calls two daemons concurrently.
func (c *callers) book(ctx context.Context, r *rand.Rand) {
	key := c.nextID("key")
	body := bookingBody(key)
	first, second := c.pickDaemon(r), c.pickDaemon(r)
	if r.IntN(4) == 0 {
		var both sync.WaitGroup
		both.Go(func() { c.invoke(ctx, first, methodBook, key, body) })
		both.Go(func() { c.invoke(ctx, second, methodBook, key, body) })
		both.Wait()
		c.monitor.count("bookings at two daemons at once")
	}
	for range 1 + r.IntN(maxRepeats) {
		k := c.invoke(ctx, c.pickDaemon(r), methodBook, key, body)
		if k.complete {
			c.addBooked(key)
		}
		if k.complete && r.IntN(5) != 0 {
			c.repeatOldBooking(ctx, r)
			return
		}
		c.monitor.count("bookings repeated")
		sleep(ctx, time.Duration(r.IntN(3000))*time.Millisecond)
	}
}

func bookingBody(key string) []byte { return []byte("booking " + key) }

func (c *callers) addBooked(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.booked = append(c.booked, booking{key: key, at: time.Now()})
}

// repeatOldBooking sometimes repeats a booking whose records have expired, so
// that only a snapshot still contains its key.
func (c *callers) repeatOldBooking(ctx context.Context, r *rand.Rand) {
	old := c.bookedBefore(time.Now().Add(-retention))
	if len(old) == 0 || r.IntN(repeatOldEvery) != 0 {
		return
	}
	key := old[r.IntN(len(old))].key
	c.invoke(ctx, c.pickDaemon(r), methodBook, key, bookingBody(key))
	c.monitor.count("bookings repeated behind expired records")
}

func (c *callers) bookedBefore(t time.Time) []booking {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := slices.BinarySearchFunc(c.booked, t, func(b booking, t time.Time) int { return b.at.Compare(t) })
	return c.booked[:n]
}

// look makes an idempotent call.
func (c *callers) look(ctx context.Context, r *rand.Rand) {
	c.invoke(ctx, c.pickDaemon(r), methodLook, "", []byte(c.nextID("look")))
}

func (c *callers) invoke(ctx context.Context, d *daemonHost, method, key string, body []byte) *call {
	k := &call{id: c.nextID("i"), daemon: d, booking: method == methodBook, began: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()
	resp, err := c.client(d).Invoke(ctx, connect.NewRequest(&carawayv1.InvokeRequest{
		RequestId: k.id, Workspace: workspace, Service: plainService, Method: method, IdempotencyKey: key, Body: body,
	}))
	if err == nil {
		if want := plain.Answer(method, body); !bytes.Equal(resp.Msg.Body, want) || resp.Msg.RequestId != k.id {
			c.monitor.addFinding(CheckAnswer, "request %s got body %q of request %s, want %q", k.id, resp.Msg.Body, resp.Msg.RequestId, want)
		}
	}
	c.recordCall(k, err)
	return k
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// checkRefusals checks that no request rejected as not run has run.
func (c *callers) checkRefusals() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.calls {
		if k.isNotRun() {
			c.monitor.count("refusals checked")
			if c.monitor.hasRun(k.id) {
				c.monitor.addFinding(CheckNotRun, "request %s was rejected as not run (%s) but ran", k.id, k.detail.Reason)
			}
		}
	}
}

// checkPlannedStop checks that a planned stop cut no call.
func (c *callers) checkPlannedStop(d *daemonHost, stop span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.calls {
		if k.daemon != d || !stop.overlaps(k.began, k.end) || !c.monitor.noFaultDuring(k.began, k.end, 30*time.Second) {
			continue
		}
		c.monitor.count("calls during a planned stop")
		if !k.complete && !k.isNotRun() && !errors.Is(k.err, httpx.ErrDial) {
			c.monitor.addFinding(CheckPlannedStop, "request %s was cut by the planned stop of %s: %v", k.id, d.ip, k.err)
		}
	}
}

// checkRecovery checks the share of complete calls since a point in time. states
// describes the system for a finding.
func (c *callers) checkRecovery(since time.Time, states func() string) {
	complete, all, last := c.countSince(since)
	if all == 0 || float64(complete) < minCompleteShare*float64(all) {
		c.monitor.addFinding(CheckRecovery, "only %d of %d calls were complete after all faults had ended; last failure: %v; %s", complete, all, last, states())
	}
}

// countSince counts the complete calls and all calls that began at or after the
// given time, and returns the error of the last one that failed.
func (c *callers) countSince(since time.Time) (complete, all int, failure error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.calls {
		switch {
		case k.began.Before(since):
			continue
		case k.complete:
			complete++
		default:
			failure = k.err
		}
		all++
	}
	return complete, all, failure
}

// minCompleteShare is the minimum share of complete calls in a recovered system.
const minCompleteShare = 0.95
