package site

import (
	"net"
	"net/http"
	"strconv"
	"time"
)

// leavingBound is how long after an answer that says that its server leaves
// requests may still be sent that reach this server.
const leavingBound = 2 * time.Second

// headerSentAt carries the time at which a caller sent its request, in milliseconds
// since the world's start. Daemons forward it like any other header.
const headerSentAt = "X-Sent-At-Ms"

// leavingServer is a backend server that says in its answers that it leaves.
type leavingServer struct {
	// refuses is set if it turns all requests away.
	refuses bool
	told    map[string]time.Time // when a daemon's first answer was sent, by IP address
	// toldFirst is when the first answer to any daemon was sent, and late the number
	// of requests from any daemon that were sent later than leavingBound after it.
	toldFirst time.Time
	late      int
}

// SetServerLeaving makes the backend server at an address say in all its answers
// that it leaves. If refuses is set, it also turns all requests away.
func (w *World) SetServerLeaving(addr string, refuses bool) {
	w.Update(func() { w.shared.leaving[addr] = &leavingServer{refuses: refuses, told: map[string]time.Time{}} })
}

// SetServerStaying ends what SetServerLeaving began, as a restart does.
func (w *World) SetServerStaying(addr string) {
	w.Update(func() { delete(w.shared.leaving, addr) })
}

// LateArrivals returns the number of requests at a leaving server that were sent
// later than leavingBound after its first answer to any daemon, and whether there
// was one.
func (w *World) LateArrivals(addr string) (late int, told bool) {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	l := w.shared.leaving[addr]
	if l == nil {
		return 0, false
	}
	return l.late, !l.toldFirst.IsZero()
}

// announceLeaving adds to an answer that the server at addr leaves, and reports
// whether the request is turned away. The caller holds the lock.
func (s *sharedState) announceLeaving(w http.ResponseWriter, r *http.Request, addr string) (refused bool) {
	l := s.leaving[addr]
	if l == nil {
		return false
	}
	w.Header().Set("Server-Leaving", "1")
	daemon, _, _ := net.SplitHostPort(r.RemoteAddr)
	now := time.Now()
	sent := now
	if ms, err := strconv.ParseInt(r.Header.Get(headerSentAt), 10, 64); err == nil {
		sent = s.started.Add(time.Duration(ms) * time.Millisecond)
	}
	if told, known := l.told[daemon]; !known {
		l.told[daemon] = now
	} else if sent.Sub(told) > leavingBound {
		s.addViolation("%s, which leaves, got a request from %s that was sent %s after its answer", addr, daemon, sent.Sub(told))
	}
	if l.toldFirst.IsZero() {
		l.toldFirst = now
	} else if sent.Sub(l.toldFirst) > leavingBound {
		l.late++
	}
	if l.refuses {
		refuse(w, r)
	}
	return l.refuses
}

// refuse answers that a request has not run.
func refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Carawayproxy-Attempt-Id", r.Header.Get("X-Carawayproxy-Attempt-Id"))
	w.Header().Set("X-Carawayproxy-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Figures of the rule on Retry-After in the 503 of a backend server.
const (
	// pauseGrace is the time after such an answer in which requests that are on their
	// way do not count.
	pauseGrace = 500 * time.Millisecond
	// pauseSlack is the number of requests of one daemon that may arrive later.
	pauseSlack = 2
)

// pausingServer is a backend server that turns requests away and wants none from
// the same daemon for some time.
type pausingServer struct {
	pause      time.Duration
	refusals   int  // requests that it still turns away, negative for no bound
	unpromised bool // it does not say that they have not run
	asked      map[string][]askedPause
	arrivals   int
}

// askedPause is one answer with Retry-After to a daemon.
type askedPause struct {
	at, until time.Time
	arrivals  int // from that daemon, pauseGrace later or more
}

// Pausing is how a backend server turns requests away.
type Pausing struct {
	// Pause is the time for which it wants no request from a daemon that it has
	// turned a request of away.
	Pause time.Duration
	// Refusals is the number of requests that it turns away, negative for all.
	Refusals int
	// Unpromised is set if its answers do not say that the request has not run.
	Unpromised bool
}

// SetServerPausing makes the backend server at an address turn requests away with
// Retry-After; with a zero Pause, it takes all again.
func (w *World) SetServerPausing(addr string, p Pausing) {
	w.Update(func() {
		if p.Pause == 0 {
			delete(w.shared.pausing, addr)
			return
		}
		w.shared.pausing[addr] = &pausingServer{pause: p.Pause, refusals: p.Refusals, unpromised: p.Unpromised, asked: map[string][]askedPause{}}
	})
}

// PausingArrivals returns the number of requests at a server since SetServerPausing.
func (w *World) PausingArrivals(addr string) int {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	if p := w.shared.pausing[addr]; p != nil {
		return p.arrivals
	}
	return 0
}

// askPause counts a request and, if the server at addr turns it away, answers it
// and returns true. The caller holds the lock.
func (s *sharedState) askPause(w http.ResponseWriter, r *http.Request, addr string) (refused bool) {
	p := s.pausing[addr]
	if p == nil {
		return false
	}
	p.arrivals++
	daemon, _, _ := net.SplitHostPort(r.RemoteAddr)
	now := time.Now()
	for i := range p.asked[daemon] {
		a := &p.asked[daemon][i]
		if now.Sub(a.at) < pauseGrace || !now.Before(a.until) {
			continue
		}
		if a.arrivals++; a.arrivals == pauseSlack+1 {
			s.addViolation("%s got %d requests from %s between %s and %s after it had asked for a pause", addr, a.arrivals, daemon, pauseGrace, a.until.Sub(a.at))
		}
	}
	if p.refusals == 0 {
		return false
	}
	p.refusals--
	p.asked[daemon] = append(p.asked[daemon], askedPause{at: now, until: now.Add(p.pause)})
	w.Header().Set("Retry-After", strconv.FormatFloat(p.pause.Seconds(), 'g', -1, 64))
	if p.unpromised {
		w.Header().Set("X-Carawayproxy-Attempt-Id", r.Header.Get("X-Carawayproxy-Attempt-Id"))
		w.WriteHeader(http.StatusServiceUnavailable)
	} else {
		refuse(w, r)
	}
	return true
}
