package membership

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
)

// ErrNoPeer is returned if no peer could answer a request.
var ErrNoPeer = errors.New("no peer could answer the request")

var _ journal.PeerSource = (*Mesh)(nil)

// maxFetchPeers is the number of peers that one fetch tries in turn.
const maxFetchPeers = 3

// pendingRequests holds the requests that wait for their responses.
type pendingRequests struct {
	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]waiter
}

type waiter struct {
	link     *link
	response chan *responseMessage
}

func newPendingRequests() *pendingRequests { return &pendingRequests{waiting: map[uint64]waiter{}} }

func (p *pendingRequests) add(l *link) (uint64, <-chan *responseMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	response := make(chan *responseMessage, 1)
	p.waiting[p.lastID] = waiter{link: l, response: response}
	return p.lastID, response
}

func (p *pendingRequests) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

// resolve delivers a response to its request. It drops responses without a
// waiting request and responses that arrive on another link.
func (p *pendingRequests) resolve(l *link, r *responseMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.waiting[r.ID]
	if !ok || w.link != l {
		return
	}
	delete(p.waiting, r.ID)
	w.response <- r
}

// request sends a request on a link and waits for the response, at most
// requestTimeout.
func (m *Mesh) request(ctx context.Context, l *link, req requestMessage) (*responseMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	id, response := m.pending.add(l)
	defer m.pending.remove(id)
	req.ID = id
	frame, err := encode(&req)
	if err != nil {
		return nil, err
	}
	if !l.send(frame) {
		return nil, errors.Errorf("send queue of the link to %s is full", l.peer.From)
	}
	select {
	case r := <-response:
		if r.Failure != "" {
			return nil, errors.Errorf("%s: %s", l.peer.From, r.Failure)
		}
		return r, nil
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "no response from %s", l.peer.From)
	}
}

// FetchState implements journal.PeerSource. While there is no peer to ask, it
// waits until ctx ends.
func (m *Mesh) FetchState(ctx context.Context, stream journal.Stream) (journal.State, error) {
	r, err := m.requestFromFurthest(ctx, requestMessage{Kind: requestState, Stream: stream}, func(r *responseMessage) bool {
		return r.State != nil && r.State.Stream == stream
	})
	if err != nil {
		return journal.State{}, err
	}
	return *r.State, nil
}

// FetchEntries implements journal.PeerSource.
func (m *Mesh) FetchEntries(ctx context.Context, stream journal.Stream, from journal.Offset, limit int) ([]journal.Entry, error) {
	req := requestMessage{Kind: requestEntries, Stream: stream, From: from, Limit: limit}
	r, err := m.requestFromFurthest(ctx, req, func(r *responseMessage) bool {
		return r.First == from && len(r.Payloads) > 0
	})
	if errors.Is(err, ErrNoPeer) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return r.entries(), nil
}

// requestFromFurthest asks linked peers, those with the highest offset first,
// until accept approves a response.
func (m *Mesh) requestFromFurthest(ctx context.Context, req requestMessage, accept func(*responseMessage) bool) (*responseMessage, error) {
	links, err := m.waitLinks(ctx, req.Stream)
	if err != nil {
		return nil, err
	}
	for _, l := range links[:min(len(links), maxFetchPeers)] {
		r, err := m.request(ctx, l, req)
		if err == nil && accept(r) {
			return r, nil
		}
		if err != nil {
			m.cfg.Events.Emit(eventRequestFailed, "peer", l.peer.From, "stream", req.Stream, "err", err)
		}
	}
	return nil, errors.Wrapf(ErrNoPeer, "stream %s", req.Stream)
}

// waitLinks returns the links to peers that have the stream, highest offset
// first. It waits until there is one or ctx ends.
func (m *Mesh) waitLinks(ctx context.Context, stream journal.Stream) ([]*link, error) {
	for {
		links := m.linksByOffset(stream, 0)
		if len(links) > 0 {
			return links, nil
		}
		select {
		case <-time.After(m.cfg.HeartbeatInterval / 4):
		case <-ctx.Done():
			return nil, errors.Wrap(ErrNoPeer, ctx.Err().Error())
		}
	}
}

// linksByOffset returns the links to live peers whose position in the stream is
// beyond an offset, highest offset first.
func (m *Mesh) linksByOffset(stream journal.Stream, beyond journal.Offset) []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	next := map[fleet.DaemonID]journal.Offset{}
	var out []*link
	for id, l := range m.links {
		p := m.table.peers[id]
		position, has := p.Heartbeat.Streams[stream]
		if has && position.Next > beyond && p.freshAt(now, m.cfg.AliveFor) {
			next[id] = position.Next
			out = append(out, l)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i].peer.From, out[j].peer.From
		if next[a] != next[b] {
			return next[a] > next[b]
		}
		return a < b
	})
	return out
}

// serve returns the response to a peer's request.
func (m *Mesh) serve(req *requestMessage) *responseMessage {
	r := &responseMessage{ID: req.ID}
	replica := m.cfg.Replicas[req.Stream]
	if replica == nil {
		r.Failure = errUnknownStream.Error()
		return r
	}
	var err error
	switch req.Kind {
	case requestState:
		r.State, err = exportState(replica)
	case requestEntries:
		r.setEntries(req.From, replica.Entries(req.From, min(req.Limit, maxEntries)))
	default:
		err = errUnknownRequest
	}
	if err != nil {
		r.Failure = err.Error()
	}
	return r
}

func exportState(replica Relay) (*journal.State, error) {
	state, err := replica.Export()
	if err != nil {
		return nil, err
	}
	if len(state.Data) > maxStateBytes {
		return nil, errStateTooLarge
	}
	return &state, nil
}

// setEntries adds the entries from an offset on, up to the first gap or to
// maxEntriesBytes.
func (r *responseMessage) setEntries(from journal.Offset, entries []journal.Entry) {
	r.First = from
	size := 0
	for _, e := range entries {
		if e.Offset != from+journal.Offset(len(r.Payloads)) {
			return
		}
		size += len(e.Payload)
		if len(r.Payloads) > 0 && size > maxEntriesBytes {
			return
		}
		r.Payloads = append(r.Payloads, e.Payload)
	}
}

func (r *responseMessage) entries() []journal.Entry {
	out := make([]journal.Entry, len(r.Payloads))
	for i, p := range r.Payloads {
		out[i] = journal.Entry{Offset: r.First + journal.Offset(i), Payload: p}
	}
	return out
}
