// Package clients bounds what the clients of a daemon take together: memory for bodies,
// answers and connections, and file descriptors. It does not tell good clients from bad
// ones: where something is short, those that hold most of it, or hold it longest without
// using it, give it up first.
package clients

import (
	"runtime"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/memory"
)

// Shares of the memory limit. What remains beside them and baseBytes is for garbage and
// for bytes that were received and not yet read.
const (
	bodyShare       = 3.0 / 16
	answerShare     = 1.0 / 8
	connectionShare = 1.0 / 4
	// baseBytes is what a daemon takes without clients.
	baseBytes = 24 << 20
	// connectionBytes is what a connection takes: a head as large as any may be, beside the
	// buffers and stacks of its goroutines.
	connectionBytes = 64 << 10
	// bodiesAtOnce is the number of largest bodies that must fit beside each other: a body
	// without an announced length is copied once.
	bodiesAtOnce = 2
	// decodingCopies is the number of copies of a body while it is decoded, beside the body:
	// that of the library, which grows by doubling and is copied then, and the message.
	decodingCopies = 4
	// maxOperators and maxHandshakes bound these connections. All daemons may start at once
	// and open links to one.
	maxOperators  = 64
	maxHandshakes = 1500
	// handshakePart is the part of the memory for clients' connections that handshakes may
	// take besides. It is not in the sum: a handshake rarely sends a head of this size.
	handshakePart = 4
	// smallBytes is the size up to which a body may take the part of the memory that
	// larger ones leave free, which is a smallPart of it.
	smallBytes = 64 << 10
	smallPart  = 8
	// defaultBodyBytes is the memory for bodies without a memory limit.
	defaultBodyBytes = 256 << 20
)

// connectionDescriptors is the share of the descriptors that clients' connections may
// take. A request in flight needs another one, to its backend server.
const connectionDescriptors = 0.4

// Limits are what the settings state.
type Limits struct {
	MemoryBytes    int // of the process; 0 for no limit
	Descriptors    int // of the process; 0 for no limit
	MaxConnections int
	MaxBodyBytes   int
}

// Plan is how the limits are shared. Bytes of memory that are zero have no bound of the
// plan's.
type Plan struct {
	Connections int
	// Operators is the number of connections at each listener for operators and for the
	// balancer's checks, and Handshakes that of connections of peers before they have said
	// whose they are.
	Operators, Handshakes int
	// Decoders is the number of large bodies of the product's own calls that are decoded
	// at once, as many as what is left has room for, and one at least.
	Decoders                                            int
	BodyBytes, SmallBytes, ForSmall                     int
	AnswerBytes, ConnectionBytes, BaseBytes, TotalBytes int
}

// NewPlan returns a plan whose parts add up to less than the memory limit. It returns an
// error that names the values if that is too small.
func NewPlan(l Limits) (Plan, error) {
	p := Plan{Connections: l.MaxConnections, BodyBytes: defaultBodyBytes, SmallBytes: smallBytes}
	if l.Descriptors > 0 {
		p.Connections = min(p.Connections, int(connectionDescriptors*float64(l.Descriptors)))
	}
	if l.MemoryBytes > 0 {
		total := float64(l.MemoryBytes)
		p.Connections = min(p.Connections, int(connectionShare*total/connectionBytes))
		p.BodyBytes, p.AnswerBytes, p.BaseBytes = int(bodyShare*total), int(answerShare*total), baseBytes
		p.ConnectionBytes = p.Connections * connectionBytes
		p.TotalBytes = p.BaseBytes + p.BodyBytes + p.AnswerBytes + p.ConnectionBytes
		if p.TotalBytes > l.MemoryBytes {
			return p, errors.Errorf("the memory limit of %d bytes is too small: %d bytes without clients, %d for bodies of requests, %d for answers and %d for %d connections make %d",
				l.MemoryBytes, p.BaseBytes, p.BodyBytes, p.AnswerBytes, p.ConnectionBytes, p.Connections, p.TotalBytes)
		}
	}
	p.Operators, p.Handshakes = min(maxOperators, p.Connections), maxHandshakes
	if l.Descriptors > 0 {
		p.Handshakes = min(p.Handshakes, l.Descriptors-2*int(connectionDescriptors*float64(l.Descriptors)))
	}
	if l.MemoryBytes > 0 {
		p.Handshakes = max(1, min(p.Handshakes, int(connectionShare*float64(l.MemoryBytes)/connectionBytes/handshakePart)))
	}
	p.Decoders = runtime.GOMAXPROCS(0)
	if l.MemoryBytes > 0 {
		p.Decoders = max(1, min(p.Decoders, (l.MemoryBytes-p.TotalBytes)/(decodingCopies*l.MaxBodyBytes)))
	}
	p.ForSmall = p.BodyBytes / smallPart
	if room := p.BodyBytes - p.ForSmall; room < bodiesAtOnce*(l.MaxBodyBytes+memory.BlockBytes) {
		return p, errors.Errorf("the memory limit of %d bytes is too small: it leaves %d bytes for large bodies of requests, and %d of at most %d bytes have to fit",
			l.MemoryBytes, room, bodiesAtOnce, l.MaxBodyBytes)
	}
	if p.Connections < 1 {
		return p, errors.Errorf("%d descriptors leave none for the connections of clients", l.Descriptors)
	}
	return p, nil
}
