package gateway

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// This file rejects connections at low cost: one goroutine responds to all of them, without
// parsing and without a goroutine or a buffer per connection. A connection that the HTTP
// server handles costs a small host several times as much, even if its request is refused.

const (
	// Maximum number of connections waiting to be rejected; at the bound, no more are
	// accepted. The kernel's accept queue holds the next ones, and when it is full, callers
	// try other gateways.
	maxPendingRejects = 256
	// Polling interval for requests: a caller's request arrives one round trip after its
	// connection.
	rejectPollInterval = 5 * time.Millisecond
	// A connection without a whole request after this time is closed.
	rejectTimeout = 300 * time.Millisecond
	// Maximum size of a request header that is read.
	maxRejectedHeaderBytes = 16 << 10
	rejectBufferSize       = 32 << 10
	// Maximum number of rejected requests per log line.
	maxRejectsPerLogLine = 64
	// Maximum delay of a log line.
	rejectLogInterval = 250 * time.Millisecond
)

// rejectResponse tells the caller that its request has not run, and when to retry.
var rejectResponse = []byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n" +
	"Content-Type: text/plain; charset=utf-8\r\n" +
	"Retry-After: " + strconv.FormatFloat(overloadRetryAfter.Seconds(), 'f', 3, 64) + "\r\n" +
	"Content-Length: " + strconv.Itoa(len(rejectReason)) + "\r\n\r\n" + rejectReason)

const rejectReason = "gateway short of processor or connections\n"

// rejectableConn is a connection that can be rejected.
type rejectableConn interface {
	io.WriteCloser
	ReadNow(b []byte) (int, error) // does not block; EAGAIN: no data is available
}

// socket is a connection to be rejected, by its file descriptor.
type socket int

// ReadNow implements rejectableConn.
func (s socket) ReadNow(b []byte) (int, error) { return unix.Read(int(s), b) }

// Write implements io.Writer.
func (s socket) Write(b []byte) (int, error) { return unix.Write(int(s), b) }

// Close implements io.Closer.
func (s socket) Close() error { return unix.Close(int(s)) }

// rejecter responds to rejected connections.
type rejecter struct {
	conns    chan rejectableConn
	log      zerolog.Logger
	metrics  Metrics
	idHeader string // name of the request ID header
	buffer   []byte
	waiting  []*rejectedConn
	ids      []string // of the requests rejected since the last log line
	loggedAt time.Time
}

func newRejecter(g *Gateway) *rejecter {
	return &rejecter{
		conns: make(chan rejectableConn, maxPendingRejects), log: g.log, metrics: g.options.Metrics,
		idHeader: g.options.Codec.RequestIDHeader(), buffer: make([]byte, rejectBufferSize),
	}
}

// rejectedConn is a connection that is being rejected.
type rejectedConn struct {
	rejectableConn
	since          time.Time
	header         []byte // without the body, once complete
	headerComplete bool
	bodyLeft       int64 // bytes of the body still to be read
	chunked        bool
	disconnected   bool
}

// run rejects connections until ctx ends; then it closes the rest.
func (r *rejecter) run(ctx context.Context) {
	tick := time.NewTicker(rejectPollInterval)
	tick.Stop()
	defer tick.Stop()
	for {
		conns := r.conns
		if len(r.waiting) >= maxPendingRejects {
			conns = nil
		}
		select {
		case <-ctx.Done():
			r.closeAll()
			return
		case c := <-conns:
			if len(r.waiting) == 0 {
				tick.Reset(rejectPollInterval)
			}
			r.waiting = append(r.waiting, &rejectedConn{rejectableConn: c, since: time.Now()})
		case now := <-tick.C:
			r.poll(now)
			if len(r.waiting) == 0 {
				tick.Stop()
			}
		}
	}
}

func (r *rejecter) closeAll() {
	for _, c := range r.waiting {
		c.Close()
	}
	for {
		select {
		case c := <-r.conns:
			c.Close()
		default:
			return
		}
	}
}

