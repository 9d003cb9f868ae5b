// Package peer exchanges state between the gateways of a fleet: which ones are alive, the load
// that each has put on the backend servers, the demand of accounts on each, and how recent their
// configuration is. They send it in small datagrams. There is no leader and no consensus, and
// any number of gateways may fail.
//
// A gateway sends its beacons to a relay of its hall, which bundles them for its own hall and
// for one relay of each other hall (relay.go). A gateway thus handles one datagram per bundle,
// whatever the number of gateways, and each beacon crosses to another hall once.
//
// # Usage
//
//	n, err := peer.Listen(peer.Options{Address: "10.1.0.33:7400", Seeds: seeds, State: state})
//	go n.Run(ctx)
//	n.PublishLoad(load)    // a request was sent
//	for u := range n.Updates() { … }
//
// A gateway finds the others through its seeds and the addresses that they pass on. All use the
// same port, so an IP address identifies a gateway.
package peer

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"opalbridge.dev/gateway/origin"
	"opalbridge.dev/gateway/peer/peerpb"
)

// Timeout is the time after which a gateway that has not been heard from counts as dead.
const Timeout = time.Second

// Intervals and sizes.
const (
	// Delay between the first pending load and its beacon. Two gateways that do not know of each
	// other's loads choose the same server; in 20 ms a server prefills 1,000 tokens.
	baseLoadDelay = 2 * time.Millisecond
	// Additional delay for each live peer, up to maxLoadDelay, since every peer handles each
	// beacon.
	loadDelayPerPeer = 80 * time.Microsecond
	maxLoadDelay     = 10 * time.Millisecond
	// Maximum interval between beacons; those sent at this interval carry gauges and demands.
	heartbeatInterval = 250 * time.Millisecond
	// Addresses are passed on, and silent gateways contacted, once in this many heartbeats.
	heartbeatsPerDiscovery = 4
	// A gateway that has just started contacts silent ones more often, for this long: gateways
	// that start together must not fill servers' queues without knowing of each other.
	startupSearchInterval = 100 * time.Millisecond
	startupSearchDuration = 3 * time.Second
	// A gateway that has not been heard from for this long is considered dead: four heartbeats.
	peerTimeout = Timeout
	// An address that has been silent for this long is forgotten, unless it is a seed.
	forgetAfter = 30 * time.Second
	// Each item is sent in this many beacons, in case one is lost; they take different relays.
	transmissionsPerItem = 2
	// Loads in one beacon; beyond it, the oldest are dropped.
	maxLoads = 64
	// Refusals in one beacon; beyond it, the oldest are dropped.
	maxRefusals = 64
	// Crashes in one beacon, and requests in each; further ones wait for the next beacon. A
	// beacon then holds 10 KB of them.
	maxCrashesPerBeacon = 4
	maxSuspectsPerCrash = 64
	maxPartsPerCrash    = 32
	maxPendingCrashes   = 64 // beyond it, the oldest are dropped
	// Leaving servers in one beacon; further ones wait for the next. A whole hall of 2,000
	// servers that leaves at once takes 32 beacons.
	maxLeavingPerBeacon = 64
	maxPendingLeaving   = 4096
	maxClearedPerBeacon = 16
	maxPendingCleared   = 64
	// Parts in one beacon that had been answered before, of 16 bytes each.
	maxPartsAnsweredPerBeacon = 32
	maxPendingPartsAnswered   = 256
	// Addresses in one beacon.
	maxAddresses = 128
	// Size of the queues between goroutines. Loads and updates that find a queue full are
	// dropped, which only costs accuracy.
	queueSize       = 256
	maxDatagramSize = 16 << 10
	// Ages are reported up to this value.
	maxAge = time.Hour
	// Beacons of an earlier incarnation are ignored only for this long after the last beacon: a
	// process started later at the same address may have begun with an earlier time of day.
	staleIncarnationWindow = 500 * time.Millisecond
)

