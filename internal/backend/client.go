package backend

import (
	"context"
	"io"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/httpx"
)

// maxMessageBytes limits the size of one message from a backend server.
const maxMessageBytes = 8 << 20

// Client calls backend servers over the published protocols. It implements
// Engines and Plains and is safe for concurrent use.
type Client struct {
	runs      clientPool // attempts and calls
	polls     clientPool // reports, health, orders
	onFailure func(address string)
}

// clientPool creates and caches one client per backend server.
type clientPool struct {
	http    *http.Client
	engines sync.Map // address to carawayv1connect.EngineServiceClient
	plains  sync.Map // address to carawayv1connect.PlainServiceClient
}

var (
	_ Engines = (*Client)(nil)
	_ Plains  = (*Client)(nil)
)

// NewClient returns a client that uses runs for attempts and calls, and polls
// for reports, health checks and orders.
func NewClient(runs, polls *http.Client) *Client {
	return &Client{
		runs:      clientPool{http: runs},
		polls:     clientPool{http: polls},
		onFailure: func(string) {},
	}
}

// OnFailure sets a callback that receives the address of a backend server at
// which an attempt, a call or an order failed for any reason other than
// cancellation by the caller. It returns c and must be called before first use.
func (c *Client) OnFailure(f func(address string)) *Client {
	c.onFailure = f
	return c
}

// reportFailure calls the failure callback unless err is nil or ctx was canceled.
func (c *Client) reportFailure(ctx context.Context, address string, err error) {
	if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
		c.onFailure(address)
	}
}

func (c *clientPool) engine(address string) carawayv1connect.EngineServiceClient {
	if v, ok := c.engines.Load(address); ok {
		return v.(carawayv1connect.EngineServiceClient)
	}
	made := carawayv1connect.NewEngineServiceClient(httpx.ReadAheadClient{Client: c.http}, "http://"+address, httpx.ClientOptions(maxMessageBytes))
	v, _ := c.engines.LoadOrStore(address, made)
	return v.(carawayv1connect.EngineServiceClient)
}

func (c *clientPool) plain(address string) carawayv1connect.PlainServiceClient {
	if v, ok := c.plains.Load(address); ok {
		return v.(carawayv1connect.PlainServiceClient)
	}
	made := carawayv1connect.NewPlainServiceClient(c.http, "http://"+address, httpx.ClientOptions(maxMessageBytes))
	v, _ := c.plains.LoadOrStore(address, made)
	return v.(carawayv1connect.PlainServiceClient)
}

// classify wraps errors that prove that the attempt did not run in ErrNotSent
// or ErrRefused, and returns all other errors unchanged.
func classify(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, httpx.ErrDial):
		return errors.Wrap(ErrNotSent, err.Error())
	case connect.CodeOf(err) == connect.CodeFailedPrecondition && connect.IsWireError(err):
		return errors.Wrap(ErrRefused, err.Error())
	default:
		return err
	}
}

// Run implements Engines.
func (c *Client) Run(ctx context.Context, address string, a Attempt) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	ahead := new(httpx.ReadAhead)
	ctx = httpx.WithReadAhead(ctx, ahead)
	s, err := c.runs.engine(address).Run(ctx, connect.NewRequest(&carawayv1.RunRequest{
		RequestId:  string(a.Request),
		AttemptId:  string(a.ID),
		Service:    string(a.Service),
		Version:    string(a.Version),
		Adapter:    string(a.Adapter),
		Prompt:     a.Prompt,
		MaxTokens:  a.MaxTokens,
		Priority:   a.Priority,
		ResumeFrom: a.ResumeFrom,
		Group:      string(a.Group),
		Epoch:      uint64(a.Epoch),
	}))
	if err != nil {
		c.reportFailure(ctx, address, err)
		cancel()
		return nil, classify(err)
	}
	onError := func(err error) { c.reportFailure(ctx, address, err) }
	return &runStream{stream: s, ahead: ahead, cancel: cancel, onError: onError}, nil
}

// runStream implements Stream on a connect stream.
type runStream struct {
	stream  *connect.ServerStreamForClient[carawayv1.RunResponse]
	ahead   *httpx.ReadAhead
	cancel  context.CancelFunc
	onError func(error) // called when the stream breaks
	tokens  []Token     // reused between chunks
}

// Next implements Stream. The tokens are valid until the next call.
func (s *runStream) Next() (Chunk, error) {
	if !s.stream.Receive() {
		if err := s.stream.Err(); err != nil {
			s.onError(err)
			return Chunk{}, classify(err)
		}
		return Chunk{}, io.EOF
	}
	m := s.stream.Msg()
	s.tokens = s.tokens[:0]
	for _, t := range m.Tokens {
		s.tokens = append(s.tokens, Token{Index: t.Index, Text: t.Text})
	}
	chunk := Chunk{Request: fleet.RequestID(m.RequestId), Attempt: fleet.AttemptID(m.AttemptId), Tokens: s.tokens}
	if m.End != nil {
		chunk.End = &End{TokenCount: m.End.TokenCount, Reason: m.End.Reason, Version: fleet.Version(m.End.Version)}
	}
	return chunk, nil
}

// Ready reports whether the next chunk has arrived, so that Next returns
// without blocking.
func (s *runStream) Ready() bool { return s.ahead.HasMessage() }

// Close implements Stream.
func (s *runStream) Close() {
	s.cancel()
	_ = s.stream.Close()
}

