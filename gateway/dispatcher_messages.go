package gateway

import (
	"time"

	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/warmup"
)

// dispatcherMessage is a message to the dispatcher.
type dispatcherMessage interface{ dispatcherMessage() }

// Messages to the dispatcher.
type (
	// placementRequest asks for a decision. If the decision is to send, the request is
	// recorded as sent.
	placementRequest struct {
		request *placement.Request
		retry   bool            // the request has already reached a server
		done    <-chan struct{} // closed when the caller no longer waits for a decision
		tokens  float64
		reply   chan<- placement.Decision
	}
	// requestArrived reports a new request from a caller.
	requestArrived struct {
		service string
		account string
		tokens  float64
	}
	// firstEventReceived reports the first event of an attempt.
	firstEventReceived struct {
		attemptID uint64
		server    string
	}
	// attemptEnded reports the end of an attempt.
	attemptEnded struct {
		attemptID     uint64
		server        string
		end           placement.Outcome
		route         string
		status        int           // of the server's answer; 0: none, or an incomplete answer
		eventInterval time.Duration // mean time between events of a stream; 0: unknown
		service       string
		events        int // of a stream that was relayed from its beginning; 0: unknown
		withinShare   bool
		paused        bool // the pause between two events was longer than the route's longest one
	}
	// cacheReported reports the contents of a server's cache.
	cacheReported struct {
		server string
		parts  []uint64 // held in its cache
	}
	// claimWritten reports the outcome of a claim on a cold server.
	claimWritten struct {
		claim   warmup.Claim
		outcome warmup.Outcome
	}
	// leavingAnnounced reports that a server has announced that it is leaving.
	leavingAnnounced struct{ server string }
	// backoffRequested reports that a server has asked for backoff.
	backoffRequested struct {
		server string
		until  time.Time // it wants no requests before then
	}
	// invalidReceived reports that a server has sent bytes that are no answer, apart from the attempts
	// that they ended.
	invalidReceived struct{ server string }
	// viewReplaced passes on a new view.
	viewReplaced struct{ view *View }
	// peersUpdated passes on updates from other gateways.
	peersUpdated struct{ updates []peer.Update }
)

func (placementRequest) dispatcherMessage()     {}
func (requestArrived) dispatcherMessage()       {}
func (firstEventReceived) dispatcherMessage()   {}
func (attemptEnded) dispatcherMessage()         {}
func (cacheReported) dispatcherMessage()        {}
func (claimWritten) dispatcherMessage()         {}
func (leavingAnnounced) dispatcherMessage()     {}
func (backoffRequested) dispatcherMessage()     {}
func (invalidReceived) dispatcherMessage()      {}
func (viewReplaced) dispatcherMessage()         {}
func (peersUpdated) dispatcherMessage()         {}
func (rolloutStatusWritten) dispatcherMessage() {}