// Options configure a Node.
type Options struct {
	Address string   // own IP and port
	Hall    string   // of this gateway
	Seeds   []string // IP addresses (a port is ignored) where other gateways may be
	State   func() State
	Origins OriginStore // where streams have begun; nil: nothing is remembered for other gateways
	OnError func(error) // called for datagrams that could not be sent or read; must not block
}

// Node is a gateway among its peers.
type Node struct {
	options        Options
	self           netip.Addr
	port           uint16
	conn           *net.UDPConn
	incarnation    uint64
	loads          chan Load
	backlogs       chan Backlog
	refusals       chan Refusal
	crashes        chan Crash
	cleared        chan Cleared
	partsAnswered  chan Key
	leavingServers chan string
	origins        chan origin.Origin
	originQueries  chan originQuery
	sendSoon       chan struct{}
	reportSoon     chan struct{}
	packets        chan packet
	updates        chan []Update
	sentDatagrams  atomic.Int64
	sentBytes      atomic.Int64

	// Owned by Run.
	peers           map[netip.Addr]*remote
	pendingLoads    []pendingLoad            // loads still to be sent
	pendingBacklogs map[uint64]time.Duration // backlogs not sent yet, by server
	pendingRefusals resendQueue[Refusal]
	pendingCrashes  resendQueue[Crash]
	pendingCleared  resendQueue[Cleared]
	pendingAnswered resendQueue[Key] // parts that had been answered before a crash
	pendingLeaving  resendQueue[string]
	newestLoad      uint64
	lastRunning     map[uint64]int // running requests as of the last beacon
	heartbeats      int
	sequence        uint64 // of the latest beacon
	leaving         bool
	relays          relayState
	spare           spareReport
}

// pendingLoad is a load and the number of beacons that contained it.
type pendingLoad struct {
	load *peerpb.Load
	sent int
}

// remote is the state of another gateway.
type remote struct {
	seed               bool
	incarnation        uint64
	lastHeard          time.Time // zero: never
	knownSince         time.Time // when its address was learned
	newestLoad         uint64    // sequence number of the newest load taken over
	hall               string
	weight             uint32
	spare              uint32 // reported last, as encoded; 0: none since its process started
	alive              bool
	sequence           uint64    // of its newest beacon
	lastDirect         time.Time // when its last own datagram arrived
	relaySince         time.Time // since when it has been used as a relay without interruption
	relayRound         uint64    // last ranking round that selected it
	relayExcludedUntil time.Time // not used as a relay before this time
	needsReply         bool      // its latest beacon was its first one, or the first after it was considered dead
}

type packet struct {
	from     netip.Addr
	datagram *peerpb.Datagram
}

// Listen opens the node's socket.
func Listen(o Options) (*Node, error) {
	at, err := netip.ParseAddrPort(o.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: address %q", o.Address)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrapf(err, "peer: listen on %s", o.Address)
	}
	now := time.Now()
	n := &Node{
		options:         o,
		self:            at.Addr(),
		port:            at.Port(),
		conn:            conn,
		incarnation:     uint64(now.UnixNano()),
		loads:           make(chan Load, queueSize),
		backlogs:        make(chan Backlog, queueSize),
		refusals:        make(chan Refusal, queueSize),
		crashes:         make(chan Crash, queueSize),
		cleared:         make(chan Cleared, queueSize),
		partsAnswered:   make(chan Key, queueSize),
		leavingServers:  make(chan string, queueSize),
		origins:         make(chan origin.Origin, queueSize),
		originQueries:   make(chan originQuery, queueSize),
		sendSoon:        make(chan struct{}, 1),
		reportSoon:      make(chan struct{}, 1),
		packets:         make(chan packet, queueSize),
		updates:         make(chan []Update, queueSize),
		pendingBacklogs: map[uint64]time.Duration{},
		peers:           map[netip.Addr]*remote{},
		relays:          newRelayState(),
	}
	for _, s := range o.Seeds {
		a, err := seedAddr(s)
		if err != nil {
			conn.Close()
			return nil, errors.Wrapf(err, "peer: seed %q", s)
		}
		if a != n.self {
			n.peers[a] = &remote{seed: true, knownSince: now}
		}
	}
	return n, nil
}

