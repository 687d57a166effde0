// Package platform adapts the platform's services to the ports of the other
// packages: the append-only log and the lagging list of instances.
package platform

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/internal/journal"
)

// Bounds of one call to the platform.
const (
	appendTimeout = 3 * time.Second
	readSlack     = 2 * time.Second // past the wait that was asked for
	listTimeout   = 2 * time.Second
	// maxAnswerBytes bounds one answer of the platform.
	maxAnswerBytes = 16 << 20
)

// Log is the platform's log. It implements journal.Log.
type Log struct {
	client carawayv1connect.LogServiceClient
}

var _ journal.Log = (*Log)(nil)

// NewLog returns the log at an "ip:port" address.
func NewLog(client *http.Client, address string) *Log {
	return &Log{client: carawayv1connect.NewLogServiceClient(client, "http://"+address, httpx.ClientOptions(maxAnswerBytes))}
}

// Append implements journal.Log. Only a failed dial and the log's own refusal
// are provably without effect.
func (l *Log) Append(ctx context.Context, stream journal.Stream, payloads [][]byte) (journal.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	resp, err := l.client.Append(ctx, connect.NewRequest(&carawayv1.AppendRequest{Stream: string(stream), Records: payloads}))
	if err == nil {
		return journal.Offset(resp.Msg.Offset), nil
	}
	if errors.Is(err, httpx.ErrDial) || isRefusal(err) {
		return 0, errors.Wrap(journal.ErrNotAppended, err.Error())
	}
	return 0, errors.Wrap(err, "append to "+string(stream))
}

func isRefusal(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeResourceExhausted, connect.CodeInvalidArgument:
		return connect.IsWireError(err)
	default:
		return false
	}
}

// Read implements journal.Log.
func (l *Log) Read(ctx context.Context, stream journal.Stream, from journal.Offset, limit int, wait time.Duration) (journal.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	resp, err := l.client.Read(ctx, connect.NewRequest(&carawayv1.ReadRequest{
		Stream:     string(stream),
		From:       uint64(from),
		MaxRecords: uint32(limit),
		Wait:       durationpb.New(wait),
	}))
	if err != nil {
		return journal.Page{}, errors.Wrap(err, "read "+string(stream))
	}
	page := journal.Page{Oldest: journal.Offset(resp.Msg.Oldest), Next: journal.Offset(resp.Msg.Next)}
	for _, r := range resp.Msg.Records {
		page.Entries = append(page.Entries, journal.Entry{Offset: journal.Offset(r.Offset), Payload: r.Payload})
	}
	return page, nil
}

// List is the platform's lagging list of instances, as last read. It is safe
// for concurrent use.
type List struct {
	client carawayv1connect.InstanceServiceClient

	mu        sync.RWMutex
	instances map[fleet.InstanceID]fleet.Instance
	readAt    time.Time
}

// NewList returns the list at an "ip:port" address; it is empty until Run has
// read it.
func NewList(client *http.Client, address string) *List {
	return &List{client: carawayv1connect.NewInstanceServiceClient(client, "http://"+address, httpx.ClientOptions(maxAnswerBytes))}
}

// Run reads the list again and again until ctx ends. While the platform does
// not answer, the last list stands.
func (l *List) Run(ctx context.Context, every time.Duration, failed func(error)) {
	for {
		if err := l.refresh(ctx); err != nil && ctx.Err() == nil {
			failed(err)
		}
		select {
		case <-time.After(every):
		case <-ctx.Done():
			return
		}
	}
}

func (l *List) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	resp, err := l.client.ListInstances(ctx, connect.NewRequest(&carawayv1.ListInstancesRequest{}))
	if err != nil {
		return errors.Wrap(err, "list instances")
	}
	instances := make(map[fleet.InstanceID]fleet.Instance, len(resp.Msg.Instances))
	for _, i := range resp.Msg.Instances {
		instances[fleet.InstanceID(i.Id)] = fromListed(i)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = instances
	l.readAt = time.Now()
	return nil
}

func fromListed(i *carawayv1.ListedInstance) fleet.Instance {
	return fleet.Instance{
		ID:            fleet.InstanceID(i.Id),
		Address:       i.Address,
		Zone:          fleet.Zone(i.AvailabilityZone),
		Fabric:        fleet.FabricDomain(i.FabricDomain),
		Pool:          fleet.Pool(i.Pool),
		Kind:          fleet.InstanceKind(i.Kind),
		Accelerators:  i.Accelerators,
		Leaving:       i.Leaving,
		ChecksFencing: i.ChecksFencing,
	}
}

// Instances returns the list as last read, which callers do not change, and
// when that was.
func (l *List) Instances() (map[fleet.InstanceID]fleet.Instance, time.Time) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.instances, l.readAt
}
