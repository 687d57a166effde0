package stack

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/standin/engine"
	"carawayproxy.example/caraway/standin/plain"
)

// Load calls daemons as callers do: generations, and injections that are
// retried at other daemons until one answers. It is safe for concurrent use.
type Load struct {
	clients []carawayv1connect.InferenceServiceClient
	names   []string

	mu             sync.Mutex
	wrongResponses []string // responses with a wrong body
	rejected       []string // errors with run state NOT_RUN
	uncertain      []string // errors with run state MAY_HAVE_RUN or none
	generated      int
	recorded       int
	injections     []string // bodies that were answered
}

// Counts are the results of a Load so far.
type Counts struct {
	Generated, Recorded int
	Rejected, Uncertain []string
	WrongResponses      []string
}

const (
	loadCallLimit = 10 * time.Second
	loadTokens    = 20
	loadPause     = 20 * time.Millisecond
)

// NewLoad returns a load on the given daemons.
func NewLoad(daemons []*Daemon) *Load {
	l := &Load{}
	for _, d := range daemons {
		client := httpx.NewClient(httpx.Dialer())
		l.clients = append(l.clients, carawayv1connect.NewInferenceServiceClient(client, "http://"+d.Callers))
		l.names = append(l.names, d.Name)
	}
	return l
}

// Run makes calls until ctx ends and returns once the calls in flight have
// ended. Callers with an even number generate, the others record injections.
func (l *Load) Run(ctx context.Context, callers int) {
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if c%2 == 0 {
					l.generate(c+n, fmt.Sprintf("caller %d asks question %d", c, n))
				} else {
					l.record(c+n, fmt.Sprintf("injection %d of caller %d", n, c))
				}
				time.Sleep(loadPause)
			}
		})
	}
	wg.Wait()
}

func (l *Load) generate(target int, prompt string) {
	ctx, cancel := context.WithTimeout(context.Background(), loadCallLimit)
	defer cancel()
	i := target % len(l.clients)
	resp, err := l.clients[i].Complete(ctx, connect.NewRequest(&carawayv1.CompleteRequest{Request: &carawayv1.GenerateRequest{
		Workspace: "summaries", Service: "drafting", Prompt: prompt, MaxTokens: loadTokens,
	}}))
	if err != nil {
		l.recordFailure(l.names[i], err)
		return
	}
	want := ""
	for t := range uint32(loadTokens) {
		want += engine.TokenText("drafting", "v1", "", prompt, t)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generated++
	if resp.Msg.Text != want {
		l.wrongResponses = append(l.wrongResponses, fmt.Sprintf("%s: %q, want %q", prompt, resp.Msg.Text, want))
	}
}

// record sends one injection under one idempotency key to one daemon after
// another until one answers, at most four times.
func (l *Load) record(target int, body string) {
	const tries = 4
	key := uuid.Must(uuid.NewV7()).String()
	for try := range tries {
		i := (target + try) % len(l.clients)
		ctx, cancel := context.WithTimeout(context.Background(), loadCallLimit)
		resp, err := l.clients[i].Invoke(ctx, connect.NewRequest(&carawayv1.InvokeRequest{
			Workspace: "readings", Service: "logbook", Method: "RecordInjection", IdempotencyKey: key, Body: []byte(body),
		}))
		cancel()
		if err != nil {
			l.recordFailure(l.names[i], err)
			time.Sleep(loadPause)
			continue
		}
		l.recordAnswer(body, string(resp.Msg.Body))
		return
	}
}

func (l *Load) recordAnswer(body, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorded++
	l.injections = append(l.injections, body)
	if want := string(plain.Answer("RecordInjection", []byte(body))); answer != want {
		l.wrongResponses = append(l.wrongResponses, fmt.Sprintf("%s: %q, want %q", body, answer, want))
	}
}

func (l *Load) recordFailure(daemon string, err error) {
	line := daemon + ": " + err.Error()
	l.mu.Lock()
	defer l.mu.Unlock()
	if RunState(err) == carawayv1.RunState_RUN_STATE_NOT_RUN {
		l.rejected = append(l.rejected, line)
	} else {
		l.uncertain = append(l.uncertain, line)
	}
}

// RunState returns the run state in the details of a call's error, or
// RUN_STATE_UNSPECIFIED if there is none.
func RunState(err error) carawayv1.RunState {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return carawayv1.RunState_RUN_STATE_UNSPECIFIED
	}
	for _, d := range ce.Details() {
		if v, err := d.Value(); err == nil {
			if f, ok := v.(*carawayv1.FailureDetail); ok {
				return f.RunState
			}
		}
	}
	return carawayv1.RunState_RUN_STATE_UNSPECIFIED
}

// Counts returns the results so far.
func (l *Load) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counts{Generated: l.generated, Recorded: l.recorded, Rejected: l.rejected, Uncertain: l.uncertain, WrongResponses: l.wrongResponses}
}
