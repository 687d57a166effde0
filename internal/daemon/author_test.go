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

// certificateContext returns the context of a call whose client has a verified
// certificate with this common name, or no certificate if name is empty.
func certificateContext(t *testing.T, name string) context.Context {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	r.TLS = &tls.ConnectionState{}
	if name != "" {
		r.TLS.VerifiedChains = [][]*x509.Certificate{{{Subject: pkix.Name{CommonName: name}}}}
	}
	var ctx context.Context
	withOperatorName(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { ctx = r.Context() })).
		ServeHTTP(httptest.NewRecorder(), r)
	return ctx
}

func TestAuthorMatchesCertificate(t *testing.T) {
	const caFile, noCA = "operators.pem", ""
	for name, c := range map[string]struct {
		ca, proven, given string
		want              string
		code              connect.Code
	}{
		"no CA: name as given":     {ca: noCA, given: "trust", want: "trust"},
		"same name":                {ca: caFile, proven: "trust", given: "trust", want: "trust"},
		"no name given":            {ca: caFile, proven: "trust", want: "trust"},
		"name of another operator": {ca: caFile, proven: "council", given: "trust", code: connect.CodePermissionDenied},
		"no certificate":           {ca: caFile, given: "trust", code: connect.CodeUnauthenticated},
		"no certificate, no name":  {ca: caFile, code: connect.CodeUnauthenticated},
	} {
		t.Run(name, func(t *testing.T) {
			admin := adminService{&Daemon{settings: &settings.Settings{AdminClientCA: c.ca}}}
			got, err := admin.author(certificateContext(t, c.proven), c.given)
			assert.Equal(t, got, c.want)
			if c.code != 0 {
				assert.Equal(t, connect.CodeOf(err), c.code)
			} else {
				assert.NilError(t, err)
			}
		})
	}
}

// Changes without a client certificate must be rejected before they have any
// effect. This daemon has no components, so a call that got further would
// panic.
func TestChangesRequireCertificate(t *testing.T) {
	admin := adminService{&Daemon{settings: &settings.Settings{AdminClientCA: "operators.pem"}}}
	ctx := certificateContext(t, "")
	_, published := admin.Publish(ctx, connect.NewRequest(&carawayv1.PublishRequest{Author: "trust"}))
	_, drained := admin.Drain(ctx, connect.NewRequest(&carawayv1.DrainRequest{}))
	_, cleared := admin.ClearSuspect(ctx, connect.NewRequest(&carawayv1.ClearSuspectRequest{}))
	for _, err := range []error{published, drained, cleared} {
		assert.Equal(t, connect.CodeOf(err), connect.CodeUnauthenticated)
	}
}
