package membership

import (
	"sort"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
)

// maxNames bounds the names that cross one link; a link that needs more is
// dropped and begins anew.
const maxNames = 8192

// Errors of a link's names.
var (
	errUnknownName  = errors.New("heartbeat uses a name that was not told")
	errManyNames    = errors.New("too many names on one link")
	errUnpairedLoad = errors.New("heartbeat has a group without a count")
)

// numbering gives each name that a link sends a number, so that it crosses the
// link once. It is not safe for concurrent use.
type numbering struct {
	numbers map[string]uint32
	fresh   []string // numbered since the last take
}

func newNumbering() *numbering { return &numbering{numbers: map[string]uint32{}} }

func (n *numbering) number(name string) uint32 {
	if i, known := n.numbers[name]; known {
		return i
	}
	i := uint32(len(n.numbers))
	n.numbers[name] = i
	n.fresh = append(n.fresh, name)
	return i
}

func (n *numbering) take() []string {
	fresh := n.fresh
	n.fresh = nil
	return fresh
}

// names are those that a link has received, by number.
type names []string

func (n names) get(i uint32) (string, error) {
	if int(i) >= len(n) {
		return "", errors.Wrapf(errUnknownName, "%d", i)
	}
	return n[i], nil
}

// wirePosition is a StreamPosition with its stream's number.
type wirePosition struct {
	_        struct{} `cbor:",toarray"`
	Stream   uint32
	Next     journal.Offset
	AgeMilli int64
}

// pack writes positions and loads into a message, by number and in order.
func (n *numbering) pack(b *beatMessage, streams map[journal.Stream]StreamPosition, inFlight map[fleet.GroupID]uint32) {
	b.Streams = make([]wirePosition, 0, len(streams))
	for s, p := range streams {
		b.Streams = append(b.Streams, wirePosition{Stream: n.number(string(s)), Next: p.Next, AgeMilli: p.ConfirmedAgeMilli})
	}
	sort.Slice(b.Streams, func(i, j int) bool { return b.Streams[i].Stream < b.Streams[j].Stream })
	b.InFlight = make([]uint32, 0, 2*len(inFlight))
	for group, count := range inFlight {
		b.InFlight = append(b.InFlight, n.number(string(group)), count)
	}
	b.Names = n.take()
}

// unpack reads positions and loads of a message after taking in its names.
func (n *names) unpack(b *beatMessage) (map[journal.Stream]StreamPosition, map[fleet.GroupID]uint32, error) {
	if len(*n)+len(b.Names) > maxNames {
		return nil, nil, errManyNames
	}
	*n = append(*n, b.Names...)
	streams := make(map[journal.Stream]StreamPosition, len(b.Streams))
	for _, p := range b.Streams {
		name, err := n.get(p.Stream)
		if err != nil {
			return nil, nil, err
		}
		streams[journal.Stream(name)] = StreamPosition{Next: p.Next, ConfirmedAgeMilli: p.AgeMilli}
	}
	inFlight := make(map[fleet.GroupID]uint32, len(b.InFlight)/2)
	return streams, inFlight, n.unpackLoad(b.InFlight, inFlight)
}

// unpackLoad reads pairs of a group's number and its count.
func (n names) unpackLoad(pairs []uint32, into map[fleet.GroupID]uint32) error {
	if len(pairs)%2 != 0 {
		return errUnpairedLoad
	}
	for i := 0; i < len(pairs); i += 2 {
		name, err := n.get(pairs[i])
		if err != nil {
			return err
		}
		into[fleet.GroupID(name)] = pairs[i+1]
	}
	return nil
}
