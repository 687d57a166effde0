// Package entry is the HTTP/1.1 entry point for requests that are forwarded byte
// for byte. It resolves the route and the workspace of a request and passes it
// to dispatch.
package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/clients"
	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/internal/memory"
	"carawayproxy.example/caraway/internal/routes"
	"carawayproxy.example/caraway/internal/suspect"
)

// Meta is the metadata decoded from a request's headers.
type Meta struct {
	Request fleet.RequestID
	Key     string
	// Timeout is how long the caller waits for the answer; zero if not stated.
	Timeout time.Duration
	Model   string
	// PromptTokens and MaxTokens are the size of the request. AnswerTokens is
	// the caller's estimate of the answer's length; zero for none.
	PromptTokens, MaxTokens, AnswerTokens uint32
	// PromptPartIDs are the ids of the parts of the prompt, in order.
	PromptPartIDs []uint64
	// LastEventID is the id of the last event that the caller has received of an
	// interrupted stream.
	LastEventID string
}

// Codec decodes the headers of requests.
type Codec interface {
	// Decode returns the metadata in the headers. The error names the invalid
	// header.
	Decode(h http.Header) (Meta, error)
}

// Dispatcher forwards requests to backend servers.
type Dispatcher interface {
	Forward(ctx context.Context, f dispatch.Forwarding, relay dispatch.Relay) *fleet.Failure
}

// Config sets up a Handler.
type Config struct {
	Codec      Codec
	Routes     *routes.CurrentDocument
	Dispatcher Dispatcher
	// IsOutdated reports whether there is a newer routing document that this daemon does
	// not have yet.
	IsOutdated func() bool
	// Draining reports whether the daemon is shutting down. Connections are
	// then closed after the answer.
	Draining func() bool
	// StopsAt returns the time by which requests that arrive during a planned stop must
	// be answered, zero while there is none.
	StopsAt func() time.Time
	// Bodies is the memory of the requests' bodies; without a limit when nil.
	Bodies *memory.Budget
	// Pacer bounds the processor time of bodies in very small chunks; that of one core
	// when nil.
	Pacer *clients.Pacer
	// Reports bounds the log lines about clients that meet a limit.
	Reports *clients.Reports
	Events  *event.Logger
}

// Handler serves callers' requests.
type Handler struct {
	cfg Config
}

// NewHandler returns a handler.
func NewHandler(cfg Config) *Handler {
	if cfg.Bodies == nil {
		cfg.Bodies = clients.NewBodies(clients.Plan{BodyBytes: math.MaxInt})
	}
	if cfg.Pacer == nil {
		cfg.Pacer = clients.NewPacer(1)
	}
	if cfg.Reports == nil {
		cfg.Reports = &clients.Reports{}
	}
	return &Handler{cfg: cfg}
}

const (
	// defaultBodyBytes bounds a request's body if the routing document sets no
	// limit.
	defaultBodyBytes = 4 << 20
	// defaultTimeout applies to requests that state no timeout.
	defaultTimeout = 30 * time.Second
	// retryAfterNoDocument is the Retry-After of a daemon without a routing document, or
	// without the newest. It is short because other daemons have the document.
	retryAfterNoDocument = 300 * time.Millisecond
)

// request is a request with its resolved route, service and workspace.
type request struct {
	meta      Meta
	arrived   time.Time
	steps     dispatch.Steps
	route     *routes.Route
	service   *routes.Service
	version   uint64 // of the routing document
	workspace fleet.Workspace
	priority  int
	homes     []fleet.Region // that may run it, empty for all
	body      []byte
	held      *memory.Buffer // of body, nil if there is none
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.cfg.Draining() {
		w.Header().Set("Connection", "close")
	}
	req, refusal := h.parseRequest(w, r)
	if req.held != nil {
		defer req.held.Close()
	}
	if refusal != nil {
		h.refuse(w, req, r, *refusal)
		return
	}
	req.steps.Reach(dispatch.StepRead, time.Now())
	deadline := req.deadline()
	if stop := h.cfg.StopsAt(); !stop.IsZero() && stop.Before(deadline) {
		deadline = stop // the caller learns whether its request may have run
	}
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

// logAccepted logs how a request was resolved.
func (h *Handler) logAccepted(req *request, f *dispatch.Forwarding) {
	h.cfg.Events.Emit(eventAccepted, "request", req.meta.Request, "route", req.route.Name, "document", req.version,
		"service", f.Service, "workspace", req.workspace, "fingerprint", f.Subjects.Request, "priority", req.priority, "repeatable", f.Repeatable,
		"prompt_tokens", f.PromptTokens, "answer_tokens", f.AnswerTokens, "parts", partList(req.meta.PromptPartIDs), "after_event", req.meta.LastEventID, "left", req.meta.Timeout)
}

// maxLoggedParts limits the parts of a prompt in one log line.
const maxLoggedParts = 8

// partList returns the ids of a prompt's first parts in hexadecimal, as on the
// wire.
func partList(parts []uint64) string {
	var b strings.Builder
	for i, id := range parts[:min(len(parts), maxLoggedParts)] {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.FormatUint(id, 16))
	}
	return b.String()
}

