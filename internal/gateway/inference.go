// Package gateway serves callers and operators over connect-go. It turns
// messages into values for dispatch and outcomes into answers; it decides
// nothing itself.
package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/httpx"
)

// Requests carries requests to their end; package dispatch implements it.
type Requests interface {
	Generate(ctx context.Context, g dispatch.Generation, sink dispatch.Sink) (backend.End, *fleet.Failure)
	Invoke(ctx context.Context, i dispatch.Invocation) (dispatch.InvocationAnswer, *fleet.Failure)
}

// Inference is the callers' service.
type Inference struct {
	requests Requests
}

var _ carawayv1connect.InferenceServiceHandler = (*Inference)(nil)

// NewInference returns the callers' service over requests.
func NewInference(r Requests) *Inference { return &Inference{requests: r} }

// Handler returns the path and handler of the service. Messages over
// maxBytes are refused.
func (s *Inference) Handler(maxBytes int) (string, http.Handler) {
	path, h := carawayv1connect.NewInferenceServiceHandler(s, httpx.HandlerOptions(maxBytes), strictCodecs())
	return path, limitBody(h, maxBytes)
}

// Generate implements carawayv1connect.InferenceServiceHandler.
func (s *Inference) Generate(ctx context.Context, req *connect.Request[carawayv1.GenerateRequest], stream *connect.ServerStream[carawayv1.GenerateResponse]) error {
	if err := malformed(req.Msg); err != nil {
		return err
	}
	g := generation(req.Msg)
	m := newTokenMessage(g.ID)
	sink := func(tokens []backend.Token) error { return stream.Send(m.with(tokens)) }
	end, failure := s.requests.Generate(ctx, g, sink)
	if failure != nil {
		return failureError(g.ID, failure)
	}
	return stream.Send(&carawayv1.GenerateResponse{RequestId: string(g.ID), End: endMessage(end)})
}

// Complete implements carawayv1connect.InferenceServiceHandler.
func (s *Inference) Complete(ctx context.Context, req *connect.Request[carawayv1.CompleteRequest]) (*connect.Response[carawayv1.CompleteResponse], error) {
	if err := malformed(req.Msg); err != nil {
		return nil, err
	}
	if req.Msg.Request == nil {
		return nil, failureError("", fleet.RefuseField("request", "is missing"))
	}
	g := generation(req.Msg.Request)
	var text strings.Builder
	sink := func(tokens []backend.Token) error {
		for _, t := range tokens {
			text.WriteString(t.Text)
		}
		return nil
	}
	end, failure := s.requests.Generate(ctx, g, sink)
	if failure != nil {
		return nil, failureError(g.ID, failure)
	}
	return connect.NewResponse(&carawayv1.CompleteResponse{
		RequestId: string(g.ID),
		Text:      text.String(),
		End:       endMessage(end),
	}), nil
}

// Invoke implements carawayv1connect.InferenceServiceHandler.
func (s *Inference) Invoke(ctx context.Context, req *connect.Request[carawayv1.InvokeRequest]) (*connect.Response[carawayv1.InvokeResponse], error) {
	if err := malformed(req.Msg); err != nil {
		return nil, err
	}
	m := req.Msg
	i := dispatch.Invocation{
		ID:             requestID(m.RequestId),
		Workspace:      fleet.Workspace(m.Workspace),
		Service:        fleet.ServiceName(m.Service),
		Method:         fleet.Method(m.Method),
		IdempotencyKey: m.IdempotencyKey,
		Body:           m.Body,
	}
	answer, failure := s.requests.Invoke(ctx, i)
	if failure != nil {
		return nil, failureError(i.ID, failure)
	}
	return connect.NewResponse(&carawayv1.InvokeResponse{
		RequestId: string(i.ID),
		Body:      answer.Body,
		Replayed:  answer.Replayed,
	}), nil
}

// tokenMessage is the message of one stream, used again for each send: a send
// has encoded it when it returns.
type tokenMessage struct {
	message carawayv1.GenerateResponse
	tokens  []*carawayv1.Token // all made so far
}

