package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/protocol"
)

// Times of connections.
const (
	// A connection that does not come up in this time is given up. Within a region
	// the way there and back takes a few milliseconds; one lost packet costs a second.
	dialTimeout = 1500 * time.Millisecond
	// A second connection is tried when the first has not come up by then: its first
	// packet may have been lost, which the kernel notices only after a second.
	dialAgain = 150 * time.Millisecond
	// A connection is not used again in the last part of the time for which the
	// server keeps it: the request would cross the close.
	lifetimeReserve = 1500 * time.Millisecond
	// A connection whose server tells no lifetime is used again up to this age.
	unknownLifetime = 4 * time.Second
	// A request that may not repeat uses a connection again only up to this age: a
	// server that closes it meanwhile leaves it open whether the request ran.
	oneShotIdle = time.Second
	readBuffer  = 4 << 10
	// Idle connections kept for a server; more are closed. Before 40 servers they may
	// take a sixth of the 4,000 descriptors of a small host.
	mostIdle = 16
)

// Pool keeps connections to servers for use again. It is safe for use by several
// goroutines.
type Pool struct {
	// OnSignal hears what answers say of their servers, as soon as their heads are read, whoever
	// still waits for the answer. It must not block; nil: nobody does.
	OnSignal func(s catalog.Server, w Signal)

	codec protocol.Codec
	mutex sync.Mutex
	idle  map[string][]*conn // by server incarnation, the latest used last
	dials int64
}

// NewPool returns an empty pool.
func NewPool(c protocol.Codec) *Pool { return &Pool{codec: c, idle: map[string][]*conn{}} }

// Dials returns how many connections were opened.
func (p *Pool) Dials() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.dials
}

// get returns an idle connection that still looks alive, or a new one.
func (p *Pool) get(ctx context.Context, s catalog.Server, mayRepeat bool) (*conn, error) {
	for {
		c := p.take(s.ID)
		if c == nil {
			return p.dial(ctx, s)
		}
		if c.usable(time.Now(), mayRepeat) {
			return c, nil
		}
		c.Close()
	}
}

func (p *Pool) take(server string) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[server]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[server] = list[:len(list)-1]
	return c
}

func (p *Pool) put(server string, c *conn) {
	c.idle = time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[server]) >= mostIdle {
		c.Close()
		return
	}
	p.idle[server] = append(p.idle[server], c)
}

// drop closes the idle connections to a server.
func (p *Pool) drop(server string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle[server] {
		c.Close()
	}
	delete(p.idle, server)
}

// Retain closes the idle connections to servers that are not among those given, and
// those that are too old for use.
func (p *Pool) Retain(servers map[string]bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if servers[id] && c.young(now, true) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, id)
			continue
		}
		p.idle[id] = kept
	}
}

func (c *conn) young(now time.Time, mayRepeat bool) bool {
	age := now.Sub(c.idle)
	most := unknownLifetime
	if c.lifetime > 0 {
		most = c.lifetime - lifetimeReserve
	}
	if !mayRepeat {
		most = min(most, oneShotIdle)
	}
	return age < most
}

// usable tells whether the connection is young enough, open and silent.
func (c *conn) usable(now time.Time, mayRepeat bool) bool {
	return c.young(now, mayRepeat) && c.reader.Buffered() == 0 && c.silent()
}

// silent tells whether the peer has neither closed the connection nor sent bytes
// that nobody asked for.
func (c *conn) silent() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN
	})
	return err == nil && silent
}

// outcome is the end of one try to connect.
type outcome struct {
	conn net.Conn
	err  error
}

// dial opens a connection, with a second try beside the first when that is slow.
func (p *Pool) dial(ctx context.Context, s catalog.Server) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel() // ends a try that is still under way
	ends := make(chan outcome, 2)
	open := 1
	go p.connect(ctx, s, ends)
	again := time.NewTimer(dialAgain)
	defer again.Stop()
	for {
		select {
		case <-again.C:
			open++
			go p.connect(ctx, s, ends)
		case o := <-ends:
			open--
			if o.err == nil {
				if open > 0 {
					go closeLate(ends)
				}
				return &conn{Conn: o.conn, reader: bufio.NewReaderSize(o.conn, readBuffer)}, nil
			}
			if open == 0 {
				return nil, errors.Wrapf(o.err, "upstream: connect to server %s", s.ID)
			}
		}
	}
}

func (p *Pool) connect(ctx context.Context, s catalog.Server, ends chan<- outcome) {
	p.mutex.Lock()
	p.dials++
	p.mutex.Unlock()
	c, err := dialer.DialContext(ctx, "tcp4", s.Address)
	ends <- outcome{conn: c, err: err}
}

// closeLate closes the connection of a try that came second.
func closeLate(ends <-chan outcome) {
	if o := <-ends; o.err == nil {
		o.conn.Close()
	}
}

// serverSilence finds connections to servers that have gone silent, and hosts without
// power, in 2.5 seconds at most. A request that a cut link holds back must not reach a
// server that has said meanwhile that it leaves, which is two seconds at the least; three
// losses in a row take 1.4 s.
var serverSilence = KeepAlive{
	UserTimeout: 1500 * time.Millisecond, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3,
}

var dialer = serverSilence.Dialer()
