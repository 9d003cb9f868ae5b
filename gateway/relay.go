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
	"opalbridge.dev/gateway/memory"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/upstream"
)

// Sizes of responses.
const (
	// A response that is not a stream is buffered up to this size before its first byte is
	// relayed, so that a truncated one can be retried or reported as failed. One for which there is
	// no memory is relayed as it comes.
	maxBufferedResponse = 1 << 20
	// The same for a caller that can't tell a cut response from a whole one otherwise.
	maxResponseWithLength = 16 << 20
	// Bytes of a response, and of an event, that belong to the memory of a request (memoryPerRequest).
	coveredAnswer = 8 << 10
	// Maximum size of a stream's event. Events hold a few tokens.
	maxEventBytes = 64 << 10
	// Buffer size for reading a stream: several events fit.
	eventBufferSize = 2 << 10
)

// relay relays a response to the caller.
func (c *call) relay(ctx context.Context, d placement.Assign, sent time.Time, r *upstream.Response) (placement.Outcome, step) {
	if r.Status >= http.StatusInternalServerError && c.canRetry() {
		return placement.Failed, retryStep{errors.Newf("gateway: server %s answered %d", d.Server.ID, r.Status)}
	}
	if c.headerSent && r.Status != http.StatusOK {
		return placement.Failed, c.retryOrFail(errors.Newf("gateway: server %s does not resume: status %d", d.Server.ID, r.Status))
	}
	if c.route.Kind == catalog.Stream && r.Status == http.StatusOK && !c.needsLength() {
		return c.relayStream(ctx, d, sent, r)
	}
	return c.relayBuffered(ctx, d, sent, r)
}

// canRetry reports whether a failed response may be replaced by another server's.
func (c *call) canRetry() bool {
	if !c.route.MayRepeat() || c.attempts+c.crashResumes >= c.route.MaxAttempts {
		return false
	}
	n, _ := c.crashesSeen()
	return n < noRetryCrashes
}

// relayBuffered relays a response that is not a stream.
func (c *call) relayBuffered(ctx context.Context, d placement.Assign, sent time.Time, r *upstream.Response) (placement.Outcome, step) {
	held := c.gateway.options.Memory.NewReservation(d.Server.ID, coveredAnswer)
	defer held.Release()
	limit := int64(maxBufferedResponse)
	lengthMissing := r.Length < 0 && c.needsLength()
	if lengthMissing {
		limit = maxResponseWithLength
	}
	body, err := memory.ReadAll(r.Body, r.Length, limit, held)
	whole := err == nil
	if err != nil && !errors.Is(err, memory.ErrTooLong) && !errors.Is(err, memory.ErrNoRoom) {
		if ctx.Err() != nil {
			return placement.Abandoned, c.abandonAttempt(ctx, d, sent)
		}
		c.reportBroken(d, sent, err)
		return placement.Failed, c.retryOrFail(errors.Wrapf(err, "gateway: answer of server %s", d.Server.ID))
	}
	if !whole && lengthMissing {
		return placement.Failed, failStep{err: errors.Wrapf(err, "gateway: answer of server %s for a caller of HTTP/1.0", d.Server.ID)}
	}
	if whole && c.endedWithServer(ctx, d, sent, r) {
		return placement.Failed, c.retryOrFail(errors.Newf("gateway: server %s ended within its answer", d.Server.ID))
	}
	c.gateway.dispatcher.send(firstEventReceived{attemptID: d.ID, server: d.Server.ID})
	c.copyHeader(r)
	if r.Length < 0 && whole && c.request.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.writeHeader(r)
	if _, err := c.w.Write(body); err != nil {
		return placement.Served, c.writeFailed(ctx, err)
	}
	if !whole {
		held.Release()
		rest := &errorReader{Reader: r.Body}
		_, err := io.Copy(c.w, rest)
		switch {
		case err != nil && rest.err == nil:
			return placement.Served, c.writeFailed(ctx, err)
		case err != nil && ctx.Err() != nil:
			return placement.Abandoned, c.abandonAttempt(ctx, d, sent)
		case err != nil:
			c.recordInvalid(d.Server, err)
			return placement.Failed, failStep{err: err}
		}
		if c.endedWithServer(ctx, d, sent, r) {
			return placement.Failed, failStep{err: errors.Newf("gateway: server %s ended within its answer", d.Server.ID)}
		}
	}
	c.result = "served"
	if r.Status >= http.StatusBadRequest {
		c.result, c.reason = "failed", "server answered "+strconv.Itoa(r.Status)
	}
	if r.Status >= http.StatusInternalServerError {
		return placement.Failed, doneStep{}
	}
	c.reportAnswered(r.Status)
	return placement.Served, doneStep{}
}

// errorReader keeps the error of the reader, other than io.EOF.
type errorReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *errorReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

// copyHeader copies the header of a server's response.
func (c *call) copyHeader(r *upstream.Response) {
	h := c.w.Header()
	for name, values := range r.Header {
		h[name] = values
	}
	if r.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	if c.gateway.endsConnection(c.request) {
		h.Set("Connection", "close")
	}
}

