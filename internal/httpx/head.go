package httpx

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// CheckHead returns an error if a response is not a final answer, or if the name of a field
// holds a blank. net/http accepts such names but does not recognize them, so that a
// Content-Length or Transfer-Encoding with one does not frame the body. It rejects names
// with other bytes that are not allowed.
func CheckHead(res *http.Response) error {
	if res.StatusCode < http.StatusOK {
		return errors.Errorf("status %d is no final one", res.StatusCode)
	}
	for name := range res.Header {
		if strings.Contains(name, " ") {
			return errors.Errorf("the name of the field %q holds a blank", name)
		}
	}
	return nil
}

// CheckedTransport is a transport that fails requests whose answers fail CheckHead.
type CheckedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t CheckedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(res); err != nil {
		_ = res.Body.Close() // what remains is not used
		return nil, err
	}
	return res, nil
}
