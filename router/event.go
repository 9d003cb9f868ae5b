package router

import (
	"time"

	"opalbridge.dev/attempt"
	"opalbridge.dev/dispatch"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

// event is an event handled by the dispatcher: one of the types below.
type event interface{ event() }

// submitEvent submits a request; the result arrives at once or when the request is
// bound.
type submitEvent struct{ ticket *ticket }

// requeueEvent returns a request that did not run to the head of its queue.
type requeueEvent struct {
	ticket *ticket
	agent  string
	full   bool // the agent had no free slot
}

// cancelEvent removes a request from the queue; the reply tells whether it was
// still queued.
type cancelEvent struct {
	ticket *ticket
	reply  chan bool // capacity one
}

// endEvent reports that an attempt at an agent has ended.
type endEvent struct {
	ticket *ticket
	agent  string
	cost   float64 // weighted tokens; zero: unknown
}

// declineEvent returns an unused placement and its grant, if any.
type declineEvent struct{ placement placement }

type agentConnectedEvent struct{ peer *wire.Peer }

type agentDisconnectedEvent struct{ peer *wire.Peer }

type grantEvent struct {
	peer  *wire.Peer
	grant *wirepb.Grant
}

type loadEvent struct {
	peer *wire.Peer
	load *wirepb.Load
}

type configEvent struct{}

type snapshotEvent struct{ reply chan snapshot } // capacity one

func (submitEvent) event()            {}
func (requeueEvent) event()           {}
func (cancelEvent) event()            {}
func (endEvent) event()               {}
func (declineEvent) event()           {}
func (agentConnectedEvent) event()    {}
func (agentDisconnectedEvent) event() {}
func (grantEvent) event()             {}
func (loadEvent) event()              {}
func (configEvent) event()            {}
func (snapshotEvent) event()          {}

// ticket is a request in the dispatcher, with the channel for its result.
type ticket struct {
	request      *dispatch.Request
	account      string               // account name
	maxWaiting   int                  // limit of the account's requests in this queue
	result       chan placementResult // capacity one: the dispatcher never blocks
	expectedCost float64              // in weighted tokens, set when the request is bound
	waitTime     time.Duration
	failedAgents []string // agents where an attempt failed
}

// placementResult is the dispatcher's decision on a request: placement or rejection.
type placementResult interface{ placementResult() }

// placement binds a request to an agent.
type placement struct {
	peer   *wire.Peer
	grant  uint64 // ID of the agent's grant; zero: sent without one
	reason string
}

// rejection rejects a request, with the cause for the caller.
type rejection struct {
	cause      attempt.Cause
	reason     string
	retryAfter time.Duration
}

func (placement) placementResult() {}
func (rejection) placementResult() {}