func newTokenMessage(id fleet.RequestID) *tokenMessage {
	m := new(tokenMessage)
	m.message.RequestId = string(id)
	return m
}

// with returns the message with the given tokens.
func (m *tokenMessage) with(tokens []backend.Token) *carawayv1.GenerateResponse {
	for len(m.tokens) < len(tokens) {
		m.tokens = append(m.tokens, new(carawayv1.Token))
	}
	for i, t := range tokens {
		m.tokens[i].Index, m.tokens[i].Text = t.Index, t.Text
	}
	m.message.Tokens = m.tokens[:len(tokens)]
	return &m.message
}

func generation(m *carawayv1.GenerateRequest) dispatch.Generation {
	return dispatch.Generation{
		ID:        requestID(m.RequestId),
		Workspace: fleet.Workspace(m.Workspace),
		Service:   fleet.ServiceName(m.Service),
		Version:   fleet.Version(m.Version),
		Adapter:   fleet.Adapter(m.Adapter),
		Prompt:    m.Prompt,
		MaxTokens: m.MaxTokens,
		Priority:  m.Priority,
	}
}

func requestID(given string) fleet.RequestID {
	if given != "" {
		return fleet.RequestID(given)
	}
	return fleet.RequestID(uuid.Must(uuid.NewV7()).String())
}

func endMessage(e backend.End) *carawayv1.End {
	return &carawayv1.End{TokenCount: e.TokenCount, Reason: e.Reason, Version: string(e.Version)}
}

// codes maps the reasons of failure to the protocol's codes.
var codes = map[fleet.Reason]connect.Code{
	fleet.ReasonInvalid:       connect.CodeInvalidArgument,
	fleet.ReasonUnknown:       connect.CodeNotFound,
	fleet.ReasonForbidden:     connect.CodePermissionDenied,
	fleet.ReasonOverloaded:    connect.CodeResourceExhausted,
	fleet.ReasonNoGroup:       connect.CodeUnavailable,
	fleet.ReasonDeadline:      connect.CodeDeadlineExceeded,
	fleet.ReasonBackendFailed: connect.CodeUnavailable,
	fleet.ReasonSuspect:       connect.CodeFailedPrecondition,
	fleet.ReasonKeyInUse:      connect.CodeAborted,
	fleet.ReasonKeyMismatch:   connect.CodeInvalidArgument,
	fleet.ReasonKeyExpired:    connect.CodeInvalidArgument,
	fleet.ReasonLogDown:       connect.CodeUnavailable,
	fleet.ReasonStale:         connect.CodeUnavailable,
	fleet.ReasonDraining:      connect.CodeUnavailable,
	fleet.ReasonCanceled:      connect.CodeCanceled,
}

// failureError makes the error that a caller gets, with its detail and, when
// coming back helps, a Retry-After header in whole seconds.
func failureError(id fleet.RequestID, f *fleet.Failure) error {
	code, ok := codes[f.Reason]
	if !ok {
		code = connect.CodeUnknown
	}
	err := connect.NewError(code, f)
	detail := &carawayv1.FailureDetail{
		RunState:  runState(f.State),
		Field:     f.Field,
		Reason:    string(f.Reason),
		RequestId: string(id),
	}
	if f.RetryAfter > 0 {
		detail.RetryAfter = durationpb.New(f.RetryAfter)
		seconds := (f.RetryAfter + time.Second - 1) / time.Second
		err.Meta().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	if d, detailErr := connect.NewErrorDetail(detail); detailErr == nil {
		err.AddDetail(d)
	}
	return err
}

func runState(s fleet.RunState) carawayv1.RunState {
	switch s {
	case fleet.NotRun:
		return carawayv1.RunState_RUN_STATE_NOT_RUN
	case fleet.MayHaveRun:
		return carawayv1.RunState_RUN_STATE_MAY_HAVE_RUN
	case fleet.Done:
		return carawayv1.RunState_RUN_STATE_DONE
	default:
		return carawayv1.RunState_RUN_STATE_UNSPECIFIED
	}
}
