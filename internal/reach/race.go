package reach

import (
	"context"
	"net"
	"time"

	"carawayproxy.example/caraway/internal/backend"
)

// linksLostError is the error of a dial of which it is not known whether the
// server or this daemon's own link failed. It matches backend.ErrLinksLost.
type linksLostError struct{ cause error }

// Error returns the text of the cause.
func (e *linksLostError) Error() string { return "own links may be lost: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *linksLostError) Unwrap() error { return e.cause }

// Is reports whether target is backend.ErrLinksLost.
func (e *linksLostError) Is(target error) bool { return target == backend.ErrLinksLost }

// DialContext opens a connection to a server. It dials directly first, and asks
// other daemons if that fails or takes longer than hedgeDelay. Where only other
// daemons have reached the server, it is the other way round. An error matches
// backend.ErrLinksLost unless it is known to be the server's.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.cfg.Load() == nil {
		return d.dial(ctx, network, address)
	}
	r := &race{d: d, address: address, results: make(chan result, 2)}
	if d.paths.PrefersRelay(address, time.Now()) {
		return r.run(ctx, r.startRelay, r.startDirect, false)
	}
	return r.run(ctx, r.startDirect, r.startRelay, true)
}

type firstFailureKey struct{}

// WithFirstFailure returns a context with which DialContext calls f once the first way, as
// a rule the direct dial, has failed, before another is tried. Other daemons may take 50 ms
// to find the server gone. f must not block.
func WithFirstFailure(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, firstFailureKey{}, f)
}

// reportFirstFailure calls the function of WithFirstFailure.
func reportFirstFailure(ctx context.Context) {
	if f, ok := ctx.Value(firstFailureKey{}).(func()); ok {
		f()
	}
}

// race is one dial, directly and through other daemons.
type race struct {
	d       *Dialer
	address string
	results chan result
}

// result is the result of one of the two ways.
type result struct {
	conn    net.Conn
	err     error
	relayed bool
	// serverDown is set if a daemon whose own links work could not reach the server.
	serverDown bool
}

func (r *race) startDirect(ctx context.Context) {
	conn, err := r.d.dial(ctx, "tcp", r.address)
	r.results <- result{conn: conn, err: err}
}

func (r *race) startRelay(ctx context.Context) {
	conn, serverDown, err := r.d.dialThroughPeers(ctx, r.address)
	r.results <- result{conn: conn, err: err, relayed: true, serverDown: serverDown}
}

// run starts the first way, and the second one when the first has failed or, if
// hedged is set, after hedgeDelay. It returns the first connection.
func (r *race) run(ctx context.Context, first, second func(context.Context), hedged bool) (net.Conn, error) {
	began := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pending := 1
	go first(ctx)
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	startSecond := func() {
		if second == nil {
			return
		}
		go second(ctx)
		second = nil
		pending++
		go r.d.checkLinksIfSilent(r.address)
	}
	var directErr, relayErr error
	serverDown, hedges := false, 0
	for {
		select {
		case res := <-r.results:
			pending--
			if res.err == nil {
				r.closeLoser(pending)
				r.recordConnected(res.conn, directErr != nil || hedged && hedges > 0)
				return res.conn, nil
			}
			if res.relayed {
				relayErr, serverDown = res.err, res.serverDown
			} else {
				directErr = res.err
				r.d.recordFailure(r.address)
			}
			if second != nil {
				reportFirstFailure(ctx)
			}
			startSecond()
			if pending == 0 {
				return nil, r.classify(began, directErr, relayErr, serverDown)
			}
		case <-timer.C:
			// A timer that fires late shows that this daemon is busy rather than that
			// the dial takes long.
			if hedges++; hedged && (time.Since(began) < 2*hedgeDelay || hedges > 1) {
				startSecond()
			} else if hedged {
				timer.Reset(hedgeDelay)
			}
		case <-ctx.Done():
			r.closeLoser(pending)
			if directErr == nil {
				directErr = ctx.Err()
				if hedged && time.Since(began) >= checkTimeout {
					r.d.recordFailure(r.address)
				}
			}
			return nil, r.classify(began, directErr, relayErr, serverDown)
		}
	}
}

// closeLoser closes the connections that are still to come.
func (r *race) closeLoser(pending int) {
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			if res := <-r.results; res.err == nil {
				_ = res.conn.Close() // nothing was sent on it
			}
		}
	}()
}

// recordConnected records which way has led to the server. directFailed is set if
// the direct dial has failed or taken too long.
func (r *race) recordConnected(conn net.Conn, directFailed bool) {
	tunnel, relayed := conn.(*tunnelConn)
	switch {
	case !relayed:
		r.d.recordSuccess(r.address)
	case directFailed:
		r.d.recordFailure(r.address)
		r.d.paths.RecordRelayed(r.address, tunnel.peer.ID, time.Now())
	}
}

// classify returns the error of a dial. It is the server's if daemons whose links
// work could not reach the server either, if this one has reached another server
// lately, or if there is no other.
func (r *race) classify(began time.Time, directErr, relayErr error, serverDown bool) error {
	err := directErr
	if err == nil {
		err = relayErr
	}
	if serverDown || r.d.paths.SucceededSince(began.Add(-successAge)) || r.d.cfg.Load().ServerCount() <= 1 {
		return err
	}
	return &linksLostError{cause: err}
}
