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

// maxBodyBytes bounds one request.
const maxBodyBytes = 8 << 20

var errBroken = errors.New("the group is not whole")

var _ carawayv1connect.EngineServiceHandler = (*Engine)(nil)

// Handler serves the engine, and its fault switches under /standin/.
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

// TokenText is the token that every engine generates at an index of a
// request.
func TokenText(service, version, adapter, prompt string, index uint32) string {
	d := xxhash.New()
	for _, s := range []string{service, version, adapter, prompt, strconv.Itoa(int(index))} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return " " + strconv.FormatUint(d.Sum64()%100_000, 36)
}

// run is one attempt as the engine carries it out.
type run struct {
	e      *Engine
	req    *carawayv1.RunRequest
	stream *connect.ServerStream[carawayv1.RunResponse]
	broken chan struct{}
	faults Faults // those that apply to this run
}

// Run implements the engine's side of one attempt.
func (e *Engine) Run(ctx context.Context, req *connect.Request[carawayv1.RunRequest], stream *connect.ServerStream[carawayv1.RunResponse]) error {
	if err := e.thaw(ctx); err != nil {
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
	e.canceled[req.Msg.AttemptId] = cancel
	e.mu.Unlock()
	err = r.generate(ctx)
	e.mu.Lock()
	delete(e.canceled, req.Msg.AttemptId)
	e.mu.Unlock()
	return err
}

// start checks that the attempt is for this engine's group and takes the
// faults that apply.
func (e *Engine) start(req *carawayv1.RunRequest, stream *connect.ServerStream[carawayv1.RunResponse]) (*run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.assigned
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
	takeOne(&e.faults.Truncate)
	takeOne(&e.faults.Duplicate)
	takeOne(&e.faults.Cross)
	takeOne(&e.faults.Late)
	return &run{e: e, req: req, stream: stream, broken: e.broken, faults: f}, nil
}

func takeOne(n *int) {
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
	if err := r.pause(ctx, r.prefill()); err != nil {
		return r.failure(err)
	}
	for i := req.ResumeFrom; i < req.MaxTokens; i++ {
		if i > req.ResumeFrom {
			if err := r.pause(ctx, e.interval()); err != nil {
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
		if err := r.pause(ctx, time.Duration(r.faults.LateDelayMS)*time.Millisecond); err != nil {
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

// prefill takes the prompt into the cache and returns the time that takes.
func (r *run) prefill() time.Duration {
	e := r.e
	prefixes := routing.Prefixes(r.req.Prompt)
	e.mu.Lock()
	defer e.mu.Unlock()
	hits := e.cache.use(prefixes, time.Now())
	missing := 1 + len(prefixes) - hits
	return time.Duration(missing)*e.cfg.PrefillPerBlock + e.intervalLocked()
}

// pause waits, unless the attempt ends or the group breaks.
func (r *run) pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return r.e.thaw(ctx)
	case <-r.broken:
		return errBroken
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
	if errors.Is(err, errBroken) {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewError(connect.CodeCanceled, err)
}

// Cancel implements the engine's side of cancelling an attempt.
func (e *Engine) Cancel(ctx context.Context, req *connect.Request[carawayv1.CancelRequest]) (*connect.Response[carawayv1.CancelResponse], error) {
	if err := e.thaw(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	cancel := e.canceled[req.Msg.AttemptId]
	e.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	return connect.NewResponse(&carawayv1.CancelResponse{}), nil
}

// Report implements the engine's side of a load report.
func (e *Engine) Report(ctx context.Context, _ *connect.Request[carawayv1.ReportRequest]) (*connect.Response[carawayv1.ReportResponse], error) {
	if err := e.thaw(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	l := e.lagged(now)
	return connect.NewResponse(&carawayv1.ReportResponse{
		Instance:        e.cfg.ID,
		Incarnation:     e.incarnation,
		Assignment:      e.assigned,
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

// CacheEvents implements the engine's side of its cache events.
func (e *Engine) CacheEvents(ctx context.Context, req *connect.Request[carawayv1.CacheEventsRequest]) (*connect.Response[carawayv1.CacheEventsResponse], error) {
	if err := e.thaw(ctx); err != nil {
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

// ExportCache implements the engine's side of a cache export.
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

// ImportCache implements the engine's side of a cache import.
func (e *Engine) ImportCache(_ context.Context, req *connect.Request[carawayv1.ImportCacheRequest]) (*connect.Response[carawayv1.ImportCacheResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.use([]uint64{req.Msg.PrefixHash}, time.Now())
	return connect.NewResponse(&carawayv1.ImportCacheResponse{Stored: true}), nil
}
