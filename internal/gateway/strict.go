package gateway

import (
	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"carawayproxy.example/caraway/internal/fleet"
)

// decodingErrorField is the field number under which strictCodec stores a
// decoding error in a message. No message type defines a field with this number.
const decodingErrorField = protowire.MaxValidNumber

// strictCodec rejects messages that cannot be decoded, including those with
// unknown JSON fields. The connect library answers a decoding error without
// calling the handler, so that the response would lack a run state. Unmarshal
// therefore stores the error in the message, and the handler rejects the call.
type strictCodec struct {
	name      string
	marshal   func([]byte, proto.Message) ([]byte, error)
	unmarshal func([]byte, proto.Message) error
}

var _ connect.Codec = strictCodec{}

// strictCodecs returns the codecs of the inference service.
func strictCodecs() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCodec(strictCodec{name: "proto", marshal: proto.MarshalOptions{}.MarshalAppend, unmarshal: proto.Unmarshal}),
		connect.WithCodec(strictCodec{name: "json", marshal: protojson.MarshalOptions{}.MarshalAppend, unmarshal: protojson.Unmarshal}),
		connect.WithCodec(strictCodec{name: "json; charset=utf-8", marshal: protojson.MarshalOptions{}.MarshalAppend, unmarshal: protojson.Unmarshal}),
	)
}

// Name implements connect.Codec.
func (c strictCodec) Name() string { return c.name }

// Marshal implements connect.Codec.
func (c strictCodec) Marshal(v any) ([]byte, error) { return c.MarshalAppend(nil, v) }

// MarshalAppend appends the encoded message to dst, which lets the library
// reuse its buffers. It returns an error if v is not a protobuf message.
func (c strictCodec) MarshalAppend(dst []byte, v any) ([]byte, error) {
	m, ok := v.(proto.Message)
	if !ok {
		return nil, errors.Errorf("%T is not a message", v)
	}
	return c.marshal(dst, m)
}

// Unmarshal implements connect.Codec.
func (c strictCodec) Unmarshal(data []byte, v any) error {
	m, ok := v.(proto.Message)
	if !ok {
		return errors.Errorf("%T is not a message", v)
	}
	if err := c.unmarshal(data, m); err != nil {
		proto.Reset(m)
		reason := protowire.AppendTag(nil, decodingErrorField, protowire.BytesType)
		m.ProtoReflect().SetUnknown(protowire.AppendString(reason, err.Error()))
	}
	return nil
}

// decodingError returns the error stored by strictCodec if m could not be
// decoded, and nil otherwise.
func decodingError(m proto.Message) error {
	unknown := m.ProtoReflect().GetUnknown()
	number, kind, n := protowire.ConsumeTag(unknown)
	if n < 0 || number != decodingErrorField || kind != protowire.BytesType {
		return nil
	}
	reason, n := protowire.ConsumeString(unknown[n:])
	if n < 0 {
		return nil
	}
	return failureError("", fleet.NewInvalidFieldFailure("message", "can't be decoded: %s", reason))
}
