package clients

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// framingPerByte is the number of bytes of framing beside each byte of a body, beyond
	// framingSlack bytes, from which a body costs mostly processor time: chunks of one byte
	// have five, chunks of two bytes less than three.
	framingPerByte = 3
	framingSlack   = 64 << 10
	// pacedBytes is the number of bytes of such a body that are read at a time.
	pacedBytes = 16 << 10
	// pacedRate is the number of bytes a second of such bodies, for each processor core.
	pacedRate = 12 << 20
	// maxPacerDebt bounds how long a body waits for the bytes that were let through before:
	// one body alone may have read any number of them.
	maxPacerDebt = 5 * time.Second
)

// Pacer bounds the processor time that bodies in very small chunks take together. One such
// body alone is not bounded. It is safe for concurrent use.
type Pacer struct {
	rate float64 // bytes a second

	mu     sync.Mutex
	active int
	next   time.Time // when the bytes that were let through are paid for
}

// NewPacer returns a pacer for a number of processor cores.
func NewPacer(processors float64) *Pacer { return &Pacer{rate: processors * pacedRate} }

// turn returns how long a body waits before its next n bytes are read.
func (p *Pacer) turn(n int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next.Before(now) {
		p.next = now
	}
	wait := p.next.Sub(now)
	p.next = p.next.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
	if latest := now.Add(maxPacerDebt); p.next.After(latest) {
		p.next = latest
	}
	if p.active < 2 {
		return 0
	}
	return wait
}

func (p *Pacer) add(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active += n
}

// Body returns a reader of the body of a request, which is paced while its chunks are very
// small. It has to be closed, which does not close the body.
func (p *Pacer) Body(ctx context.Context, body io.Reader) *PacedBody {
	b := &PacedBody{pacer: p, body: body}
	b.conn, _ = ctx.Value(connKey{}).(*conn)
	if b.conn != nil {
		b.before = b.conn.received.Load()
	}
	return b
}

// PacedBody is a body that is paced while its chunks are very small.
type PacedBody struct {
	pacer  *Pacer
	body   io.Reader
	conn   *conn // nil if the connection is not known
	before int64 // bytes that the connection had received before
	read   int64
	unpaid int
	paced  bool
}

// Read implements io.Reader.
func (b *PacedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.read += int64(n)
	if b.conn == nil || b.conn.received.Load()-b.before-b.read <= framingPerByte*b.read+framingSlack {
		return n, err
	}
	if !b.paced {
		b.paced = true
		b.pacer.add(1)
	}
	if b.unpaid += n; b.unpaid >= pacedBytes {
		time.Sleep(b.pacer.turn(b.unpaid, time.Now()))
		b.unpaid = 0
	}
	return n, err
}

// Close ends the pacing.
func (b *PacedBody) Close() {
	if b.paced {
		b.pacer.add(-1)
	}
}
