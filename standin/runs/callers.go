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

// What the callers use.
const (
	modelService = "drafting"
	plainService = "bookings"
	workspace    = "desk"
	adapter      = "nepali"
	methodBook   = "Book"
	methodLook   = "Look"

	callDeadline = 10 * time.Second
	maxRepeats   = 4
	// repeatOldEvery is how many bookings come to one old that is repeated.
	repeatOldEvery = 4
	tokensAsked    = 12
)

// call is one request of a caller at one daemon, with its outcome.
type call struct {
	id         string
	daemon     *daemonHost
	booking    bool // it needs the log
	began, end time.Time
	whole      bool
	detail     *carawayv1.FailureDetail // nil for a whole answer or a lost connection
	err        error
}

func (c *call) notRun() bool {
	return c.detail != nil && c.detail.RunState == carawayv1.RunState_RUN_STATE_NOT_RUN
}

// callers make the load of a run.
type callers struct {
	world *World
	watch *watch
	every time.Duration // mean time between two requests of one caller
	// garble changes what is asked for but not what is expected; empty but in
	// tests of the checkers.
	garble atomic.Pointer[string]

	mu    sync.Mutex
	calls []*call
	last  int
	// booked are the bookings that were answered, by age.
	booked []booking
}

// booking is one that was answered.
type booking struct {
	key string
	at  time.Time
}

func (c *callers) next(kind string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	return fmt.Sprintf("s%d-%s-%d", c.world.seed, kind, c.last)
}

// run makes one caller's requests until ctx ends.
func (c *callers) run(ctx context.Context, r *rand.Rand, request func(context.Context, *rand.Rand)) {
	for {
		pause := time.Duration(r.ExpFloat64() * float64(c.every))
		select {
		case <-time.After(min(pause, 5*c.every)):
			request(ctx, r)
		case <-ctx.Done():
			return
		}
	}
}

