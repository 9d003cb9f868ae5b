// Package handoff forwards callers' connections from a gateway that is short of processor time
// to another one, which serves them as its own. The first gateway does not parse the requests:
// the bytes of all connections between two gateways share one TCP connection (yamux), so that an
// event costs the first gateway one write and part of a read.
//
// # Usage
//
//	f := handoff.NewForwarder()
//	defer f.Close()
//	read, err := f.Forward(ctx, "10.1.0.34:7400", conn) // until the connection has ended
//
// At the other gateway, with a hijacked connection that requested [Path]:
//
//	l := handoff.NewListener(address)
//	go server.Serve(l)
//	err := l.ServeLink(ctx, hijacked) // until the link has ended
//
// A link that breaks ends its connections, just as a gateway that dies does. A caller that has
// not received any byte of a response gets a 502, since its request may have run. A connection of
// which nothing has been forwarded by then is returned ([ErrNotForwarded]).
package handoff

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"opalbridge.dev/engine/httpstrict"
	"opalbridge.dev/gateway/upstream"
)

// Path is the path that a gateway requests from another one to open a link, with [Protocol] as
// the requested upgrade.
const (
	Path     = "/callers"
	Protocol = "opalbridge-callers"
)

// Sizes and timeouts of links.
const (
	// Opening a link fails after this time: within a hall the round trip takes less than a
	// millisecond, between halls of a region less than three.
	linkDialTimeout = 300 * time.Millisecond
	// After a failure to open a link, no other attempt to the same gateway is made for this
	// long.
	linkRetryDelay = time.Second
	// Connections of a link that the other gateway has not accepted yet.
	linkAcceptBacklog = 256
	// The head of the answer to the request for a link, in bytes.
	maxLinkHead = 4 << 10
	// A stream closed by one side only is dropped after this time.
	streamCloseTimeout = 5 * time.Second
	// A stream that is reset this soon after it was opened has not been accepted: an accepted one is reset
	// streamCloseTimeout after its close at the earliest.
	streamRefusalTime = streamCloseTimeout - time.Second
	// Responses are copied in chunks of this size: a few events.
	responseBufferSize = 4 << 10
	// Requests are copied in larger chunks: most prompts of 17,000 tokens take one or two, which
	// needs six system calls instead of sixteen.
	requestBufferSize = 16 << 10
)

// linkKeepAlive detects dead links.
var linkKeepAlive = upstream.KeepAlive{
	UserTimeout: 1500 * time.Millisecond, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3,
}

func linkConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.EnableKeepAlive = false // the kernel's probes do this (linkKeepAlive)
	c.ConnectionWriteTimeout = 2 * time.Second
	c.AcceptBacklog = linkAcceptBacklog
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = streamCloseTimeout
	return c
}

// ErrNotForwarded means that no byte of the connection was forwarded and the caller has received
// no response, so the connection can still be served in another way.
var ErrNotForwarded = errors.New("handoff: connection not forwarded")

// Forwarder forwards connections to other gateways. It is safe for concurrent use by multiple
// goroutines.
type Forwarder struct {
	mutex  sync.Mutex
	links  map[string]*link // by address
	closed bool
}

// NewForwarder returns a forwarder without links.
func NewForwarder() *Forwarder { return &Forwarder{links: map[string]*link{}} }

// link is the connection to one gateway.
type link struct {
	mutex    sync.Mutex // held while the link is opened
	session  *yamux.Session
	failedAt time.Time
}

// Close breaks all links, and with them the connections being forwarded.
func (f *Forwarder) Close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closed = true
	for _, l := range f.links {
		l.close()
	}
}

func (l *link) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.session != nil {
		l.session.Close()
	}
}

// Forward forwards a caller's connection to the gateway at an address until it has ended, and
// closes it. If it returns ErrNotForwarded, the connection is still open, and read is what was
// read from it.
func (f *Forwarder) Forward(ctx context.Context, address string, conn net.Conn) (read []byte, err error) {
	s, err := f.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	return s.Forward(conn)
}

// Stream is open to a gateway and forwards one connection.
type Stream struct {
	stream            *yamux.Stream
	opened            time.Time
	request, response atomic.Int64 // bytes that have been forwarded
}

// Forwarded returns the number of bytes of a request and of its response that have been forwarded. It may
// be called while Forward runs.
func (s *Stream) Forwarded() (request, response int64) {
	return s.request.Load(), s.response.Load()
}

// Open opens a stream to the gateway at an address. Its error is ErrNotForwarded.
func (f *Forwarder) Open(ctx context.Context, address string) (*Stream, error) {
	opened := time.Now()
	stream, err := f.openStream(ctx, address)
	if err != nil {
		return nil, errors.CombineErrors(ErrNotForwarded, err)
	}
	return &Stream{stream: stream, opened: opened}, nil
}

