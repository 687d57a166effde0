package membership

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/lease"
	"carawayproxy.example/caraway/internal/suspect"
)

// A message is one binary WebSocket frame: a version byte, a type byte and a
// CBOR body.
const wireVersion = 1

// Limits of messages.
const (
	headerBytes = 2
	// maxStateBytes bounds an exported state that is sent on a link.
	maxStateBytes = 8 << 20
	// maxMessageBytes bounds every message.
	maxMessageBytes = maxStateBytes + 64<<10
	// maxEntriesBytes bounds the payloads in one response, unless the first one
	// alone is larger.
	maxEntriesBytes = 256 << 10
	// maxEntries bounds the entries in one response.
	maxEntries = 1024
	// maxItems bounds each array and map in a message.
	maxItems = 8192
)

type messageType byte

const (
	typeHello messageType = iota + 1
	typeHeartbeat
	typeGossip
	typeGoodbye
	typeRequest
	typeResponse
	typeLoad
	typeTotals
)

// Errors of decode and of requests.
var (
	errTooShort       = errors.New("message too short")
	errVersion        = errors.New("unknown message version")
	errUnknownType    = errors.New("unknown message type")
	errMissingField   = errors.New("missing or invalid field")
	errStateTooLarge  = errors.New("state too large to send")
	errUnknownStream  = errors.New("unknown stream")
	errUnknownRequest = errors.New("unknown request")
)

// helloMessage is the first message of each side of a link.
type helloMessage struct {
	From        fleet.DaemonID `cbor:"1,keyasint"`
	Address     string         `cbor:"2,keyasint"`
	Zone        fleet.Zone     `cbor:"3,keyasint"`
	Incarnation uint64         `cbor:"4,keyasint"`
	// TunnelKey admits the receiver's tunnels to the sender. Releases that do not
	// know it ignore it.
	TunnelKey string `cbor:"5,keyasint,omitempty"`
	// WantsTotals is set if the sender has links to hubs only, and reads
	// totalsMessages.
	WantsTotals bool `cbor:"6,keyasint,omitempty"`
}

// heartbeatMessage is a Heartbeat without the fields sent in hellos and gossip.
type heartbeatMessage struct {
	Echo           Echo   `cbor:"1,keyasint"`
	Sequence       uint64 `cbor:"2,keyasint"`
	Ready          bool   `cbor:"3,keyasint,omitempty"`
	Draining       bool   `cbor:"4,keyasint,omitempty"`
	ConfigRevision uint64 `cbor:"5,keyasint,omitempty"`
	// Names are new on this link. They are numbered in order after the earlier
	// ones.
	Names   []string       `cbor:"6,keyasint,omitempty"`
	Streams []wirePosition `cbor:"7,keyasint,omitempty"`
	// InFlight alternates a group's number and its count.
	InFlight []uint32 `cbor:"8,keyasint,omitempty"`
	// Reports and Loads are the changed parts of the sender's reports of
	// backend servers. ReportAges alternates an instance's number and the age,
	// in ageUnit, at which its report was requested. Releases that do not know
	// these fields ignore them.
	Reports    []wireReport `cbor:"9,keyasint,omitempty"`
	Loads      []wireLoad   `cbor:"10,keyasint,omitempty"`
	ReportAges []uint64     `cbor:"11,keyasint,omitempty"`
	// Unresponsive holds the numbers of instances that have stopped answering
	// polls.
	Unresponsive []uint32 `cbor:"12,keyasint,omitempty"`
	// Stalled holds the numbers of groups whose streams have stalled.
	Stalled    []uint32 `cbor:"13,keyasint,omitempty"`
	HoldsScope bool     `cbor:"14,keyasint,omitempty"`
	IsReader   bool     `cbor:"15,keyasint,omitempty"`
	// Renewal is the sender's latest renewal of its lease on a scope.
	// StoreUnavailable is set while the sender can't reach the store.
	Renewal          lease.Renewal `cbor:"16,keyasint,omitzero"`
	StoreUnavailable bool          `cbor:"17,keyasint,omitempty"`
	// Processors is the number of cores that the sender may use.
	Processors float64 `cbor:"18,keyasint,omitempty"`
	// Work alternates a service's number and its work in workUnit.
	Work         []uint32 `cbor:"19,keyasint,omitempty"`
	WorkRequests uint64   `cbor:"20,keyasint,omitempty"`
	// LinksLost is set while the sender can't reach the backend servers directly.
	LinksLost bool `cbor:"21,keyasint,omitempty"`
	// Daemons is the number of daemons that the sender hears, with itself. Releases
	// that do not know this field and the next one ignore them.
	Daemons uint32 `cbor:"22,keyasint,omitempty"`
	// DocumentAge is the age in milliseconds of the sender's last read of the routing
	// document, plus one; zero if it has not read it lately.
	DocumentAge uint64 `cbor:"23,keyasint,omitempty"`
	// Evacuations is what the sender knows of evacuations. Releases that do not know it
	// ignore it.
	Evacuations *Evacuations `cbor:"24,keyasint,omitempty"`
}

