package peer

import (
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/offload"
	"opalbridge.dev/gateway/peer/peerpb"
)

// This file declares the messages that gateways exchange, and the methods that publish them.

// Load is the load that a request puts on a server.
type Load struct {
	Server uint64 // hash of the lifetime ID
	Work   time.Duration
	Parts  []uint64
	Tokens int // space that it takes in the server's cache
}

// Backlog is the prefill work that a server still had when a request's first event showed it.
type Backlog struct {
	Server    uint64 // hash of the lifetime ID
	Remaining time.Duration
}

// Refusal is a request that was refused and whose caller may retry.
type Refusal struct {
	Key          uint64    // of the request's content
	Deadline     time.Time // when its caller gives up
	FirstAttempt time.Time // when its caller tried first
}

// Key identifies a request by its content and its client account.
type Key [16]byte

// Crash is the crash of a server that was running requests of a gateway.
type Crash struct {
	Server   string // lifetime ID
	At       time.Time
	Suspects []Key  // those requests; of more than 64, the first ones are sent
	Parts    []Part // parts of their prompts; of more than 32, the first ones are sent
}

// Part is a part of the prompt of a request that was running on a server when it crashed.
type Part struct {
	Key            Key
	Request        Key    // the request
	Account        string // of the request
	AnsweredBefore bool   // the sender knows of an answer on it before the crash
}

// Cleared is a request that was present at crashes and has been answered since, so it was not
// their cause.
type Cleared struct {
	Key     Key
	Servers []string // lifetime IDs
}

// Speed is the estimated speed of a service's engines.
type Speed struct {
	Service         uint64        // hash of its name
	PrefillSlowdown float64       // ratio of the prefill time to the one given by the policy
	FirstEventDelay time.Duration // from the end of the prefill to the first event
}

// State is what a gateway reports about itself.
type State struct {
	Running              map[uint64]int // own requests by hash of the server's lifetime ID
	Demands              []*peerpb.Demand
	Speeds               []Speed
	ConfigurationVersion uint64
	StoreRevision        catalog.Revision
	ConfirmedAt          time.Time         // when StoreRevision was last confirmed as the store's latest
	StoreUnreachable     bool              // own calls to the store fail
	Weight               int               // thousandths of a core that it may use; 0 while it is short of processor time
	NotAdmitted          int               // percent of connections that it does not admit, at least 1 while it is short of processor time
	Readiness            offload.Readiness // what it answers to the load balancer
	TellsSpare           bool              // Spare is reported
	Spare                int               // thousandths of a core of Weight that it does not use
	Rollouts             []*peerpb.Rollout
}

// Update is what another gateway reports.
type Update struct {
	From  string // IP address
	Hall  string // empty: not known yet
	Alive bool
	// The following fields are set only if Alive.
	Loads          []Load // not reported before
	Backlogs       []Backlog
	Refusals       []Refusal
	Crashes        []Crash
	Cleared        []Cleared
	PartsAnswered  []Key          // parts that were present at crashes and had been answered before
	LeavingServers []string       // lifetime IDs of servers that have announced in responses that they are leaving
	Running        map[uint64]int // if Full, of all servers; otherwise of those where it has changed
	Full           bool
	Speeds         []Speed           // only if Full
	Weight         int               // thousandths of a core that it may use; 0 while it is short of processor time; only if Full
	NotAdmitted    int               // percent of connections that it does not admit; only if Full
	Readiness      offload.Readiness // only if Full
	TellsSpare     bool              // it has reported its spare CPU since it started; only if Full
	Spare          int               // thousandths of a core of Weight that it did not use when it told last; only if Full
	Rollouts       []*peerpb.Rollout // only if Full, and only those that have changed
	// Demands is set only if HasDemands.
	Demands              []*peerpb.Demand
	HasDemands           bool
	ConfigurationVersion uint64
	StoreRevision        catalog.Revision
	ConfirmedAt          time.Time // when StoreRevision was last confirmed as the store's latest
	StoreUnreachable     bool      // own calls to the store fail
}

// offer puts an item into a queue unless it is full, and reports whether it did.
func offer[T any](queue chan<- T, item T) bool {
	select {
	case queue <- item:
		return true
	default:
		return false
	}
}

// PublishLoad sends a load to the other gateways soon. It never blocks: a load that finds the
// queue full is dropped, which only costs accuracy.
func (n *Node) PublishLoad(l Load) { offer(n.loads, l) }

// PublishBacklog sends a server's backlog with the next beacon. It never blocks; see PublishLoad.
func (n *Node) PublishBacklog(b Backlog) { offer(n.backlogs, b) }

// PublishRefusal sends with the next beacons that a request was refused. It never blocks; see
// PublishLoad.
func (n *Node) PublishRefusal(r Refusal) { offer(n.refusals, r) }

// PublishCrash sends with the next beacons that a server has crashed. It never blocks: requests of
// a crash that is dropped are counted at the next one.
func (n *Node) PublishCrash(c Crash) {
	if offer(n.crashes, c) {
		n.SendSoon()
	}
}

// PublishCleared sends with the next beacons that a request caused no crash. It never blocks: the
// next gateway that answers the request publishes it again.
func (n *Node) PublishCleared(c Cleared) { offer(n.cleared, c) }

// PublishPartAnswered sends with the next beacons that a part which was present at a crash had been
// answered before. It never blocks: the next crash under the part is another occasion.
func (n *Node) PublishPartAnswered(k Key) {
	if offer(n.partsAnswered, k) {
		n.SendSoon()
	}
}

// PublishLeaving sends with the next beacons that a server has announced that it is leaving. It
// never blocks: the others then learn it from the server or from its entry.
func (n *Node) PublishLeaving(server string) {
	if offer(n.leavingServers, server) {
		n.SendSoon()
	}
}

// SendSoon makes the next beacon go out soon. It never blocks: if the queue is full, one is due.
func (n *Node) SendSoon() { offer(n.sendSoon, struct{}{}) }
