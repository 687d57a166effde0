package daemon

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// operatorKey is the context key of the common name in an operator's verified
// client certificate.
type operatorKey struct{}

// withOperatorName adds the common name of the client's verified certificate,
// if there is one, to the context of each request.
func withOperatorName(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
			name := r.TLS.VerifiedChains[0][0].Subject.CommonName
			r = r.WithContext(context.WithValue(r.Context(), operatorKey{}, name))
		}
		next.ServeHTTP(w, r)
	})
}

// authorizeChange returns an Unauthenticated error if operators need a client
// certificate and the caller has none. Without a configured authority for
// operators' certificates, everyone who reaches the admin listener may make
// changes.
func (a adminService) authorizeChange(ctx context.Context) error {
	if a.d.settings.AdminClientCA == "" || certificateName(ctx) != "" {
		return nil
	}
	return connect.NewError(connect.CodeUnauthenticated,
		errors.New("only an operator with a certificate may change anything here; give --certificate and --key"))
}

// author returns the name under which a change is published: the common name
// of the client certificate if there is one, otherwise the given name. A given
// name that differs from the certificate's is an error.
func (a adminService) author(ctx context.Context, given string) (string, error) {
	if err := a.authorizeChange(ctx); err != nil {
		return "", err
	}
	proven := certificateName(ctx)
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

func certificateName(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
