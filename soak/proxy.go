package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link describes the faults that a proxy applies to its traffic.
type Link struct {
	Delay      time.Duration // of each read, in both directions
	SilentTo   bool          // bytes to the target are withheld
	SilentFrom bool          // bytes from the target are withheld
}

// holdPollInterval is the interval at which withheld data checks whether it may proceed.
const holdPollInterval = 5 * time.Millisecond

// Proxy is a loopback TCP proxy with fault injection.
type Proxy struct {
	target   string
	mutex    sync.Mutex
	listener net.Listener
	link     Link
	conns    map[net.Conn]bool
	open     map[*connection]bool
	closed   bool
}

// connection is one connection through a proxy, with the faults that apply to it alone.
type connection struct {
	link   Link
	in     net.Conn
	linger time.Duration // for which the target's side stays open once the other one has ended
}

// NewProxy starts a proxy that forwards to target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, conns: map[net.Conn]bool{}, open: map[*connection]bool{}}
	go p.accept(l)
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.listener.Addr().String()
}

// Refuse refuses new connections.
func (p *Proxy) Refuse() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.listener.Close()
}

// Reopen accepts connections again, at another address.
func (p *Proxy) Reopen() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.listener = l
	go p.accept(l)
	return nil
}

// Set replaces the faults that apply to all connections.
func (p *Proxy) Set(l Link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.link = l
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // close with RST instead of FIN
		}
		c.Close()
	}
}

// Drop resets the open connections on the side that opened them. The target learns of it after linger.
func (p *Proxy) Drop(linger time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.open {
		c.linger = linger
		if t, ok := c.in.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // close with RST instead of FIN
		}
		c.in.Close()
	}
}

// lingering returns for how long the target's side of a connection stays open.
func (p *Proxy) lingering(conn *connection) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return conn.linger
}

// Silence permanently withholds the traffic of the connections that are open now; new
// connections are not affected.
func (p *Proxy) Silence(to, from bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.open {
		c.link.SilentTo = c.link.SilentTo || to
		c.link.SilentFrom = c.link.SilentFrom || from
	}
}

// Close closes the proxy and its connections.
func (p *Proxy) Close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.Refuse()
	p.Reset()
}

func (p *Proxy) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return // the listener is closed
		}
		go p.forward(in)
	}
}

func (p *Proxy) forward(in net.Conn) {
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		in.Close()
		return
	}
	conn := &connection{in: in}
	p.track(conn, in, out, true)
	done := make(chan struct{}, 2)
	go p.copy(conn, out, in, func(l Link) bool { return l.SilentTo }, done)
	go p.copy(conn, in, out, func(l Link) bool { return l.SilentFrom }, done)
	<-done
	<-done
	p.track(conn, in, out, false)
	in.Close()
	out.Close()
}

func (p *Proxy) track(conn *connection, in, out net.Conn, active bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if active {
		p.open[conn] = true
	} else {
		delete(p.open, conn)
	}
	for _, c := range []net.Conn{in, out} {
		if active {
			p.conns[c] = true
		} else {
			delete(p.conns, c)
		}
	}
}

// currentLink returns the faults that apply to a connection now.
func (p *Proxy) currentLink(conn *connection) Link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return Link{}
	}
	l := p.link
	l.SilentTo = l.SilentTo || conn.link.SilentTo
	l.SilentFrom = l.SilentFrom || conn.link.SilentFrom
	return l
}

// copy forwards bytes in one direction until either side closes, then forwards the close.
func (p *Proxy) copy(conn *connection, to, from net.Conn, silent func(Link) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			for silent(p.currentLink(conn)) {
				time.Sleep(holdPollInterval)
			}
			time.Sleep(p.currentLink(conn).Delay)
			if _, werr := to.Write(buffer[:n]); werr != nil {
				time.Sleep(p.lingering(conn))
				from.Close()
				return
			}
		}
		if err == io.EOF {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
		if err != nil {
			time.Sleep(p.lingering(conn))
			to.Close()
			return
		}
	}
}
