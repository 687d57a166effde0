// Package entry is the HTTP/1.1 entry for requests that are passed on byte for
// byte. It finds the route and the workspace of a request and hands it to
// dispatch.
package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/internal/routes"
	"carawayproxy.example/caraway/internal/suspect"
)

// Meta is what a request's headers say of it.
type Meta struct {
	Request fleet.RequestID
	Key     string
	// Left is how long the caller waits, zero for not stated.
	Left  time.Duration
	Model string
	// PromptTokens and MaxTokens are the request's size; AnswerTokens is the
	// caller's estimate of the answer's, zero for none.
	PromptTokens, MaxTokens, AnswerTokens uint32
	// Parts are ids of the parts of the prompt, in order.
	Parts []uint64
	// LastEvent is the id of the last event that the caller has of a stream
	// that broke off.
	LastEvent string
}

// Codec reads the headers of requests.
type Codec interface {
	// Decode returns what the headers say. The error names the header at fault.
	Decode(h http.Header) (Meta, error)
}

// Dispatcher carries requests through their life.
type Dispatcher interface {
	Forward(ctx context.Context, f dispatch.Forwarding, relay dispatch.Relay) *fleet.Failure
}

// Config sets up a Handler.
type Config struct {
	Codec      Codec
	Routes     *routes.Book
	Dispatcher Dispatcher
	// Draining reports whether the daemon is stopping: its connections are
	// closed after the answers.
	Draining func() bool
	Events   *event.Logger
}

// Handler takes callers' requests.
type Handler struct {
	cfg Config
}

// NewHandler returns a handler.
func NewHandler(cfg Config) *Handler { return &Handler{cfg: cfg} }

const (
	// defaultBodyBytes bounds a request's body when the document does not.
	defaultBodyBytes = 4 << 20
	// defaultTimeout is how long a caller waits that does not say.
	defaultTimeout = 30 * time.Second
	// retryAfterNoDocument is when callers may come back to a daemon that has
	// no routing document yet; others have one.
	retryAfterNoDocument = 300 * time.Millisecond
)

// request is one request with what was found out about it.
type request struct {
	meta      Meta
	arrived   time.Time
	route     *routes.Route
	service   *routes.Service
	version   uint64 // of the routing document
	workspace fleet.Workspace
	priority  int
	body      []byte
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.cfg.Draining() {
		w.Header().Set("Connection", "close")
	}
	req, refusal := h.parseRequest(w, r)
	if refusal != nil {
		h.refuse(w, req, r, *refusal)
		return
	}
	deadline := req.deadline()
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	relay := &relay{w: w, control: http.NewResponseController(w), stream: req.route.Kind == routes.KindStream}
	if err := relay.control.SetWriteDeadline(deadline.Add(writeGrace)); err != nil {
		h.cfg.Events.Emit(eventWriteDeadlineFailed, "request", req.meta.Request, "error", err)
	}
	f := h.newForwarding(r, req)
	h.logAccepted(req, &f)
	failure := h.cfg.Dispatcher.Forward(ctx, f, relay)
	h.logAnswered(req, relay, failure)
	if failure != nil {
		relay.fail(failure)
	}
}

// logAccepted logs how a request is understood.
func (h *Handler) logAccepted(req *request, f *dispatch.Forwarding) {
	h.cfg.Events.Emit(eventAccepted, "request", req.meta.Request, "route", req.route.Name, "document", req.version,
		"service", f.Service, "workspace", req.workspace, "priority", req.priority, "repeatable", f.Repeatable,
		"prompt_tokens", f.PromptTokens, "answer_tokens", f.AnswerTokens, "after_event", req.meta.LastEvent, "left", req.meta.Left)
}

// logAnswered logs what became of a request, and ends its trail in the log.
func (h *Handler) logAnswered(req *request, relay *relay, failure *fleet.Failure) {
	now := time.Now()
	outcome, status := "served", relay.status
	switch {
	case failure != nil && failure.Reason == fleet.ReasonCanceled:
		outcome = "left by its caller"
	case failure != nil && relay.headerSent:
		outcome = "cut"
	case failure != nil:
		outcome, status = "refused or failed", statusOf(failure)
	case relay.status >= http.StatusInternalServerError:
		outcome = "failed by the backend server"
	}
	var first time.Duration
	if !relay.firstAt.IsZero() {
		first = relay.firstAt.Sub(req.arrived)
	}
	late := first > req.route.Target && req.route.Target > 0 ||
		req.route.PauseTarget > 0 && relay.longestPause > req.route.PauseTarget
	h.cfg.Events.Emit(eventAnswered, "request", req.meta.Request, "outcome", outcome, "status", status, "late", late,
		"first", first.Round(time.Millisecond), "longest_pause", relay.longestPause.Round(time.Millisecond),
		"took", now.Sub(req.arrived).Round(time.Millisecond), "bytes", relay.bytes)
	h.cfg.Events.EndRequest(req.meta.Request, outcome != "served" || late)
}

