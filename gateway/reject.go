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

// This file turns connections away before they cost much: one goroutine answers them all,
// without parsing, a goroutine or a buffer of their own. One that the HTTP server handles
// costs a small host several times as much, even if its request is refused.

const (
	// Connections that wait to be turned away; with more, no more are accepted until some
	// are gone. The kernel's queue holds the next ones, and then callers look elsewhere.
	mostTurning = 256
	// A caller's request comes one round trip after its connection, so it is looked for
	// from then on, this often.
	turnEvery = 5 * time.Millisecond
	// Without a whole request by then the connection is closed.
	turnPatience = 300 * time.Millisecond
	// A head of a request is looked at up to this length.
	longestTurnedHead = 16 << 10
	turnBuffer        = 32 << 10
	// Turned away requests that one line of the log names.
	turnedALine = 64
	// A line is written at the latest after this time.
	turnedLineEvery = 250 * time.Millisecond
)

// turnedAnswer is what they get: their request has not run, and when to come back.
var turnedAnswer = []byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n" +
	"Content-Type: text/plain; charset=utf-8\r\n" +
	"Retry-After: " + strconv.FormatFloat(overloadRetryAfter.Seconds(), 'f', 3, 64) + "\r\n" +
	"Content-Length: " + strconv.Itoa(len(turnedReason)) + "\r\n\r\n" + turnedReason)

const turnedReason = "gateway short of processor or connections\n"

// turnable is a connection that can be turned away.
type turnable interface {
	io.WriteCloser
	ReadNow(b []byte) (int, error) // without waiting; EAGAIN: nothing is there
}

// socket is a connection that is turned away, by its descriptor.
type socket int

// ReadNow implements turnable.
func (s socket) ReadNow(b []byte) (int, error) { return unix.Read(int(s), b) }

// Write implements io.Writer.
func (s socket) Write(b []byte) (int, error) { return unix.Write(int(s), b) }

// Close implements io.Closer.
func (s socket) Close() error { return unix.Close(int(s)) }

// turner answers connections that are turned away.
type turner struct {
	conns   chan turnable
	log     zerolog.Logger
	metrics Metrics
	id      string // header that names a request
	buffer  []byte
	waiting []*turned
	ids     []string // of those answered since the last line
	line    time.Time
}

func newTurner(g *Gateway) *turner {
	return &turner{
		conns: make(chan turnable, mostTurning), log: g.log, metrics: g.options.Metrics,
		id: g.options.Codec.RequestIDHeader(), buffer: make([]byte, turnBuffer),
	}
}

// turned is a connection that is turned away.
type turned struct {
	turnable
	since   time.Time
	head    []byte // until it is whole
	whole   bool
	left    int64 // of the body
	chunked bool
	gone    bool
}

// run answers connections until ctx ends; then it closes those that are left.
func (t *turner) run(ctx context.Context) {
	tick := time.NewTicker(turnEvery)
	tick.Stop()
	defer tick.Stop()
	for {
		conns := t.conns
		if len(t.waiting) >= mostTurning {
			conns = nil
		}
		select {
		case <-ctx.Done():
			t.closeAll()
			return
		case c := <-conns:
			if len(t.waiting) == 0 {
				tick.Reset(turnEvery)
			}
			t.waiting = append(t.waiting, &turned{turnable: c, since: time.Now()})
		case now := <-tick.C:
			t.look(now)
			if len(t.waiting) == 0 {
				tick.Stop()
			}
		}
	}
}

func (t *turner) closeAll() {
	for _, c := range t.waiting {
		c.Close()
	}
	for {
		select {
		case c := <-t.conns:
			c.Close()
		default:
			return
		}
	}
}

// look answers those whose request has come.
func (t *turner) look(now time.Time) {
	kept := t.waiting[:0]
	for _, c := range t.waiting {
		late := now.Sub(c.since) > turnPatience
		if !c.take(t.buffer) && !late {
			kept = append(kept, c)
			continue
		}
		t.answer(c)
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
	if len(t.ids) >= turnedALine || len(t.ids) > 0 && now.Sub(t.line) > turnedLineEvery {
		t.tell(now)
	}
}

// answer ends a connection. Who has sent no whole request gets no answer.
func (t *turner) answer(c *turned) {
	defer c.Close()
	if c.gone || !c.whole {
		return
	}
	// A caller that has gone has nobody to be told.
	_, _ = c.Write(turnedAnswer)
	t.ids = append(t.ids, string(headerValue(c.head, t.id)))
	t.metrics.RequestEnded(Outcome{Result: "denied"})
}

// tell writes a line of those that were turned away.
func (t *turner) tell(now time.Time) {
	t.log.Info().Str("event", "request.denied").Strs("requests", t.ids).Int("status", 503).
		Str("reason", "gateway short of processor or connections").Dur("retry_after", overloadRetryAfter).Msg("answered")
	t.ids, t.line = t.ids[:0], now
}

// take takes what has arrived. It returns whether that is the whole request, or the
// caller has gone.
func (c *turned) take(buffer []byte) bool {
	for {
		n, err := c.ReadNow(buffer)
		if err == unix.EAGAIN {
			return false
		}
		if err != nil || n == 0 {
			c.gone = true
			return true
		}
		c.note(buffer[:n])
		if c.whole && c.left <= 0 {
			return true
		}
		if len(c.head) > longestTurnedHead {
			c.whole = true
			return true
		}
	}
}

// note counts bytes of the request.
func (c *turned) note(b []byte) {
	if c.whole {
		c.left -= int64(len(b))
		c.ends(b)
		return
	}
	c.head = append(c.head, b...)
	end := bytes.Index(c.head, []byte("\r\n\r\n"))
	if end < 0 {
		return
	}
	body := c.head[end+4:]
	c.head, c.whole = c.head[:end+2], true
	if length, err := strconv.ParseInt(string(headerValue(c.head, "Content-Length")), 10, 64); err == nil {
		c.left = length - int64(len(body))
	}
	if len(headerValue(c.head, "Transfer-Encoding")) > 0 {
		c.chunked, c.left = true, 1
		c.ends(body)
	}
	if len(headerValue(c.head, "Expect")) > 0 {
		c.left = 0 // the caller waits to be asked for its body
	}
}

// ends notes whether a body in chunks ends with these bytes.
func (c *turned) ends(b []byte) {
	if !c.chunked {
		return
	}
	c.left = 1
	if bytes.HasSuffix(b, []byte("0\r\n\r\n")) {
		c.left = 0
	}
}

// ReadNow implements turnable.
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

// headerValue returns the value of a header in the head of a request; nil: it has none.
func headerValue(head []byte, name string) []byte {
	for line := range bytes.Lines(head) {
		key, value, found := bytes.Cut(line, []byte(":"))
		if found && bytes.EqualFold(key, []byte(name)) {
			return bytes.TrimSpace(value)
		}
	}
	return nil
}
