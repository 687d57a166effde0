package dispatch

import (
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/backend"
)

// observeAnnouncements passes on what the server announces of itself in an answer
// or a rejection.
func (r *forwardedRequest) observeAnnouncements(t target, ans backend.OpaqueResponse, err error, sentAt time.Time) {
	rate, departure, pause := ans.Rate, ans.Departure, ans.Pause
	var refused *backend.RefusedError
	if errors.As(err, &refused) {
		rate, departure, pause = refused.Rate, refused.Departure, refused.Pause
	}
	r.observeDeparture(t, departure)
	r.observePause(t, pause)
	r.observeRate(t, rate, err == nil && ans.Status/100 == 2, sentAt)
}

func (r *forwardedRequest) observeDeparture(t target, departure backend.Departure) {
	switch {
	case r.d.cfg.Leavers == nil:
	case departure.Err != nil:
		r.d.cfg.Events.Emit(eventBadAnnouncement, "request", r.id, "instance", t.GroupLeader, "error", departure.Err)
	case departure.Announced:
		r.d.metrics.departures.Inc(1)
		r.d.cfg.Leavers.RecordLeaving(t.GroupLeader, t.Incarnation)
	}
}

func (r *forwardedRequest) observePause(t target, pause backend.Pause) {
	if r.d.cfg.Pauses == nil {
		return
	}
	if pause.Err != nil {
		r.d.cfg.Events.Emit(eventBadAnnouncement, "request", r.id, "instance", t.GroupLeader, "error", pause.Err)
	}
	if pause.Announced {
		r.d.metrics.pauses.Inc(1)
		r.d.cfg.Pauses.ObservePause(t.GroupLeader, t.Incarnation, pause)
	}
}

// observeRate passes on the announced request rate. Only a success without a rate
// shows that the server announces none any more.
func (r *forwardedRequest) observeRate(t target, rate backend.Rate, success bool, sentAt time.Time) {
	if r.d.cfg.Rates == nil {
		return
	}
	switch {
	case rate.Err != nil:
		r.d.cfg.Events.Emit(eventBadRate, "request", r.id, "instance", t.GroupLeader, "error", rate.Err)
	case rate.Announced:
		r.d.cfg.Rates.ObserveRate(t.GroupLeader, rate.PerSecond, time.Now())
	case success:
		r.d.cfg.Rates.ObserveNoRate(t.GroupLeader, sentAt, time.Now())
	}
}
