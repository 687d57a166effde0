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

// Bounds of messages.
const (
	headerBytes = 2
	// maxStateBytes bounds a state that crosses a link.
	maxStateBytes = 8 << 20
	// maxMessageBytes bounds every message.
	maxMessageBytes = maxStateBytes + 64<<10
	// maxEntriesBytes bounds the payloads in one answer, unless the first
	// alone is larger.
	maxEntriesBytes = 256 << 10
	// maxEntries bounds the entries in one answer.
	maxEntries = 1024
	// maxItems bounds the arrays and maps of a message.
	maxItems = 8192
)

type messageType byte

const (
	typeHello messageType = iota + 1
	typeBeat
	typeNews
	typeGoodbye
	typeRequest
	typeResponse
	typeLoad
)

// Errors of decode.
var (
	errTooShort       = errors.New("message too short")
	errVersion        = errors.New("unknown message version")
	errUnknownType    = errors.New("unknown message type")
	errMissingField   = errors.New("message lacks a field")
	errStateTooLarge  = errors.New("state too large to send")
	errUnknownStream  = errors.New("unknown stream")
	errUnknownRequest = errors.New("unknown request")
)

// helloMessage opens a link in both directions.
type helloMessage struct {
	From        fleet.DaemonID `cbor:"1,keyasint"`
	Address     string         `cbor:"2,keyasint"`
	Zone        fleet.Zone     `cbor:"3,keyasint"`
	Incarnation uint64         `cbor:"4,keyasint"`
}

// beatMessage is a heartbeat without what the hello and the news carry.
type beatMessage struct {
	Echo           Echo   `cbor:"1,keyasint"`
	Sequence       uint64 `cbor:"2,keyasint"`
	Ready          bool   `cbor:"3,keyasint,omitempty"`
	Draining       bool   `cbor:"4,keyasint,omitempty"`
	ConfigRevision uint64 `cbor:"5,keyasint,omitempty"`
	// Names are new on this link and get the next numbers.
	Names   []string       `cbor:"6,keyasint,omitempty"`
	Streams []wirePosition `cbor:"7,keyasint,omitempty"`
	// InFlight alternates a group's number and its count.
	InFlight []uint32 `cbor:"8,keyasint,omitempty"`
	// Reports and Loads are what changed of the sender's reports of backend
	// servers. Asked alternates an instance's number and the age at which its
	// report was asked for, in ageUnit. A release that does not know these
	// fields passes over them.
	Reports []wireReport `cbor:"9,keyasint,omitempty"`
	Loads   []wireLoad   `cbor:"10,keyasint,omitempty"`
	Asked   []uint64     `cbor:"11,keyasint,omitempty"`
	// Silent are the numbers of instances whose polls began to fail.
	Silent []uint32 `cbor:"12,keyasint,omitempty"`
	// Stalled are the numbers of groups whose streams have stopped.
	Stalled []uint32 `cbor:"13,keyasint,omitempty"`
	Leads   bool     `cbor:"14,keyasint,omitempty"`
	Reads   bool     `cbor:"15,keyasint,omitempty"`
	// Renewed tells of the sender's hold on a scope, StoreAway that the store
	// does not answer.
	Renewed   lease.Renewal `cbor:"16,keyasint,omitzero"`
	StoreAway bool          `cbor:"17,keyasint,omitempty"`
	// Processors is how many cores the sender may use.
	Processors float64 `cbor:"18,keyasint,omitempty"`
}

// loadMessage tells between two heartbeats which counts have changed since the
// last message. Its groups have their numbers from earlier ones.
type loadMessage struct {
	// InFlight alternates a group's number and its count, zero for none.
	InFlight []uint32 `cbor:"1,keyasint"`
}

// newsMessage carries what is told once on each link.
type newsMessage struct {
	Leaving   []leavingNews  `cbor:"1,keyasint,omitempty"`
	Sightings []sightingNews `cbor:"2,keyasint,omitempty"`
	Bulletins []Bulletin     `cbor:"3,keyasint,omitempty"`
}

