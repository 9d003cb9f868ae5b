package agent

import (
	"time"

	"opalbridge.dev/attempt"
	"opalbridge.dev/dispatch"
	"opalbridge.dev/fair"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

// event is what the admission duty is told: one of the types below.
type event interface{ event() }

type peerConnected struct{ peer *wire.Peer }

type peerDisconnected struct{ peer *wire.Peer }

type summingEvent struct {
	peer *wire.Peer
	on   bool
}

type demandEvent struct {
	peer     *wire.Peer
	class    dispatch.Class
	count    int
	estimate float64
}

// listEvent tells what a router reads of this host in the live list.
type leavingEvent struct {
	peer    *wire.Peer
	leaving bool
}

// heardEvent tells that a router answered a ping.
type pongEvent struct{ peer *wire.Peer }

type declineEvent struct {
	peer  *wire.Peer
	grant uint64
}

type startEvent struct {
	start *wirepb.Start
	peer  *wire.Peer
	reply chan startResult // capacity one: the duty never waits
}

// admitted answers a startEvent; refused is nil when the attempt may run.
type startResult struct {
	refused       *wirepb.NotRun
	unknownReason string
	duplicate     *attempt.Duplicate
	reserved      float64
	virtualTime   float64
}

type revokeEvent struct {
	id    attempt.ID
	reply chan bool // capacity one
}

type chargeEvent struct {
	account  fair.Account
	cost     float64
	reserved float64
}

// doneEvent tells that an admitted attempt has ended.
type doneEvent struct {
	start        *wirepb.Start
	reserved     float64 // what is left of the reservation
	outcome      attempt.Outcome
	healthSignal healthSignal
}

// verdict is what an attempt's end tells of the server's health.
type healthSignal int

const (
	noSignal healthSignal = iota
	served
	failed
)

type totalsEvent struct {
	sequence uint64
	totals   []fair.Total
}

type loadEvent struct {
	slots   int
	waiting int
}

type configEvent struct{}

type drainEvent struct{}

type statusEvent struct{ reply chan *wirepb.NodeStatus } // capacity one

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

// now is the runtime's clock; tests pause and advance it.
func now() time.Time { return time.Now() }
