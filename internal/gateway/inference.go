// Package gateway serves the inference API to callers, and the health and
// metrics endpoints to operators. It converts connect messages to dispatch
// requests and dispatch results to responses, and makes no decisions of its
// own.
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

// Dispatcher runs requests to completion. Package dispatch implements it.
type Dispatcher interface {
	Generate(ctx context.Context, g dispatch.Generation, sink dispatch.Sink) (backend.End, *fleet.Failure)
	Invoke(ctx context.Context, i dispatch.Invocation) (dispatch.InvocationAnswer, *fleet.Failure)
}

// Inference implements the inference service for callers.
type Inference struct {
	dispatcher Dispatcher
}

var _ carawayv1connect.InferenceServiceHandler = (*Inference)(nil)

// NewInference returns the inference service that passes requests to d.
func NewInference(d Dispatcher) *Inference { return &Inference{dispatcher: d} }

// Handler returns the path and the HTTP handler of the service, which keeps to the limits.
func (s *Inference) Handler(l Limits) (string, http.Handler) {
	path, h := carawayv1connect.NewInferenceServiceHandler(s, httpx.HandlerOptions(l.MaxBytes), strictCodecs())
	return path, l.handler(h)
}

// Generate implements carawayv1connect.InferenceServiceHandler.
func (s *Inference) Generate(ctx context.Context, req *connect.Request[carawayv1.GenerateRequest], stream *connect.ServerStream[carawayv1.GenerateResponse]) error {
	if err := accept(ctx, req.Msg); err != nil {
		return err
	}
	g := newGeneration(req.Msg)
	m := newTokenMessage(g.ID)
	sink := func(tokens []backend.Token) error { return stream.Send(m.withTokens(tokens)) }
	end, failure := s.dispatcher.Generate(ctx, g, sink)
	if failure != nil {
		return failureError(g.ID, failure)
	}
	return stream.Send(&carawayv1.GenerateResponse{RequestId: string(g.ID), End: endMessage(end)})
}

// Complete implements carawayv1connect.InferenceServiceHandler.
func (s *Inference) Complete(ctx context.Context, req *connect.Request[carawayv1.CompleteRequest]) (*connect.Response[carawayv1.CompleteResponse], error) {
	if err := accept(ctx, req.Msg); err != nil {
		return nil, err
	}
	if req.Msg.Request == nil {
		return nil, failureError("", fleet.NewInvalidFieldFailure("request", "is missing"))
	}
	g := newGeneration(req.Msg.Request)
	var text strings.Builder
	sink := func(tokens []backend.Token) error {
		for _, t := range tokens {
			text.WriteString(t.Text)
		}
		return nil
	}
	end, failure := s.dispatcher.Generate(ctx, g, sink)
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
	if err := accept(ctx, req.Msg); err != nil {
		return nil, err
	}
	m := req.Msg
	i := dispatch.Invocation{
		ID:             requestIDOrNew(m.RequestId),
		Workspace:      fleet.Workspace(m.Workspace),
		Service:        fleet.ServiceName(m.Service),
		Method:         fleet.Method(m.Method),
		IdempotencyKey: m.IdempotencyKey,
		Body:           m.Body,
	}
	answer, failure := s.dispatcher.Invoke(ctx, i)
	if failure != nil {
		return nil, failureError(i.ID, failure)
	}
	return connect.NewResponse(&carawayv1.InvokeResponse{
		RequestId: string(i.ID),
		Body:      answer.Body,
		Replayed:  answer.Replayed,
	}), nil
}

// tokenMessage is the response message of one stream. Each send reuses it,
// because the message is encoded by the time a send returns.
type tokenMessage struct {
	message   carawayv1.GenerateResponse
	allocated []*carawayv1.Token // every token message allocated so far
}

func newTokenMessage(id fleet.RequestID) *tokenMessage {
	m := new(tokenMessage)
	m.message.RequestId = string(id)
	return m
}

// withTokens returns the message filled with tokens. The message is valid until
// the next call.
func (m *tokenMessage) withTokens(tokens []backend.Token) *carawayv1.GenerateResponse {
	for len(m.allocated) < len(tokens) {
		m.allocated = append(m.allocated, new(carawayv1.Token))
	}
	for i, t := range tokens {
		m.allocated[i].Index, m.allocated[i].Text = t.Index, t.Text
	}
	m.message.Tokens = m.allocated[:len(tokens)]
	return &m.message
}

func newGeneration(m *carawayv1.GenerateRequest) dispatch.Generation {
	return dispatch.Generation{
		ID:        requestIDOrNew(m.RequestId),
		Workspace: fleet.Workspace(m.Workspace),
		Service:   fleet.ServiceName(m.Service),
		Version:   fleet.Version(m.Version),
		Adapter:   fleet.Adapter(m.Adapter),
		Prompt:    m.Prompt,
		MaxTokens: m.MaxTokens,
		Priority:  m.Priority,
	}
}

func requestIDOrNew(given string) fleet.RequestID {
	if given != "" {
		return fleet.RequestID(given)
	}
	return fleet.RequestID(uuid.Must(uuid.NewV7()).String())
}

func endMessage(e backend.End) *carawayv1.End {
	return &carawayv1.End{TokenCount: e.TokenCount, Reason: e.Reason, Version: string(e.Version)}
}

// connectCodes maps failure reasons to connect codes.
var connectCodes = map[fleet.Reason]connect.Code{
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

// failureError returns the error sent to the caller, with a FailureDetail. If
// the failure has a retry delay, the error also carries a Retry-After header,
// rounded up to whole seconds.
func failureError(id fleet.RequestID, f *fleet.Failure) error {
	code, ok := connectCodes[f.Reason]
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
