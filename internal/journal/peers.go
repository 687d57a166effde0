package journal

import (
	"context"
	"time"
)

const (
	// Peers are asked every peerPoll while the log does not answer, and after
	// failures twice as late each time up to peerPollMax.
	peerPoll    = 500 * time.Millisecond
	peerPollMax = 4 * time.Second
	peerTimeout = 2 * time.Second
	// silentSlack is how far over the wait a read may run before peers are
	// asked.
	silentSlack = time.Second
)

// peerLoop asks peers while the log can't help.
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
		entries, state := r.wanted()
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

// wanted says what peers must give: the entries that follow, or a state.
func (r *Replica) wanted() (entries, state bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return false, false
	}
	silent := r.logDown || time.Since(r.logAt) > r.cfg.Wait+silentSlack
	return silent && r.started, r.needState || (silent && !r.started)
}

func (r *Replica) fetchEntries(ctx context.Context) error {
	from := r.Status().Next
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	entries, err := r.cfg.Peers.FetchEntries(callCtx, r.cfg.Stream, from, readLimit)
	if err != nil {
		return err
	}
	next := r.Offer(entries)
	r.mu.Lock()
	behind := next == from && r.peerNext > next
	r.mu.Unlock()
	if !behind {
		return nil
	}
	return r.fetchState(ctx) // peers are ahead and hold no entry that follows
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
