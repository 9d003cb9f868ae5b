package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/upstream"
)

// Sizes of answers.
const (
	// An answer that is no stream is read whole up to this size before its first byte
	// goes on, so that a broken one can be asked for again or be called failed.
	wholeAnswer = 1 << 20
	// The longest event of a stream. Events hold a few tokens.
	longestEvent = 64 << 10
	// A stream is read in pieces of this size: several events fit.
	eventBuffer = 2 << 10
)

// pass passes an answer on to the caller.
func (c *call) pass(ctx context.Context, d placement.Assign, sent time.Time, a *upstream.Response) (placement.Outcome, step) {
	if a.Status >= http.StatusInternalServerError && c.mayTryAgain() {
		return placement.Failed, again{errors.Newf("gateway: server %s answered %d", d.Server.ID, a.Status)}
	}
	if c.headSent && a.Status != http.StatusOK {
		return placement.Failed, c.afterFailure(errors.Newf("gateway: server %s does not resume: status %d", d.Server.ID, a.Status))
	}
	if c.route.Kind == catalog.Stream && a.Status == http.StatusOK {
		return c.passStream(ctx, d, sent, a)
	}
	return c.passWhole(ctx, d, sent, a)
}

// mayTryAgain tells whether a failed answer may be replaced by another server's.
func (c *call) mayTryAgain() bool {
	if !c.route.MayRepeat() || c.attempts >= c.route.MaxAttempts {
		return false
	}
	n, _ := c.crashesSeen()
	return n < noRetryCrashes
}

// passWhole passes on an answer that is no stream.
func (c *call) passWhole(ctx context.Context, d placement.Assign, sent time.Time, a *upstream.Response) (placement.Outcome, step) {
	body, err := io.ReadAll(io.LimitReader(a.Body, wholeAnswer))
	if err != nil {
		if ctx.Err() != nil {
			return placement.Abandoned, c.abandonAttempt(ctx, d, sent)
		}
		c.reportLost(d, sent, lossConnectionBroke)
		return placement.Failed, c.afterFailure(errors.Wrapf(err, "gateway: answer of server %s", d.Server.ID))
	}
	c.gateway.dispatcher.send(firstEventReceived{ticket: d.ID, server: d.Server.ID})
	c.copyHead(a)
	if a.Length < 0 && len(body) < wholeAnswer && c.request.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.begin(a)
	if _, err := c.w.Write(body); err != nil {
		c.result, c.reason = "left", err.Error()
		return placement.Served, done{}
	}
	if len(body) == wholeAnswer {
		if _, err := io.Copy(c.w, a.Body); err != nil {
			return placement.Failed, fail{err: err}
		}
	}
	c.result = "served"
	if a.Status >= http.StatusBadRequest {
		c.result, c.reason = "failed", "server answered "+strconv.Itoa(a.Status)
	}
	if a.Status >= http.StatusInternalServerError {
		return placement.Failed, done{}
	}
	c.reportAnswered()
	return placement.Served, done{}
}

// copyHead takes the head of a server's answer over, once.
func (c *call) copyHead(a *upstream.Response) {
	h := c.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	if a.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	if c.gateway.stopping.Load() || passedOn(c.request.Context()) {
		h.Set("Connection", "close")
	}
}

// passStream passes events on as they come. Only whole events go on, so that a broken
// stream can go on at another server where its route allows that.
func (c *call) passStream(ctx context.Context, d placement.Assign, sent time.Time, a *upstream.Response) (placement.Outcome, step) {
	events := bufio.NewReaderSize(a.Body, eventBuffer)
	control := http.NewResponseController(c.w)
	started := false
	for {
		event, err := readEvent(events)
		if err != nil && ctx.Err() != nil {
			return placement.Abandoned, c.abandonAttempt(ctx, d, sent)
		}
		if err != nil && err != io.EOF {
			c.reportLost(d, sent, lossConnectionBroke)
			return placement.Failed, c.afterFailure(errors.Wrapf(err, "gateway: stream of server %s", d.Server.ID))
		}
		if err == io.EOF && len(event) > 0 && a.Length < 0 {
			c.reportLost(d, sent, lossConnectionBroke)
			return placement.Failed, c.afterFailure(errors.Newf("gateway: stream of server %s ends within an event", d.Server.ID))
		}
		if !started {
			started = true
			c.gateway.dispatcher.send(firstEventReceived{ticket: d.ID, server: d.Server.ID})
		}
		if len(event) > 0 && !c.repeated(event) {
			if werr := c.passEvent(a, control, event, events.Buffered() > 0); werr != nil {
				c.result, c.reason = "left", werr.Error()
				return placement.Abandoned, done{}
			}
		}
		if err == io.EOF {
			c.sendHead(a)
			c.result = "served"
			c.reportAnswered()
			return placement.Served, done{}
		}
	}
}

// sendHead sends the head of the answer if that has not been done.
func (c *call) sendHead(a *upstream.Response) {
	if c.headSent {
		return
	}
	c.copyHead(a)
	if c.route.Resumable {
		c.w.Header().Del("Content-Length") // another server's events may follow
	}
	c.begin(a)
}

// begin sends the head of an answer.
func (c *call) begin(a *upstream.Response) {
	c.w.WriteHeader(a.Status)
	c.headSent, c.first = true, time.Now()
	c.responseStarted.Store(true)
}

// passEvent writes an event; more tells that another one is at hand, so that they can
// go out together.
func (c *call) passEvent(a *upstream.Response, control *http.ResponseController, event []byte, more bool) error {
	c.sendHead(a)
	if _, err := c.w.Write(event); err != nil {
		return err
	}
	now := time.Now()
	if !c.lastEventAt.IsZero() {
		c.pause = max(c.pause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	if c.events++; c.events == 1 {
		c.began = now
	}
	if id := eventID(event); id != "" {
		c.lastEvent = id
	}
	if more {
		return nil
	}
	return control.Flush()
}

// meanPause returns the mean time between the events of the latest answer; 0: it had too few.
func (c *call) meanPause() time.Duration {
	const least = 3
	if c.events < least {
		return 0
	}
	return c.lastEventAt.Sub(c.began) / time.Duration(c.events-1)
}

// repeated tells whether an event has been passed on before the stream was resumed.
func (c *call) repeated(event []byte) bool {
	last, err := strconv.ParseInt(c.lastEvent, 10, 64)
	if err != nil {
		return false // none was passed on, or IDs are no numbers
	}
	id, err := strconv.ParseInt(eventID(event), 10, 64)
	return err == nil && id <= last
}

// readEvent reads up to the end of an event: an empty line. At the end of the stream
// it returns what is left with io.EOF.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		begins := len(event) == 0 || event[len(event)-1] == '\n'
		event = append(event, line...)
		if len(event) > longestEvent {
			return event, errors.New("gateway: event of a stream is too long")
		}
		if err == bufio.ErrBufferFull {
			continue // the line goes on
		}
		if err != nil {
			return event, err
		}
		if begins && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

// eventID returns the ID of an event; "" when it has none.
func eventID(event []byte) string {
	for line := range strings.Lines(string(event)) {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
