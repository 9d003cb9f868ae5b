// Package peer lets the gateways of a fleet know each other: who is alive, what each
// has sent to the backend servers, what it was asked by accounts, and how new its
// configuration is. They tell it in small datagrams. There is no leader, nothing is
// agreed, and any number of gateways may go.
//
// A gateway sends its beacons to a relay of its hall, which bundles them for the hall and
// for one relay of each other hall (relay.go). So a datagram a bundle is what a gateway
// handles, whatever the number of gateways, and each beacon crosses to another hall once.
//
// # Usage
//
//	n, err := peer.Listen(peer.Options{Address: "10.1.0.33:7400", Seeds: seeds, State: state})
//	go n.Run(ctx)
//	n.Tell(load)           // a request was sent
//	for u := range n.Updates() { … }
//
// A gateway finds the others by its seeds and by the addresses that they pass on. All
// use one port, so an IP address names a gateway.
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

	"opalbridge.dev/gateway/peer/peerpb"
)

// Times and sizes.
const (
	// Loads are told this soon after the first one. Two gateways that do not know of
	// each other's loads choose the same server; in 20 ms a server reads 1,000 tokens.
	loadDelay = 2 * time.Millisecond
	// And later by this for each live peer, up to longestDelay, since all of them handle
	// each beacon.
	peerDelay    = 80 * time.Microsecond
	longestDelay = 10 * time.Millisecond
	// A beacon goes out at least this often; it carries gauges and demands.
	heartbeat = 250 * time.Millisecond
	// Addresses are passed on, and silent gateways tried, once in so many heartbeats.
	rareEvery = 4
	// A gateway that has just started tries silent ones more often, for so long: gateways that
	// start together must not fill servers' queues without knowing of each other.
	searchEvery = 100 * time.Millisecond
	searchFor   = 3 * time.Second
	// A gateway that was not heard for this long counts as gone: four heartbeats.
	aliveFor = time.Second
	// An address that was silent for this long is forgotten, unless it is a seed.
	forgetAfter = 30 * time.Second
	// A load is told in so many beacons, in case one is lost; they take different relays.
	repeatLoads = 2
	// Loads in one beacon at most; with more, the oldest are left out.
	mostLoads = 64
	// Refusals in one beacon at most; with more, the oldest are left out.
	mostRefusals = 64
	// Ends of servers in one beacon at most, with so many requests each; more wait for the
	// next beacon. A beacon then has 4 KB of them.
	endsABeacon = 4
	mostOfEnd   = 64
	mostEnds    = 64 // that wait; with more, the oldest are left out
	// Servers that leave in one beacon at most; more wait for the next one. A whole hall of
	// 2,000 that leaves together is told in 32 beacons.
	leavesABeacon  = 64
	mostLeaves     = 4096
	answeredBeacon = 16
	mostAnswered   = 64
	// Addresses in one beacon at most.
	mostAddresses = 128
	// Queues between duties. Loads and updates that find them full are dropped: they
	// cost accuracy only.
	queue         = 256
	longestPacket = 16 << 10
	// Ages are told up to this one.
	longestAge = time.Hour
	// A process that has ended is heard no more after this time, whatever its clock
	// said: a later one at its address may have started with an earlier time of day.
	lateDatagrams = 500 * time.Millisecond
)

// Options set up a Node.
type Options struct {
	Address string   // own IP and port
	Hall    string   // of this gateway
	Seeds   []string // IP addresses (a port is ignored) where other gateways may be
	State   func() State
	OnError func(error) // hears of datagrams that could not be sent or read; must not block
}

