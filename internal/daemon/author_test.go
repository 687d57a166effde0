package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/internal/settings"
)

// named returns the context of a call whose client has a verified certificate
// under that name, or none for an empty name.
func named(t *testing.T, name string) context.Context {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	r.TLS = &tls.ConnectionState{}
	if name != "" {
		r.TLS.VerifiedChains = [][]*x509.Certificate{{{Subject: pkix.Name{CommonName: name}}}}
	}
	var ctx context.Context
	nameOperators(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { ctx = r.Context() })).
		ServeHTTP(httptest.NewRecorder(), r)
	return ctx
}

func TestAuthorIsWhoTheCertificateNames(t *testing.T) {
	const asked, notAsked = "operators.pem", ""
	for name, c := range map[string]struct {
		authority, proven, given string
		want                     string
		code                     connect.Code
	}{
		"no authority: as given":         {authority: notAsked, given: "trust", want: "trust"},
		"same name":                      {authority: asked, proven: "trust", given: "trust", want: "trust"},
		"none given":                     {authority: asked, proven: "trust", want: "trust"},
		"another's name":                 {authority: asked, proven: "council", given: "trust", code: connect.CodePermissionDenied},
		"no certificate":                 {authority: asked, given: "trust", code: connect.CodeUnauthenticated},
		"no certificate, no name either": {authority: asked, code: connect.CodeUnauthenticated},
	} {
		t.Run(name, func(t *testing.T) {
			o := operator{&Daemon{set: &settings.Settings{AdminClientCA: c.authority}}}
			got, err := o.author(named(t, c.proven), c.given)
			assert.Equal(t, got, c.want)
			if c.code != 0 {
				assert.Equal(t, connect.CodeOf(err), c.code)
			} else {
				assert.NilError(t, err)
			}
		})
	}
}

// Nothing is changed for an operator without a certificate: each call that
// changes something would touch parts that this daemon lacks.
func TestEveryChangeAsksForACertificate(t *testing.T) {
	o := operator{&Daemon{set: &settings.Settings{AdminClientCA: "operators.pem"}}}
	ctx := named(t, "")
	_, published := o.Publish(ctx, connect.NewRequest(&carawayv1.PublishRequest{Author: "trust"}))
	_, drained := o.Drain(ctx, connect.NewRequest(&carawayv1.DrainRequest{}))
	_, cleared := o.ClearSuspect(ctx, connect.NewRequest(&carawayv1.ClearSuspectRequest{}))
	for _, err := range []error{published, drained, cleared} {
		assert.Equal(t, connect.CodeOf(err), connect.CodeUnauthenticated)
	}
}
