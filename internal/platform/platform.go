// Package platform implements the ports of other packages with the platform's
// services: the append-only log and the list of instances, which lags behind
// the actual state.
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

// Limits on a single call to the platform.
const (
	appendTimeout  = 3 * time.Second
	longPollMargin = 2 * time.Second // added to the requested wait of a long poll
	listTimeout    = 2 * time.Second
	// maxResponseBytes limits the size of one response.
	maxResponseBytes = 16 << 20
)

// Log is a client of the platform's append-only log. It implements journal.Log.
type Log struct {
	client carawayv1connect.LogServiceClient
}

var _ journal.Log = (*Log)(nil)

// NewLog returns a client of the log at address, given as "ip:port".
func NewLog(client *http.Client, address string) *Log {
	return &Log{client: carawayv1connect.NewLogServiceClient(client, "http://"+address, httpx.ClientOptions(maxResponseBytes))}
}

// Append implements journal.Log. It returns journal.ErrNotAppended only if the
// dial failed or the log rejected the call; after any other error the records
// may have been appended.
func (l *Log) Append(ctx context.Context, stream journal.Stream, payloads [][]byte) (journal.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	resp, err := l.client.Append(ctx, connect.NewRequest(&carawayv1.AppendRequest{Stream: string(stream), Records: payloads}))
	if err == nil {
		return journal.Offset(resp.Msg.Offset), nil
	}
	if errors.Is(err, httpx.ErrDial) || isRejection(err) {
		return 0, errors.Wrap(journal.ErrNotAppended, err.Error())
	}
	return 0, errors.Wrap(err, "append to "+string(stream))
}

func isRejection(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeResourceExhausted, connect.CodeInvalidArgument:
		return connect.IsWireError(err)
	default:
		return false
	}
}

// Read implements journal.Log.
func (l *Log) Read(ctx context.Context, stream journal.Stream, from journal.Offset, limit int, wait time.Duration) (journal.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+longPollMargin)
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

// List holds the platform's list of instances as of the last successful read.
// The list lags behind the actual state. List is safe for concurrent use.
type List struct {
	client carawayv1connect.InstanceServiceClient

	mu        sync.RWMutex
	instances map[fleet.InstanceID]fleet.Instance
	readAt    time.Time
}

// NewList returns a List that reads from address, given as "ip:port". The list
// is empty until Run has read it once.
func NewList(client *http.Client, address string) *List {
	return &List{client: carawayv1connect.NewInstanceServiceClient(client, "http://"+address, httpx.ClientOptions(maxResponseBytes))}
}

// Run reads the list every interval until ctx ends, and passes errors to
// failed. While reads fail, the last list remains in use.
func (l *List) Run(ctx context.Context, interval time.Duration, failed func(error)) {
	for {
		if err := l.refresh(ctx); err != nil && ctx.Err() == nil {
			failed(err)
		}
		select {
		case <-time.After(interval):
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

// Instances returns the instances of the last successful read and the time of
// that read. Callers must not modify the map.
func (l *List) Instances() (map[fleet.InstanceID]fleet.Instance, time.Time) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.instances, l.readAt
}
