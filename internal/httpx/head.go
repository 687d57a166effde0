package httpx

import (
	"net/http"

	"github.com/pkg/errors"
)

// CheckHead returns an error if a response is not a final answer.
func CheckHead(res *http.Response) error {
	if res.StatusCode < http.StatusOK {
		return errors.Errorf("status %d is no final one", res.StatusCode)
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
