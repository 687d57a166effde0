// Command carawayd is the daemon that stands between callers and backend
// servers. Every daemon carries every role.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/daemon"
	"carawayproxy.example/caraway/internal/edge"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/internal/settings"
	"carawayproxy.example/caraway/platform"
)

// Exit codes.
const (
	exitFailed  = 1
	exitMistake = 2
)

// collectPart of the memory limit is what the collector keeps the heap below:
// the rest is for stacks, buffers of the kernel, and bytes not read yet.
const collectPart = 0.6

func main() {
	set, err := settings.Parse(os.Args[1:])
	if help := (*flags.Error)(nil); errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Println(help.Message)
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitMistake)
	}
	if set.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(collectPart * float64(set.MemoryLimit<<20)))
	}
	if err := run(set); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// served is a daemon of either kind.
type served interface {
	Run(ctx context.Context) error
	Drain()
}

// run serves until a planned stop, which SIGTERM or SIGINT begins, has ended.
func run(set *settings.Settings) error {
	d, err := newDaemon(set)
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		d.Drain()
	}()
	return d.Run(context.Background())
}

// newDaemon picks the adapters: those of the operators' platform when the
// settings name its store, else the product's own protocols.
func newDaemon(set *settings.Settings) (served, error) {
	if set.Store != "" {
		return newEdge(set)
	}
	env, err := listen(set)
	if err != nil {
		return nil, err
	}
	return daemon.New(set, env)
}

func newEdge(set *settings.Settings) (*edge.Daemon, error) {
	env := edge.Env{Dial: platform.Dialer(), Log: os.Stdout, Elapsed: platform.Elapsed}
	err := openAll([]listener{
		{set.CallersListen, &env.Callers},
		{set.ReadinessListen, &env.Readiness},
		{set.AdminListen, &env.Admin},
		{set.PeersListen, &env.Peers},
	})
	if err != nil {
		return nil, err
	}
	env.Platform = platform.New(env.Dial, set.Store)
	d, err := edge.New(set, env)
	if err != nil {
		return nil, err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			d.HangUp()
		}
	}()
	return d, nil
}

// listener is an address to listen on and where the listener goes.
type listener struct {
	address string
	into    *net.Listener
}

func openAll(listeners []listener) error {
	for _, l := range listeners {
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		*l.into = opened
	}
	return nil
}

// listen opens the three listeners and loads the certificates.
func listen(set *settings.Settings) (daemon.Env, error) {
	env := daemon.Env{Dial: httpx.Dialer(), Log: os.Stderr}
	err := openAll([]listener{
		{set.CallersListen, &env.Callers},
		{set.AdminListen, &env.Admin},
		{set.PeersListen, &env.Peers},
	})
	if err != nil || set.TLSCertificate == "" {
		return env, err
	}
	config, err := httpx.ReloadingTLS(set.TLSCertificate, set.TLSKey)
	if err != nil {
		return env, err
	}
	env.TLS = config
	env.AdminTLS = config
	if set.AdminClientCA != "" {
		env.AdminTLS, err = httpx.AskClients(config, set.AdminClientCA)
	}
	return env, err
}