// Forward forwards a caller's connection until it has ended, and closes it. It must be called once.
// If the stream ends before anything has been forwarded, Forward returns ErrNotForwarded. The
// connection is still open then, and read is what was read from it.
func (s *Stream) Forward(conn net.Conn) (read []byte, err error) {
	t := tunnel{caller: conn, Stream: s}
	return t.run()
}

// openStream opens a stream to a gateway.
func (f *Forwarder) openStream(ctx context.Context, address string) (*yamux.Stream, error) {
	f.mutex.Lock()
	l := f.links[address]
	if l == nil {
		l = &link{}
		f.links[address] = l
	}
	closed := f.closed
	f.mutex.Unlock()
	if closed {
		return nil, errors.New("handoff: forwarder is closed")
	}
	session, err := l.openSession(ctx, address)
	if err != nil {
		return nil, err
	}
	return session.OpenStream()
}

// openSession returns the session of the link, opening it if necessary.
func (l *link) openSession(ctx context.Context, address string) (*yamux.Session, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.session != nil && !l.session.IsClosed() {
		return l.session, nil
	}
	if time.Since(l.failedAt) < linkRetryDelay {
		return nil, errors.Newf("handoff: recent attempt to open a link to %s failed", address)
	}
	session, err := dial(ctx, address)
	if err != nil {
		l.failedAt = time.Now()
		return nil, err
	}
	l.session = session
	return session, nil
}

// dial opens a link.
func dial(ctx context.Context, address string) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, linkDialTimeout)
	defer cancel()
	d := linkKeepAlive.Dialer()
	conn, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "handoff: connect to %s", address)
	}
	session, err := upgrade(ctx, address, conn)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return session, nil
}

// upgrade turns a connection to another gateway into a link.
func upgrade(ctx context.Context, address string, conn net.Conn) (*yamux.Session, error) {
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "handoff: open link")
	}
	request := "GET " + Path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: Upgrade\r\nUpgrade: " + Protocol + "\r\n\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		return nil, errors.Wrapf(err, "handoff: request a link from %s", address)
	}
	strict := httpstrict.NewConn(conn)
	strict.BeginResponse()
	response, err := http.ReadResponse(bufio.NewReader(io.LimitReader(strict, maxLinkHead)), nil)
	if err = errors.CombineErrors(err, strict.HeadError()); err != nil {
		return nil, errors.Wrapf(err, "handoff: link to %s", address)
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil, errors.Newf("handoff: %s refused to open a link: status %d", address, response.StatusCode)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, errors.Wrap(err, "handoff: open link")
	}
	session, err := yamux.Client(&coalescingConn{Conn: conn}, linkConfig())
	return session, errors.Wrap(err, "handoff: open link")
}

// CloseChecker is a connection that can tell, without reading, whether its caller has closed it.
// It is checked before each chunk of a request is forwarded, so that a request whose caller
// disconnected while it was queued here is never forwarded in full.
type CloseChecker interface{ CallerClosed() bool }

// tunnel copies bytes between a caller and a stream.
type tunnel struct {
	*Stream
	caller    net.Conn
	progress  atomic.Int32 // a tunnelProgress
	responded atomic.Bool  // the response direction has ended

	// Written by the goroutine that reads from the caller.
	read        []byte // not forwarded, since the stream had ended
	unsent      bool   // bytes of the request could not be forwarded
	callerEnded bool   // the caller has closed, or its connection is broken

	refused bool // the response is notRunResponse; written by the goroutine that reads from the stream
}

// tunnelProgress is how far a tunnel has come. The first goroutine that moves it on decides.
type tunnelProgress = int32

const (
	awaitsRequest tunnelProgress = iota // nothing of a request has been forwarded
	requestSent                         // bytes of a request were forwarded, or are being forwarded
	endedUnopened                       // the stream has ended, and nothing will be forwarded
)

var (
	responseBuffers = sync.Pool{New: func() any { return new([responseBufferSize]byte) }}
	requestBuffers  = sync.Pool{New: func() any { return new([requestBufferSize]byte) }}
)

