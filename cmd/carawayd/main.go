// Command carawayd is the daemon that stands between callers and backend
// servers. Every daemon carries every role.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/daemon"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/internal/settings"
)

// Exit codes.
const (
	exitFailed  = 1
	exitMistake = 2
)

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
	if err := run(set); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// run serves until a planned stop, which SIGTERM or SIGINT begins, has ended.
func run(set *settings.Settings) error {
	env, err := listen(set)
	if err != nil {
		return err
	}
	d, err := daemon.New(set, env)
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

// listen opens the three listeners and loads the certificates.
func listen(set *settings.Settings) (daemon.Env, error) {
	env := daemon.Env{Dial: httpx.Dialer(), Log: os.Stderr}
	for _, l := range []struct {
		address string
		into    *net.Listener
	}{
		{set.CallersListen, &env.Callers},
		{set.AdminListen, &env.Admin},
		{set.PeersListen, &env.Peers},
	} {
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			return env, errors.Wrap(err, "listen")
		}
		*l.into = opened
	}
	if set.TLSCertificate == "" {
		return env, nil
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
