package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/internal/routing"
)

// maxBodyBytes is the maximum size of one request.
const maxBodyBytes = 8 << 20

var errGroupNotWhole = errors.New("the group is not whole")

var _ carawayv1connect.EngineServiceHandler = (*Engine)(nil)

// Handler serves the engine's API, and its fault switches under /standin/.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(carawayv1connect.NewEngineServiceHandler(e, httpx.HandlerOptions(maxBodyBytes)))
	mux.HandleFunc("POST /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.SetFaults(f)
	})
	mux.HandleFunc("POST /standin/crash", func(http.ResponseWriter, *http.Request) { e.Crash() })
	mux.HandleFunc("GET /standin/stats", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(e.Stats())
	})
	return mux
}

// TokenText returns the token that every engine generates at an index of a
// request's output.
func TokenText(service, version, adapter, prompt string, index uint32) string {
	d := xxhash.New()
	for _, s := range []string{service, version, adapter, prompt, strconv.Itoa(int(index))} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return " " + strconv.FormatUint(d.Sum64()%100_000, 36)
}

// run is one attempt in progress on the engine.
type run struct {
	e      *Engine
	req    *carawayv1.RunRequest
	stream *connect.ServerStream[carawayv1.RunResponse]
	broken chan struct{}
	faults Faults // faults that apply to this attempt
}

// Run runs one attempt and streams its tokens.
func (e *Engine) Run(ctx context.Context, req *connect.Request[carawayv1.RunRequest], stream *connect.ServerStream[carawayv1.RunResponse]) error {
	if err := e.waitThawed(ctx); err != nil {
		return err
	}
	r, err := e.start(req.Msg, stream)
	if err != nil {
		return err
	}
	if m := r.faults.CrashMarker; m != "" && strings.Contains(req.Msg.Prompt, m) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.mu.Lock()
	e.cancels[req.Msg.AttemptId] = cancel
	e.mu.Unlock()
	err = r.generate(ctx)
	e.mu.Lock()
	delete(e.cancels, req.Msg.AttemptId)
	e.mu.Unlock()
	return err
}

// start checks that the attempt is for the engine's current group and epoch, and
// consumes the faults that apply to it.
func (e *Engine) start(req *carawayv1.RunRequest, stream *connect.ServerStream[carawayv1.RunResponse]) (*run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.assignment
	switch {
	case e.crashed:
		panic(http.ErrAbortHandler)
	case a == nil || a.Rank != 0 || a.Group != req.Group || a.Epoch != req.Epoch || !e.ready:
		e.stats.Refused++
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("not ready in this group and epoch"))
	case req.Version != a.Version:
		e.stats.Refused++
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("version is not loaded"))
	}
	e.stats.Runs++
	if e.cfg.Observe != nil {
		e.cfg.Observe(e, req)
	}
	f := e.faults
	decrement(&e.faults.Truncate)
	decrement(&e.faults.Duplicate)
	decrement(&e.faults.Cross)
	decrement(&e.faults.Late)
	return &run{e: e, req: req, stream: stream, broken: e.broken, faults: f}, nil
}

func decrement(n *int) {
	if *n > 0 {
		*n--
	}
}

func (r *run) generate(ctx context.Context) error {
	e, req := r.e, r.req
	leave, err := e.join(ctx, req.Priority, uint64(req.MaxTokens-min(req.MaxTokens, req.ResumeFrom)))
	if err != nil {
		return r.failure(err)
	}
	defer leave()
	if err := r.wait(ctx, r.prefill()); err != nil {
		return r.failure(err)
	}
	for i := req.ResumeFrom; i < req.MaxTokens; i++ {
		if i > req.ResumeFrom {
			if err := r.wait(ctx, e.tokenInterval()); err != nil {
				return r.failure(err)
			}
		}
		if r.faults.Truncate > 0 && i >= req.ResumeFrom+1 {
			return nil
		}
		if err := r.send(i); err != nil {
			return err
		}
	}
	if r.faults.Late > 0 {
		if err := r.wait(ctx, time.Duration(r.faults.LateDelayMS)*time.Millisecond); err != nil {
			return r.failure(err)
		}
	}
	if r.faults.Truncate > 0 {
		return nil
	}
	e.mu.Lock()
	e.stats.Ended++
	e.mu.Unlock()
	end := &carawayv1.End{TokenCount: req.MaxTokens, Reason: "length", Version: req.Version}
	return r.stream.Send(&carawayv1.RunResponse{RequestId: req.RequestId, AttemptId: r.attemptID(), End: end})
}

