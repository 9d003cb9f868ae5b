// Package wire implements the protocol between routers and agents: length-delimited
// protobuf messages over yamux streams on one connection.
//
// A connection has one control stream, opened by the side that dialled. On it both
// sides first send a hello message and then exchange [wirepb.Control] messages.
// Every other stream carries one [wirepb.Call] and its response, so that a slow
// caller blocks only its own stream.
//
// # Usage
//
//	p, err := wire.Connect(ctx, conn, hello)
//	for m := range p.Control() { … }
//	s, err := p.Open()
//	err = s.Write(&wirepb.Call{…})
//
// The package frames messages, counts their bytes and closes the connection to a peer
// that stalls or sends messages that cannot be decoded. It makes no scheduling
// decisions and does no clustering or discovery.
package wire

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"opalbridge.dev/wire/wirepb"
)

const (
	// Version is the protocol version sent in the hello message.
	Version = 1
	// MaxMessage is the size limit in bytes of messages from a peer.
	MaxMessage = 16 << 20
	// maxControlMessage is the size limit in bytes of control messages. The largest
	// of them carries a configuration.
	maxControlMessage = 2 << 20
	// controlQueueSize is the capacity of the queues of control messages to be sent
	// and to be handled. If the outgoing queue is full, the peer has stalled and the
	// connection is closed.
	controlQueueSize = 4096
	helloTimeout     = 5 * time.Second
	writeTimeout     = 10 * time.Second
)

// Errors that callers can distinguish.
var (
	ErrVersion = errors.New("wire: peer uses another protocol version")
	ErrStalled = errors.New("wire: peer does not read its messages")
	ErrClosed  = errors.New("wire: connection closed")
)

// Peer is an established connection to another process.
type Peer struct {
	// Hello is the hello message of the other side.
	Hello *wirepb.Hello

	session  *yamux.Session
	incoming chan *wirepb.Control // if full, the reader blocks and TCP applies backpressure
	outgoing chan *wirepb.Control // if full, the connection is closed; see controlQueueSize
	sent     atomic.Uint64
	received atomic.Uint64
	closing  atomic.Bool
	closed   chan struct{}
	reason   error
}

// Connect performs the handshake as the side that dialled and returns the peer. It
// takes ownership of conn and closes it on error.
func Connect(ctx context.Context, conn net.Conn, hello *wirepb.Hello) (*Peer, error) {
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		return nil, errors.Wrap(err, "wire: open session")
	}
	stream, err := session.OpenStream()
	if err != nil {
		_ = session.Close()
		return nil, errors.Wrap(err, "wire: open control stream")
	}
	return handshake(ctx, session, stream, hello)
}

// Accept performs the handshake as the side that was dialled and returns the peer. It
// takes ownership of conn and closes it on error.
func Accept(ctx context.Context, conn net.Conn, hello *wirepb.Hello) (*Peer, error) {
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		return nil, errors.Wrap(err, "wire: open session")
	}
	waitCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	stream, err := session.AcceptStreamWithContext(waitCtx)
	if err != nil {
		_ = session.Close()
		return nil, errors.Wrap(err, "wire: accept control stream")
	}
	return handshake(ctx, session, stream, hello)
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.KeepAliveInterval = 5 * time.Second
	c.ConnectionWriteTimeout = writeTimeout
	c.AcceptBacklog = 1024
	c.StreamOpenTimeout = 0
	return c
}

func handshake(ctx context.Context, session *yamux.Session, stream *yamux.Stream, hello *wirepb.Hello) (*Peer, error) {
	hello.Version = Version
	control := &Stream{stream: stream, reader: bufio.NewReader(stream)}
	remote, err := exchangeHello(control, hello)
	if err != nil {
		_ = session.Close()
		return nil, err
	}
	p := &Peer{
		Hello:    remote,
		session:  session,
		incoming: make(chan *wirepb.Control, controlQueueSize),
		outgoing: make(chan *wirepb.Control, controlQueueSize),
		closed:   make(chan struct{}),
	}
	go p.readControl(ctx, control)
	go p.writeControl(ctx, control)
	return p, nil
}

func exchangeHello(control *Stream, hello *wirepb.Hello) (*wirepb.Hello, error) {
	_ = control.stream.SetDeadline(time.Now().Add(helloTimeout))
	first := &wirepb.Control{Body: &wirepb.Control_Hello{Hello: hello}}
	if err := control.Write(first); err != nil {
		return nil, err
	}
	var reply wirepb.Control
	if err := control.read(&reply, maxControlMessage); err != nil {
		return nil, errors.Wrap(err, "wire: read hello")
	}
	_ = control.stream.SetDeadline(time.Time{})
	remote := reply.GetHello()
	if remote == nil || remote.Version != Version {
		return nil, errors.Wrapf(ErrVersion, "wire: hello of version %d", remote.GetVersion())
	}
	return remote, nil
}