// Cancel implements Engines.
func (c *Client) Cancel(ctx context.Context, address string, id fleet.AttemptID) error {
	_, err := c.runs.engine(address).Cancel(ctx, connect.NewRequest(&carawayv1.CancelRequest{AttemptId: string(id)}))
	return err
}

// Report implements Engines.
func (c *Client) Report(ctx context.Context, address string) (fleet.Report, error) {
	resp, err := c.polls.engine(address).Report(ctx, connect.NewRequest(&carawayv1.ReportRequest{}))
	if err != nil {
		return fleet.Report{}, err
	}
	m := resp.Msg
	return fleet.Report{
		Instance:        fleet.InstanceID(m.Instance),
		Incarnation:     m.Incarnation,
		Assignment:      fromAssignment(m.Assignment),
		Ready:           m.Ready,
		Leaving:         m.Leaving,
		Running:         m.Running,
		Queued:          m.Queued,
		MaxRunning:      m.MaxRunning,
		PendingTokens:   m.PendingTokens,
		TokensPerSecond: m.TokensPerSecond,
		LoadProgress:    m.LoadProgress,
		LoadAge:         m.LoadAge.AsDuration(),
	}, nil
}

func fromAssignment(a *carawayv1.Assignment) *fleet.Assignment {
	if a == nil {
		return nil
	}
	out := &fleet.Assignment{
		Group:   fleet.GroupID(a.Group),
		Epoch:   fleet.Epoch(a.Epoch),
		Rank:    fleet.Rank(a.Rank),
		Service: fleet.ServiceName(a.Service),
		Model:   a.Model,
		Version: fleet.Version(a.Version),
		Role:    fleet.Role(a.Role),
		Members: a.Members,
	}
	for _, name := range a.Adapters {
		out.Adapters = append(out.Adapters, fleet.Adapter(name))
	}
	return out
}

func toAssignment(a *fleet.Assignment) *carawayv1.Assignment {
	if a == nil {
		return nil
	}
	out := &carawayv1.Assignment{
		Group:   string(a.Group),
		Epoch:   uint64(a.Epoch),
		Rank:    uint32(a.Rank),
		Service: string(a.Service),
		Model:   a.Model,
		Version: string(a.Version),
		Role:    string(a.Role),
		Members: a.Members,
	}
	for _, name := range a.Adapters {
		out.Adapters = append(out.Adapters, string(name))
	}
	return out
}

// Apply implements Engines.
func (c *Client) Apply(ctx context.Context, address string, o Order) (OrderResult, error) {
	resp, err := c.polls.engine(address).Apply(ctx, connect.NewRequest(&carawayv1.ApplyRequest{
		OrderId:      o.ID,
		FencingToken: o.FencingToken,
		Assign:       toAssignment(o.Assign),
		ValidFor:     durationpb.New(o.ValidFor),
		Scope:        o.Scope,
	}))
	if err != nil {
		c.reportFailure(ctx, address, err)
		return OrderResult{}, classify(err)
	}
	return OrderResult{Accepted: resp.Msg.Accepted, Reason: resp.Msg.Reason, HighestToken: resp.Msg.HighestToken}, nil
}

// CacheEvents implements Engines.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, uint64, error) {
	resp, err := c.polls.engine(address).CacheEvents(ctx, connect.NewRequest(&carawayv1.CacheEventsRequest{After: after}))
	if err != nil {
		return nil, after, err
	}
	events := make([]CacheEvent, 0, len(resp.Msg.Events))
	for _, e := range resp.Msg.Events {
		events = append(events, CacheEvent{Sequence: e.Sequence, Prefix: e.PrefixHash, Evicted: e.Evicted})
	}
	return events, resp.Msg.Last, nil
}

// Call implements Plains. If the service itself responded with an error, Call
// returns an AnswerError.
func (c *Client) Call(ctx context.Context, address string, call Call) (CallResponse, error) {
	resp, err := c.runs.plain(address).Call(ctx, connect.NewRequest(&carawayv1.CallRequest{
		RequestId: string(call.Request),
		AttemptId: string(call.ID),
		Service:   string(call.Service),
		Method:    string(call.Method),
		Body:      call.Body,
	}))
	if err != nil {
		err = classifyCall(err)
		if answer := (*AnswerError)(nil); !errors.As(err, &answer) {
			c.reportFailure(ctx, address, err)
		}
		return CallResponse{}, err
	}
	return CallResponse{
		Request: fleet.RequestID(resp.Msg.RequestId),
		Attempt: fleet.AttemptID(resp.Msg.AttemptId),
		Body:    resp.Msg.Body,
	}, nil
}

func classifyCall(err error) error {
	if !connect.IsWireError(err) {
		return classify(err)
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeAlreadyExists, connect.CodePermissionDenied, connect.CodeOutOfRange:
		var ce *connect.Error
		errors.As(err, &ce)
		return &AnswerError{Message: ce.Message()}
	default:
		return classify(err)
	}
}

// Health implements Plains.
func (c *Client) Health(ctx context.Context, address string) (fleet.Report, error) {
	resp, err := c.polls.plain(address).Health(ctx, connect.NewRequest(&carawayv1.HealthRequest{}))
	if err != nil {
		return fleet.Report{}, err
	}
	m := resp.Msg
	return fleet.Report{
		Instance:    fleet.InstanceID(m.Instance),
		Incarnation: m.Incarnation,
		Ready:       m.Ready,
		Leaving:     m.Leaving,
		Running:     m.Running,
	}, nil
}
