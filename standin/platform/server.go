package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/internal/journal"
)

// Platform combines the log, the instance list and the weight store behind one
// handler.
type Platform struct {
	Log       *Log
	Instances *Instances
	Weights   *Weights
}

// New returns a platform with default limits.
func New() *Platform {
	return &Platform{
		Log:       NewLog(LogConfig{}),
		Instances: NewInstances(InstancesConfig{}),
		Weights:   NewWeights(WeightsConfig{}),
	}
}

// Handler serves the three services, and the fault switches under /standin/.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	options := httpx.HandlerOptions(maxBodyBytes)
	mux.Handle(carawayv1connect.NewLogServiceHandler(logServer{p.Log}, options))
	mux.Handle(carawayv1connect.NewInstanceServiceHandler(instanceServer{p.Instances}, options))
	mux.Handle(carawayv1connect.NewWeightServiceHandler(weightServer{p.Weights}, options))
	mux.HandleFunc("POST /standin/instances", p.register)
	mux.HandleFunc("POST /standin/leaving", p.leaving)
	mux.HandleFunc("POST /standin/log", p.logFaults)
	mux.HandleFunc("GET /standin/log", p.logStats)
	mux.HandleFunc("POST /standin/weights", p.weightFaults)
	return mux
}

func (p *Platform) register(w http.ResponseWriter, r *http.Request) {
	var registration Registration
	if !decode(w, r, &registration) {
		return
	}
	p.Instances.Register(registration)
}

func (p *Platform) leaving(w http.ResponseWriter, r *http.Request) {
	p.Instances.SetLeaving(fleet.InstanceID(r.URL.Query().Get("id")), r.URL.Query().Get("leaving") != "false")
}

func (p *Platform) logFaults(w http.ResponseWriter, r *http.Request) {
	var f LogFaults
	if !decode(w, r, &f) {
		return
	}
	p.Log.SetFaults(f)
}

func (p *Platform) logStats(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(p.Log.Stats())
}

func (p *Platform) weightFaults(w http.ResponseWriter, r *http.Request) {
	var f struct {
		Down           bool    `json:"down"`
		BytesPerSecond float64 `json:"bytes_per_second"`
	}
	if !decode(w, r, &f) {
		return
	}
	p.Weights.SetDown(f.Down)
	if f.BytesPerSecond > 0 {
		p.Weights.SetRate(f.BytesPerSecond)
	}
}

func decode(w http.ResponseWriter, r *http.Request, dst any) bool {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

type logServer struct{ log *Log }

func (s logServer) Append(ctx context.Context, req *connect.Request[carawayv1.AppendRequest]) (*connect.Response[carawayv1.AppendResponse], error) {
	first, err := s.log.Append(ctx, journal.Stream(req.Msg.Stream), req.Msg.Records)
	switch {
	case errors.Is(err, journal.ErrNotAppended):
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&carawayv1.AppendResponse{Offset: uint64(first)}), nil
}

func (s logServer) Read(ctx context.Context, req *connect.Request[carawayv1.ReadRequest]) (*connect.Response[carawayv1.ReadResponse], error) {
	m := req.Msg
	wait := min(m.Wait.AsDuration(), maxReadWait)
	page, err := s.log.Read(ctx, journal.Stream(m.Stream), journal.Offset(m.From), int(m.MaxRecords), wait)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	out := &carawayv1.ReadResponse{Oldest: uint64(page.Oldest), Next: uint64(page.Next)}
	for _, e := range page.Entries {
		out.Records = append(out.Records, &carawayv1.LogRecord{Offset: uint64(e.Offset), Payload: e.Payload})
	}
	return connect.NewResponse(out), nil
}

const (
	maxReadWait = 30 * time.Second
	// maxBodyBytes is the maximum size of one request.
	maxBodyBytes = 16 << 20
)

type instanceServer struct{ list *Instances }

func (s instanceServer) ListInstances(context.Context, *connect.Request[carawayv1.ListInstancesRequest]) (*connect.Response[carawayv1.ListInstancesResponse], error) {
	all, err := s.list.List()
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	out := &carawayv1.ListInstancesResponse{}
	for _, i := range all {
		out.Instances = append(out.Instances, &carawayv1.ListedInstance{
			Id: string(i.ID), Address: i.Address, AvailabilityZone: string(i.Zone), FabricDomain: string(i.Fabric),
			Pool: string(i.Pool), Accelerators: i.Accelerators, Leaving: i.Leaving, ChecksFencing: i.ChecksFencing, Kind: string(i.Kind),
		})
	}
	return connect.NewResponse(out), nil
}

type weightServer struct{ weights *Weights }

func (s weightServer) Fetch(ctx context.Context, _ *connect.Request[carawayv1.FetchRequest]) (*connect.Response[carawayv1.FetchResponse], error) {
	size, err := s.weights.Fetch(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&carawayv1.FetchResponse{SizeBytes: size}), nil
}
