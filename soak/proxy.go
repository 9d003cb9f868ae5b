package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link is how a proxy treats the bytes that pass it.
type Link struct {
	Delay      time.Duration // of each piece, both ways
	SilentTo   bool          // bytes to the target are held back
	SilentFrom bool          // bytes from the target are held back
}

// linkCheck is how often a held-back piece looks whether it may go on.
const holdPollInterval = 5 * time.Millisecond

// Proxy is a loopback proxy that misbehaves on demand.
type Proxy struct {
	target   string
	mutex    sync.Mutex
	listener net.Listener
	link     Link
	conns    map[net.Conn]bool
	open     map[*connection]bool
	closed   bool
}

// passage is one connection through a proxy.
type connection struct{ link Link }

// NewProxy starts a proxy before a target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, conns: map[net.Conn]bool{}, open: map[*connection]bool{}}
	go p.accept(l)
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.listener.Addr().String()
}

// Refuse breaks all connections and lets the proxy take no more.
func (p *Proxy) Refuse() {
	p.mutex.Lock()
	p.listener.Close()
	p.mutex.Unlock()
	p.Reset()
}

// Reopen lets the proxy take connections again, at another address.
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

// Set replaces the treatment of bytes.
func (p *Proxy) Set(l Link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.link = l
}

// Reset breaks all connections.
func (p *Proxy) Reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // the peer sees a reset, not an end
		}
		c.Close()
	}
}

// Silence holds back for good what passes the connections that are open now; new ones
// work.
func (p *Proxy) Silence(to, from bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.open {
		c.link.SilentTo = c.link.SilentTo || to
		c.link.SilentFrom = c.link.SilentFrom || from
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.Refuse()
}

func (p *Proxy) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return // closed
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
	way := &connection{}
	p.track(way, in, out, true)
	ended := make(chan struct{}, 2)
	go p.copy(way, out, in, func(l Link) bool { return l.SilentTo }, ended)
	go p.copy(way, in, out, func(l Link) bool { return l.SilentFrom }, ended)
	<-ended
	<-ended
	p.track(way, in, out, false)
	in.Close()
	out.Close()
}

func (p *Proxy) track(way *connection, in, out net.Conn, held bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if held {
		p.open[way] = true
	} else {
		delete(p.open, way)
	}
	for _, c := range []net.Conn{in, out} {
		if held {
			p.conns[c] = true
		} else {
			delete(p.conns, c)
		}
	}
}

// now returns how a connection's bytes are treated.
func (p *Proxy) currentLink(way *connection) Link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return Link{}
	}
	l := p.link
	l.SilentTo = l.SilentTo || way.link.SilentTo
	l.SilentFrom = l.SilentFrom || way.link.SilentFrom
	return l
}

// copy carries bytes one way until either side ends, then passes the end on.
func (p *Proxy) copy(way *connection, to, from net.Conn, silent func(Link) bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			for silent(p.currentLink(way)) {
				time.Sleep(holdPollInterval)
			}
			time.Sleep(p.currentLink(way).Delay)
			if _, werr := to.Write(buffer[:n]); werr != nil {
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
			to.Close()
			return
		}
	}
}