// loadMessage holds the counts that have changed since the last message, sent
// between two heartbeats. Its groups were numbered by earlier heartbeats.
type loadMessage struct {
	// InFlight alternates a group's number and its count, zero for none.
	InFlight []uint32 `cbor:"1,keyasint"`
}

// totalsMessage holds the numbers of requests that all daemons have in flight, the
// receiver included, as far as they have changed since the last one on the link. It
// is sent to daemons that want it only.
type totalsMessage struct {
	// Names are new on this link, numbered after those of earlier heartbeats and
	// totals.
	Names []string `cbor:"1,keyasint,omitempty"`
	// InFlight alternates a group's number and its count, zero for none.
	InFlight []uint32 `cbor:"2,keyasint,omitempty"`
}

// gossipMessage holds items that are sent once on each link.
type gossipMessage struct {
	Leaving    []leavingItem  `cbor:"1,keyasint,omitempty"`
	Sightings  []sightingItem `cbor:"2,keyasint,omitempty"`
	Broadcasts []Broadcast    `cbor:"3,keyasint,omitempty"`
	// Releases that do not know Acquittals ignore them.
	Acquittals []acquittalItem `cbor:"4,keyasint,omitempty"`
	// Relayed is set if the sender has the items from other daemons.
	Relayed bool `cbor:"5,keyasint,omitempty"`
	// List is how far the broadcasts that the receiver has got on this link, with the
	// items above, cover the list of backend servers. Echo is as in heartbeats.
	List *ListPosition `cbor:"6,keyasint,omitempty"`
	Echo Echo          `cbor:"7,keyasint,omitzero"`
}

type leavingItem struct {
	Instance fleet.InstanceID `cbor:"1,keyasint"`
	AgeMilli uint64           `cbor:"2,keyasint"`
}

type sightingItem struct {
	ID       [16]byte              `cbor:"1,keyasint"`
	Group    fleet.GroupID         `cbor:"2,keyasint"`
	Epoch    fleet.Epoch           `cbor:"3,keyasint"`
	Fabric   fleet.FabricDomain    `cbor:"4,keyasint"`
	Service  fleet.ServiceName     `cbor:"5,keyasint"`
	InFlight []suspect.Fingerprint `cbor:"6,keyasint,omitempty"`
	AgeMilli uint64                `cbor:"7,keyasint"`
	// Releases that do not know Parts ignore them.
	Parts []suspect.Fingerprint `cbor:"8,keyasint,omitempty"`
}

type acquittalItem struct {
	ID       [16]byte                                  `cbor:"1,keyasint"`
	Survived map[suspect.Fingerprint]suspect.Survivals `cbor:"2,keyasint"`
	AgeMilli uint64                                    `cbor:"3,keyasint"`
}

// goodbyeMessage announces the sender's planned stop.
type goodbyeMessage struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

type requestKind uint8

const (
	requestState requestKind = iota + 1
	requestEntries
)

type requestMessage struct {
	ID     uint64         `cbor:"1,keyasint"`
	Kind   requestKind    `cbor:"2,keyasint"`
	Stream journal.Stream `cbor:"3,keyasint"`
	From   journal.Offset `cbor:"4,keyasint,omitempty"`
	Limit  int            `cbor:"5,keyasint,omitempty"`
}