// logAnswered logs the outcome of a request and ends its buffered log. The log
// may drop the lines of a request that was served in time.
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
	keyvals := []any{"request", req.meta.Request, "outcome", outcome, "status", status, "late", late,
		"document", req.version, "document_now", h.documentVersion(),
		"first", first.Round(time.Millisecond), "longest_pause", relay.longestPause.Round(time.Millisecond),
		"took", now.Sub(req.arrived).Round(time.Millisecond), "bytes", relay.bytes}
	if late || failure != nil && failure.Reason == fleet.ReasonDeadline {
		keyvals = req.steps.AppendTo(keyvals)
	}
	h.cfg.Events.Emit(eventAnswered, keyvals...)
	h.cfg.Events.EndRequest(req.meta.Request, outcome != "served" || late)
}

// documentVersion returns the version of the document in force.
func (h *Handler) documentVersion() uint64 {
	if table := h.cfg.Routes.Table(); table != nil {
		return table.Document.Version
	}
	return 0
}

// refusal is the final answer to a request that is not forwarded.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	// limit names the limit that a client met; the connection is then closed and log lines
	// are bounded. Empty for none.
	limit string
}

// parseRequest resolves the route, workspace and service of a request and reads
// its body.
func (h *Handler) parseRequest(w http.ResponseWriter, r *http.Request) (*request, *refusal) {
	req := &request{arrived: time.Now()}
	req.steps.Begin(req.arrived)
	table := h.cfg.Routes.Table()
	if table == nil {
		return req, &refusal{http.StatusServiceUnavailable, "no routing document yet", retryAfterNoDocument, ""}
	}
	req.version = table.Document.Version
	if maxBytes := table.Document.Limits.MaxHeaderBytes; maxBytes > 0 && headerBytes(r) > maxBytes {
		return req, &refusal{http.StatusRequestHeaderFieldsTooLarge, "the headers have more than " + strconv.Itoa(maxBytes) + " bytes", 0, ""}
	}
	var err error
	if req.meta, err = h.cfg.Codec.Decode(r.Header); err != nil {
		return req, &refusal{http.StatusBadRequest, err.Error(), 0, ""}
	}
	if _, err := httpx.TargetURL(r.Host, r.RequestURI); err != nil {
		return req, &refusal{http.StatusBadRequest, err.Error(), 0, ""}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	var found bool
	if req.route, found = table.Match(r.Host, path); !found {
		return req, h.unknown(http.StatusNotFound, "no route for "+r.Host+path)
	}
	if reason := req.identify(table); reason != "" {
		return req, h.unknown(http.StatusUnauthorized, reason)
	}
	if !req.resolveHomes(table) {
		return req, &refusal{http.StatusServiceUnavailable, "no region is a home of both the route and the workspace", 0, ""}
	}
	if req.service, found = table.Service(req.route.PickService(rand.Float64())); !found {
		return req, &refusal{http.StatusServiceUnavailable, "the route's service is not in the document", retryAfterNoDocument, ""}
	}
	return req, h.readBody(req, w, r, table.Document.Limits)
}

// unknown returns the refusal of a request whose route or key the document does not have.
// A newer document may have it: while this daemon lacks that, the caller is to come back.
func (h *Handler) unknown(status int, reason string) *refusal {
	if h.cfg.IsOutdated() {
		return &refusal{http.StatusServiceUnavailable, reason + " in a routing document that is no longer the newest", retryAfterNoDocument, ""}
	}
	return &refusal{status, reason, 0, ""}
}

// headerBytes returns the size of the request line and headers as sent.
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

// identify resolves the workspace of the request's key. It returns why the request is
// refused if the route needs a key and the key is unknown.
func (q *request) identify(table *routes.Table) (reason string) {
	q.workspace, q.priority = routes.PublicWorkspace, q.route.Priority
	w, known := table.Workspace(q.meta.Key)
	if !known {
		if table.NeedsKey(q.route) {
			return "the key is not known"
		}
		return ""
	}
	q.workspace = w.Name
	if w.Priority >= 0 {
		q.priority = w.Priority
	}
	return ""
}

// resolveHomes determines the regions that may run the request. It returns false if none
// may.
func (q *request) resolveHomes(table *routes.Table) (ok bool) {
	var own []fleet.Region
	if w, known := table.Workspace(q.meta.Key); known {
		own = w.Homes
	}
	q.homes, ok = routes.CommonHomes(q.route.Homes, own)
	return ok
}

// deadline returns the time by which the request must have its final answer.
func (q *request) deadline() time.Time {
	remaining := q.meta.Timeout
	if remaining <= 0 {
		remaining = defaultTimeout
	}
	if q.route.Timeout > 0 {
		remaining = min(remaining, q.route.Timeout)
	}
	return q.arrived.Add(remaining)
}

// defaultAnswerFraction is the assumed length of an answer without an estimate,
// as a fraction of the request's MaxTokens.
const defaultAnswerFraction = 0.5

func (h *Handler) newForwarding(r *http.Request, req *request) dispatch.Forwarding {
	header := r.Header.Clone()
	httpx.RemoveHopByHopHeaders(header)
	header.Del("Expect")
	f := dispatch.Forwarding{
		Workspace:    req.workspace,
		Service:      fleet.ServiceName(req.service.Name),
		Kind:         fleet.KindPlain,
		Stream:       req.route.Kind == routes.KindStream,
		Repeatable:   req.route.Repeatable(),
		MaxAttempts:  req.route.MaxAttempts,
		Homes:        req.homes,
		PromptTokens: req.meta.PromptTokens,
		AnswerTokens: req.meta.AnswerTokens,
		Prefixes:     req.meta.PromptPartIDs,
		Subjects:     suspect.Subjects{Request: fingerprint(r, req), Parts: sharedParts(req.meta.PromptPartIDs)},
		Steps:        &req.steps,
		Message: backend.Opaque{
			Request:     req.meta.Request,
			Workspace:   req.forwardedWorkspace(),
			Method:      r.Method,
			Target:      r.RequestURI,
			Host:        r.Host,
			Header:      header,
			Body:        req.body,
			ResumeAfter: req.meta.LastEventID,
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

// forwardedWorkspace returns the workspace that is passed to backend servers;
// empty for callers without one.
func (q *request) forwardedWorkspace() fleet.Workspace {
	if q.workspace == routes.PublicWorkspace {
		return ""
	}
	return q.workspace
}

// fingerprint returns a hash of the request's method, host, path, workspace and
// body. Identical requests have the same fingerprint.
func fingerprint(r *http.Request, req *request) suspect.Fingerprint {
	digest := xxhash.New()
	for _, text := range []string{r.Method, r.Host, r.RequestURI, string(req.workspace)} {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(req.body)
	return suspect.Fingerprint(digest.Sum64())
}

// sharedParts returns the fingerprints of the parts of a prompt that other
// requests may share: all but the last.
func sharedParts(ids []uint64) []suspect.Fingerprint {
	var parts []suspect.Fingerprint
	for _, id := range ids[:max(len(ids)-1, 0)] {
		if f := suspect.PartFingerprint(id); !slices.Contains(parts, f) {
			parts = append(parts, f)
		}
	}
	return parts
}

// refuse logs and writes the final answer to a request that is not forwarded.
func (h *Handler) refuse(w http.ResponseWriter, req *request, r *http.Request, f refusal) {
	setRetryAfter(w.Header(), f.retryAfter)
	if f.limit != "" {
		h.logLimit(req, r, f)
		closeAfterAnswer(w, r, f)
		return
	}
	h.cfg.Events.Emit(eventRefused, "request", req.meta.Request, "host", r.Host, "status", f.status, "reason", f.reason, "retry_after", f.retryAfter,
		"document", req.version)
	h.cfg.Events.EndRequest(req.meta.Request, true)
	http.Error(w, f.reason, f.status)
}

func setRetryAfter(h http.Header, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}