type leavingNews struct {
	Instance fleet.InstanceID `cbor:"1,keyasint"`
	AgeMilli uint64           `cbor:"2,keyasint"`
}

type sightingNews struct {
	ID       [16]byte              `cbor:"1,keyasint"`
	Group    fleet.GroupID         `cbor:"2,keyasint"`
	Epoch    fleet.Epoch           `cbor:"3,keyasint"`
	Fabric   fleet.FabricDomain    `cbor:"4,keyasint"`
	Service  fleet.ServiceName     `cbor:"5,keyasint"`
	InFlight []suspect.Fingerprint `cbor:"6,keyasint,omitempty"`
	AgeMilli uint64                `cbor:"7,keyasint"`
}

// goodbyeMessage tells of the sender's planned stop.
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

// responseMessage answers a requestMessage. Payloads are those of the entries
// from First on, without a gap.
type responseMessage struct {
	ID       uint64         `cbor:"1,keyasint"`
	Failure  string         `cbor:"2,keyasint,omitempty"`
	State    *journal.State `cbor:"3,keyasint,omitempty"`
	First    journal.Offset `cbor:"4,keyasint,omitempty"`
	Payloads [][]byte       `cbor:"5,keyasint,omitempty"`
}

// codec holds the CBOR modes; it is immutable.
type codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

var wire = newCodec()

func newCodec() codec {
	enc, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxItems,
		MaxMapPairs:      maxItems,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return codec{enc: enc, dec: dec}
}

func typeOf(body any) messageType {
	switch body.(type) {
	case *helloMessage:
		return typeHello
	case *beatMessage:
		return typeBeat
	case *newsMessage:
		return typeNews
	case *goodbyeMessage:
		return typeGoodbye
	case *requestMessage:
		return typeRequest
	case *responseMessage:
		return typeResponse
	case *loadMessage:
		return typeLoad
	}
	panic("membership: not a message")
}

// encode returns the frame of a message.
func encode(body any) ([]byte, error) {
	data, err := wire.enc.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return append([]byte{wireVersion, byte(typeOf(body))}, data...), nil
}

// decode returns the message in a frame. errUnknownType marks a frame that
// may be ignored; after any other error the link can't be trusted.
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
	if err := wire.dec.Unmarshal(frame[headerBytes:], body); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	return body, check(body)
}

func newBody(t messageType) any {
	switch t {
	case typeHello:
		return &helloMessage{}
	case typeBeat:
		return &beatMessage{}
	case typeNews:
		return &newsMessage{}
	case typeGoodbye:
		return &goodbyeMessage{}
	case typeRequest:
		return &requestMessage{}
	case typeResponse:
		return &responseMessage{}
	case typeLoad:
		return &loadMessage{}
	}
	return nil
}

// check refuses messages whose fields make no sense.
func check(body any) error {
	switch b := body.(type) {
	case *helloMessage:
		if b.From == "" || b.Address == "" {
			return errors.Wrap(errMissingField, "hello needs a sender and an address")
		}
	case *beatMessage:
		if b.Sequence == 0 {
			return errors.Wrap(errMissingField, "heartbeat needs a sequence")
		}
	case *requestMessage:
		if b.ID == 0 || b.Limit < 0 {
			return errors.Wrap(errMissingField, "request needs an id and a limit")
		}
	case *responseMessage:
		if b.ID == 0 {
			return errors.Wrap(errMissingField, "response needs an id")
		}
	}
	return nil
}

// milli converts an age to whole milliseconds, rounded up, never negative.
func milli(age time.Duration) uint64 {
	if age <= 0 {
		return 0
	}
	return uint64((age + time.Millisecond - 1) / time.Millisecond)
}

// duration converts milliseconds from a peer, bounded by a day.
func duration(ms uint64) time.Duration {
	const day = uint64(24 * time.Hour / time.Millisecond)
	return time.Duration(min(ms, day)) * time.Millisecond
}