// Node is one gateway among its peers.
type Node struct {
	options     Options
	self        netip.Addr
	port        uint16
	conn        *net.UDPConn
	incarnation uint64
	loads       chan Load
	backlogs    chan Backlog
	refusals    chan Refusal
	ends        chan Crash
	answered    chan Cleared
	leaves      chan string
	hurry       chan struct{}
	packets     chan packet
	updates     chan []Update
	datagrams   atomic.Int64
	bytes       atomic.Int64

	// Owned by Run.
	peers    map[netip.Addr]*remote
	pending  []numbered               // loads that are still being told
	seen     map[uint64]time.Duration // backlogs not told yet, by server
	refused  retold[Refusal]
	ended    retold[Crash]
	cleared  retold[Cleared]
	gone     retold[string]
	newest   uint64
	told     map[uint64]int // running requests as the last beacon told them
	beats    int
	sequence uint64 // of the latest beacon
	leaving  bool
	relays   relays
}

// numbered is a load with how often it was told.
type numbered struct {
	load *peerpb.Load
	told int
}

// remote is what is known of another gateway.
type remote struct {
	seed        bool
	incarnation uint64
	heard       time.Time // zero: never
	known       time.Time // since when its address is known
	newest      uint64    // newest load taken over
	hall        string
	weight      uint32
	alive       bool
	sequence    uint64    // of its newest beacon
	direct      time.Time // when a datagram of its own was heard
	chosen      time.Time // since when it is relied on as a relay, without a break
	round       uint64    // in which it was relied on last
	shunned     time.Time // not relied on as a relay before
	introduce   bool      // its latest beacon was the first one, or came after a silence
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
		options: o, self: at.Addr(), port: at.Port(), conn: conn,
		incarnation: uint64(now.UnixNano()),
		loads:       make(chan Load, queue), backlogs: make(chan Backlog, queue), refusals: make(chan Refusal, queue), ends: make(chan Crash, queue), answered: make(chan Cleared, queue), leaves: make(chan string, queue),
		seen: map[uint64]time.Duration{}, hurry: make(chan struct{}, 1), packets: make(chan packet, queue), updates: make(chan []Update, queue),
		peers: map[netip.Addr]*remote{}, relays: newRelays(),
	}
	for _, s := range o.Seeds {
		a, err := seedAddr(s)
		if err != nil {
			conn.Close()
			return nil, errors.Wrapf(err, "peer: seed %q", s)
		}
		if a != n.self {
			n.peers[a] = &remote{seed: true, known: now}
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

// Updates returns the channel on which news of other gateways arrive, as many at once as
// came together. It is closed when Run has ended.
func (n *Node) Updates() <-chan []Update { return n.updates }

// Traffic is what a node has sent so far.
type Traffic struct {
	Datagrams int64
	Bytes     int64 // without the heads of datagrams
}

// Sent returns what the node has sent so far.
func (n *Node) Sent() Traffic { return Traffic{n.datagrams.Load(), n.bytes.Load()} }

// Run tells and hears until ctx ends, then says that the node leaves.
func (n *Node) Run(ctx context.Context) {
	defer close(n.updates)
	received := make(chan struct{})
	go n.receive(received)
	n.exchange(ctx)
	n.conn.Close()
	<-received
}

// receive reads datagrams until the socket is closed.
func (n *Node) receive(ended chan<- struct{}) {
	defer close(ended)
	buffer := make([]byte, longestPacket)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.options.OnError(errors.Wrap(err, "peer: receive"))
			time.Sleep(loadDelay) // an error that lasts must not spin
			continue
		}
		d := &peerpb.Datagram{}
		if err := proto.Unmarshal(buffer[:size], d); err != nil {
			n.options.OnError(errors.Wrapf(err, "peer: datagram from %s", from))
			continue
		}
		select {
		case n.packets <- packet{from: from.Addr().Unmap(), datagram: d}:
		default: // accuracy only
		}
	}
}

