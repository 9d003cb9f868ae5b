package engine

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/engine/httpstrict"
)

// Headers that Client sets on every call.
const (
	RequestHeader  = "X-Request-Id"
	PriorityHeader = "X-Priority" // 0 for urgent calls, 1 for the rest
)

const dialTimeout = 2 * time.Second

// maxHeadBytes limits the head of an answer. Heads of servers take some hundred bytes.
const maxHeadBytes = 64 << 10

// Client calls a model engine or plain service over HTTP. It implements [Server].
type Client struct {
	BaseURL string // URL, without a trailing slash
	HTTP    *http.Client

	dial func(ctx context.Context, network, address string) (net.Conn, error) // nil: a server is not looked for again
}

// NewClient returns a client for the server at the given URL.
func NewClient(base string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewClientWithDialer(base, dialer.DialContext)
}

// NewClientWithDialer is like NewClient, but opens connections with dial.
func NewClientWithDialer(base string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		// A server may send a head without end.
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Client{BaseURL: base, dial: dial, HTTP: &http.Client{
		Transport: httpstrict.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Do implements Server.
func (c *Client) Do(ctx context.Context, call *Call) (*Response, error) {
	body := &nonReplayableBody{reader: bytes.NewReader(call.Body)}
	request, err := http.NewRequestWithContext(ctx, call.Method, c.BaseURL+call.Path, body)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "engine: %s %s", call.Method, call.Path), ErrNotSent)
	}
	request.ContentLength = int64(len(call.Body))
	for name, values := range call.Header {
		request.Header[name] = values
	}
	request.Header.Set(RequestHeader, call.RequestID)
	request.Header.Set(PriorityHeader, priority(call.Urgent))
	response, err := c.HTTP.Do(request)
	if err != nil {
		err = errors.Wrapf(err, "engine: %s %s", call.Method, call.Path)
		if isDialError(err) {
			err = errors.Mark(err, ErrNotSent)
		}
		return nil, err
	}
	content := response.Body
	if httpstrict.Unframed(response) {
		content = &unframedBody{ReadCloser: content, ended: func() bool { return c.refusesConnections(ctx) }}
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: content}, nil
}

// errServerEnded means that a server has ended, and perhaps within its response.
var errServerEnded = errors.New("engine: the server has ended; its response may be incomplete")

// unframedBody is a body that ends with its connection. The kernel closes the connections of a process
// that ends as the process itself does, so the end counts only while the server is there.
type unframedBody struct {
	io.ReadCloser
	ended func() bool
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.ended() {
		return n, errServerEnded
	}
	return n, err
}

// refusesConnections reports whether nothing listens at the server's address, or nobody waits to learn it.
func (c *Client) refusesConnections(ctx context.Context) bool {
	at, err := url.Parse(c.BaseURL)
	if err != nil || c.dial == nil {
		return false
	}
	port := "80"
	if at.Scheme == "https" {
		port = "443"
	}
	connection, err := c.dial(ctx, "tcp", net.JoinHostPort(at.Hostname(), cmp.Or(at.Port(), port)))
	if err == nil {
		connection.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil
}

func priority(urgent bool) string {
	if urgent {
		return "0"
	}
	return "1"
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// nonReplayableBody is a request body that net/http cannot rewind. http.Transport
// retries a request by itself when a reused connection breaks and the request has no
// body or one that can be replayed; neither is true with this body.
type nonReplayableBody struct{ reader *bytes.Reader }

// Read implements io.Reader.
func (s *nonReplayableBody) Read(p []byte) (int, error) { return s.reader.Read(p) }

// Load implements Server.
func (c *Client) Load(ctx context.Context) (Load, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.BaseURL+"/load", nil)
	if err != nil {
		return Load{}, errors.Wrap(err, "engine: load")
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Load{}, errors.Wrap(err, "engine: load")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Load{}, errors.Newf("engine: load: status %d", response.StatusCode)
	}
	var l Load
	if err := json.NewDecoder(io.LimitReader(response.Body, 1<<16)).Decode(&l); err != nil {
		return Load{}, errors.Wrap(err, "engine: load")
	}
	return l, nil
}