func seedAddr(s string) (netip.Addr, error) {
	if at, err := netip.ParseAddrPort(s); err == nil {
		return at.Addr(), nil
	}
	return netip.ParseAddr(s)
}

// Updates returns the channel of updates from other gateways, batched as they arrive. It is
// closed when Run returns.
func (n *Node) Updates() <-chan []Update { return n.updates }

// Traffic counts what a node has sent so far.
type Traffic struct {
	Datagrams int64
	Bytes     int64 // without datagram headers
}

// Sent returns what the node has sent so far.
func (n *Node) Sent() Traffic { return Traffic{n.sentDatagrams.Load(), n.sentBytes.Load()} }

// Run exchanges beacons until ctx ends, and then announces that the node is leaving.
func (n *Node) Run(ctx context.Context) {
	defer close(n.updates)
	received := make(chan struct{})
	go n.receive(received)
	n.loop(ctx)
	n.conn.Close()
	<-received
}

// receive reads datagrams until the socket is closed.
func (n *Node) receive(done chan<- struct{}) {
	defer close(done)
	buffer := make([]byte, maxDatagramSize)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.options.OnError(errors.Wrap(err, "peer: receive"))
			time.Sleep(baseLoadDelay) // avoids spinning on a persistent error
			continue
		}
		d := &peerpb.Datagram{}
		if err := proto.Unmarshal(buffer[:size], d); err != nil {
			n.options.OnError(errors.Wrapf(err, "peer: datagram from %s", from))
			continue
		}
		select {
		case n.packets <- packet{from: from.Addr().Unmap(), datagram: d}:
		default: // only costs accuracy
		}
	}
}

// loop owns the peers: it sends beacons and processes those that arrive.
func (n *Node) loop(ctx context.Context) {
	heartbeatTicker := time.NewTicker(heartbeatInterval)
	defer heartbeatTicker.Stop()
	sendTimer := time.NewTimer(time.Hour)
	defer sendTimer.Stop()
	search := time.NewTicker(startupSearchInterval)
	defer search.Stop()
	defer n.relays.timer.Stop()
	relayCheck := time.NewTicker(relayCheckInterval)
	defer relayCheck.Stop()
	searchUntil := time.Now().Add(startupSearchDuration)
	scheduled := false
	n.send(time.Now(), true)
	for {
		select {
		case <-ctx.Done():
			n.leaving = true
			n.send(time.Now(), true)
			n.forwardBundles(time.Now())
			return
		case l := <-n.loads:
			n.addLoad(l)
			if !scheduled {
				sendTimer.Reset(n.loadDelay())
				scheduled = true
			}
		case l := <-n.backlogs:
			n.pendingBacklogs[l.Server] = l.Remaining
		case r := <-n.refusals:
			n.pendingRefusals.add(time.Now(), r, maxRefusals)
		case e := <-n.crashes:
			e.Suspects = e.Suspects[:min(len(e.Suspects), maxSuspectsPerCrash)]
			e.Parts = e.Parts[:min(len(e.Parts), maxPartsPerCrash)]
			n.pendingCrashes.add(time.Now(), e, maxPendingCrashes)
		case a := <-n.cleared:
			n.pendingCleared.add(time.Now(), a, maxPendingCleared)
		case k := <-n.partsAnswered:
			n.pendingAnswered.add(time.Now(), k, maxPendingPartsAnswered)
		case s := <-n.leavingServers:
			n.pendingLeaving.add(time.Now(), s, maxPendingLeaving)
		case o := <-n.origins:
			n.sendOrigins(time.Now(), o)
		case q := <-n.originQueries:
			n.askOrigins(q)
		case <-n.sendSoon:
			if !scheduled {
				sendTimer.Reset(baseLoadDelay)
				scheduled = true
			}
		case <-n.reportSoon:
			n.send(time.Now(), true)
		case <-sendTimer.C:
			n.send(time.Now(), false)
			// At the interval of heartbeats, the news of 20 crashes would take 2.5 s.
			if scheduled = n.hasUnsent(); scheduled {
				sendTimer.Reset(n.loadDelay())
			}
		case <-n.relays.timer.C:
			n.forwardBundles(time.Now())
		case <-heartbeatTicker.C:
			n.sendHeartbeat(time.Now())
		case now := <-search.C:
			if now.After(searchUntil) {
				search.Stop()
			}
			n.contactSilentPeers()
		case now := <-relayCheck.C:
			n.checkRelays(now)
		case p := <-n.packets:
			n.handlePacket(time.Now(), p)
		}
	}
}

