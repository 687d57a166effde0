package daemon

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// operatorKey is the context key of the name that an operator's certificate
// proves.
type operatorKey struct{}

// nameOperators gives each request the common name of its client's verified
// certificate, if it has one.
func nameOperators(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
			name := r.TLS.VerifiedChains[0][0].Subject.CommonName
			r = r.WithContext(context.WithValue(r.Context(), operatorKey{}, name))
		}
		next.ServeHTTP(w, r)
	})
}

// mayChange reports as an error why the operator of a call may not change
// anything. Without an authority for operators' certificates everyone may who
// reaches the admin listener.
func (o operator) mayChange(ctx context.Context) error {
	if o.d.set.AdminClientCA == "" || provenName(ctx) != "" {
		return nil
	}
	return connect.NewError(connect.CodeUnauthenticated,
		errors.New("only an operator with a certificate may change anything here; give --certificate and --key"))
}

// author returns who publishes: the name that the certificate proves, where
// operators have one, and otherwise the name that they give.
func (o operator) author(ctx context.Context, given string) (string, error) {
	if err := o.mayChange(ctx); err != nil {
		return "", err
	}
	proven := provenName(ctx)
	switch {
	case proven == "" || given == proven:
		return given, nil
	case given == "":
		return proven, nil
	default:
		return "", connect.NewError(connect.CodePermissionDenied,
			errors.Errorf("author %q is not the name %q of the certificate", given, proven))
	}
}

func provenName(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
