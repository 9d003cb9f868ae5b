// Package reject rejects callers' connections at low cost: one goroutine responds to all of them,
// without parsing and without a goroutine or a buffer per connection. A connection that the HTTP
// server handles costs a small host several times as much, even if its request is refused.
//
// # Usage
//
//	r := reject.New(reject.Options{Reason: "short of processor", RetryAfter: 150 * time.Millisecond, IDHeader: "Id", Log: log, OnRejected: count})
//	go r.Run(ctx)
//	r.Reject(connection) // gets 503 once its request has arrived, and is closed
package reject

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

const (
	// Maximum number of connections waiting to be rejected; at the bound, no more are
	// accepted. The kernel's accept queue holds the next ones, and when it is full, callers
	// try other gateways.
	maxPending = 256
	// Polling interval for requests: a caller's request arrives one round trip after its
	// connection.
	pollInterval = 5 * time.Millisecond
	// Timeout is the time after which a connection without a whole request is closed.
	Timeout = 300 * time.Millisecond
	// A connection whose request had not been read to its end is read for this long after the response, or until
	// the caller closes it: a close with unread bytes resets it, which may destroy the response on its way.
	lingerTime = time.Second
	// Maximum number of connections that are read after their response; at the bound, the oldest is closed.
	maxLingering = 128
	// Reads per lingering connection and poll.
	maxLingerReads = 4
	// Maximum size of a request header that is read.
	maxHeaderBytes = 16 << 10
	bufferSize     = 32 << 10
	// Maximum number of rejected requests per log line.
	maxIDsPerLogLine = 64
	// Maximum delay of a log line.
	logInterval = 250 * time.Millisecond
)

// Options configure a Rejecter.
type Options struct {
	Reason     string        // for callers and the log
	RetryAfter time.Duration // when callers may retry
	IDHeader   string        // name of the request ID header
	Log        zerolog.Logger
	OnRejected func() // called for each rejected request; must not block
}

// Response returns the response that tells a caller that its request has not run, why, and when it may retry.
func Response(reason string, retryAfter time.Duration) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"+
		"Content-Type: text/plain; charset=utf-8\r\nRetry-After: %.3f\r\nContent-Length: %d\r\n\r\n%s\n",
		retryAfter.Seconds(), len(reason)+1, reason)
}

// Conn is a connection that can be rejected.
type Conn interface {
	io.WriteCloser
	CloseWrite() error
	ReadNow(b []byte) (int, error) // does not block; EAGAIN: no data is available
}

// Socket is a connection to be rejected, by its file descriptor.
type Socket int

// ReadNow implements Conn.
func (s Socket) ReadNow(b []byte) (int, error) { return unix.Read(int(s), b) }

// Write implements io.Writer.
func (s Socket) Write(b []byte) (int, error) { return unix.Write(int(s), b) }

// CloseWrite closes the sending direction.
func (s Socket) CloseWrite() error { return unix.Shutdown(int(s), unix.SHUT_WR) }

// Close implements io.Closer.
func (s Socket) Close() error { return unix.Close(int(s)) }

// Rejecter responds to rejected connections.
type Rejecter struct {
	options   Options
	response  []byte
	conns     chan Conn
	buffer    []byte
	waiting   []*rejectedConn
	lingering []lingeringConn // oldest first
	pending   atomic.Int64
	ids       []string // of the requests rejected since the last log line
	loggedAt  time.Time
}

// New returns a Rejecter that is not running yet.
func New(o Options) *Rejecter {
	return &Rejecter{options: o, response: Response(o.Reason, o.RetryAfter), conns: make(chan Conn, maxPending), buffer: make([]byte, bufferSize)}
}

// Reject passes a connection to the Rejecter, which closes it. It blocks while too many are
// waiting, and for good after Run has ended.
func (r *Rejecter) Reject(c Conn) {
	r.pending.Add(1)
	r.conns <- c
}

// Pending returns the number of connections that have not been closed yet.
func (r *Rejecter) Pending() int { return int(r.pending.Load()) }

// rejectedConn is a connection that is being rejected.
type rejectedConn struct {
	Conn
	since          time.Time
	header         []byte // without the body, once complete
	headerComplete bool
	bodyLeft       int64 // bytes of the body still to be read
	chunked        bool
	lastBytes      []byte // of a chunked body, as many as mark its end
	expects        bool   // the caller waits for 100 Continue, but may send its body without it
	tooLong        bool   // the header is not read to its end
	disconnected   bool
}

// wholeRead reports whether it is certain that nothing of the request is unread or on its way.
func (c *rejectedConn) wholeRead() bool {
	// The end of a chunked body is recognized by its last bytes, which may also stand within the body.
	return c.headerComplete && !c.tooLong && !c.chunked && !c.expects && c.bodyLeft <= 0
}

