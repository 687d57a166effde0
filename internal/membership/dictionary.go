package membership

import (
	"math"
	"sort"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
)

// maxNames bounds the names sent on one link. A link that needs more is closed
// and dialed again.
const maxNames = 8192

// Errors in the names of a link.
var (
	errUnknownName   = errors.New("unknown name number")
	errTooManyNames  = errors.New("too many names on one link")
	errUnpairedCount = errors.New("number of a name without its count")
)

// nameTable assigns a number to each name that a link sends, so that the name is
// sent only once. It is not safe for concurrent use.
type nameTable struct {
	numbers map[string]uint32
	unsent  []string // numbered since the last takeUnsent
}

func newNameTable() *nameTable { return &nameTable{numbers: map[string]uint32{}} }

func (n *nameTable) number(name string) uint32 {
	if i, known := n.numbers[name]; known {
		return i
	}
	i := uint32(len(n.numbers))
	n.numbers[name] = i
	n.unsent = append(n.unsent, name)
	return i
}

func (n *nameTable) takeUnsent() []string {
	unsent := n.unsent
	n.unsent = nil
	return unsent
}

// nameList holds the names that a link has received, indexed by number.
type nameList []string

func (n nameList) get(i uint32) (string, error) {
	if int(i) >= len(n) {
		return "", errors.Wrapf(errUnknownName, "%d", i)
	}
	return n[i], nil
}

// add adds the names of a message.
func (n *nameList) add(names []string) error {
	if len(*n)+len(names) > maxNames {
		return errTooManyNames
	}
	*n = append(*n, names...)
	return nil
}

// wirePosition is a StreamPosition with its stream's number.
type wirePosition struct {
	_        struct{} `cbor:",toarray"`
	Stream   uint32
	Next     journal.Offset
	AgeMilli int64
}

// pack writes positions, in the order of their numbers, and loads into a message.
func (n *nameTable) pack(b *heartbeatMessage, streams map[journal.Stream]StreamPosition, inFlight map[fleet.GroupID]uint32) {
	b.Streams = make([]wirePosition, 0, len(streams))
	for s, p := range streams {
		b.Streams = append(b.Streams, wirePosition{Stream: n.number(string(s)), Next: p.Next, AgeMilli: p.ConfirmedAgeMilli})
	}
	sort.Slice(b.Streams, func(i, j int) bool { return b.Streams[i].Stream < b.Streams[j].Stream })
	b.InFlight = make([]uint32, 0, 2*len(inFlight))
	for group, count := range inFlight {
		b.InFlight = append(b.InFlight, n.number(string(group)), count)
	}
	b.Names = n.takeUnsent()
}

// unpack adds a message's names to the list and returns its positions and loads.
func (n *nameList) unpack(b *heartbeatMessage) (map[journal.Stream]StreamPosition, map[fleet.GroupID]uint32, error) {
	if err := n.add(b.Names); err != nil {
		return nil, nil, err
	}
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

// workUnit is the unit of the work of services on the wire, in groups.
const workUnit = 0.001

// packWork returns pairs of a service's number and its work.
func (n *nameTable) packWork(work map[fleet.ServiceName]float64) []uint32 {
	var pairs []uint32
	for service, groups := range work {
		if units := math.Round(groups / workUnit); units >= 1 && units <= math.MaxUint32 {
			pairs = append(pairs, n.number(string(service)), uint32(units))
		}
	}
	return pairs
}

// unpackWork returns the work for pairs from packWork. The heartbeat's names must
// have been added before.
func (n nameList) unpackWork(pairs []uint32) (map[fleet.ServiceName]float64, error) {
	if len(pairs)%2 != 0 {
		return nil, errUnpairedCount
	}
	work := make(map[fleet.ServiceName]float64, len(pairs)/2)
	for i := 0; i < len(pairs); i += 2 {
		name, err := n.get(pairs[i])
		if err != nil {
			return nil, err
		}
		work[fleet.ServiceName(name)] = float64(pairs[i+1]) * workUnit
	}
	return work, nil
}

// unpackLoad reads pairs of a group's number and count into a map.
func (n nameList) unpackLoad(pairs []uint32, into map[fleet.GroupID]uint32) error {
	if len(pairs)%2 != 0 {
		return errUnpairedCount
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