func (r *run) send(index uint32) error {
	token := &carawayv1.Token{Index: index, Text: TokenText(r.req.Service, r.req.Version, r.req.Adapter, r.req.Prompt, index)}
	m := &carawayv1.RunResponse{RequestId: r.req.RequestId, AttemptId: r.attemptID(), Tokens: []*carawayv1.Token{token}}
	if r.faults.Duplicate > 0 {
		if err := r.stream.Send(m); err != nil {
			return err
		}
	}
	return r.stream.Send(m)
}

func (r *run) attemptID() string {
	if r.faults.Cross > 0 {
		return "crossed-" + r.req.AttemptId
	}
	return r.req.AttemptId
}

// prefill adds the prompt to the cache and returns the duration of the prefill.
func (r *run) prefill() time.Duration {
	e := r.e
	prefixes := routing.Prefixes(r.req.Prompt)
	e.mu.Lock()
	defer e.mu.Unlock()
	hits := e.cache.insert(prefixes, time.Now())
	missing := 1 + len(prefixes) - hits
	return time.Duration(missing)*e.cfg.PrefillPerBlock + e.tokenIntervalLocked()
}

// wait waits for d, until the attempt is canceled or until the group breaks.
func (r *run) wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return r.e.waitThawed(ctx)
	case <-r.broken:
		return errGroupNotWhole
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *run) failure(err error) error {
	r.e.mu.Lock()
	crashed := r.e.crashed
	r.e.stats.Canceled++
	r.e.mu.Unlock()
	if crashed {
		panic(http.ErrAbortHandler)
	}
	if errors.Is(err, errGroupNotWhole) {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewError(connect.CodeCanceled, err)
}

// Cancel cancels an attempt, if it is running.
func (e *Engine) Cancel(ctx context.Context, req *connect.Request[carawayv1.CancelRequest]) (*connect.Response[carawayv1.CancelResponse], error) {
	if err := e.waitThawed(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	cancel := e.cancels[req.Msg.AttemptId]
	e.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	return connect.NewResponse(&carawayv1.CancelResponse{}), nil
}

// Report returns the engine's assignment and its lagged load.
func (e *Engine) Report(ctx context.Context, _ *connect.Request[carawayv1.ReportRequest]) (*connect.Response[carawayv1.ReportResponse], error) {
	if err := e.waitThawed(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	l := e.laggedLoad(now)
	return connect.NewResponse(&carawayv1.ReportResponse{
		Instance:        e.cfg.ID,
		Incarnation:     e.incarnation,
		Assignment:      e.assignment,
		LoadAge:         durationpb.New(now.Sub(l.at)),
		Running:         uint32(l.running),
		Queued:          uint32(l.queued),
		PendingTokens:   l.tokens,
		TokensPerSecond: l.tokensPerSecond,
		Ready:           e.ready && !e.isBroken(),
		Leaving:         e.faults.Leaving,
		MaxRunning:      uint32(e.cfg.MaxRunning),
		LoadProgress:    e.progress,
	}), nil
}

func (e *Engine) isBroken() bool {
	select {
	case <-e.broken:
		return true
	default:
		return false
	}
}

// CacheEvents returns the cache events after a sequence number that are at least
// EventLag old.
func (e *Engine) CacheEvents(ctx context.Context, req *connect.Request[carawayv1.CacheEventsRequest]) (*connect.Response[carawayv1.CacheEventsResponse], error) {
	if err := e.waitThawed(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	out := &carawayv1.CacheEventsResponse{Last: req.Msg.After}
	for _, ev := range e.cache.after(req.Msg.After, time.Now(), e.cfg.EventLag) {
		out.Events = append(out.Events, &carawayv1.CacheEvent{Sequence: ev.sequence, PrefixHash: ev.prefix, Evicted: ev.evicted})
		out.Last = ev.sequence
	}
	return connect.NewResponse(out), nil
}

// ExportCache returns the state of a cached prompt block.
func (e *Engine) ExportCache(_ context.Context, req *connect.Request[carawayv1.ExportCacheRequest]) (*connect.Response[carawayv1.ExportCacheResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := e.cache.has(req.Msg.PrefixHash)
	out := &carawayv1.ExportCacheResponse{Found: found}
	if found {
		out.State = []byte(strconv.FormatUint(req.Msg.PrefixHash, 16))
	}
	return connect.NewResponse(out), nil
}

// ImportCache adds a prompt block to the cache.
func (e *Engine) ImportCache(_ context.Context, req *connect.Request[carawayv1.ImportCacheRequest]) (*connect.Response[carawayv1.ImportCacheResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.insert([]uint64{req.Msg.PrefixHash}, time.Now())
	return connect.NewResponse(&carawayv1.ImportCacheResponse{Stored: true}), nil
}
