package ctl

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/httpx"
)

// callTimeout bounds one call to a daemon.
const callTimeout = 10 * time.Second

// reachTimeout bounds the try whether a daemon can be reached, where there are
// several.
const reachTimeout = time.Second

// addresses are those of the daemons at --admin.
func (c *command) addresses() []string { return strings.Split(c.Admin, ",") }

// admin returns a client of the first daemon that can be reached.
func (c *command) admin() (carawayv1connect.AdminServiceClient, error) {
	addresses := c.addresses()
	if len(addresses) == 1 {
		return c.adminAt(addresses[0])
	}
	for _, a := range addresses {
		if conn, err := net.DialTimeout("tcp", a, reachTimeout); err == nil {
			_ = conn.Close()
			return c.adminAt(a)
		}
	}
	return nil, fail(ExitUnreachable, "none of the daemons at %s can be reached", c.Admin)
}

// adminAt returns a client of a daemon's admin service.
func (c *command) adminAt(address string) (carawayv1connect.AdminServiceClient, error) {
	if (c.Cert == "") != (c.Key == "") {
		return nil, fail(ExitMistake, "--certificate and --key go together")
	}
	if c.CA == "" && c.Cert != "" {
		return nil, fail(ExitMistake, "--certificate: give --ca too, as it is not sent in clear text")
	}
	if c.CA == "" {
		return carawayv1connect.NewAdminServiceClient(httpx.NewClient(httpx.Dialer()), "http://"+address), nil
	}
	pool, err := httpx.ReadAuthority(c.CA)
	if err != nil {
		return nil, fail(ExitMistake, "--ca: %v", err)
	}
	config := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	if c.Cert != "" {
		own, err := tls.LoadX509KeyPair(c.Cert, c.Key)
		if err != nil {
			return nil, fail(ExitMistake, "--certificate: %v", err)
		}
		config.Certificates = []tls.Certificate{own}
	}
	client := &http.Client{Transport: &http.Transport{
		TLSClientConfig:   config,
		ForceAttemptHTTP2: true,
	}}
	return carawayv1connect.NewAdminServiceClient(client, "https://"+address), nil
}

// checkAuthor reports a mistake when nothing says who publishes.
func (c *command) checkAuthor(author string) error {
	if author == "" && c.Cert == "" {
		return fail(ExitMistake, "--author: say who publishes")
	}
	return nil
}

// call makes one call with a bounded time and sorts its error.
func call[Req, Resp any](f func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error), req *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := f(ctx, connect.NewRequest(req))
	if err == nil {
		return resp.Msg, nil
	}
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return nil, fail(ExitFailed, "%v", err)
	}
	switch {
	case !connect.IsWireError(err):
		return nil, fail(ExitUnreachable, "the daemon does not answer: %s", ce.Message())
	case ce.Code() == connect.CodeInvalidArgument:
		return nil, fail(ExitMistake, "%s", ce.Message())
	default:
		return nil, fail(ExitFailed, "%s: %s", ce.Code(), ce.Message())
	}
}

// show prints v as JSON, or rows as a table with a heading.
func (c *command) show(v any, heading []string, rows [][]string) error {
	if c.Output == "json" {
		enc := json.NewEncoder(c.stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(c.stdout, 0, 4, 2, ' ', 0)
	printRow(w, heading)
	for _, row := range rows {
		printRow(w, row)
	}
	return w.Flush()
}

func printRow(w *tabwriter.Writer, cells []string) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}