// exchange owns the peers: it sends beacons and takes over those that arrive.
func (n *Node) exchange(ctx context.Context) {
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	soon := time.NewTimer(time.Hour)
	defer soon.Stop()
	search := time.NewTicker(searchEvery)
	defer search.Stop()
	defer n.relays.timer.Stop()
	judge := time.NewTicker(judgeEvery)
	defer judge.Stop()
	searched := time.Now().Add(searchFor)
	waiting := false
	n.send(time.Now(), true)
	for {
		select {
		case <-ctx.Done():
			n.leaving = true
			n.send(time.Now(), true)
			n.passOn(time.Now())
			return
		case l := <-n.loads:
			n.add(l)
			if !waiting {
				soon.Reset(n.delay())
				waiting = true
			}
		case l := <-n.backlogs:
			n.seen[l.Server] = l.Remaining
		case r := <-n.refusals:
			n.refused.add(r, mostRefusals)
		case e := <-n.ends:
			e.Suspects = e.Suspects[:min(len(e.Suspects), mostOfEnd)]
			n.ended.add(e, mostEnds)
		case a := <-n.answered:
			n.cleared.add(a, mostAnswered)
		case s := <-n.leaves:
			n.gone.add(s, mostLeaves)
		case <-n.hurry:
			if !waiting {
				soon.Reset(loadDelay)
				waiting = true
			}
		case <-soon.C:
			waiting = false
			n.send(time.Now(), false)
		case <-n.relays.timer.C:
			n.passOn(time.Now())
		case <-beat.C:
			n.beat(time.Now())
		case now := <-search.C:
			if now.After(searched) {
				search.Stop()
			}
			n.search()
		case now := <-judge.C:
			n.judge(now)
		case p := <-n.packets:
			n.take(time.Now(), p)
		}
	}
}

// search lets silent gateways know of this one.
func (n *Node) search() {
	for a, r := range n.peers {
		if !r.alive {
			n.answer(a)
		}
	}
}

func (n *Node) add(l Load) {
	n.newest++
	load := &peerpb.Load{Server: l.Server, WorkUs: microseconds(l.Work), Parts: l.Parts, Tokens: uint32(max(l.Tokens, 0))}
	n.pending = append(n.pending, numbered{load: load})
	if len(n.pending) > mostLoads {
		n.pending = slices.Delete(n.pending, 0, len(n.pending)-mostLoads)
	}
}

// delay is how soon loads are told.
func (n *Node) delay() time.Duration {
	return min(loadDelay+time.Duration(n.relays.alive)*peerDelay, longestDelay)
}

// beat sends a whole beacon and gives up peers that were silent too long.
func (n *Node) beat(now time.Time) {
	n.send(now, true)
	for a, r := range n.peers {
		if r.alive && now.Sub(r.heard) > aliveFor {
			r.alive = false
			n.relays.routed = time.Time{} // it is relied on no more
			n.update([]Update{{From: a.String()}})
		}
		if !r.seed && now.Sub(latest(r.heard, r.known)) > forgetAfter {
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

// send tells the loads that are pending; a whole beacon carries demands as well, and
// now and then goes to silent peers too and names the live ones.
func (n *Node) send(now time.Time, whole bool) {
	rare := whole && n.beats%rareEvery == 0
	if whole {
		n.beats++
	}
	b, state := n.beacon(whole, rare)
	n.addLoads(b)
	n.addRefusals(now, b)
	n.addEnds(b)
	n.told = state.Running
	n.route(now)
	if rare || n.leaving {
		n.sendSilent(b)
	}
	n.spread(now, b)
}

// sendSilent sends a beacon to the peers that are not alive.
func (n *Node) sendSilent(b *peerpb.Beacon) {
	packed := pack(&peerpb.Datagram{Beacon: b})
	for a, r := range n.peers {
		if !r.alive {
			n.write(a, packed)
		}
	}
}

// write sends a datagram. A peer that is gone makes it fail now and then; its silence
// tells enough.
func (n *Node) write(to netip.Addr, packed []byte) {
	n.datagrams.Add(1)
	n.bytes.Add(int64(len(packed)))
	_, _ = n.conn.WriteToUDPAddrPort(packed, netip.AddrPortFrom(to, n.port))
}

func pack(m proto.Message) []byte {
	packed, err := proto.Marshal(m)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "peer: encode %T", m))
	}
	return packed
}

// Address returns the node's own IP and port.
func (n *Node) Address() string { return n.conn.LocalAddr().String() }
