// Package engine is what opalbridge needs of a backend server: to do one call, to
// be told to stop it, and to say how loaded it is.
//
// # Usage
//
// An agent keeps one [Server], for its own host:
//
//	s := &engine.Client{Base: "http://127.0.0.1:9000"}
//	answer, err := s.Do(ctx, call)
//	_, err = answer.Body.Read(buffer)
//
// Cancelling the call's context stops the work. A [Meter] reads the cost of an
// answer as it streams. Another protocol is met by another implementation of
// Server. Stand-ins for tests are in enginetest.
package engine

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrNotSent says that the server has not seen the call.
var ErrNotSent = errors.New("engine: call not sent")

// Call is one call of a model engine or a plain service.
type Call struct {
	RequestID string // the request's id, which the server may record
	Method    string
	Path      string // with the query
	Header    http.Header
	Body      []byte
	Urgent    bool
}

// Response is a server's answer; its body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Load is a server's own report; it lags.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// Server is one backend server.
type Server interface {
	// Do sends the call at most once. An error that wraps ErrNotSent means that
	// the server has not seen it; after any other error it may have run.
	Do(ctx context.Context, c *Call) (*Response, error)
	// Load returns the server's latest report.
	Load(ctx context.Context) (Load, error)
}
