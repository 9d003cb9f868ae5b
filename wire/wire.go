// Package wire carries opalbridge's own messages between routers and agents:
// protobuf messages, length-delimited, over yamux streams on one connection.
//
// A connection has one control stream, opened by the side that dialled, on
// which both sides first say hello and then exchange [wirepb.Control] messages.
// Every other stream carries one [wirepb.Call] and its answer, so that a slow
// caller holds up only its own stream.
//
// # Usage
//
//	p, err := wire.Connect(ctx, conn, hello, options)
//	for m := range p.Control() { … }
//	s, err := p.Open(ctx)
//	err = s.Write(&wirepb.Call{…})
//
// The package decides nothing: it frames, counts bytes and cuts off a peer that
// stalls or sends what cannot be decoded. Clustering and discovery are not its
// business.
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
	// Version is the protocol version that the hello message names.
	Version = 1
	// MaxMessage is the largest message in bytes that a peer may send.
	MaxMessage = 16 << 20
	// maxControl is the largest control message in bytes; a configuration is
	// the largest of them.
	maxControl = 2 << 20
	// controlQueue bounds the control messages that wait to be sent or handled.
	// When the outgoing one is full the peer is cut off: it has stalled.
	controlQueue = 4096
	helloTimeout = 5 * time.Second
	writeTimeout = 10 * time.Second
)

// Errors that callers tell apart.
var (
	ErrVersion = errors.New("wire: peer speaks another protocol version")
	ErrStalled = errors.New("wire: peer does not take its messages")
	ErrClosed  = errors.New("wire: connection closed")
)

// Peer is an established connection to another process.
type Peer struct {
	// Hello is what the other side said of itself.
	Hello *wirepb.Hello

	session  *yamux.Session
	incoming chan *wirepb.Control // full: the reader waits, and TCP pushes back
	outgoing chan *wirepb.Control // full: the peer is cut off, see controlQueue
	sent     atomic.Uint64
	received atomic.Uint64
	closing  atomic.Bool
	closed   chan struct{}
	reason   error
}

// Connect says hello as the side that dialled and returns the peer. It takes
// over conn, which it closes on error.
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

// Accept says hello as the side that was dialled and returns the peer. It takes
// over conn, which it closes on error.
func Accept(ctx context.Context, conn net.Conn, hello *wirepb.Hello) (*Peer, error) {
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		return nil, errors.Wrap(err, "wire: open session")
	}
	wait, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	stream, err := session.AcceptStreamWithContext(wait)
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
	theirs, err := exchangeHello(control, hello)
	if err != nil {
		_ = session.Close()
		return nil, err
	}
	p := &Peer{
		Hello:    theirs,
		session:  session,
		incoming: make(chan *wirepb.Control, controlQueue),
		outgoing: make(chan *wirepb.Control, controlQueue),
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
	var answer wirepb.Control
	if err := control.read(&answer, maxControl); err != nil {
		return nil, errors.Wrap(err, "wire: read hello")
	}
	_ = control.stream.SetDeadline(time.Time{})
	theirs := answer.GetHello()
	if theirs == nil || theirs.Version != Version {
		return nil, errors.Wrapf(ErrVersion, "wire: hello of version %d", theirs.GetVersion())
	}
	return theirs, nil
}

func (p *Peer) readControl(ctx context.Context, control *Stream) {
	defer close(p.incoming)
	stop := context.AfterFunc(ctx, func() { p.Close(ctx.Err()) })
	defer stop()
	for {
		m := &wirepb.Control{}
		if err := control.read(m, maxControl); err != nil {
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

// Control returns the peer's control messages. It is closed when the connection
// ends; Reason then tells why.
func (p *Peer) Control() <-chan *wirepb.Control { return p.incoming }

// Send queues a control message. A peer whose queue is full is cut off.
func (p *Peer) Send(m *wirepb.Control) {
	select {
	case p.outgoing <- m:
	default:
		p.Close(ErrStalled)
	}
}

// Open starts a stream for one call.
func (p *Peer) Open() (*Stream, error) {
	s, err := p.session.OpenStream()
	if err != nil {
		return nil, errors.Wrapf(err, "wire: open stream to %s", p.Hello.Node)
	}
	return &Stream{stream: s, reader: bufio.NewReader(s)}, nil
}

// Accept waits for the peer to start a stream.
func (p *Peer) Accept(ctx context.Context) (*Stream, error) {
	s, err := p.session.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, errors.Wrapf(err, "wire: accept stream from %s", p.Hello.Node)
	}
	return &Stream{stream: s, reader: bufio.NewReader(s)}, nil
}

// Close ends the connection for the reason given; only the first call counts. The
// others do not wait for it: the session takes its time to end.
func (p *Peer) Close(reason error) {
	if !p.closing.CompareAndSwap(false, true) {
		return
	}
	p.reason = reason
	close(p.closed)
	_ = p.session.Close()
}

// Closed is closed when the connection has ended.
func (p *Peer) Closed() <-chan struct{} { return p.closed }

// Reason tells why the connection ended; nil while it lasts.
func (p *Peer) Reason() error {
	select {
	case <-p.closed:
		return p.reason
	default:
		return nil
	}
}

// ControlBytes returns how many bytes of control messages were sent and
// received, without the framing.
func (p *Peer) ControlBytes() (sent, received uint64) {
	return p.sent.Load(), p.received.Load()
}

// Stream carries one call and its answer.
type Stream struct {
	stream *yamux.Stream
	reader *bufio.Reader
	mutex  sync.Mutex // guards buffer and the order of messages
	buffer []byte
}

// Write sends one message.
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

func (s *Stream) read(m proto.Message, most int64) error {
	return Decode(s.reader, m, most)
}

// Decode reads one length-delimited message of at most the given bytes.
func Decode(r *bufio.Reader, m proto.Message, most int64) error {
	o := protodelim.UnmarshalOptions{MaxSize: most}
	if err := o.UnmarshalFrom(r, m); err != nil {
		return errors.Wrap(err, "wire: read")
	}
	return nil
}

// Close ends the stream; the other side sees the end of its input.
func (s *Stream) Close() { _ = s.stream.Close() }

// SetTimeout lets the stream end by itself after the given time.
func (s *Stream) SetTimeout(after time.Duration) {
	_ = s.stream.SetDeadline(time.Now().Add(after))
}

// CloseWhenDone ends the stream after ctx has ended, and returns a function that
// releases the watch.
func (s *Stream) CloseWhenDone(ctx context.Context) (release func() bool) {
	return context.AfterFunc(ctx, func() {
		_ = s.stream.SetDeadline(time.Unix(1, 0))
		_ = s.stream.Close()
	})
}
