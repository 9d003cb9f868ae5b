package router

import (
	"time"

	"opalbridge.dev/attempt"
	"opalbridge.dev/dispatch"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

// event is what the dispatcher is told: one of the types below.
type event interface{ event() }

// offerEvent asks for a place for a request; the reply comes at once or when the
// request is bound.
type submitEvent struct{ ticket *ticket }

// againEvent puts a request that was not run back at the head of its line. Full
// says that the agent had no room.
type requeueEvent struct {
	ticket *ticket
	agent  string
	full   bool
}

// leaveEvent takes a request out of the queue; the reply tells whether it was
// still there.
type cancelEvent struct {
	ticket *ticket
	reply  chan bool // capacity one
}

// endEvent tells that an attempt at an agent has ended.
type endEvent struct {
	ticket *ticket
	agent  string
	cost   float64 // weighted tokens; zero: not known
}

// declineEvent gives a granted place back unused.
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

// ticket is one request on its way through the dispatcher.
type ticket struct {
	request      *dispatch.Request
	account      string               // name
	maxWaiting   int                  // requests of the account that may wait here
	result       chan placementResult // capacity one: the dispatcher never waits
	expectedCost float64              // expected cost, settled when it is bound
	waitTime     time.Duration
	failedAgents []string // agents where an attempt failed
}

// placed is the dispatcher's word on a request: placement or refusal.
type placementResult interface{ placementResult() }

// placement binds a request to an agent.
type placement struct {
	peer   *wire.Peer
	grant  uint64 // zero: sent without one
	reason string
}

// refusal says that the request will not wait here.
type refusal struct {
	cause      attempt.Cause
	reason     string
	retryAfter time.Duration
}

func (placement) placementResult() {}
func (refusal) placementResult()   {}
