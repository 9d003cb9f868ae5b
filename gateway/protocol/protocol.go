// Package protocol is what the gateway needs to know of the headers that callers
// and backend servers use, whatever their names are on a deployment.
//
// # Usage
//
//	r, err := codec.Request(request.Header)
//	codec.Forward(header, protocol.Forward{Server: s.ID, Deadline: left})
//	a := codec.Answer(response.StatusCode, response.Header)
//
// The names themselves are in the adapter that implements [Codec].
package protocol

import (
	"net/http"
	"time"
)

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is what a caller's headers say.
type Request struct {
	ID                   string
	Key                  string // of the client account; empty: none was shown
	Deadline             time.Duration
	HasDeadline          bool
	Model                string
	Parts                []Part // of the prompt, in order; the last one is the caller's own
	PromptTokens         int    // 0: not told
	MaxOutputTokens      int    // most tokens of the answer; 0: not told
	ExpectedOutputTokens int    // the caller's guess of the answer's tokens; 0: not told
	LastEventID          string // go on after this event; empty: from the start
}

// Forward is what the gateway sets on a request for a server.
type Forward struct {
	Caller      http.Header // as the caller sent them; what describes the request is taken from here
	Server      string      // only this incarnation may run it
	Account     string      // empty: none
	Deadline    time.Duration
	LastEventID string // go on after this event; empty: what the caller said
	CopyFrom    string // address of a server that holds more of the prompt in its cache; empty: none
}

// Response is what a server's headers say.
type Response struct {
	RequestID   string        // the request it answers
	Sealed      bool          // the server vouches for the answer
	NotExecuted bool          // the server states that it has not run the request
	Leaving     bool          // the server takes no new work
	Backoff     time.Duration // the server turned the request away and wants nothing from this gateway for so long; 0: it did not say so
	Server      string        // incarnation that answered, where it is told
}

// Codec reads and writes the headers of a deployment.
type Codec interface {
	// RequestIDHeader names the header that holds a request's id.
	RequestIDHeader() string
	// Request reads a caller's headers; the error says what is wrong with them.
	Request(h http.Header) (Request, error)
	// Forward sets the gateway's own headers on a request for a server.
	Forward(h http.Header, f Forward)
	// Answer reads a server's headers.
	Answer(status int, h http.Header) Response
}