func (p *Peer) readControl(ctx context.Context, control *Stream) {
	defer close(p.incoming)
	stop := context.AfterFunc(ctx, func() { p.Close(ctx.Err()) })
	defer stop()
	for {
		m := &wirepb.Control{}
		if err := control.read(m, maxControlMessage); err != nil {
			p.Close(err)
			return
		}
		p.received.Add(uint64(proto.Size(m)))
		select {
		case p.incoming <- m:
		case <-p.closed:
			return
		}
	}
}

func (p *Peer) writeControl(ctx context.Context, control *Stream) {
	for {
		select {
		case m := <-p.outgoing:
			p.sent.Add(uint64(proto.Size(m)))
			_ = control.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := control.Write(m); err != nil {
				p.Close(err)
				return
			}
		case <-ctx.Done():
			return
		case <-p.closed:
			return
		}
	}
}

// Control returns the channel of the control messages received from the peer. It is
// closed when the connection ends; Reason then returns the cause.
func (p *Peer) Control() <-chan *wirepb.Control { return p.incoming }

// Send queues a control message. If the queue is full, it closes the connection with
// ErrStalled.
func (p *Peer) Send(m *wirepb.Control) {
	select {
	case p.outgoing <- m:
	default:
		p.Close(ErrStalled)
	}
}

// Open opens a stream for one call.
func (p *Peer) Open() (*Stream, error) {
	s, err := p.session.OpenStream()
	if err != nil {
		return nil, errors.Wrapf(err, "wire: open stream to %s", p.Hello.Node)
	}
	return &Stream{stream: s, reader: bufio.NewReader(s)}, nil
}

// Accept waits for the peer to open a stream.
func (p *Peer) Accept(ctx context.Context) (*Stream, error) {
	s, err := p.session.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, errors.Wrapf(err, "wire: accept stream from %s", p.Hello.Node)
	}
	return &Stream{stream: s, reader: bufio.NewReader(s)}, nil
}

// Close closes the connection with the given reason. Only the first call has an
// effect. Later calls return at once, without waiting for the session to close,
// which can take a while.
func (p *Peer) Close(reason error) {
	if !p.closing.CompareAndSwap(false, true) {
		return
	}
	p.reason = reason
	close(p.closed)
	_ = p.session.Close()
}

// Closed returns a channel that is closed when the connection has ended.
func (p *Peer) Closed() <-chan struct{} { return p.closed }

// Reason returns the reason given to Close, or nil while the connection is open.
func (p *Peer) Reason() error {
	select {
	case <-p.closed:
		return p.reason
	default:
		return nil
	}
}

// ControlBytes returns the number of bytes of control messages sent and received,
// without framing.
func (p *Peer) ControlBytes() (sent, received uint64) {
	return p.sent.Load(), p.received.Load()
}

// Stream carries one call and its response.
type Stream struct {
	stream *yamux.Stream
	reader *bufio.Reader
	mutex  sync.Mutex // guards buffer and serializes writes
	buffer []byte
}

// Write sends one message. It is safe for concurrent use.
func (s *Stream) Write(m proto.Message) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var err error
	s.buffer = s.buffer[:0]
	s.buffer, err = appendDelimited(s.buffer, m)
	if err != nil {
		return errors.Wrap(err, "wire: encode")
	}
	if _, err := s.stream.Write(s.buffer); err != nil {
		return errors.Wrap(err, "wire: write")
	}
	return nil
}

func appendDelimited(b []byte, m proto.Message) ([]byte, error) {
	o := proto.MarshalOptions{}
	b = protowire.AppendVarint(b, uint64(o.Size(m)))
	return o.MarshalAppend(b, m)
}

// Read receives one message of at most MaxMessage bytes.
func (s *Stream) Read(m proto.Message) error { return s.read(m, MaxMessage) }

func (s *Stream) read(m proto.Message, maxSize int64) error {
	return Decode(s.reader, m, maxSize)
}

// Decode reads one length-delimited message of at most maxSize bytes.
func Decode(r *bufio.Reader, m proto.Message, maxSize int64) error {
	o := protodelim.UnmarshalOptions{MaxSize: maxSize}
	if err := o.UnmarshalFrom(r, m); err != nil {
		return errors.Wrap(err, "wire: read")
	}
	return nil
}

// Close closes the stream. The other side reads io.EOF.
func (s *Stream) Close() { _ = s.stream.Close() }

// SetTimeout sets the deadline of all reads and writes to the given time from now.
func (s *Stream) SetTimeout(after time.Duration) {
	_ = s.stream.SetDeadline(time.Now().Add(after))
}

// CloseWhenDone closes the stream when ctx is done, failing pending reads and writes.
// The returned function cancels this.
func (s *Stream) CloseWhenDone(ctx context.Context) (release func() bool) {
	return context.AfterFunc(ctx, func() {
		_ = s.stream.SetDeadline(time.Unix(1, 0))
		_ = s.stream.Close()
	})
}