// refusal is a final answer to a request that was not passed on.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// parseRequest finds the route and workspace of a request and reads its body.
func (h *Handler) parseRequest(w http.ResponseWriter, r *http.Request) (*request, *refusal) {
	req := &request{arrived: time.Now()}
	table := h.cfg.Routes.Table()
	if table == nil {
		return req, &refusal{http.StatusServiceUnavailable, "no routing document yet", retryAfterNoDocument}
	}
	req.version = table.Document.Version
	if most := table.Document.Limits.MaxHeaderBytes; most > 0 && headerBytes(r) > most {
		return req, &refusal{http.StatusRequestHeaderFieldsTooLarge, "the headers have more than " + strconv.Itoa(most) + " bytes", 0}
	}
	var err error
	if req.meta, err = h.cfg.Codec.Decode(r.Header); err != nil {
		return req, &refusal{http.StatusBadRequest, err.Error(), 0}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	var found bool
	if req.route, found = table.Match(r.Host, path); !found {
		return req, &refusal{http.StatusNotFound, "no route for " + r.Host + path, 0}
	}
	if f := req.identify(table); f != nil {
		return req, f
	}
	if req.service, found = table.Service(req.route.Pick(rand.Float64())); !found {
		return req, &refusal{http.StatusServiceUnavailable, "the route's service is not in the document", retryAfterNoDocument}
	}
	return req, req.readBody(w, r, table.Document.Limits)
}

// headerBytes counts a request's line and headers as they were sent.
func headerBytes(r *http.Request) int {
	const lineEnd, separator = 2, 2
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + 2 + lineEnd + len("Host") + len(r.Host) + separator + lineEnd
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + separator + len(v) + lineEnd
		}
	}
	return n
}

// identify finds the workspace that the request's key belongs to.
func (q *request) identify(table *routes.Table) *refusal {
	q.workspace, q.priority = routes.PublicWorkspace, q.route.Priority
	w, known := table.Workspace(q.meta.Key)
	if !known {
		if table.NeedsKey(q.route) {
			return &refusal{http.StatusUnauthorized, "the key is not known", 0}
		}
		return nil
	}
	q.workspace = w.Name
	if w.Priority >= 0 {
		q.priority = w.Priority
	}
	return nil
}

// readBody takes the whole body in, so that the request can be sent again.
func (q *request) readBody(w http.ResponseWriter, r *http.Request, limits routes.Limits) *refusal {
	limit := int64(limits.MaxBodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return &refusal{http.StatusBadRequest, "the body broke off: " + err.Error(), 0}
	}
	if int64(len(body)) > limit {
		// A caller that still sends would miss the answer: its connection is
		// reset when it is closed with bytes unread.
		_, _ = io.CopyN(io.Discard, r.Body, limit)
		w.Header().Set("Connection", "close")
		return &refusal{http.StatusRequestEntityTooLarge, "the body has more than " + strconv.FormatInt(limit, 10) + " bytes", 0}
	}
	q.body = body
	return nil
}

// deadline is when the request must have its final answer.
func (q *request) deadline() time.Time {
	left := q.meta.Left
	if left <= 0 {
		left = defaultTimeout
	}
	if q.route.Timeout > 0 {
		left = min(left, q.route.Timeout)
	}
	return q.arrived.Add(left)
}

// defaultAnswerFraction stands in for the length of an answer whose caller gives no
// estimate, as a part of the longest that it allows.
const defaultAnswerFraction = 0.5

func (h *Handler) newForwarding(r *http.Request, req *request) dispatch.Forwarding {
	header := r.Header.Clone()
	httpx.DropConnectionHeaders(header)
	header.Del("Expect")
	f := dispatch.Forwarding{
		Workspace:    req.workspace,
		Service:      fleet.ServiceName(req.service.Name),
		Kind:         fleet.KindPlain,
		Stream:       req.route.Kind == routes.KindStream,
		Repeatable:   req.route.Repeatable(),
		MaxAttempts:  req.route.MaxAttempts,
		PromptTokens: req.meta.PromptTokens,
		AnswerTokens: req.meta.AnswerTokens,
		Prefixes:     req.meta.Parts,
		Print:        fingerprint(r, req),
		Message: backend.Opaque{
			Request:     req.meta.Request,
			Workspace:   req.forwardedWorkspace(),
			Method:      r.Method,
			Target:      r.RequestURI,
			Host:        r.Host,
			Header:      header,
			Body:        req.body,
			ResumeAfter: req.meta.LastEvent,
		},
	}
	if f.AnswerTokens == 0 {
		f.AnswerTokens = uint32(defaultAnswerFraction * float64(req.meta.MaxTokens))
	}
	if req.service.Engine != nil {
		f.Service = routes.ModelService(req.service.Name, req.meta.Model)
		f.Kind = fleet.KindEngine
	}
	return f
}

// forwardedWorkspace is the workspace that backend servers are told, empty for callers
// without one.
func (q *request) forwardedWorkspace() fleet.Workspace {
	if q.workspace == routes.PublicWorkspace {
		return ""
	}
	return q.workspace
}

// fingerprint is the same for a request that comes again with the same path,
// caller and body.
func fingerprint(r *http.Request, req *request) suspect.Fingerprint {
	digest := xxhash.New()
	for _, text := range []string{r.Method, r.Host, r.RequestURI, string(req.workspace)} {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(req.body)
	return suspect.Fingerprint(digest.Sum64())
}

// refuse gives a request that was not passed on its final answer.
func (h *Handler) refuse(w http.ResponseWriter, req *request, r *http.Request, f refusal) {
	h.cfg.Events.Emit(eventRefused, "request", req.meta.Request, "host", r.Host, "status", f.status, "reason", f.reason, "retry_after", f.retryAfter,
		"document", req.version)
	h.cfg.Events.EndRequest(req.meta.Request, true)
	setRetryAfter(w.Header(), f.retryAfter)
	http.Error(w, f.reason, f.status)
}

func setRetryAfter(h http.Header, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}