// relayStream relays events as they arrive. Only whole events are relayed, so that another
// server can resume a broken stream where the route allows that.
func (c *call) relayStream(ctx context.Context, d placement.Assign, sent time.Time, r *upstream.Response) (placement.Outcome, step) {
	events := eventReader{reader: bufio.NewReaderSize(r.Body, eventBufferSize), held: c.gateway.options.Memory.NewReservation(d.Server.ID, coveredAnswer)}
	defer events.held.Release()
	control := http.NewResponseController(c.w)
	started := false
	for {
		event, err := events.read()
		if err != nil {
			if next, ok := c.movedAway(ctx, c.serverRun, err == io.EOF && !r.Unframed, err); ok {
				return placement.Abandoned, next
			}
		}
		if err != nil && ctx.Err() != nil {
			return placement.Abandoned, c.abandonAttempt(ctx, d, sent)
		}
		if err != nil && err != io.EOF {
			c.reportBroken(d, sent, err)
			return placement.Failed, c.continueOrRetry(ctx, d, errors.Wrapf(err, "gateway: stream of server %s", d.Server.ID))
		}
		if err == io.EOF && len(event) > 0 && r.Length < 0 {
			c.reportLost(d, sent, lossConnectionBroke)
			return placement.Failed, c.continueOrRetry(ctx, d, errors.Newf("gateway: stream of server %s ends within an event", d.Server.ID))
		}
		if err == io.EOF && c.endedWithServer(ctx, d, sent, r) {
			return placement.Failed, c.continueOrRetry(ctx, d, errors.Newf("gateway: server %s ended within its stream", d.Server.ID))
		}
		if !started {
			started = true
			c.gateway.dispatcher.send(firstEventReceived{attemptID: d.ID, server: d.Server.ID})
			c.logContinued()
		}
		if len(event) > 0 && !c.alreadyRelayed(event) {
			if err := c.checkContinues(event); err != nil {
				return placement.Failed, c.retryOrFail(err)
			}
			c.pinVersion(ctx, d.Server, r)
			if werr := c.relayEvent(r, control, event, events.reader.Buffered() > 0); werr != nil {
				return placement.Abandoned, c.writeFailed(ctx, werr)
			}
		}
		if err == io.EOF {
			c.sendHeader(r)
			c.result = "served"
			c.reportAnswered(r.Status)
			return placement.Served, doneStep{}
		}
	}
}

// sendHeader sends the header of the response unless that has been done.
func (c *call) sendHeader(r *upstream.Response) {
	if c.headerSent {
		return
	}
	c.copyHeader(r)
	if c.route.Resumable {
		c.w.Header().Del("Content-Length") // another server's events may follow
	}
	c.writeHeader(r)
}

// writeHeader writes the response header.
func (c *call) writeHeader(r *upstream.Response) {
	c.resetUnlessComplete()
	c.w.WriteHeader(r.Status)
	c.headerSent, c.firstByteAt = true, time.Now()
	c.responseStarted.Store(true)
}

// relayEvent writes an event; more reports that another one is buffered, so that both can be
// flushed together.
func (c *call) relayEvent(r *upstream.Response, control *http.ResponseController, event []byte, more bool) error {
	c.sendHeader(r)
	if _, err := c.w.Write(event); err != nil {
		return err
	}
	now := time.Now()
	if !c.lastEventAt.IsZero() {
		c.maxEventGap = max(c.maxEventGap, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	if c.eventCount++; c.eventCount == 1 {
		c.firstEventAt = now
	}
	id := eventID(event)
	if id != "" {
		c.lastEventID = id
	}
	c.sequence.Add(id, hasData(event))
	c.relayed++
	c.serverRun.EventRelayed(now, c.sequence.Joinable(), r.LifetimeConfirmed())
	if more {
		return nil
	}
	return control.Flush()
}

// meanEventInterval returns the mean interval between the events of the latest response; 0 if it
// had too few.
func (c *call) meanEventInterval() time.Duration {
	const minEvents = 3
	if c.eventCount < minEvents {
		return 0
	}
	return c.lastEventAt.Sub(c.firstEventAt) / time.Duration(c.eventCount-1)
}

// alreadyRelayed reports whether an event was relayed before the stream was resumed.
func (c *call) alreadyRelayed(event []byte) bool {
	last, err := strconv.ParseInt(c.lastEventID, 10, 64)
	if err != nil {
		return false // no event was relayed, or event IDs are not numbers
	}
	id, err := strconv.ParseInt(eventID(event), 10, 64)
	return err == nil && id <= last
}

// reportBroken records that an answer could not be read to its end: its connection broke, or the server
// has sent bytes that are no answer.
func (c *call) reportBroken(d placement.Assign, sent time.Time, err error) {
	if !c.recordInvalid(d.Server, err) {
		c.reportLost(d, sent, lossConnectionBroke)
	}
}

// errEventTooLong reports an event beyond the limit.
var errEventTooLong = errors.New("gateway: event of a stream is too long")

// eventReader reads the events of a stream.
type eventReader struct {
	reader *bufio.Reader
	held   *memory.Reservation // for long events
}

// read reads up to the empty line that ends an event. At the end of the stream it returns the rest and
// io.EOF.
func (r eventReader) read() ([]byte, error) {
	r.held.Release()
	var event []byte
	for {
		line, err := r.reader.ReadSlice('\n')
		if len(event)+len(line) > maxEventBytes {
			return event, upstream.NewInvalidError(upstream.InvalidLongEvent, errEventTooLong)
		}
		if !r.held.GrowTo(int64(len(event) + len(line))) {
			return event, errors.Wrap(memory.ErrNoRoom, "gateway: event of a stream")
		}
		atLineStart := len(event) == 0 || event[len(event)-1] == '\n'
		event = append(event, line...)
		if err == bufio.ErrBufferFull {
			continue // the line continues
		}
		if err != nil {
			return event, err
		}
		if atLineStart && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

// hasData reports whether an event has data.
func hasData(event []byte) bool {
	return bytes.HasPrefix(event, []byte("data")) || bytes.Contains(event, []byte("\ndata"))
}

// eventID returns the ID of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range strings.Lines(string(event)) {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