// responseMessage answers a requestMessage. Payloads are those of consecutive
// entries that start at offset First.
type responseMessage struct {
	ID       uint64         `cbor:"1,keyasint"`
	Failure  string         `cbor:"2,keyasint,omitempty"`
	State    *journal.State `cbor:"3,keyasint,omitempty"`
	First    journal.Offset `cbor:"4,keyasint,omitempty"`
	Payloads [][]byte       `cbor:"5,keyasint,omitempty"`
}

// codec holds the CBOR modes. It is immutable.
type codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
	// decFrame also accepts strings that are not UTF-8: ids of backend servers come
	// from the store's keys, which may hold any bytes.
	decFrame cbor.DecMode
}

var wireCodec = newCodec()

func newCodec() codec {
	enc, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode()
	if err != nil {
		panic(err)
	}
	options := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxItems,
		MaxMapPairs:      maxItems,
	}
	dec, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	options.UTF8 = cbor.UTF8DecodeInvalid
	decFrame, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return codec{enc: enc, dec: dec, decFrame: decFrame}
}

func typeOf(body any) messageType {
	switch body.(type) {
	case *helloMessage:
		return typeHello
	case *heartbeatMessage:
		return typeHeartbeat
	case *gossipMessage:
		return typeGossip
	case *goodbyeMessage:
		return typeGoodbye
	case *requestMessage:
		return typeRequest
	case *responseMessage:
		return typeResponse
	case *loadMessage:
		return typeLoad
	case *totalsMessage:
		return typeTotals
	}
	panic("membership: unknown message type")
}

// encode returns the frame of a message.
func encode(body any) ([]byte, error) {
	data, err := wireCodec.enc.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return append([]byte{wireVersion, byte(typeOf(body))}, data...), nil
}

// decode returns the message in a frame. After an error the link must be closed if
// endsLink is true of the frame.
func decode(frame []byte) (any, error) {
	if len(frame) < headerBytes {
		return nil, errTooShort
	}
	if frame[0] != wireVersion {
		return nil, errors.Wrapf(errVersion, "%d", frame[0])
	}
	body := newBody(messageType(frame[1]))
	if body == nil {
		return nil, errors.Wrapf(errUnknownType, "%d", frame[1])
	}
	if err := wireCodec.decFrame.Unmarshal(frame[headerBytes:], body); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	return body, validate(body)
}

// endsLink reports whether a frame that can't be decoded ends its link. Later messages
// depend on hellos, and on heartbeats and totals, which number the names; the others
// are passed over.
func endsLink(frame []byte) bool {
	if len(frame) < headerBytes || frame[0] != wireVersion {
		return true
	}
	t := messageType(frame[1])
	return t == typeHello || t == typeHeartbeat || t == typeTotals
}

func newBody(t messageType) any {
	switch t {
	case typeHello:
		return &helloMessage{}
	case typeHeartbeat:
		return &heartbeatMessage{}
	case typeGossip:
		return &gossipMessage{}
	case typeGoodbye:
		return &goodbyeMessage{}
	case typeRequest:
		return &requestMessage{}
	case typeResponse:
		return &responseMessage{}
	case typeLoad:
		return &loadMessage{}
	case typeTotals:
		return &totalsMessage{}
	}
	return nil
}

// validate rejects messages that lack a required field or have an invalid one.
func validate(body any) error {
	switch b := body.(type) {
	case *helloMessage:
		if b.From == "" || b.Address == "" {
			return errors.Wrap(errMissingField, "hello without sender or address")
		}
	case *heartbeatMessage:
		if b.Sequence == 0 {
			return errors.Wrap(errMissingField, "heartbeat without sequence")
		}
	case *requestMessage:
		if b.ID == 0 || b.Limit < 0 {
			return errors.Wrap(errMissingField, "request without id or with negative limit")
		}
	case *responseMessage:
		if b.ID == 0 {
			return errors.Wrap(errMissingField, "response without id")
		}
	}
	return nil
}

// ceilMillis converts an age to whole milliseconds, rounded up, never negative.
func ceilMillis(age time.Duration) uint64 {
	if age <= 0 {
		return 0
	}
	return uint64((age + time.Millisecond - 1) / time.Millisecond)
}

// boundedMillis converts milliseconds received from a peer, to at most a day.
func boundedMillis(ms uint64) time.Duration {
	const day = uint64(24 * time.Hour / time.Millisecond)
	return time.Duration(min(ms, day)) * time.Millisecond
}
