package httpx

import (
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// TargetURL returns the URL of a request to a host for which net/http sends a request
// target byte for byte. It returns an error for a target that is no path, with or without
// a query, and for one that net/http would change.
func TargetURL(host, target string) (*url.URL, error) {
	if !strings.HasPrefix(target, "/") {
		return nil, errors.Errorf("the request target %.100q is not a path", target)
	}
	// An opaque URL is sent as it is, unless it begins with two slashes, which net/url
	// takes for those before a host.
	u := &url.URL{Scheme: "http", Host: host, Opaque: target}
	if !strings.HasPrefix(target, "//") {
		return u, nil
	}
	path, query, hasQuery := strings.Cut(target, "?")
	u.Opaque, u.RawPath, u.RawQuery, u.ForceQuery = "", path, query, hasQuery
	var err error
	if u.Path, err = url.PathUnescape(path); err != nil {
		return nil, errors.Wrapf(err, "the request target %.100q", target)
	}
	if u.RequestURI() != target {
		return nil, errors.Errorf("the request target %.100q begins with two slashes and has characters that have to be escaped", target)
	}
	return u, nil
}
