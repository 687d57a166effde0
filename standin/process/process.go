// Package process runs each stand-in as a separate process.
package process

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/standin/engine"
	"carawayproxy.example/caraway/standin/plain"
	"carawayproxy.example/caraway/standin/platform"
)

// registerInterval is the interval between registrations with the platform.
const registerInterval = time.Second

// crashExitCode is the exit code after an injected crash.
const crashExitCode = 3

// Platform holds the flags of a platform process.
type Platform struct {
	Listen     string        `long:"listen" description:"ip:port" default:"127.0.0.1:7300"`
	Lag        time.Duration `long:"lag" description:"how late the list shows a change" default:"500ms"`
	DropAfter  time.Duration `long:"drop-after" description:"how long a silent instance stays listed" default:"10s"`
	Appends    float64       `long:"appends" description:"appends a second" default:"300"`
	Retention  time.Duration `long:"retention" description:"how long records are kept" default:"1h"`
	WeightRate float64       `long:"weight-rate" description:"bytes a second of the weight store, 0 for its default"`
}

// Execute implements flags.Commander.
func (p *Platform) Execute([]string) error {
	standin := &platform.Platform{
		Log:       platform.NewLog(platform.LogConfig{AppendsPerSecond: p.Appends, Retention: p.Retention}),
		Instances: platform.NewInstances(platform.InstancesConfig{Lag: p.Lag, DropAfter: p.DropAfter}),
		Weights:   platform.NewWeights(platform.WeightsConfig{BytesPerSecond: p.WeightRate}),
	}
	return serve(p.Listen, standin.Handler(), nil)
}

// BackendOptions holds the flags that identify and locate a backend server.
type BackendOptions struct {
	ID           string `long:"id" description:"instance id" required:"yes"`
	Listen       string `long:"listen" description:"ip:port" required:"yes"`
	Platform     string `long:"platform" description:"ip:port of the platform" required:"yes"`
	Zone         string `long:"availability-zone" description:"availability zone" default:"a"`
	Fabric       string `long:"fabric" description:"fabric domain" default:"f1"`
	Pool         string `long:"pool" description:"pool" required:"yes"`
	Accelerators uint32 `long:"accelerators" description:"accelerators" default:"8"`
}

func (o BackendOptions) registration(kind fleet.InstanceKind, checksFencing bool) platform.Registration {
	return platform.Registration{
		ID:            fleet.InstanceID(o.ID),
		Address:       o.Listen,
		Zone:          fleet.Zone(o.Zone),
		Fabric:        fleet.FabricDomain(o.Fabric),
		Pool:          fleet.Pool(o.Pool),
		Kind:          kind,
		Accelerators:  o.Accelerators,
		ChecksFencing: checksFencing,
	}
}

// Engine holds the flags of a model engine process.
type Engine struct {
	BackendOptions
	TokenInterval time.Duration `long:"token-interval" description:"between tokens of one stream" default:"10ms"`
	LoadTime      time.Duration `long:"load-time" description:"to load weights" default:"1s"`
	MaxRunning    int           `long:"max-running" description:"requests in one batch" default:"16"`
	ChecksFencing bool          `long:"checks-fencing" description:"refuse orders with an old fencing token"`
}

// Execute implements flags.Commander.
func (e *Engine) Execute([]string) error {
	client := httpx.NewClient(httpx.Dialer())
	weights := carawayv1connect.NewWeightServiceClient(client, "http://"+e.Platform)
	standin := engine.New(engine.Config{
		ID:            e.ID,
		Address:       e.Listen,
		TokenInterval: e.TokenInterval,
		LoadTime:      e.LoadTime,
		MaxRunning:    e.MaxRunning,
		ChecksFencing: e.ChecksFencing,
		Fetch: func(ctx context.Context, model, version, adapter string) error {
			_, err := weights.Fetch(ctx, connect.NewRequest(&carawayv1.FetchRequest{Model: model, Version: version, Adapter: adapter}))
			return err
		},
		Member: func(address string) carawayv1connect.EngineServiceClient {
			return carawayv1connect.NewEngineServiceClient(client, "http://"+address)
		},
		Crashed: func() { os.Exit(crashExitCode) },
	})
	return serve(e.Listen, standin.Handler(), func(ctx context.Context) {
		go standin.Watch(ctx)
		register(ctx, e.Platform, e.registration(fleet.KindEngine, e.ChecksFencing))
	})
}

// Plain holds the flags of a process that serves a plain service.
type Plain struct {
	BackendOptions
	Latency time.Duration `long:"latency" description:"of one call" default:"5ms"`
}

// Execute implements flags.Commander.
func (p *Plain) Execute([]string) error {
	standin := plain.New(plain.Config{ID: p.ID, Latency: p.Latency, Crashed: func() { os.Exit(crashExitCode) }})
	return serve(p.Listen, standin.Handler(), func(ctx context.Context) {
		register(ctx, p.Platform, p.registration(fleet.KindPlain, false))
	})
}

// serve runs an HTTP server until SIGTERM or SIGINT. background, unless nil, runs
// concurrently; its context ends with the signal.
func serve(address string, h http.Handler, background func(context.Context)) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if background != nil {
		go background(ctx)
	}
	server := httpx.NewServer(h, nil)
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// register registers the instance with the platform periodically until ctx is
// done. Failed registrations are repeated at the next interval.
func register(ctx context.Context, address string, registration platform.Registration) {
	body, err := json.Marshal(registration)
	if err != nil {
		return
	}
	client := &http.Client{Timeout: registerInterval}
	for ctx.Err() == nil {
		resp, err := client.Post("http://"+address+"/standin/instances", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-time.After(registerInterval):
		case <-ctx.Done():
		}
	}
}
