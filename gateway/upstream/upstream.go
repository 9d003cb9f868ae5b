// Package upstream sends requests to backend servers over HTTP/1.1 and reports exactly what is
// known about each: that it was not sent, that the server did not run it, that its outcome is
// unknown, or its response.
//
// # Usage
//
//	p := upstream.NewPool(codec)
//	switch r := p.Send(ctx, server, request).(type) {
//	case upstream.Unsent:        // no byte was sent: another server may get it
//	case upstream.NotExecuted:   // the server says so: another server may get it
//	case upstream.Indeterminate: // it may have run
//	case upstream.Responded:     // read r.Response.Body, then call r.Response.Close
//	}
//
// The client of net/http is not used because it retries some requests on its own when a
// connection breaks. A response is returned only if it names the request and, for a success,
// carries the server's seal. A connection that has received unsolicited bytes is not reused.
//
// A server may send anything, without end. Heads are bounded in size, and long ones by the memory that
// is left for them; bodies are read by the caller of Send. Bytes that are no answer give an
// [InvalidError]; those after a whole answer are reported to [Pool.OnSurplus].
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/engine/httpstrict"
	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/memory"
	"opalbridge.dev/gateway/protocol"
)

// Request is a request to a server. Header is sent unchanged and must not contain hop-by-hop
// headers.
type Request struct {
	ID         string // responses must carry it
	Method     string
	Target     string // path and query as sent by the caller
	Host       string
	Header     http.Header
	Body       []byte
	Idempotent bool      // false: must not run twice, so only recently used connections are reused
	SendBefore time.Time // latest time to send it; zero: no limit
	// BeforeSend, if not nil, is called once a connection is available, which may take a second.
	// If it returns an error, the request is not sent.
	BeforeSend func() error
	// ConfirmLifetime, if not nil, is called before the request is sent over a connection of which
	// it is not known whether it leads to the lifetime of the server that it was opened for. If it
	// returns an error, the request is not sent.
	ConfirmLifetime func(ctx context.Context) error
}

// ErrTooLate reports that a request was not sent because its SendBefore time had passed.
var ErrTooLate = errors.New("upstream: too late to be sent")

// ErrConnectionEnded reports that a request was not sent because the server had closed the new connection, or had
// sent something on it, before the request.
var ErrConnectionEnded = errors.New("upstream: the server has ended the new connection before the request was sent")

// Result is what is known about a request after Send.
type Result interface{ result() }

// Unsent means that no byte of the request was sent.
type Unsent struct{ Err error }

// NotExecuted means that the server states that it did not run the request.
type NotExecuted struct {
	Status        int
	WrongInstance bool // the address now belongs to another server
}

// Indeterminate means that the request may have run and no usable response arrived.
// ConnectionFailed is set if the connection broke, and not if an unusable response was received.
type Indeterminate struct {
	Err              error // an [InvalidError] if the server has sent bytes that are no answer
	ConnectionFailed bool
}

// Responded holds the head of a usable response.
type Responded struct{ Response *Response }

func (Unsent) result()        {}
func (NotExecuted) result()   {}
func (Indeterminate) result() {}
func (Responded) result()     {}

// Response is a server's response. Body returns io.EOF only at its true end.
type Response struct {
	Status int
	Header http.Header // without hop-by-hop headers
	Length int64       // of the body; -1: unknown
	Body   io.Reader
	// Unframed reports that the body has neither a length nor chunks and ends with the connection. Its
	// end looks the same whether the server has finished or has crashed.
	Unframed bool

	conn     *conn
	pool     *Pool
	head     *memory.Reservation
	server   string
	written  <-chan error
	stop     func() bool
	reusable bool
	complete bool
}

// Close ends the exchange. The connection is kept only if the response was read to its end and
// nothing followed it; otherwise it is closed, which stops the server's work.
func (r *Response) Close() {
	r.head.Release()
	if !r.stop() {
		r.conn.Close() // ctx has ended: its closing of the connection may still be in progress
		return
	}
	surplus := r.complete && r.conn.reader.Buffered() > 0
	if !r.complete || !r.reusable || !r.requestWritten() || surplus {
		r.conn.Close()
		if surplus {
			r.pool.reportSurplus(r.server)
		}
		return
	}
	r.pool.put(r.server, r.conn)
}

// LifetimeConfirmed reports whether the connection is known to lead to the lifetime of the server
// that it was opened for.
func (r *Response) LifetimeConfirmed() bool { return r.conn.confirmed.Load() }

// ConfirmLifetime records that it does.
func (r *Response) ConfirmLifetime() { r.conn.confirmed.Store(true) }

