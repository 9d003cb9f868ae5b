package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/memory"
)

// Invalid says in which way bytes from a server are no answer.
type Invalid string

// Kinds of bytes that are no answer.
const (
	InvalidHead         Invalid = "head"          // they form no head, or no final one
	InvalidLongHead     Invalid = "long_head"     // the head, with the interim ones before it, is too long
	InvalidBody         Invalid = "body"          // the body breaks the framing of the protocol
	InvalidLongEvent    Invalid = "long_event"    // an event of a stream is too long
	InvalidOtherRequest Invalid = "other_request" // the answer does not name the request
	InvalidUnsealed     Invalid = "unsealed"      // a success for which the server does not vouch
	InvalidEncoding     Invalid = "encoding"      // a content encoding that was not requested
	InvalidSurplus      Invalid = "surplus"       // bytes after a whole answer
	InvalidReport       Invalid = "report"        // the answer to a call for the server's status
	InvalidCache        Invalid = "cache"         // the answer to a call for the contents of its cache
	InvalidCopy         Invalid = "copy"          // the answer to a call for the copy of a run
)

// InvalidError reports that a server has sent bytes that are no answer.
type InvalidError struct {
	Kind   Invalid
	Detail string // for logs; it holds little of what the server has sent
}

// NewInvalidError returns an error for bytes that are no answer. Of the cause, which may repeat what the
// server has sent, only the beginning is kept.
func NewInvalidError(k Invalid, cause error) *InvalidError {
	return &InvalidError{Kind: k, Detail: shorten(cause.Error())}
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("upstream: bytes that are no answer (%s): %s", e.Kind, e.Detail)
}

// shorten returns the beginning of a text that may repeat bytes of a server.
func shorten(text string) string {
	const maxDetail = 120
	if len(text) <= maxDetail {
		return text
	}
	return text[:maxDetail] + "…"
}

// BrokeOff reports whether the reading of an answer has failed because its connection did, or because
// nobody waits for it any more. Every other failure is about the bytes that were read.
func BrokeOff(err error) bool {
	var network *net.OpError
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
		return true
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded), errors.Is(err, memory.ErrNoRoom):
		return true
	}
	return errors.As(err, &network)
}
