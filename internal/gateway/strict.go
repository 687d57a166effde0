package gateway

import (
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"carawayproxy.example/caraway/internal/fleet"
)

// malformedField is the number under which a strict codec leaves why it could
// not decode a message. No message has a field with this number.
const malformedField = protowire.MaxValidNumber

// strictCodec decodes messages and refuses unknown JSON fields. The library
// answers a decoding error by itself, without a run state; so the codec leaves
// the error in the message, and the handler refuses the call.
type strictCodec struct {
	name      string
	marshal   func([]byte, proto.Message) ([]byte, error)
	unmarshal func([]byte, proto.Message) error
}

var _ connect.Codec = strictCodec{}

// strictCodecs are the codecs of the callers' service.
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

// MarshalAppend appends the encoded message to dst, so that the library can
// use its buffers again. It returns an error for what is no message.
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
		reason := protowire.AppendTag(nil, malformedField, protowire.BytesType)
		m.ProtoReflect().SetUnknown(protowire.AppendString(reason, err.Error()))
	}
	return nil
}

// malformed returns the refusal of a message that could not be decoded.
func malformed(m proto.Message) error {
	unknown := m.ProtoReflect().GetUnknown()
	number, kind, n := protowire.ConsumeTag(unknown)
	if n < 0 || number != malformedField || kind != protowire.BytesType {
		return nil
	}
	reason, n := protowire.ConsumeString(unknown[n:])
	if n < 0 {
		return nil
	}
	return failureError("", fleet.RefuseField("message", "can't be decoded: %s", reason))
}

// limitBody refuses requests that say they are larger than maxBytes.
func limitBody(h http.Handler, maxBytes int) http.Handler {
	refusals := connect.NewErrorWriter(connect.WithReadMaxBytes(maxBytes))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength <= int64(maxBytes) || !refusals.IsSupported(r) {
			h.ServeHTTP(w, r)
			return
		}
		f := fleet.RefuseField("message", "has %d bytes, want at most %d", r.ContentLength, maxBytes)
		_ = refusals.Write(w, r, failureError("", f))
	})
}
