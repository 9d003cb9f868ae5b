package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"
)

// This file decides why a request has ended before its answer was complete. Its context alone doesn't tell: the HTTP
// server cancels it in the same way whether the caller has closed its connection, the connection has broken or the
// link of the gateway that forwards it has ended.

// endCause is what ended a request before its answer was complete, for logs.
type endCause string

// Causes of the end of requests.
const (
	endedByCaller     endCause = "caller"     // it has closed its connection
	endedByConnection endCause = "connection" // the caller's connection broke
	endedByLink       endCause = "link"       // the link of the gateway that forwards the connection has ended
	endedByStop       endCause = "stop"       // this gateway is stopping
	endedByDeadline   endCause = "deadline"
)

// Errors that end requests.
var (
	errCallerClosed     = errors.New("gateway: the caller has closed its connection")
	errCallerReset      = errors.Mark(errors.New("gateway: the caller has reset its connection"), errCallerClosed)
	errConnectionBroke  = errors.New("gateway: the caller's connection has broken")
	errLinkEnded        = errors.New("gateway: the link of the gateway that forwards the connection has ended")
	errConnectionClosed = errors.New("gateway: it has closed the caller's connection")
	errEnded            = errors.New("gateway: it has ended")
)

// endCauses holds the cause of each error that ends requests.
var endCauses = []struct {
	err   error
	cause endCause
}{
	{errCallerClosed, endedByCaller},
	{errConnectionBroke, endedByConnection},
	{errLinkEnded, endedByLink},
	{errGraceExpired, endedByStop},
	{errConnectionClosed, endedByStop},
	{errEnded, endedByStop},
	{errDeadline, endedByDeadline},
}

// endCauseOf returns the cause of an error; empty: the request has failed for another reason.
func endCauseOf(err error) endCause {
	for _, e := range endCauses {
		if errors.Is(err, e.err) {
			return e.cause
		}
	}
	return ""
}

// linkEnder is a connection that another gateway forwards.
type linkEnder interface {
	// LinkEnded reports whether the connection has ended because its link has.
	LinkEnded() bool
}

// connectionEnd returns how the connection of a request has ended; nil: that is not known, or this gateway has
// closed it.
func connectionEnd(ctx context.Context) error {
	switch c := ctx.Value(connKey{}).(type) {
	case linkEnder:
		if c.LinkEnded() {
			return errLinkEnded
		}
	case *callerConn:
		return c.endError()
	}
	return nil
}

// endError returns how the connection has ended; nil: it has not, or this gateway has closed it.
func (c *callerConn) endError() error {
	err := c.readError.Load()
	switch {
	case err == nil || errors.Is(*err, net.ErrClosed):
		return nil
	case errors.Is(*err, io.EOF):
		return errCallerClosed
	case errors.Is(*err, syscall.ECONNRESET):
		return errCallerReset
	default:
		return connectionBroke(*err, "reading")
	}
}

// connectionBroke returns the error of a request whose connection has broken.
func connectionBroke(err error, doing string) error {
	return errors.Mark(errors.Wrapf(err, "%v while %s", errConnectionBroke, doing), errConnectionBroke)
}

// writeFailed returns the step after a part of the answer could not be written to the caller.
func (c *call) writeFailed(ctx context.Context, err error) failStep {
	switch {
	case errors.Is(context.Cause(ctx), errGraceExpired):
		return failStep{err: errGraceExpired}
	case errors.Is(connectionEnd(ctx), errLinkEnded):
		return failStep{err: errLinkEnded}
	default:
		return failStep{err: connectionBroke(err, "writing")}
	}
}

// failure returns why a request has failed, if its end was first noticed as err.
func (c *call) failure(err error) error {
	if err == nil {
		return errEnded
	}
	ctx := c.request.Context()
	if ctx.Err() == nil || errors.Is(err, errConnectionBroke) {
		return err
	}
	if end := connectionEnd(ctx); end != nil {
		return end
	}
	if errors.Is(err, errGraceExpired) {
		return err
	}
	if c, ok := ctx.Value(connKey{}).(*callerConn); ok && c.readError.Load() != nil {
		return errConnectionClosed
	}
	return errCallerClosed
}

// abort ends a request without an answer, or within it, in such a way that the caller can't take it for complete.
func (c *call) abort() {
	if c.result == "cut" {
		c.gateway.log.Warn().Str("event", "request.cut").Str("request", c.meta.ID).Str("error", c.reason).Str("ended_by", string(c.endedBy)).
			Str("last_event", c.lastEventID).Msg("response truncated")
	}
	panic(http.ErrAbortHandler)
}
