// Command carawayd is the proxy daemon that runs between callers and backend
// servers. Every daemon performs all roles.
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
	"carawayproxy.example/caraway/internal/hangup"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/internal/reach"
	"carawayproxy.example/caraway/internal/settings"
	"carawayproxy.example/caraway/platform"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// heapLimitFraction is the fraction of the process's memory limit that is given
// to the garbage collector as its soft limit. The rest is reserved for stacks,
// kernel buffers and bytes that have not been read yet.
const heapLimitFraction = 0.6

func main() {
	set, err := settings.Parse(os.Args[1:])
	if help := (*flags.Error)(nil); errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Println(help.Message)
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if set.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(heapLimitFraction * set.MemoryLimit * (1 << 20)))
	}
	if err := run(set); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// runner is a daemon, either for the operators' platform or for the product's
// own protocols.
type runner interface {
	Run(ctx context.Context) error
	Drain()
}

// run runs the daemon until it has drained. SIGTERM and SIGINT start the drain.
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

// newDaemon returns a daemon for the operators' platform if the settings name
// its store, and otherwise one for the product's own protocols.
func newDaemon(set *settings.Settings) (runner, error) {
	if set.Store != "" {
		return newEdgeDaemon(set)
	}
	env, err := listen(set)
	if err != nil {
		return nil, err
	}
	return daemon.New(set, env)
}

func newEdgeDaemon(set *settings.Settings) (*edge.Daemon, error) {
	env := edge.Env{Dial: platform.Dialer(), Log: os.Stdout, Elapsed: platform.BootTime}
	err := listenAll([]listenSpec{
		{set.CallersListen, &env.Callers},
		{set.ReadinessListen, &env.Readiness},
		{set.AdminListen, &env.Admin},
		{set.PeersListen, &env.Peers},
	})
	if err != nil {
		return nil, err
	}
	env.ServerDialer = reach.NewDialer(env.Dial)
	env.Platform = platform.New(env.Dial, env.ServerDialer.DialContext, set.Store)
	d, err := edge.New(set, env)
	if err != nil {
		return nil, err
	}
	go func() {
		for range hangup.Signals {
			d.LogSettingsChanged()
		}
	}()
	return d, nil
}

// listenSpec is a listen address and the variable that receives its listener.
type listenSpec struct {
	address string
	target  *net.Listener
}

func listenAll(listeners []listenSpec) error {
	for _, l := range listeners {
		open, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		*l.target = open
	}
	return nil
}

// listen opens the callers, admin and peers listeners and loads the TLS
// certificates.
func listen(set *settings.Settings) (daemon.Env, error) {
	env := daemon.Env{Dial: httpx.Dialer(), Log: os.Stderr}
	err := listenAll([]listenSpec{
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
		env.AdminTLS, err = httpx.WithClientCertificates(config, set.AdminClientCA)
	}
	return env, err
}
