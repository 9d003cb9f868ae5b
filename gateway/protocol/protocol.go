// Package protocol describes the headers that callers and backend servers use,
// independently of their names in a deployment.
//
// # Usage
//
//	r, err := codec.Request(request.Header)
//	codec.Forward(header, protocol.Forward{Server: s.ID, Deadline: remaining})
//	resp := codec.Response(response.StatusCode, response.Header)
//
// The names themselves are in the adapter that implements [Codec].
package protocol

import (
	"net/http"
	"strings"
	"time"
)

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request holds a caller's headers.
type Request struct {
	ID                   string
	Key                  string // of the client account; empty: none given
	Deadline             time.Duration
	HasDeadline          bool
	Model                string
	Parts                []Part // of the prompt, in order; the last one is the caller's own
	PromptTokens         int    // 0: unknown
	MaxOutputTokens      int    // maximum tokens of the answer; 0: unknown
	ExpectedOutputTokens int    // the caller's estimate of the answer's tokens; 0: unknown
	LastEventID          string // resume after this event; empty: from the start
	// Resumes is the ID of the caller's attempt that brought the first event of the stream that
	// this request resumes; empty: not given, or not a single ID.
	Resumes string
}

// Forward holds the headers that the gateway sets on a request to a server.
type Forward struct {
	Caller      http.Header // as received; headers that describe the request are copied from here
	Server      string      // only this lifetime may run the request
	Account     string      // empty: none
	Deadline    time.Duration
	LastEventID string // resume after this event; empty: as the caller asked
	CopyFrom    string // address of a server whose cache holds more of the prompt; empty: none
	// BackupTo is the address of a server to which the run's memory is copied as it grows; empty: none.
	BackupTo string
	// ContinueFrom is the copy of the run's memory from which the server continues; zero: none.
	ContinueFrom RunCopy
}

// RunCopy identifies a copy of a run's memory.
type RunCopy struct {
	Address string // of the server that has given the handle
	Handle  string
}

// maxHandleLength limits handles. They go into a header and a path.
const maxHandleLength = 128

// ValidHandle reports whether a text may be the handle of a copy: letters, digits and the characters
// of identifiers, which mean the same in a header and in a path.
func ValidHandle(text string) bool {
	allowed := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.:~", r)
	}
	return text != "" && len(text) <= maxHandleLength && strings.Trim(text, ".") != "" && strings.IndexFunc(text, func(r rune) bool { return !allowed(r) }) < 0
}

// Response holds a server's headers.
type Response struct {
	RequestID   string        // of the request that it answers
	Sealed      bool          // the server vouches for the answer
	NotExecuted bool          // the server states that it has not run the request
	Leaving     bool          // the server takes no new work
	Backoff     time.Duration // the server has refused the request and wants none from this gateway for so long; 0: not given
	Server      string        // lifetime that answered; may be empty
}

// Codec reads and writes the headers of a deployment.
type Codec interface {
	// RequestIDHeader returns the name of the header with the request's ID.
	RequestIDHeader() string
	// Request decodes a caller's headers; the error describes what is wrong with them.
	Request(h http.Header) (Request, error)
	// Forward sets the gateway's own headers on a request to a server.
	Forward(h http.Header, f Forward)
	// Response decodes a server's headers.
	Response(status int, h http.Header) Response
}
