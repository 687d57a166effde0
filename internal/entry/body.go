package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/clients"
	"carawayproxy.example/caraway/internal/memory"
	"carawayproxy.example/caraway/internal/routes"
)

// readBody buffers the whole body, so that the request can be retried. It counts as held
// until the request has its answer.
func (h *Handler) readBody(q *request, w http.ResponseWriter, r *http.Request, limits routes.Limits) *refusal {
	if r.ContentLength == 0 {
		return nil
	}
	limit := limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	q.held = clients.OpenBody(h.cfg.Bodies, w)
	body := h.cfg.Pacer.Body(r.Context(), r.Body)
	defer body.Close()
	var err error
	if q.body, err = clients.ReadBody(q.held, r, body, limit); err == nil {
		return nil
	}
	q.held.Close()
	switch {
	case errors.Is(err, memory.ErrSize):
		return &refusal{http.StatusRequestEntityTooLarge, "the body has more than " + strconv.Itoa(limit) + " bytes", 0, clients.LimitBodySize}
	case errors.Is(err, memory.ErrShort):
		return &refusal{http.StatusServiceUnavailable, "memory is short: the body was not read, and the request not run", clients.RetryAfterShort, clients.LimitBodyMemory}
	default:
		return &refusal{http.StatusBadRequest, "the body broke off: " + err.Error(), 0, ""}
	}
}

// logLimit logs that a client met a limit, unless that is known.
func (h *Handler) logLimit(req *request, r *http.Request, f refusal) {
	client := clients.Address(r.RemoteAddr)
	log, unlogged := h.cfg.Reports.Report(client, f.limit, time.Now())
	if !log {
		return
	}
	h.cfg.Events.Emit(eventLimitMet, "request", req.meta.Request, "client", client, "limit", f.limit, "status", f.status, "reason", f.reason, "unlogged", unlogged)
	h.cfg.Events.EndRequest(req.meta.Request, true)
}

// closeAfterAnswer writes the answer to a request whose body was not read, and closes the
// connection.
func closeAfterAnswer(w http.ResponseWriter, r *http.Request, f refusal) {
	clients.AnswerUnread(w, r, func(w http.ResponseWriter) { http.Error(w, f.reason, f.status) })
}
