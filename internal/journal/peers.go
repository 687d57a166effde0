package journal

import (
	"context"
	"time"
)

const (
	// peerPoll is the interval at which peers are polled while the log does not
	// respond. It doubles after each failure, up to peerPollMax.
	peerPoll    = 500 * time.Millisecond
	peerPollMax = 4 * time.Second
	peerTimeout = 2 * time.Second
	// unresponsiveSlack is how far a read may exceed its wait before peers are
	// polled.
	unresponsiveSlack = time.Second
)

// peerLoop polls peers while the log does not respond or its records have
// expired.
func (r *Replica) peerLoop(ctx context.Context) {
	if r.cfg.Peers == nil {
		return
	}
	delay := peerPoll
	for {
		sleep(ctx, delay)
		if ctx.Err() != nil {
			return
		}
		delay = peerPoll
		entries, state := r.neededFromPeers()
		var err error
		switch {
		case state:
			err = r.fetchState(ctx)
		case entries:
			err = r.fetchEntries(ctx)
		}
		if err != nil {
			delay = min(2*delay, peerPollMax)
		}
	}
}

// neededFromPeers reports what has to be fetched from peers: the entries that
// follow the folded prefix, or a complete state.
func (r *Replica) neededFromPeers() (entries, state bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return false, false
	}
	unresponsive := r.logUnavailable || time.Since(r.lastLogResponse) > r.cfg.Wait+unresponsiveSlack
	return unresponsive && r.started, r.needState || (unresponsive && !r.started)
}

func (r *Replica) fetchEntries(ctx context.Context) error {
	from := r.Status().Next
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	entries, err := r.cfg.Peers.FetchEntries(callCtx, r.cfg.Stream, from, readLimit)
	if err != nil {
		return err
	}
	next := r.FoldRelayed(entries)
	r.mu.Lock()
	behind := next == from && r.peerNext > next
	r.mu.Unlock()
	if !behind {
		return nil
	}
	return r.fetchState(ctx) // peers are ahead and no longer have the next entry
}

func (r *Replica) fetchState(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	s, err := r.cfg.Peers.FetchState(ctx, r.cfg.Stream)
	if err != nil {
		return err
	}
	return r.Adopt(s)
}