// poll reads from all connections and responds to those whose request is complete or timed
// out.
func (r *rejecter) poll(now time.Time) {
	kept := r.waiting[:0]
	for _, c := range r.waiting {
		timedOut := now.Sub(c.since) > rejectTimeout
		if !c.readAvailable(r.buffer) && !timedOut {
			kept = append(kept, c)
			continue
		}
		r.finish(c)
	}
	clear(r.waiting[len(kept):])
	r.waiting = kept
	if len(r.ids) >= maxRejectsPerLogLine || len(r.ids) > 0 && now.Sub(r.loggedAt) > rejectLogInterval {
		r.logRejected(now)
	}
}

// finish ends a connection. An incomplete request gets no response.
func (r *rejecter) finish(c *rejectedConn) {
	defer c.Close()
	if c.disconnected || !c.headerComplete {
		return
	}
	// The caller may be gone, so a write error is ignored.
	_, _ = c.Write(rejectResponse)
	r.ids = append(r.ids, string(headerValue(c.header, r.idHeader)))
	r.metrics.RequestEnded(Outcome{Result: "denied"})
}

// logRejected logs the requests that were rejected since the last log line.
func (r *rejecter) logRejected(now time.Time) {
	r.log.Info().Str("event", "request.denied").Strs("requests", r.ids).Int("status", 503).
		Str("reason", "gateway short of processor or connections").Dur("retry_after", overloadRetryAfter).Msg("requests rejected")
	r.ids, r.loggedAt = r.ids[:0], now
}

// readAvailable reads what has arrived. It reports whether that completes the request, or the
// caller has disconnected.
func (c *rejectedConn) readAvailable(buffer []byte) bool {
	for {
		n, err := c.ReadNow(buffer)
		if err == unix.EAGAIN {
			return false
		}
		if err != nil || n == 0 {
			c.disconnected = true
			return true
		}
		c.consume(buffer[:n])
		if c.headerComplete && c.bodyLeft <= 0 {
			return true
		}
		if len(c.header) > maxRejectedHeaderBytes {
			c.headerComplete = true
			return true
		}
	}
}

// consume processes bytes of the request.
func (c *rejectedConn) consume(b []byte) {
	if c.headerComplete {
		c.bodyLeft -= int64(len(b))
		c.checkLastChunk(b)
		return
	}
	c.header = append(c.header, b...)
	end := bytes.Index(c.header, []byte("\r\n\r\n"))
	if end < 0 {
		return
	}
	body := c.header[end+4:]
	c.header, c.headerComplete = c.header[:end+2], true
	if length, err := strconv.ParseInt(string(headerValue(c.header, "Content-Length")), 10, 64); err == nil {
		c.bodyLeft = length - int64(len(body))
	}
	if len(headerValue(c.header, "Transfer-Encoding")) > 0 {
		c.chunked, c.bodyLeft = true, 1
		c.checkLastChunk(body)
	}
	if len(headerValue(c.header, "Expect")) > 0 {
		c.bodyLeft = 0 // the caller waits for 100 Continue before it sends the body
	}
}

// checkLastChunk records whether a chunked body ends with these bytes.
func (c *rejectedConn) checkLastChunk(b []byte) {
	if !c.chunked {
		return
	}
	c.bodyLeft = 1
	if bytes.HasSuffix(b, []byte("0\r\n\r\n")) {
		c.bodyLeft = 0
	}
}

// ReadNow implements rejectableConn.
func (c *callerConn) ReadNow(buffer []byte) (n int, err error) {
	raw, err := rawConn(c.Conn)
	if err != nil {
		return 0, err
	}
	readErr := raw.Read(func(fd uintptr) bool {
		n, err = unix.Read(int(fd), buffer)
		return true
	})
	if readErr != nil {
		return 0, readErr
	}
	return n, err
}

// headerValue returns the value of a header field of a request, or nil if it has none.
func headerValue(header []byte, name string) []byte {
	for line := range bytes.Lines(header) {
		key, value, found := bytes.Cut(line, []byte(":"))
		if found && bytes.EqualFold(key, []byte(name)) {
			return bytes.TrimSpace(value)
		}
	}
	return nil
}
