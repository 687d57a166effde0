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

// dialTimeout bounds the connection test of each address when --admin lists
// several daemons.
const dialTimeout = time.Second

// addresses returns the addresses listed in --admin.
func (c *command) addresses() []string { return strings.Split(c.Admin, ",") }

// firstReachableAdmin returns an admin client of the first daemon in --admin
// that accepts a TCP connection. A single address is used without a test.
func (c *command) firstReachableAdmin() (carawayv1connect.AdminServiceClient, error) {
	addresses := c.addresses()
	if len(addresses) == 1 {
		return c.adminClient(addresses[0])
	}
	for _, a := range addresses {
		if conn, err := net.DialTimeout("tcp", a, dialTimeout); err == nil {
			_ = conn.Close()
			return c.adminClient(a)
		}
	}
	return nil, exitErrorf(ExitUnreachable, "none of the daemons at %s can be reached", c.Admin)
}

// adminClient returns a client of the admin service at address. It uses TLS if
// --ca is set, and clear text otherwise.
func (c *command) adminClient(address string) (carawayv1connect.AdminServiceClient, error) {
	if (c.Cert == "") != (c.Key == "") {
		return nil, exitErrorf(ExitUsage, "--certificate and --key go together")
	}
	if c.CA == "" && c.Cert != "" {
		return nil, exitErrorf(ExitUsage, "--certificate: give --ca too, as it is not sent in clear text")
	}
	if c.CA == "" {
		return carawayv1connect.NewAdminServiceClient(httpx.NewClient(httpx.Dialer()), "http://"+address), nil
	}
	pool, err := httpx.ReadAuthority(c.CA)
	if err != nil {
		return nil, exitErrorf(ExitUsage, "--ca: %v", err)
	}
	config := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	if c.Cert != "" {
		certificate, err := tls.LoadX509KeyPair(c.Cert, c.Key)
		if err != nil {
			return nil, exitErrorf(ExitUsage, "--certificate: %v", err)
		}
		config.Certificates = []tls.Certificate{certificate}
	}
	client := &http.Client{Transport: &http.Transport{
		TLSClientConfig:   config,
		ForceAttemptHTTP2: true,
	}}
	return carawayv1connect.NewAdminServiceClient(client, "https://"+address), nil
}

// checkAuthor returns a usage error if neither --author nor --certificate
// identifies the author of a publication.
func (c *command) checkAuthor(author string) error {
	if author == "" && c.Cert == "" {
		return exitErrorf(ExitUsage, "--author: say who publishes")
	}
	return nil
}

// call makes one call, bounded by callTimeout, and maps its error to an exit
// code.
func call[Req, Resp any](f func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error), req *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := f(ctx, connect.NewRequest(req))
	if err == nil {
		return resp.Msg, nil
	}
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return nil, exitErrorf(ExitFailed, "%v", err)
	}
	switch {
	case !connect.IsWireError(err):
		return nil, exitErrorf(ExitUnreachable, "the daemon does not answer: %s", ce.Message())
	case ce.Code() == connect.CodeInvalidArgument:
		return nil, exitErrorf(ExitUsage, "%s", ce.Message())
	default:
		return nil, exitErrorf(ExitFailed, "%s: %s", ce.Code(), ce.Message())
	}
}

// printResult prints v as JSON with --output=json, and otherwise rows as a table
// under heading.
func (c *command) printResult(v any, heading []string, rows [][]string) error {
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
