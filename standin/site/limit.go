package site

import (
	"net"
	"net/http"
	"strconv"
	"time"
)

// Figures of the rule on announced request rates.
const (
	// limitWindow is the length of the windows in which requests are counted.
	limitWindow = 4 * time.Second
	// limitFactor and limitSlack give the requests allowed in a window: the factor
	// times the announced ones, plus the slack.
	limitFactor = 1.5
	limitSlack  = 5
	// toldAfter is how long after the answer that announces a limit its daemon is
	// bound by it.
	toldAfter = 500 * time.Millisecond
)

// announcedLimit is the request rate that a backend server announces in its
// answers, and the requests that it has received since.
type announcedLimit struct {
	perSecond float64
	since     time.Time
	told      map[string]time.Time // when a daemon's first answer with the limit was sent, by IP address
	arrivals  []limitedArrival
	exceeded  bool // the violation has been recorded
}

// limitedArrival is a request at a backend server that announces a limit.
type limitedArrival struct {
	at   time.Time
	told bool // its daemon is bound by the limit
}

// SetRequestLimit makes the backend server at an address announce that it takes
// perSecond requests a second from all daemons together, or nothing any more if
// perSecond is zero.
func (w *World) SetRequestLimit(addr string, perSecond float64) {
	w.Update(func() {
		if perSecond == 0 {
			delete(w.shared.limits, addr)
			return
		}
		w.shared.limits[addr] = &announcedLimit{perSecond: perSecond, since: time.Now(), told: map[string]time.Time{}}
	})
}

// announceLimit counts a request and adds the limit of the server at addr to its
// answer. The caller holds the lock.
func (s *sharedState) announceLimit(w http.ResponseWriter, r *http.Request, addr string) {
	l := s.limits[addr]
	if l == nil {
		return
	}
	w.Header().Set("Server-Limit", strconv.FormatFloat(l.perSecond, 'g', -1, 64))
	daemon, _, _ := net.SplitHostPort(r.RemoteAddr)
	now := time.Now()
	told, known := l.told[daemon]
	l.arrivals = append(l.arrivals, limitedArrival{now, known && now.Sub(told) >= toldAfter})
	if !known {
		l.told[daemon] = now
	}
	if now.Sub(l.since) < StableWindow {
		return
	}
	n := 0
	for i := len(l.arrivals) - 1; i >= 0 && now.Sub(l.arrivals[i].at) < limitWindow; i-- {
		if l.arrivals[i].told && l.arrivals[i].at.Sub(l.since) >= StableWindow {
			n++
		}
	}
	if allowed := limitFactor*limitWindow.Seconds()*l.perSecond + limitSlack; float64(n) > allowed && !l.exceeded {
		l.exceeded = true
		s.addViolation("%s, which takes %g requests a second, got %d in %s where %g are allowed", addr, l.perSecond, n, limitWindow, allowed)
	}
}

// LimitedArrivals returns the number of requests that the server at an address has
// received since it announced its present limit, and for how long it has.
func (w *World) LimitedArrivals(addr string) (n int, since time.Duration) {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	l := w.shared.limits[addr]
	if l == nil {
		return 0, 0
	}
	return len(l.arrivals), time.Since(l.since)
}

// ExcuseLimits stops counting what daemons have sent so far to servers that announce
// a limit, as after a restart or a pause of one of them.
func (w *World) ExcuseLimits() {
	w.Update(func() {
		for _, l := range w.shared.limits {
			l.arrivals, l.told = nil, map[string]time.Time{}
		}
	})
}

// ServerAddresses returns the addresses of all backend servers.
func (w *World) ServerAddresses() []string {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	seen := map[string]bool{}
	var out []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			out = append(out, address)
		}
	}
	for _, e := range w.Engines {
		add(e.addr)
	}
	for _, p := range w.Plains {
		add(p.addr)
	}
	return out
}
