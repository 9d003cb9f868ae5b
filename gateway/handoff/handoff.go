// Package handoff carries callers' connections from a gateway that has no processor for
// them to another one, which serves them as its own. Nothing of a request is read on the
// way: the bytes of all connections between two gateways share one TCP connection
// (yamux), so that an event costs the first gateway one write and a part of a read.
//
// # Usage
//
//	c := handoff.NewCarrier()
//	defer c.Close()
//	err := c.Carry(ctx, "10.1.0.34:7400", conn) // until the connection has ended
//
// and at the other gateway, with a connection that asked for [Path] and was hijacked:
//
//	l := handoff.NewListener(address)
//	go server.Serve(l)
//	err := l.Link(ctx, hijacked) // until the link has ended
//
// A link that breaks takes its connections along, as a gateway that dies does. A caller
// that has had no byte of an answer yet is told so (502), since its request may have run.
package handoff

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"opalbridge.dev/gateway/upstream"
)

// Path is what a gateway asks another one for to open a link, with [Protocol] as the
// upgrade it wants.
const (
	Path     = "/callers"
	Protocol = "opalbridge-callers"
)

// Sizes and times of links.
const (
	// A link that does not come up in this time is given up: within a hall the way there
	// and back takes less than a millisecond.
	linkTimeout = 300 * time.Millisecond
	// After a link could not be opened, none to the same gateway is tried for so long.
	linkRest = time.Second
	// Connections of a link that the other gateway has not taken yet.
	linkBacklog = 256
	// A stream that one side has closed is forgotten by it after this time.
	closedFor = 5 * time.Second
	// Answers are passed on in pieces of this size: a few events.
	answerPiece = 4 << 10
	// Requests in larger ones: most prompts of 17,000 tokens are one or two, which takes
	// six system calls in place of sixteen.
	requestPiece = 16 << 10
)

// linkSilence finds links that have gone silent.
var linkSilence = upstream.KeepAlive{
	UserTimeout: 1500 * time.Millisecond, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3,
}

func linkConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.EnableKeepAlive = false // the kernel's probes do it (linkSilence)
	c.ConnectionWriteTimeout = 2 * time.Second
	c.AcceptBacklog = linkBacklog
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = closedFor
	return c
}

// ErrNotForwarded means that no byte of the connection was passed on, and the caller has
// got no answer: it can still be served in another way.
var ErrNotForwarded = errors.New("handoff: no link")

// Forwarder carries connections to other gateways. It is safe for use by several
// goroutines.
type Forwarder struct {
	mutex  sync.Mutex
	links  map[string]*link // by address
	closed bool
}

// NewForwarder returns a carrier without links.
func NewForwarder() *Forwarder { return &Forwarder{links: map[string]*link{}} }

// link is the way to one gateway.
type link struct {
	mutex   sync.Mutex // held while it is opened
	session *yamux.Session
	failed  time.Time
}

// Close breaks all links, and so the connections that are being carried.
func (c *Forwarder) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for _, l := range c.links {
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

// Carry passes a caller's connection on to the gateway at an address until it has ended,
// and closes it. With ErrNotCarried it is still open and untouched.
func (c *Forwarder) Carry(ctx context.Context, address string, conn net.Conn) error {
	stream, err := c.open(ctx, address)
	if err != nil {
		return errors.CombineErrors(ErrNotForwarded, err)
	}
	e := exchange{caller: conn, stream: stream}
	e.run()
	return nil
}

// open opens a stream to a gateway.
func (c *Forwarder) open(ctx context.Context, address string) (*yamux.Stream, error) {
	c.mutex.Lock()
	l := c.links[address]
	if l == nil {
		l = &link{}
		c.links[address] = l
	}
	closed := c.closed
	c.mutex.Unlock()
	if closed {
		return nil, errors.New("handoff: closed")
	}
	session, err := l.ready(ctx, address)
	if err != nil {
		return nil, err
	}
	return session.OpenStream()
}

// ready returns the link's session, which may have to be opened.
func (l *link) ready(ctx context.Context, address string) (*yamux.Session, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.session != nil && !l.session.IsClosed() {
		return l.session, nil
	}
	if time.Since(l.failed) < linkRest {
		return nil, errors.Newf("handoff: link to %s failed a moment ago", address)
	}
	session, err := dial(ctx, address)
	if err != nil {
		l.failed = time.Now()
		return nil, err
	}
	l.session = session
	return session, nil
}

// dial opens a link.
func dial(ctx context.Context, address string) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	d := linkSilence.Dialer()
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
		return nil, errors.Wrapf(err, "handoff: ask %s for a link", address)
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "handoff: link to %s", address)
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil, errors.Newf("handoff: %s opens no link: status %d", address, response.StatusCode)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, errors.Wrap(err, "handoff: open link")
	}
	session, err := yamux.Client(&gathered{Conn: conn}, linkConfig())
	return session, errors.Wrap(err, "handoff: open link")
}

// CloseChecker is a connection that can tell, without reading, whether its caller has closed it.
// It is looked at before each piece of a request goes on, so that a request whose caller
// left while it lay here is never passed on whole.
type CloseChecker interface{ Left() bool }

// exchange passes bytes between a caller and a stream.
type exchange struct {
	caller net.Conn
	stream *yamux.Stream
	asked  bool // bytes of a request were passed on
}

var (
	answerPieces  = sync.Pool{New: func() any { return new([answerPiece]byte) }}
	requestPieces = sync.Pool{New: func() any { return new([requestPiece]byte) }}
)

// run passes bytes on until both ways have ended.
func (e *exchange) run() {
	up := make(chan struct{})
	go func() {
		e.up()
		close(up)
	}()
	answered := e.down()
	// Whoever reads the caller is woken, and says whether there was a request.
	_ = e.caller.SetReadDeadline(time.Unix(1, 0))
	<-up
	if e.asked && !answered && !e.left() {
		// A caller that has gone has nobody to be told.
		_, _ = io.WriteString(e.caller, brokenAnswer)
	}
	e.caller.Close()
	e.stream.Close()
}

// brokenAnswer is for a request that was passed on, of which nothing was heard.
const brokenAnswer = "HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// left tells whether the caller has closed its side.
func (e *exchange) left() bool {
	var one [1]byte
	if err := e.caller.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		return true
	}
	_, err := e.caller.Read(one[:])
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

// up passes on what the caller sends; its close closes the stream.
func (e *exchange) up() {
	piece := requestPieces.Get().(*[requestPiece]byte)
	defer requestPieces.Put(piece)
	for {
		n, err := e.caller.Read(piece[:])
		if l, ok := e.caller.(CloseChecker); ok && n > 0 && l.Left() {
			e.stream.Close()
			return
		}
		if n > 0 {
			e.asked = true
			if _, err := e.stream.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			e.stream.Close()
			return
		}
	}
}

// down passes on what the other gateway answers. It returns whether there was anything.
func (e *exchange) down() (answered bool) {
	piece := answerPieces.Get().(*[answerPiece]byte)
	defer answerPieces.Put(piece)
	for {
		n, err := e.stream.Read(piece[:])
		if n > 0 {
			answered = true
			if _, err := e.caller.Write(piece[:n]); err != nil {
				return answered
			}
		}
		if err != nil {
			return answered
		}
	}
}