// lingeringConn is a connection that is read after its response.
type lingeringConn struct {
	Conn
	until time.Time
}

// ended reads what has arrived, and reports whether the caller has closed the connection.
func (c lingeringConn) ended(buffer []byte) bool {
	for range maxLingerReads {
		n, err := c.ReadNow(buffer)
		if err == unix.EAGAIN {
			return false
		}
		if err != nil || n == 0 {
			return true
		}
	}
	return false
}

// Run rejects connections until ctx ends; then it responds to those whose request has arrived, and closes the
// rest.
func (r *Rejecter) Run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	tick.Stop()
	defer tick.Stop()
	for {
		conns := r.conns
		if len(r.waiting) >= maxPending {
			conns = nil
		}
		select {
		case <-ctx.Done():
			r.closeAll()
			return
		case c := <-conns:
			if r.idle() {
				tick.Reset(pollInterval)
			}
			r.waiting = append(r.waiting, &rejectedConn{Conn: c, since: time.Now()})
		case now := <-tick.C:
			r.poll(now)
			r.pollLingering(now)
			if r.idle() {
				tick.Stop()
			}
		}
	}
}

// idle reports whether there is neither a connection to poll nor a request to log.
func (r *Rejecter) idle() bool {
	return len(r.waiting) == 0 && len(r.lingering) == 0 && len(r.ids) == 0
}

func (r *Rejecter) closeAll() {
	for _, c := range r.waiting {
		c.readAvailable(r.buffer)
		r.finish(c, time.Now())
	}
	for {
		select {
		case c := <-r.conns:
			rejected := &rejectedConn{Conn: c}
			rejected.readAvailable(r.buffer)
			r.finish(rejected, time.Now())
		default:
			for _, c := range r.lingering {
				c.ended(r.buffer)
				r.close(c)
			}
			if len(r.ids) > 0 {
				r.logRejected(time.Now())
			}
			return
		}
	}
}

// poll reads from all connections and responds to those whose request is complete or timed
// out.
func (r *Rejecter) poll(now time.Time) {
	kept := r.waiting[:0]
	for _, c := range r.waiting {
		timedOut := now.Sub(c.since) > Timeout
		if !c.readAvailable(r.buffer) && !timedOut {
			kept = append(kept, c)
			continue
		}
		r.finish(c, now)
	}
	clear(r.waiting[len(kept):])
	r.waiting = kept
	if len(r.ids) >= maxIDsPerLogLine || len(r.ids) > 0 && now.Sub(r.loggedAt) > logInterval {
		r.logRejected(now)
	}
}

// pollLingering reads from the connections that have their response, and closes those that have ended.
func (r *Rejecter) pollLingering(now time.Time) {
	kept := r.lingering[:0]
	for n, c := range r.lingering {
		if c.ended(r.buffer) || now.After(c.until) || len(r.lingering)-n > maxLingering {
			r.close(c)
			continue
		}
		kept = append(kept, c)
	}
	clear(r.lingering[len(kept):])
	r.lingering = kept
}

// finish responds to a request. An incomplete header gets no response.
func (r *Rejecter) finish(c *rejectedConn, now time.Time) {
	if c.disconnected || !c.headerComplete {
		r.close(c)
		return
	}
	// The caller may be gone, so a write error is ignored.
	_, _ = c.Write(r.response)
	r.ids = append(r.ids, string(headerValue(c.header, r.options.IDHeader)))
	r.options.OnRejected()
	if c.wholeRead() || c.CloseWrite() != nil {
		r.close(c)
		return
	}
	r.lingering = append(r.lingering, lingeringConn{c.Conn, now.Add(lingerTime)})
}

// close closes a connection.
func (r *Rejecter) close(c io.Closer) {
	c.Close()
	r.pending.Add(-1)
}

// logRejected logs the requests that were rejected since the last log line.
func (r *Rejecter) logRejected(now time.Time) {
	r.options.Log.Info().Str("event", "request.denied").Strs("requests", r.ids).Int("status", 503).
		Str("reason", r.options.Reason).Dur("retry_after", r.options.RetryAfter).Msg("requests rejected")
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
		if len(c.header) > maxHeaderBytes {
			c.headerComplete, c.tooLong = true, true
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
		c.bodyLeft, c.expects = 0, true
	}
}

// lastChunk ends a chunked body without trailers.
const lastChunk = "0\r\n\r\n"

// checkLastChunk records whether a chunked body ends with these bytes.
func (c *rejectedConn) checkLastChunk(b []byte) {
	if !c.chunked {
		return
	}
	c.lastBytes = append(c.lastBytes, b[max(len(b)-len(lastChunk), 0):]...)
	c.lastBytes = c.lastBytes[max(len(c.lastBytes)-len(lastChunk), 0):]
	c.bodyLeft = 1
	if string(c.lastBytes) == lastChunk {
		c.bodyLeft = 0
	}
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