// pick chooses a daemon as the platform's balancer would: one that its health
// check finds ready, any if there is none.
func (c *callers) pick(r *rand.Rand) *daemonHost {
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

// finish notes a call's outcome and checks a refusal's word at the end of the
// run.
func (c *callers) finish(k *call, err error) {
	k.end = time.Now()
	k.err = err
	k.detail = detailOf(err)
	k.whole = err == nil
	c.watch.count("calls")
	switch {
	case k.whole:
		c.watch.count("calls whole")
	case k.detail != nil:
		c.watch.count("calls refused " + k.detail.RunState.String() + " " + k.detail.Reason)
	default:
		c.watch.count("calls without an answer")
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

// generate asks for one generation and repeats it elsewhere if it fails.
func (c *callers) generate(ctx context.Context, r *rand.Rand) {
	prompt := strings.Repeat(fmt.Sprintf("Plant %d. ", r.IntN(5)), 40) + c.next("reading")
	for range 1 + r.IntN(2) {
		if c.generateOnce(ctx, c.pick(r), prompt).whole {
			return
		}
	}
}

func (c *callers) garbled() string {
	if g := c.garble.Load(); g != nil {
		return *g
	}
	return ""
}

func (c *callers) generateOnce(ctx context.Context, d *daemonHost, prompt string) *call {
	k := &call{id: c.next("g"), daemon: d, began: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()
	stream, err := c.client(d).Generate(ctx, connect.NewRequest(&carawayv1.GenerateRequest{
		RequestId: k.id, Workspace: workspace, Service: modelService, Adapter: adapter, Prompt: prompt + c.garbled(), MaxTokens: tokensAsked,
	}))
	if err == nil {
		err = c.readStream(k, prompt, stream)
	}
	c.finish(k, err)
	return k
}

var errNoEnd = errors.New("the stream has no end")

func (c *callers) readStream(k *call, prompt string, stream *connect.ServerStreamForClient[carawayv1.GenerateResponse]) error {
	defer stream.Close()
	var tokens []*carawayv1.Token
	var end *carawayv1.End
	for stream.Receive() {
		m := stream.Msg()
		if m.RequestId != k.id {
			c.watch.find(CheckAnswer, "request %s got an answer to %s", k.id, m.RequestId)
		}
		tokens = append(tokens, m.Tokens...)
		end = m.End
	}
	if err := stream.Err(); err != nil {
		return err
	}
	if end == nil {
		return errNoEnd
	}
	c.checkTokens(k, prompt, tokens, end)
	return nil
}

func (c *callers) checkTokens(k *call, prompt string, tokens []*carawayv1.Token, end *carawayv1.End) {
	if len(tokens) != tokensAsked || end.TokenCount != tokensAsked {
		c.watch.find(CheckAnswer, "request %s got %d tokens, its end says %d, asked for %d", k.id, len(tokens), end.TokenCount, tokensAsked)
	}
	for i, t := range tokens {
		want := engine.TokenText(modelService, end.Version, adapter, prompt, uint32(i))
		if t.Index != uint32(i) || t.Text != want {
			c.watch.find(CheckAnswer, "request %s token %d is %d %q, want %q", k.id, i, t.Index, t.Text, want)
			return
		}
	}
}

// crash sends a request that crashes the engines that run it, and sends it
// again elsewhere.
func (c *callers) crash(ctx context.Context, r *rand.Rand) {
	prompt := crashMarker + " " + c.next("crash")
	for range 3 {
		c.generateOnce(ctx, c.pick(r), prompt)
		c.watch.count("crashing calls")
		pause(ctx, time.Second)
	}
}

// book makes one booking: the same key at one daemon after another until an
// answer comes, now and then at two daemons at once.
func (c *callers) book(ctx context.Context, r *rand.Rand) {
	key := c.next("key")
	body := bookingBody(key)
	first, second := c.pick(r), c.pick(r)
	if r.IntN(4) == 0 {
		var both sync.WaitGroup
		both.Go(func() { c.invoke(ctx, first, methodBook, key, body) })
		both.Go(func() { c.invoke(ctx, second, methodBook, key, body) })
		both.Wait()
		c.watch.count("bookings at two daemons at once")
	}
	for range 1 + r.IntN(maxRepeats) {
		k := c.invoke(ctx, c.pick(r), methodBook, key, body)
		if k.whole {
			c.noteBooked(key)
		}
		if k.whole && r.IntN(5) != 0 {
			c.repeatOld(ctx, r)
			return
		}
		c.watch.count("bookings repeated")
		pause(ctx, time.Duration(r.IntN(3000))*time.Millisecond)
	}
}

func bookingBody(key string) []byte { return []byte("booking " + key) }

func (c *callers) noteBooked(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.booked = append(c.booked, booking{key: key, at: time.Now()})
}

// repeatOld repeats, now and then, a booking whose records have expired, so that
// only a snapshot still knows its key.
func (c *callers) repeatOld(ctx context.Context, r *rand.Rand) {
	old := c.bookedBefore(time.Now().Add(-retention))
	if len(old) == 0 || r.IntN(repeatOldEvery) != 0 {
		return
	}
	key := old[r.IntN(len(old))].key
	c.invoke(ctx, c.pick(r), methodBook, key, bookingBody(key))
	c.watch.count("bookings repeated behind expired records")
}

func (c *callers) bookedBefore(t time.Time) []booking {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := slices.BinarySearchFunc(c.booked, t, func(b booking, t time.Time) int { return b.at.Compare(t) })
	return c.booked[:n]
}

// look makes an idempotent call.
func (c *callers) look(ctx context.Context, r *rand.Rand) {
	c.invoke(ctx, c.pick(r), methodLook, "", []byte(c.next("look")))
}

func (c *callers) invoke(ctx context.Context, d *daemonHost, method, key string, body []byte) *call {
	k := &call{id: c.next("i"), daemon: d, booking: method == methodBook, began: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()
	resp, err := c.client(d).Invoke(ctx, connect.NewRequest(&carawayv1.InvokeRequest{
		RequestId: k.id, Workspace: workspace, Service: plainService, Method: method, IdempotencyKey: key, Body: body,
	}))
	if err == nil {
		if want := plain.Answer(method, body); !bytes.Equal(resp.Msg.Body, want) || resp.Msg.RequestId != k.id {
			c.watch.find(CheckAnswer, "request %s got %q for %s, want %q", k.id, resp.Msg.Body, resp.Msg.RequestId, want)
		}
	}
	c.finish(k, err)
	return k
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// checkRefusals compares every refusal that says not run with what ran.
func (c *callers) checkRefusals() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.calls {
		if k.notRun() {
			c.watch.count("refusals checked")
			if c.watch.ran(k.id) {
				c.watch.find(CheckNotRun, "request %s was refused as not run (%s) and ran", k.id, k.detail.Reason)
			}
		}
	}
}

// checkPlannedStop looks at the calls that a planned stop could have cut.
func (c *callers) checkPlannedStop(d *daemonHost, stop span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.calls {
		if k.daemon != d || !stop.overlaps(k.began, k.end) || !c.watch.quiet(k.began, k.end, 30*time.Second) {
			continue
		}
		c.watch.count("calls during a planned stop")
		if !k.whole && !k.notRun() && !errors.Is(k.err, httpx.ErrDial) {
			c.watch.find(CheckPlannedStop, "request %s was cut by the stop of %s: %v", k.id, d.ip, k.err)
		}
	}
}

// checkRecovery looks at the calls since a moment. states describes the system
// for a finding.
func (c *callers) checkRecovery(since time.Time, states func() string) {
	whole, all, last := c.since(since)
	if all == 0 || float64(whole) < goodputBound*float64(all) {
		c.watch.find(CheckRecovery, "only %d of %d calls were whole after all faults had ended; one failed with %v; %s", whole, all, last, states())
	}
}

// since counts the calls that began after a moment, and returns how one of
// them failed.
func (c *callers) since(since time.Time) (whole, all int, failure error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.calls {
		switch {
		case k.began.Before(since):
			continue
		case k.whole:
			whole++
		default:
			failure = k.err
		}
		all++
	}
	return whole, all, failure
}

// goodputBound is the least share of whole calls once all is well.
const goodputBound = 0.95
