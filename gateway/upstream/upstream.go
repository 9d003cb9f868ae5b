// Package upstream sends requests to backend servers over HTTP/1.1 and tells
// exactly what is known of each: that it was not sent, that the server did not run
// it, that nobody can say, or its answer.
//
// # Usage
//
//	p := upstream.NewPool(codec)
//	switch r := p.Send(ctx, server, request).(type) {
//	case upstream.Unsent:   // no byte went out: another server may have it
//	case upstream.NotRun:   // the server says so: another server may have it
//	case upstream.Lost:     // it may have run
//	case upstream.Answered: // read r.Answer.Body, then r.Answer.Close
//	}
//
// net/http's client is not used because it sends some requests again by itself when
// a connection breaks. An answer is handed out only if it names the request and, for
// a success, bears the server's seal. Bytes that nobody asked for end a connection.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/protocol"
)

// Request is a request for a server. Header is sent as it stands and must not hold
// headers of a single connection.
type Request struct {
	ID         string // answers must name it
	Method     string
	Target     string // path and query as the caller sent them
	Host       string
	Header     http.Header
	Body       []byte
	Idempotent bool      // false: only connections that are surely alive are used again
	SendBefore time.Time // it must not be sent later than this; zero: whenever that is
	// BeforeSend is asked once a connection is there, which may take a second: with an error the
	// request is not sent. nil: it may be.
	BeforeSend func() error
}

// ErrTooLate is why a request was not sent: its time to leave had passed.
var ErrTooLate = errors.New("upstream: too late to be sent")

// Result is what is known of a request after it was sent.
type Result interface{ result() }

// Unsent means that no byte of the request reached the server.
type Unsent struct{ Err error }

// NotExecuted means that the server states it has not run the request.
type NotExecuted struct {
	Status        int
	WrongInstance bool // the address belongs to another server now
}

// Indeterminate means that the request may have run and no usable answer came. Broken tells that the
// connection ended, as against an answer that is none.
type Indeterminate struct {
	Err              error
	ConnectionFailed bool
}

// Responded holds the head of a usable answer.
type Responded struct{ Response *Response }

func (Unsent) result()        {}
func (NotExecuted) result()   {}
func (Indeterminate) result() {}
func (Responded) result()     {}

// Response is a server's answer. Body returns io.EOF only at its true end.
type Response struct {
	Status int
	Header http.Header // without headers of a single connection
	Length int64       // of the body; -1: unknown
	Body   io.Reader

	conn     *conn
	pool     *Pool
	server   string
	written  <-chan error
	stop     func() bool
	reusable bool
	whole    bool
}

// Close ends the exchange. The connection is kept only if the answer was read to its
// end and nothing came after it; otherwise it is closed, which stops the server's
// work.
func (a *Response) Close() {
	if !a.stop() {
		a.conn.Close() // the context ended: its closing may still be under way
		return
	}
	if !a.whole || !a.reusable || !a.sent() || a.conn.reader.Buffered() > 0 {
		a.conn.Close()
		return
	}
	a.pool.put(a.server, a.conn)
}

// sent tells whether the whole request was written.
func (a *Response) sent() bool {
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// wholeReader notes the body's true end.
type wholeReader struct {
	io.Reader
	answer *Response
}

func (r wholeReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF {
		r.answer.whole = true
	}
	return n, err
}

// Sizes and times of an exchange.
const (
	// A body up to this size is written before the answer is read; it fits into any
	// socket buffer. A longer one is written beside, since a server may answer early.
	smallBody = 8 << 10
	// A server's interim answers (1xx) before the real one.
	mostInterim = 8
)

// Send sends a request to a server and waits for the head of the answer. When ctx
// ends, the connection is closed.
func (p *Pool) Send(ctx context.Context, s catalog.Server, r *Request) Result {
	c, err := p.get(ctx, s, r.Idempotent)
	if err != nil {
		return Unsent{Err: err}
	}
	if !r.SendBefore.IsZero() && time.Now().After(r.SendBefore) {
		p.put(s.ID, c)
		return Unsent{Err: ErrTooLate}
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			p.put(s.ID, c)
			return Unsent{Err: err}
		}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	written := c.send(r)
	response, err := c.head(r)
	if err != nil {
		stop()
		c.Close()
		if silent(ctx, err) {
			p.drop(s.ID)
		}
		return Indeterminate{Err: errors.CombineErrors(context.Cause(ctx), err), ConnectionFailed: true}
	}
	return p.judge(c, s, r, response, written, stop)
}

// silent tells whether a connection gave no sign of life to the end. Others that were open
// beside it may have gone silent with it, which shows only when they are used.
func silent(ctx context.Context, err error) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
}

