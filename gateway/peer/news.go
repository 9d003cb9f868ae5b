package peer

import (
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer/peerpb"
)

// This file has what gateways tell each other, and how this one's duties hand it in.

// Load is what a request put on a server.
type Load struct {
	Server uint64 // hash of the incarnation's id
	Work   time.Duration
	Parts  []uint64
	Tokens int // that the server's cache takes up for it
}

// Backlog is what a server had still to read when a request's first event showed it.
type Backlog struct {
	Server    uint64 // hash of the incarnation's id
	Remaining time.Duration
}

// Refusal is a request that was turned away and whose caller may come back.
type Refusal struct {
	Key          uint64    // of what it asks
	Deadline     time.Time // when its caller gives up
	FirstAttempt time.Time // when its caller tried first
}

// Key names what a request asks, and of which account.
type Key [16]byte

// Crash is a server that has ended while it had requests of a gateway.
type Crash struct {
	Server   string // its lifetime
	Suspects []Key  // those requests; of more than 64, the first ones are told
}

// Cleared is a request that was at servers when they ended, and that has been answered
// since: it was not the cause.
type Cleared struct {
	Key     Key
	Servers []string // lifetimes
}

// Speed is how fast a service's engines are believed to be.
type Speed struct {
	Service         uint64        // hash of its name
	PrefillSlowdown float64       // how much longer reading takes than the policy says
	FirstEventDelay time.Duration // from the end of reading to the first event
}

// State is what a gateway tells of itself.
type State struct {
	Running              map[uint64]int // own requests by hash of the server's id
	Demands              []*peerpb.Demand
	Speeds               []Speed
	ConfigurationVersion uint64
	StoreRevision        catalog.Revision
	ConfirmedAt          time.Time // when StoreRevision was last known to be the store's latest
	StoreUnreachable     bool      // own calls to the store fail
	Weight               int       // thousandths of a core that it may use, 0 while it is short of them
	Rollouts             []*peerpb.Rollout
}

// Update is news of another gateway.
type Update struct {
	From  string // IP address
	Hall  string // empty: not told yet
	Alive bool
	// What follows is set only when Alive.
	Loads          []Load // not told before
	Backlogs       []Backlog
	Refusals       []Refusal
	Crashes        []Crash
	Cleared        []Cleared
	LeavingServers []string       // lifetimes of servers that have said in answers that they leave
	Running        map[uint64]int // if Whole, of all servers; else of those where it has changed
	Full           bool
	Speeds         []Speed           // only if Whole
	Weight         int               // thousandths of a core that it may use, 0 while it is short of them; only if Whole
	Rollouts       []*peerpb.Rollout // only if Whole, and only those of which something has changed
	// Demands are set only when DemandsTold.
	Demands              []*peerpb.Demand
	HasDemands           bool
	ConfigurationVersion uint64
	StoreRevision        catalog.Revision
	ConfirmedAt          time.Time // when StoreRevision was last known to be the store's latest
	StoreUnreachable     bool      // own calls to the store fail
}

// PublishLoad passes a load on to the others soon; it never blocks.
func (n *Node) PublishLoad(l Load) {
	select {
	case n.loads <- l:
	default: // accuracy only
	}
}

// PublishBacklog passes on how far a server has got, with the next beacon; it never blocks.
func (n *Node) PublishBacklog(b Backlog) {
	select {
	case n.backlogs <- b:
	default: // accuracy only
	}
}

// PublishRefusal passes on that a request was turned away, with the next beacon; it never
// blocks.
func (n *Node) PublishRefusal(r Refusal) {
	select {
	case n.refusals <- r:
	default: // accuracy only
	}
}

// PublishCrash passes on that a server has ended, with the next beacons; it never blocks.
func (n *Node) PublishCrash(e Crash) {
	select {
	case n.ends <- e:
		n.SendSoon()
	default: // who is there when more servers end counts then
	}
}

// PublishCleared passes on that a request was the cause of no end, with the next beacons; it
// never blocks.
func (n *Node) PublishCleared(a Cleared) {
	select {
	case n.answered <- a:
	default: // whoever answers it next tells that again
	}
}

// PublishLeaving passes on that a server has said that it leaves, with the next beacons; it never
// blocks.
func (n *Node) PublishLeaving(server string) {
	select {
	case n.leaves <- server:
		n.SendSoon()
	default: // the others hear it from the server, or from its entry
	}
}

// SendSoon lets the next beacon go out soon; it never blocks.
func (n *Node) SendSoon() {
	select {
	case n.hurry <- struct{}{}:
	default: // one is on its way
	}
}
