// Package engine defines how opalbridge calls a backend server, cancels a call and
// reads the server's load.
//
// # Usage
//
// An agent has one [Server], on its own host:
//
//	s := &engine.Client{Base: "http://127.0.0.1:9000"}
//	response, err := s.Do(ctx, call)
//	_, err = response.Body.Read(buffer)
//
// Canceling the context of a call stops the work. A [Meter] reads the cost of a
// response as it streams. Other protocols are supported by other implementations of
// Server. Package enginetest has fake servers for tests.
package engine

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrNotSent means that the server has not received the call.
var ErrNotSent = errors.New("engine: call not sent")

// Call is a request to a model engine or a plain service.
type Call struct {
	RequestID string // may be recorded by the server
	Method    string
	Path      string // includes the query
	Header    http.Header
	Body      []byte
	Urgent    bool
}

// Response is a server's response. The caller must close Body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Load is a server's own load report, which may be out of date.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"` // maximum concurrent requests; 0 if unknown
}

// Server is a backend server.
type Server interface {
	// Do sends the call at most once. An error that wraps ErrNotSent means that
	// the server has not received it; after any other error it may have run.
	Do(ctx context.Context, c *Call) (*Response, error)
	// Load returns the server's latest report.
	Load(ctx context.Context) (Load, error)
}
