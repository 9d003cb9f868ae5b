package agent

import (
	"time"

	"opalbridge.dev/attempt"
	"opalbridge.dev/dispatch"
	"opalbridge.dev/fair"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

// event is an input of the admission loop: one of the types below.
type event interface{ event() }

// peerConnected reports a new connection of a router.
type peerConnected struct{ peer *wire.Peer }

// peerDisconnected reports that a router's connection has ended.
type peerDisconnected struct{ peer *wire.Peer }

// summingEvent reports whether a router sums the service counters of the agents.
type summingEvent struct {
	peer *wire.Peer
	on   bool
}

// demandEvent sets the number of requests of a class that wait at a router.
type demandEvent struct {
	peer     *wire.Peer
	class    dispatch.Class
	count    int
	estimate float64 // cost of the next request, in weighted tokens
}

// leavingEvent reports whether a router's live list says that this host is leaving.
type leavingEvent struct {
	peer    *wire.Peer
	leaving bool
}

// pongEvent reports that a router answered a ping.
type pongEvent struct{ peer *wire.Peer }

// declineEvent returns a grant that a router does not need.
type declineEvent struct {
	peer  *wire.Peer
	grant uint64
}

// startEvent asks whether an attempt may run.
type startEvent struct {
	start *wirepb.Start
	peer  *wire.Peer
	reply chan startResult // has capacity 1, so that the admission loop never blocks
}

// startResult answers a startEvent. The attempt may run if refused, unknownReason
// and duplicate are all unset.
type startResult struct {
	refused       *wirepb.NotRun
	unknownReason string
	duplicate     *attempt.Duplicate
	reserved      float64
	virtualTime   float64
}

// revokeEvent asks whether an attempt can be kept from running.
type revokeEvent struct {
	id    attempt.ID
	reply chan bool // has capacity 1
}

// chargeEvent charges an account for a part of a response.
type chargeEvent struct {
	account  fair.Account
	cost     float64
	reserved float64 // part of the reservation that the cost replaces
}

// doneEvent reports that an admitted attempt has ended.
type doneEvent struct {
	start        *wirepb.Start
	reserved     float64 // remaining reservation
	outcome      attempt.Outcome
	healthSignal healthSignal
}

// healthSignal is what the end of an attempt implies for the server's health.
type healthSignal int

const (
	noSignal healthSignal = iota
	served
	failed
)

// totalsEvent carries the fleet's service totals from a summing router.
type totalsEvent struct {
	sequence uint64
	totals   []fair.Total
}

// loadEvent is a load report of the server.
type loadEvent struct {
	slots   int
	waiting int
}

// configEvent reports a new configuration.
type configEvent struct{}

// drainEvent begins a planned stop.
type drainEvent struct{}

// statusEvent asks for the agent's status; reply has capacity 1.
type statusEvent struct{ reply chan *wirepb.NodeStatus }

func (peerConnected) event()    {}
func (peerDisconnected) event() {}
func (summingEvent) event()     {}
func (demandEvent) event()      {}
func (leavingEvent) event()     {}
func (pongEvent) event()        {}
func (declineEvent) event()     {}
func (startEvent) event()       {}
func (revokeEvent) event()      {}
func (chargeEvent) event()      {}
func (doneEvent) event()        {}
func (totalsEvent) event()      {}
func (loadEvent) event()        {}
func (configEvent) event()      {}
func (drainEvent) event()       {}
func (statusEvent) event()      {}

// now returns the runtime's time, which is virtual in tests with testing/synctest.
func now() time.Time { return time.Now() }