// Signal is what an answer says of its server, beside the request.
type Signal struct {
	Status  int
	Leaving bool          // the server takes no new work
	Backoff time.Duration // it wants nothing from this gateway for so long; 0: it did not say so
}

// signalOf returns what an answer says of a server. ok is false if it says nothing, or is not
// surely that server's: its request was for that server only, so whoever answers it, but for
// a refusal as another one, is that one. An answer that could not be handed out says nothing
// of its server either.
func signalOf(s catalog.Server, r *Request, status int, told protocol.Response) (g Signal, ok bool) {
	switch {
	case told.RequestID == "" || told.RequestID != r.ID, status == http.StatusMisdirectedRequest:
		return g, false
	case told.Server != "" && told.Server != s.Name():
		return g, false
	case status < http.StatusMultipleChoices && !told.Sealed:
		return g, false
	}
	return Signal{Status: status, Leaving: told.Leaving, Backoff: told.Backoff}, told.Leaving || told.Backoff > 0
}

// judge turns the head of an answer into a result.
func (p *Pool) judge(c *conn, s catalog.Server, r *Request, response *http.Response, written <-chan error, stop func() bool) Result {
	a := &Response{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		conn: c, pool: p, server: s.ID, written: written, stop: stop,
		reusable: !response.Close && response.ProtoAtLeast(1, 1),
	}
	a.Body = wholeReader{response.Body, a}
	c.lifetime = keepAlive(response.Header)
	told := p.codec.Response(response.StatusCode, response.Header)
	RemoveHopByHopHeaders(a.Header)
	if w, ok := signalOf(s, r, response.StatusCode, told); ok && p.OnSignal != nil {
		p.OnSignal(s, w)
	}
	switch {
	case told.RequestID != "" && told.RequestID != r.ID:
		a.Close()
		return Indeterminate{Err: errors.Newf("upstream: server %s answered request %s in place of %s", s.ID, told.RequestID, r.ID)}
	case told.NotExecuted:
		discard(a)
		return NotExecuted{Status: response.StatusCode, WrongInstance: response.StatusCode == http.StatusMisdirectedRequest}
	case response.StatusCode < 300 && (!told.Sealed || told.RequestID == ""):
		a.Close()
		return Indeterminate{Err: errors.Newf("upstream: server %s: success without seal or request id", s.ID)}
	case response.StatusCode < 300 && response.Header.Get("Content-Encoding") != "":
		a.Close()
		return Indeterminate{Err: errors.Newf("upstream: server %s encoded a body that was asked for plain", s.ID)}
	}
	return Responded{Response: a}
}

// The body of an answer that is not handed on is read up to this size, so that its
// connection can be kept.
const mostDiscarded = 16 << 10

// discard reads a short body that nobody needs and closes the exchange.
func discard(a *Response) {
	if a.Length >= 0 && a.Length <= mostDiscarded {
		_, err := io.Copy(io.Discard, a.Body)
		a.whole = a.whole && err == nil
	}
	a.Close()
}

// send writes the request; the channel holds the error, or nil, when all is written.
func (c *conn) send(r *Request) <-chan error {
	written := make(chan error, 1)
	head := encodeHead(r)
	if len(r.Body) <= smallBody {
		_, err := c.Write(append(head, r.Body...))
		written <- err
		return written
	}
	go func() {
		buffers := net.Buffers{head, r.Body}
		_, err := buffers.WriteTo(c.Conn)
		written <- err
	}()
	return written
}

// encodeHead writes the request line and the headers.
func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// The errors of a bytes.Buffer are always nil.
	_ = r.Header.WriteSubset(&b, map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true})
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// head reads the head of the answer, past interim ones.
func (c *conn) head(r *Request) (*http.Response, error) {
	for range mostInterim {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, errors.Wrap(err, "upstream: read answer")
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("upstream: server switches protocols")
		}
	}
	return nil, errors.New("upstream: too many interim answers")
}

// keepAlive returns how long the server keeps the connection idle; 0: not told.
func keepAlive(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// hopHeaders concern a single connection (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHopHeaders deletes the headers that concern a single connection.
func RemoveHopByHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// conn is a connection to a server.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	lifetime time.Duration // how long the server keeps it idle; 0: not told
	idle     time.Time     // since when it is idle
}
