package httpstrict

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Transport is an http.RoundTripper that refuses responses which are none, and whose bodies that end
// with their connection end only as [Conn] says.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that makes its round trips with base, which must not be used
// otherwise.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(response.StatusCode); err != nil {
		response.Body.Close()
		return nil, errors.Wrapf(err, "httpstrict: response of %s", r.URL.Host)
	}
	return response, nil
}