// run copies bytes until both directions have ended.
func (t *tunnel) run() (read []byte, err error) {
	requestDone := make(chan struct{})
	go func() {
		t.copyRequest()
		close(requestDone)
	}()
	responded, err := t.copyResponse()
	answer := badGatewayResponse
	if errors.Is(err, yamux.ErrConnectionReset) && time.Since(t.opened) < streamRefusalTime {
		answer = notRunResponse
	}
	t.progress.CompareAndSwap(awaitsRequest, endedUnopened)
	t.responded.Store(true)
	// Unblocks the goroutine that reads from the caller, which looks at responded after it has reset a deadline.
	_ = t.caller.SetReadDeadline(time.Unix(1, 0))
	_ = t.stream.SetWriteDeadline(time.Unix(1, 0)) // the other gateway may no longer read the request
	<-requestDone
	t.stream.Close()
	if t.progress.Load() == endedUnopened && !t.callerEnded {
		return t.read, errors.CombineErrors(ErrNotForwarded, t.caller.SetReadDeadline(time.Time{}))
	}
	switch {
	case t.callerEnded:
	case responded && errors.Is(err, io.EOF) && (t.unsent || t.refused):
		t.linger()
	case !responded && !t.callerClosed():
		_, _ = io.WriteString(t.caller, answer) // the caller may be gone
		t.linger()
	}
	t.caller.Close()
	return nil, nil
}

const (
	// How long the rest of a request is read after an early answer.
	lingerTime = time.Second
	// The same if the link has ended: this process may be about to end.
	shortLingerTime = 100 * time.Millisecond
)

// linger ends the sending direction and reads until the caller closes, for lingerTime at most: closing the
// connection with unread bytes resets it, which may destroy the response on its way.
func (t *tunnel) linger() {
	limit := lingerTime
	if t.stream.Session().IsClosed() {
		limit = shortLingerTime
	}
	w, ok := t.caller.(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil || t.caller.SetReadDeadline(time.Now().Add(limit)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, t.caller) // the caller has its response, whatever ends its request
}

// badGatewayResponse is sent when a request was forwarded and no response came back.
const badGatewayResponse = "HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// callerClosed reports whether the caller has closed its side.
func (t *tunnel) callerClosed() bool {
	var one [1]byte
	if err := t.caller.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		return true
	}
	_, err := t.caller.Read(one[:])
	return err != nil && !isTimeout(err)
}

// copyRequest forwards what the caller sends, and closes the stream when the caller closes.
func (t *tunnel) copyRequest() {
	chunk := requestBuffers.Get().(*[requestBufferSize]byte)
	defer requestBuffers.Put(chunk)
	for {
		n, err := t.caller.Read(chunk[:])
		if l, ok := t.caller.(CloseChecker); ok && n > 0 && l.CallerClosed() {
			t.callerEnded = true
			t.stream.Close()
			return
		}
		if n > 0 && !t.forward(chunk[:n]) {
			return
		}
		if isTimeout(err) {
			// The caller's side has a deadline of its own if its connection is being retired.
			_ = t.caller.SetReadDeadline(time.Time{}) // on a closed connection the next read fails
			if t.responded.Load() {
				return
			}
			continue
		}
		if err != nil {
			t.callerEnded = true
			t.stream.Close()
			return
		}
	}
}

// forward forwards bytes of a request, and reports whether the next ones may be.
func (t *tunnel) forward(b []byte) bool {
	if !t.progress.CompareAndSwap(awaitsRequest, requestSent) && t.progress.Load() == endedUnopened {
		t.read = bytes.Clone(b)
		return false
	}
	n, err := t.stream.Write(b)
	t.request.Add(int64(n))
	t.unsent = err != nil
	return err == nil
}

// isTimeout reports whether a read has ended at its deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// interimResponse is what the serving gateway sends to a caller that waits before it sends the body of its request.
// It sends no other interim response.
const interimResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// copyResponse forwards the other gateway's response. It reports whether there was any of a final one, and
// why it ended.
func (t *tunnel) copyResponse() (responded bool, err error) {
	chunk := responseBuffers.Get().(*[responseBufferSize]byte)
	defer responseBuffers.Put(chunk)
	interim := 0 // bytes of interimResponse that have been forwarded
	for {
		n, err := t.stream.Read(chunk[:])
		if n > 0 && t.progress.CompareAndSwap(awaitsRequest, endedUnopened) {
			return false, nil // the other gateway has ended the connection, and nothing of a request has been forwarded
		}
		if n > 0 {
			t.refused = !responded && string(chunk[:n]) == notRunResponse
			if !responded && n <= len(interimResponse)-interim && interimResponse[interim:interim+n] == string(chunk[:n]) {
				interim += n
			} else {
				responded = true
			}
			written, err := t.caller.Write(chunk[:n])
			t.response.Add(int64(written))
			if err != nil {
				return true, err
			}
		}
		if err != nil {
			return responded || interim%len(interimResponse) != 0, err
		}
	}
}
