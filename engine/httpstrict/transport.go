package httpstrict

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
)

// Transport is an http.RoundTripper that refuses responses which are none, and whose bodies that end
// with their connection end only as [Conn] says. Of a connection with TLS it sees no lines of heads, but
// the names of their fields.
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
	var used *Conn
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*Conn); ok {
			used = c
			c.BeginResponse()
		}
	}}
	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response, used); err != nil {
		response.Body.Close()
		return nil, errors.Wrapf(err, "httpstrict: response of %s", r.URL.Host)
	}
	response.Body = &body{ReadCloser: response.Body, response: response}
	return response, nil
}

// checkHead checks the head of a response. c is the connection on which it came; nil: that is encrypted.
func checkHead(r *http.Response, c *Conn) error {
	if err := CheckStatus(r.StatusCode); err != nil {
		return err
	}
	if c != nil {
		return c.HeadError()
	}
	return CheckFields(r.Header)
}

// body checks the trailers after a body.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if faulty := CheckFields(b.response.Trailer); faulty != nil {
			return n, faulty
		}
	}
	return n, err
}

// Unframed reports whether the body of a response has neither a length nor chunks and ends with its
// connection: its end looks the same whether the server has finished it or has ended within it.
func Unframed(r *http.Response) bool {
	return r.Request.Method != http.MethodHead && r.ContentLength < 0 && len(r.TransferEncoding) == 0
}