// hasUnsent reports whether the next beacon holds items for which the last one had no room.
func (n *Node) hasUnsent() bool {
	return n.relays.livePeers > 0 && (n.pendingCrashes.hasUnsent() || n.pendingCleared.hasUnsent() || n.pendingAnswered.hasUnsent() || n.pendingLeaving.hasUnsent())
}

// contactSilentPeers announces this node to the peers that are not alive.
func (n *Node) contactSilentPeers() {
	for a, r := range n.peers {
		if !r.alive {
			n.sendIntroduction(a)
		}
	}
}

func (n *Node) addLoad(l Load) {
	n.newestLoad++
	load := &peerpb.Load{Server: l.Server, WorkUs: microseconds(l.Work), Parts: l.Parts, Tokens: uint32(max(l.Tokens, 0))}
	n.pendingLoads = append(n.pendingLoads, pendingLoad{load: load})
	if len(n.pendingLoads) > maxLoads {
		n.pendingLoads = slices.Delete(n.pendingLoads, 0, len(n.pendingLoads)-maxLoads)
	}
}

// loadDelay returns the delay before pending loads are sent.
func (n *Node) loadDelay() time.Duration {
	return min(baseLoadDelay+time.Duration(n.relays.livePeers)*loadDelayPerPeer, maxLoadDelay)
}

// sendHeartbeat sends a full beacon and drops peers that have been silent for too long.
func (n *Node) sendHeartbeat(now time.Time) {
	n.send(now, true)
	for a, r := range n.peers {
		if r.alive && now.Sub(r.lastHeard) > peerTimeout {
			r.alive = false
			n.relays.rankedAt = time.Time{} // it must not be used as a relay any more
			n.deliver([]Update{{From: a.String()}})
		}
		if !r.seed && now.Sub(latest(r.lastHeard, r.knownSince)) > forgetAfter {
			delete(n.peers, a)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// send sends the pending items. A full beacon also carries demands; once in
// heartbeatsPerDiscovery it goes to silent peers too and lists the live ones.
func (n *Node) send(now time.Time, full bool) {
	discovery := full && n.heartbeats%heartbeatsPerDiscovery == 0
	if full {
		n.heartbeats++
	}
	b, state := n.newBeacon(full, discovery)
	if full {
		b.Spare = n.spare.next(b.Spare)
	}
	n.rankRelays(now)
	n.addLoads(b)
	if n.relays.livePeers > 0 { // a process that was frozen considers all others dead for a moment
		n.addRefusals(now, b)
		n.addCrashes(now, b)
	}
	n.lastRunning = state.Running
	if discovery || n.leaving {
		n.sendToSilentPeers(b)
	}
	n.disseminate(now, b)
}

// sendToSilentPeers sends a beacon to the peers that are not alive.
func (n *Node) sendToSilentPeers(b *peerpb.Beacon) {
	packed := marshal(&peerpb.Datagram{Beacon: b})
	for a, r := range n.peers {
		if !r.alive {
			n.write(a, packed)
		}
	}
}

// write sends a datagram. Errors are ignored: a peer that is gone causes them now and then, and
// is detected by its silence.
func (n *Node) write(to netip.Addr, packed []byte) {
	n.sentDatagrams.Add(1)
	n.sentBytes.Add(int64(len(packed)))
	_, _ = n.conn.WriteToUDPAddrPort(packed, netip.AddrPortFrom(to, n.port))
}

func marshal(m proto.Message) []byte {
	packed, err := proto.Marshal(m)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "peer: encode %T", m))
	}
	return packed
}

// Address returns the node's own IP and port.
func (n *Node) Address() string { return n.conn.LocalAddr().String() }