// requestWritten reports whether the whole request was written.
func (r *Response) requestWritten() bool {
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

// bodyReader records that the body was read to its true end, and tells bytes that are no body from a
// connection that broke.
type bodyReader struct {
	io.Reader
	response *Response
	parsed   *http.Response // gets the trailers at the end
}

func (r bodyReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	switch {
	case err == io.EOF:
		if faulty := httpstrict.CheckFields(r.parsed.Trailer); faulty != nil {
			return n, NewInvalidError(InvalidBody, faulty)
		}
		r.response.complete = true
	case err != nil && r.response.conn.limiter.err == nil:
		err = NewInvalidError(InvalidBody, err)
	}
	return n, err
}

// Limits of an exchange.
const (
	// A body up to this size is written before the response is read; it fits into any socket
	// buffer. A larger one is written concurrently, since a server may respond early.
	maxInlineBody = 8 << 10
	// Interim responses (1xx) accepted before the final one.
	maxInterimResponses = 8
)

// Send sends a request to a server and waits for the head of the response. When ctx ends, the
// connection is closed.
func (p *Pool) Send(ctx context.Context, s catalog.Server, r *Request) Result {
	c, err := p.acquire(ctx, s, r)
	if err != nil {
		return Unsent{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	written := c.writeRequest(r)
	head := p.Memory.NewReservation(s.ID, coveredHeadMemory)
	response, err := c.readResponseHead(r, p.maxHeadBytes(), head)
	if err != nil {
		head.Release()
		stop()
		c.Close()
		if timedOut(ctx, err) {
			p.closeIdle(s.ID)
		}
		return Indeterminate{Err: errors.CombineErrors(context.Cause(ctx), err), ConnectionFailed: connectionFailed(err)}
	}
	return p.classify(c, s, r, response, head, written, stop)
}

// acquire returns a connection over which the request may be sent now. The checks before a request take time; what
// arrives on the connection meanwhile would be met only after the write, when the request may have run.
func (p *Pool) acquire(ctx context.Context, s catalog.Server, r *Request) (*conn, error) {
	for {
		c, err := p.get(ctx, s, r.Idempotent)
		if err != nil {
			return nil, err
		}
		kept := !c.idleSince.IsZero()
		if err := p.check(ctx, c, s, r); err != nil {
			return nil, err
		}
		state := c.idleState()
		if state == idleOpen {
			return c, nil
		}
		if state == idleSurplus {
			p.reportSurplus(s.ID)
		}
		c.Close()
		if !kept {
			return nil, ErrConnectionEnded
		}
	}
}

// check makes the checks before a request is sent.
func (p *Pool) check(ctx context.Context, c *conn, s catalog.Server, r *Request) error {
	if !r.SendBefore.IsZero() && time.Now().After(r.SendBefore) {
		p.put(s.ID, c)
		return ErrTooLate
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			p.put(s.ID, c)
			return err
		}
	}
	if err := c.confirm(ctx, r); err != nil {
		c.Close()
		return err
	}
	return nil
}

// confirm confirms where the connection leads, if the request asks for that.
func (c *conn) confirm(ctx context.Context, r *Request) error {
	if r.ConfirmLifetime == nil || c.confirmed.Load() {
		return nil
	}
	if err := r.ConfirmLifetime(ctx); err != nil {
		return err
	}
	c.confirmed.Store(true)
	return nil
}

// connectionFailed reports whether a head could not be read because of its connection, and not because of
// what was read.
func connectionFailed(err error) bool {
	var invalid *InvalidError
	return !errors.As(err, &invalid) && !errors.Is(err, memory.ErrNoRoom)
}

// timedOut reports whether a connection showed no sign of life until it was given up. Other
// connections that were open at the same time may be dead too, which would only show on use.
func timedOut(ctx context.Context, err error) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
}

// Signal is what a response says about its server rather than about the request.
type Signal struct {
	Status  int
	Leaving bool          // the server accepts no new work
	Backoff time.Duration // it wants no requests from this gateway for this long; 0: not stated
}

// serverSignal returns what a response says about a server. ok is false if it says nothing, or
// if it may come from another server. The request was meant for this server only, so whoever
// responds is that server, unless it refuses the request as misdirected. A response that could
// not be returned to the caller says nothing about its server either.
func serverSignal(s catalog.Server, r *Request, status int, info protocol.Response) (sig Signal, ok bool) {
	switch {
	case info.RequestID == "" || info.RequestID != r.ID, status == http.StatusMisdirectedRequest:
		return sig, false
	case info.Server != "" && info.Server != s.Name():
		return sig, false
	case status < http.StatusMultipleChoices && !info.Sealed:
		return sig, false
	}
	return Signal{Status: status, Leaving: info.Leaving, Backoff: info.Backoff}, info.Leaving || info.Backoff > 0
}

// classify turns the head of a response into a result.
func (p *Pool) classify(c *conn, s catalog.Server, r *Request, response *http.Response, head *memory.Reservation, written <-chan error, stop func() bool) Result {
	resp := &Response{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		conn: c, pool: p, head: head, server: s.ID, written: written, stop: stop,
		reusable: !response.Close && response.ProtoAtLeast(1, 1),
		Unframed: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
	}
	resp.Body = bodyReader{response.Body, resp, response}
	c.idleTimeout = keepAliveTimeout(response.Header)
	info := p.codec.Response(response.StatusCode, response.Header)
	RemoveHopByHopHeaders(resp.Header)
	if sig, ok := serverSignal(s, r, response.StatusCode, info); ok && p.OnSignal != nil {
		p.OnSignal(s, sig)
	}
	switch {
	case info.RequestID != r.ID:
		resp.Close()
		return Indeterminate{Err: &InvalidError{InvalidOtherRequest, fmt.Sprintf("status %d, which names request %q", response.StatusCode, shorten(info.RequestID))}}
	case info.NotExecuted:
		discardAndClose(resp)
		return NotExecuted{Status: response.StatusCode, WrongInstance: response.StatusCode == http.StatusMisdirectedRequest}
	case response.StatusCode < 300 && !info.Sealed:
		resp.Close()
		return Indeterminate{Err: &InvalidError{InvalidUnsealed, "a success without a seal"}}
	case response.StatusCode < 300 && response.Header.Get("Content-Encoding") != "":
		resp.Close()
		return Indeterminate{Err: &InvalidError{InvalidEncoding, "a content encoding that was not requested"}}
	}
	return Responded{Response: resp}
}

// Up to this size, the body of a response that is not returned is read to its end, so that the
// connection can be reused.
const maxDiscardSize = 16 << 10

// discardAndClose reads a short body that is not needed and closes the exchange.
func discardAndClose(resp *Response) {
	if resp.Length >= 0 && resp.Length <= maxDiscardSize {
		_, err := io.Copy(io.Discard, resp.Body)
		resp.complete = resp.complete && err == nil
	}
	resp.Close()
}

// writeRequest writes the request. The returned channel receives the error, or nil, once
// everything has been written.
func (c *conn) writeRequest(r *Request) <-chan error {
	written := make(chan error, 1)
	head := encodeHead(r)
	if len(r.Body) <= maxInlineBody {
		_, err := c.Write(append(head, r.Body...))
		written <- err
		return written
	}
	go func() {
		_, err := c.WriteBuffers(net.Buffers{head, r.Body})
		written <- err
	}()
	return written
}

// expectedHead is the size of most heads of requests, in bytes.
const expectedHead = 1 << 10

// encodeHead encodes the request line and the headers.
func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(expectedHead + min(len(r.Body), maxInlineBody))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writes to a bytes.Buffer never fail.
	_ = r.Header.WriteSubset(&b, map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true})
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponseHead reads the head of the final response, skipping interim ones. All of them together may
// take up to limit bytes.
func (c *conn) readResponseHead(r *Request, limit int, reservation *memory.Reservation) (*http.Response, error) {
	c.limiter.begin(limit, reservation)
	defer c.limiter.end()
	c.BeginResponse()
	for range maxInterimResponses {
		c.limiter.nextHead()
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, c.limiter.headError(err)
		}
		if err := errors.CombineErrors(httpstrict.CheckStatus(response.StatusCode), c.HeadError()); err != nil {
			return nil, NewInvalidError(InvalidHead, err)
		}
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, &InvalidError{InvalidHead, "a switch of protocols that was not requested"}
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
	return nil, &InvalidError{InvalidHead, "too many interim responses"}
}

// keepAliveTimeout returns how long the server keeps an idle connection open; 0: not stated.
func keepAliveTimeout(h http.Header) time.Duration {
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

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHopHeaders deletes the headers that apply to a single connection.
func RemoveHopByHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// conn is a connection to a server.
type conn struct {
	*httpstrict.Conn
	limiter     *headLimiter  // reads from Conn
	reader      *bufio.Reader // reads from limiter
	idleTimeout time.Duration // announced by the server; 0: not stated
	idleSince   time.Time     // when the connection became idle
	confirmed   atomic.Bool   // it leads to the lifetime that it was opened for
}
