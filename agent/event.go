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

type peerUp struct{ peer *wire.Peer }

type peerDown struct{ peer *wire.Peer }

type summingEvent struct {
	peer *wire.Peer
	on   bool
}

type wantEvent struct {
	peer     *wire.Peer
	key      dispatch.Class
	count    int
	estimate float64
}

// listEvent tells what a router reads of this host in the live list.
type listEvent struct {
	peer    *wire.Peer
	leaving bool
}

// heardEvent tells that a router answered a ping.
type heardEvent struct{ peer *wire.Peer }

type declineEvent struct {
	peer  *wire.Peer
	grant uint64
}

type startEvent struct {
	start *wirepb.Start
	peer  *wire.Peer
	reply chan admitted // capacity one: the duty never waits
}

// admitted answers a startEvent; refused is nil when the attempt may run.
type admitted struct {
	refused  *wirepb.NotRun
	unknown  string
	repeat   *attempt.Duplicate
	reserved float64
	standing float64
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
	start    *wirepb.Start
	reserved float64 // what is left of the reservation
	outcome  attempt.Outcome
	verdict  verdict
}

// verdict is what an attempt's end tells of the server's health.
type verdict int

const (
	noVerdict verdict = iota
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

func (peerUp) event()       {}
func (peerDown) event()     {}
func (summingEvent) event() {}
func (wantEvent) event()    {}
func (listEvent) event()    {}
func (heardEvent) event()   {}
func (declineEvent) event() {}
func (startEvent) event()   {}
func (revokeEvent) event()  {}
func (chargeEvent) event()  {}
func (doneEvent) event()    {}
func (totalsEvent) event()  {}
func (loadEvent) event()    {}
func (configEvent) event()  {}
func (drainEvent) event()   {}
func (statusEvent) event()  {}

// now is the runtime's clock; tests pause and advance it.
func now() time.Time { return time.Now() }
