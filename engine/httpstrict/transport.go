package httpstrict

import (
	"cmp"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"
)

// Transport is an http.RoundTripper that refuses responses which are none, and whose bodies that end
// with their connection end only as [Conn] says; with TLS only after its closure alert (RFC 9112,
// section 9.8). Of responses with TLS through a proxy it checks the status and the names of fields alone.
type Transport struct{ base *http.Transport }

// dialer dials a connection.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a Transport that makes its round trips with base, which must not be used
// otherwise. It takes over DialTLSContext.
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
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialTLS(ctx, base, dial, network, address)
	}
	return &Transport{base: base}
}

// http2 is the name of HTTP/2 in a handshake of TLS.
const http2 = "h2"

// dialTLS dials a connection with TLS, as base is set up for it. It returns a *Conn, or a *tls.Conn if both sides
// speak HTTP/2, whose responses are always framed.
func dialTLS(ctx context.Context, base *http.Transport, dial dialer, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "httpstrict: address")
	}
	c, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	below := NewConn(c)
	config := &tls.Config{}
	if base.TLSClientConfig != nil {
		config = base.TLSClientConfig.Clone()
	}
	config.ServerName = cmp.Or(config.ServerName, host)
	encrypted := tls.Client(below, config)
	if err := handshake(ctx, encrypted, base.TLSHandshakeTimeout); err != nil {
		below.Close()
		return nil, err
	}
	if encrypted.ConnectionState().NegotiatedProtocol == http2 {
		return encrypted, nil
	}
	return &Conn{Conn: encrypted, below: below}, nil
}

// handshake makes a handshake of TLS. A timeout of 0 is none.
func handshake(ctx context.Context, c *tls.Conn, timeout time.Duration) error {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	return c.HandshakeContext(ctx)
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
	response.Body = &body{ReadCloser: response.Body, response: response, conn: used}
	return response, nil
}

// checkHead checks the head of a response. c is the connection on which it came; nil: it speaks HTTP/2, or
// TLS through a proxy.
func checkHead(r *http.Response, c *Conn) error {
	if err := CheckStatus(r.StatusCode); err != nil {
		return err
	}
	if c != nil {
		return c.HeadError()
	}
	return CheckFields(r.Header)
}

// body checks the end of a body.
type body struct {
	io.ReadCloser
	response *http.Response
	conn     *Conn // nil: as in checkHead
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if faulty := CheckFields(b.response.Trailer); faulty != nil {
			return n, faulty
		}
		if b.conn != nil && Unframed(b.response) && b.conn.endedWithoutAlert() {
			return n, io.ErrUnexpectedEOF
		}
	}
	return n, err
}

// Unframed reports whether the body of a response has neither a length nor chunks and ends with its
// connection: its end looks the same whether the server has finished it or has ended within it.
func Unframed(r *http.Response) bool {
	return r.ProtoMajor == 1 && r.Request.Method != http.MethodHead && r.ContentLength < 0 && len(r.TransferEncoding) == 0
}
