package upstream

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"opalbridge.dev/engine/httpstrict"
	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/memory"
	"opalbridge.dev/gateway/protocol"
)

// Timeouts and sizes of connections.
const (
	// A connection attempt fails after this time. Within a region the round trip takes a few
	// milliseconds; one lost packet costs a second.
	dialTimeout = 1500 * time.Millisecond
	// A second attempt starts when the first has not succeeded by then: its first packet may
	// have been lost, which the kernel notices only after a second.
	dialHedgeDelay = 150 * time.Millisecond
	// A connection is not reused in the last part of the server's keep-alive time, because the
	// request could cross the server's close on the way.
	keepAliveMargin = 1500 * time.Millisecond
	// Maximum idle time of a connection whose server announces no keep-alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// Maximum idle time of a connection that is reused for a request that must not run twice: if
	// the server closes it meanwhile, it is unknown whether the request ran.
	nonIdempotentIdleTimeout = time.Second
	readBufferSize           = 4 << 10
	// Idle connections kept per server; further ones are closed. With 40 servers they take up to
	// a sixth of the 4,000 file descriptors of a small host.
	maxIdlePerServer = 16
)

// Pool keeps idle connections to servers for reuse. It is safe for concurrent use by multiple
// goroutines.
type Pool struct {
	// OnSignal, if not nil, is called with what a response says about its server as soon as its
	// head has been read, even if the caller no longer waits for it. It must not block.
	OnSignal func(s catalog.Server, sig Signal)
	// OnSurplus, if not nil, is called when a server has sent bytes after a whole answer. It must not
	// block.
	OnSurplus func(server string)
	// Memory limits what long heads of answers may take; nil: no limit.
	Memory *memory.Budget
	// MaxHeadBytes limits the head of an answer; 0: [DefaultMaxHeadBytes].
	MaxHeadBytes int

	codec protocol.Codec
	mutex sync.Mutex
	idle  map[string][]*conn // by server lifetime, most recently used last
	dials int64
}

// NewPool returns an empty pool.
func NewPool(c protocol.Codec) *Pool { return &Pool{codec: c, idle: map[string][]*conn{}} }

func (p *Pool) maxHeadBytes() int { return cmp.Or(p.MaxHeadBytes, DefaultMaxHeadBytes) }

func (p *Pool) reportSurplus(server string) {
	if p.OnSurplus != nil {
		p.OnSurplus(server)
	}
}

// Dials returns the number of connection attempts so far.
func (p *Pool) Dials() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.dials
}

// get returns an idle connection that still looks alive, or a new one.
func (p *Pool) get(ctx context.Context, s catalog.Server, idempotent bool) (*conn, error) {
	for {
		c := p.takeIdle(s.ID)
		if c == nil {
			return p.dial(ctx, s)
		}
		if !c.withinIdleTimeout(time.Now(), idempotent) {
			c.Close()
			continue
		}
		switch c.idleState() {
		case idleOpen:
			return c, nil
		case idleSurplus:
			p.reportSurplus(s.ID)
		}
		c.Close()
	}
}

func (p *Pool) takeIdle(server string) *conn {
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
	c.idleSince = time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[server]) >= maxIdlePerServer {
		c.Close()
		return
	}
	p.idle[server] = append(p.idle[server], c)
}

// closeIdle closes the idle connections to a server.
func (p *Pool) closeIdle(server string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle[server] {
		c.Close()
	}
	delete(p.idle, server)
}

// Retain closes the idle connections to servers that are not in the given set, and those that
// have been idle too long or on which something has arrived.
func (p *Pool) Retain(servers map[string]bool) {
	for _, server := range p.retain(servers) {
		p.reportSurplus(server)
	}
}

// retain does the work of Retain and returns the servers that have sent surplus bytes, each as often as
// it has.
func (p *Pool) retain(servers map[string]bool) (surplus []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			state := c.idleState()
			if state == idleOpen && servers[id] && c.withinIdleTimeout(now, true) {
				kept = append(kept, c)
				continue
			}
			if state == idleSurplus {
				surplus = append(surplus, id)
			}
			c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, id)
			continue
		}
		p.idle[id] = kept
	}
	return surplus
}

func (c *conn) withinIdleTimeout(now time.Time, idempotent bool) bool {
	age := now.Sub(c.idleSince)
	limit := defaultIdleTimeout
	if c.idleTimeout > 0 {
		limit = c.idleTimeout - keepAliveMargin
	}
	if !idempotent {
		limit = min(limit, nonIdempotentIdleTimeout)
	}
	return age < limit
}

// idleState is the state of an idle connection.
type idleState int

// States of idle connections.
const (
	idleOpen    idleState = iota // open, and nothing has arrived
	idleClosed                   // closed by the server, or broken
	idleSurplus                  // the server has sent bytes that nobody has asked for
)

// idleState looks at an idle connection without reading from it.
func (c *conn) idleState() idleState {
	if c.reader.Buffered() > 0 {
		return idleSurplus
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return idleClosed
	}
	state := idleClosed
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN:
			state = idleOpen
		case n > 0:
			state = idleSurplus
		}
	})
	if err != nil {
		return idleClosed
	}
	return state
}

// dialResult is the result of one connection attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// dial opens a connection. If the first attempt is slow, it starts a second one in parallel.
func (p *Pool) dial(ctx context.Context, s catalog.Server) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel() // stops an attempt that is still running
	results := make(chan dialResult, 2)
	running := 1
	go p.connect(ctx, s, results)
	hedge := time.NewTimer(dialHedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			running++
			go p.connect(ctx, s, results)
		case r := <-results:
			running--
			if r.err == nil {
				if running > 0 {
					go closeUnusedDial(results)
				}
				return newConn(r.conn), nil
			}
			if running == 0 {
				return nil, errors.Wrapf(r.err, "upstream: connect to server %s", s.ID)
			}
		}
	}
}

func newConn(c net.Conn) *conn {
	strict := httpstrict.NewConn(c)
	l := &headLimiter{conn: strict}
	return &conn{Conn: strict, limiter: l, reader: bufio.NewReaderSize(l, readBufferSize)}
}

func (p *Pool) connect(ctx context.Context, s catalog.Server, results chan<- dialResult) {
	p.mutex.Lock()
	p.dials++
	p.mutex.Unlock()
	c, err := dialer.DialContext(ctx, "tcp4", s.Address)
	results <- dialResult{conn: c, err: err}
}

// closeUnusedDial closes the connection of the attempt that finished second.
func closeUnusedDial(results <-chan dialResult) {
	if r := <-results; r.err == nil {
		r.conn.Close()
	}
}

// serverKeepAlive detects unresponsive connections to servers, and hosts without power, within
// 2.5 seconds. A request held back by a broken link must not reach a server that has announced
// in the meantime that it is leaving, which takes two seconds at least; three packet losses in a
// row take 1.4 s.
var serverKeepAlive = KeepAlive{
	UserTimeout: 1500 * time.Millisecond, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3,
}

var dialer = serverKeepAlive.Dialer()
