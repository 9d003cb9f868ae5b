package peer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"opalbridge.dev/gateway/peer/peerpb"
)

// This file sends beacons through relays. Sent from every gateway to every other one, beacons
// took half of the processor time of a fleet of 103 gateways, and their 1.17 GB of traffic
// between halls in a minute was the largest cost of that minute; sent less often, they were too
// old for placement decisions.
//
// Two gateways of each hall are its relays: those with the most processor time, as every gateway
// ranks them for itself from the beacons that it receives. Their rankings may differ: a gateway
// forwards what it is asked to forward, whether or not it considers itself a relay. A relay that
// is not heard from is excluded after a moment, and a load that was lost with it is sent again
// through the other one.

const (
	relaysPerHall = 2
	// Gateways contacted in a hall none of whose gateways was heard from recently.
	fallbackRelaysPerHall = 4
	// A relay forwards pending beacons with this delay per live gateway after the first one, up
	// to maxBundleDelay. With 100 gateways it then sends 70 bundles a second to each gateway of
	// its hall, and beacons from another hall are 20 ms old.
	bundleDelayPerPeer = 150 * time.Microsecond
	maxBundleDelay     = 15 * time.Millisecond
	// Size of the beacons in one datagram, in bytes; further ones go into another datagram.
	maxBundleSize = 8 << 10
	// A relay in use is excluded when nothing was heard from it for this long: a heartbeat,
	// since its bundles contain its own beacons, plus 100 ms. Together with the preceding
	// heartbeat and the check interval, this is 0.3 s below peerTimeout, so that no gateway is
	// considered dead when the relays of all halls fail at the same time.
	relayTimeout = 350 * time.Millisecond
	// Interval at which the relays in use are checked.
	relayCheckInterval = 100 * time.Millisecond
	// An excluded relay is tried again after this time.
	relayExclusionTime = 2 * time.Second
	// Minimum interval between rankings: with 100 gateways a ranking takes 20 µs.
	rankInterval = 50 * time.Millisecond
)

// relayState is what a node knows about its routes to the other gateways.
type relayState struct {
	timer            *time.Timer // runs while beacons wait to be forwarded
	ownHallBeacons   []*peerpb.Passed
	otherHallBeacons []*peerpb.Passed // from other halls, for the own hall
	heldSince        map[*peerpb.Passed]time.Time
	roundRobin       int
	livePeers        int // number of live peers
	rankedAt         time.Time
	rankRound        uint64 // number of rankings so far

	hallPeers       []netip.Addr // live peers of the own hall
	ownHallRelays   []netip.Addr // relays of the own hall; empty: this node is one
	otherHallRelays []hallRelays // of each other hall
}

// hallRelays are the gateways that receive bundles for another hall.
type hallRelays struct {
	addresses []netip.Addr
	sendToAll bool // send to each, since none is known to forward; otherwise they take turns
}

func newRelayState() relayState {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return relayState{timer: t, heldSince: map[*peerpb.Passed]time.Time{}}
}

// candidate is a gateway that may be a relay.
type candidate struct {
	address netip.Addr
	remote  *remote // nil: this node
	weight  uint32
}

// rankRelays ranks the gateways of each hall, unless that was done within rankInterval.
func (n *Node) rankRelays(now time.Time) {
	if now.Sub(n.relays.rankedAt) < rankInterval {
		return
	}
	n.relays.rankedAt = now
	n.relays.rankRound++
	halls := map[string][]candidate{
		n.options.Hall: {{address: n.self, weight: uint32(max(n.options.State().Weight, 0))}},
	}
	n.relays.hallPeers, n.relays.livePeers = n.relays.hallPeers[:0], 0
	for a, r := range n.peers {
		if !r.alive {
			continue
		}
		n.relays.livePeers++
		if r.hall == n.options.Hall {
			n.relays.hallPeers = append(n.relays.hallPeers, a)
		}
		if now.Before(r.relayExcludedUntil) {
			continue
		}
		halls[r.hall] = append(halls[r.hall], candidate{address: a, remote: r, weight: r.weight})
	}
	own := topRanked(halls[n.options.Hall], relaysPerHall)
	n.relays.ownHallRelays = nil
	if !slices.ContainsFunc(own, func(c candidate) bool { return c.remote == nil }) {
		n.relays.ownHallRelays = responsiveRelays(now, n.relays.rankRound, own)
	}
	delete(halls, n.options.Hall)
	n.relays.otherHallRelays = n.relays.otherHallRelays[:0]
	for _, list := range halls {
		n.relays.otherHallRelays = append(n.relays.otherHallRelays, n.selectHallRelays(now, list))
	}
}

// selectHallRelays returns the relays of another hall: the highest-ranked gateways that were
// heard from recently, through any route, since they send to this hall's relays in turn. If none
// was, that hall's relays have failed, and its next gateways in rank may have to be told that
// this hall's relays have failed too.
func (n *Node) selectHallRelays(now time.Time, list []candidate) hallRelays {
	if len(n.relays.ownHallRelays) > 0 {
		return hallRelays{} // this node only sends to its own relays
	}
	var heard, first []netip.Addr
	for i, c := range topRanked(list, len(list)) {
		if i < fallbackRelaysPerHall {
			first = append(first, c.address)
		}
		if len(heard) < relaysPerHall && now.Sub(c.remote.lastHeard) <= relayTimeout {
			heard = append(heard, c.address)
		}
	}
	if len(heard) == 0 {
		return hallRelays{addresses: first, sendToAll: true}
	}
	return hallRelays{addresses: heard}
}

// topRanked returns the first gateways of a hall by rank: most processor time first, and among
// equals in an order that is the same at every gateway.
func topRanked(list []candidate, limit int) []candidate {
	slices.SortFunc(list, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(hashAddr(x.address), hashAddr(y.address)))
	})
	return list[:min(len(list), limit)]
}

// hashAddr scrambles addresses, so that a hall's relays are not just its first hosts.
func hashAddr(a netip.Addr) uint32 { return packAddr(a) * 0x9e3779b1 }

// responsiveRelays records since when the relays of the own hall have been in use, and excludes
// those that are not heard from: a relay's bundles go to each gateway of its hall.
func responsiveRelays(now time.Time, round uint64, chosen []candidate) []netip.Addr {
	var list []netip.Addr
	for _, c := range chosen {
		r := c.remote
		if r.relayRound+1 != round {
			r.relaySince = now
		}
		r.relayRound = round
		if now.Sub(latest(r.lastDirect, r.relaySince)) > relayTimeout {
			r.relayExcludedUntil = now.Add(relayExclusionTime)
			continue
		}
		list = append(list, c.address)
	}
	return list
}

// checkRelays looks for relays that have gone silent, and if there are any sends a beacon
// through others.
func (n *Node) checkRelays(now time.Time) {
	unresponsive := func(a netip.Addr) bool {
		r := n.peers[a]
		return r == nil || now.Sub(latest(r.lastDirect, r.relaySince)) > relayTimeout
	}
	if !slices.ContainsFunc(n.relays.ownHallRelays, unresponsive) {
		return
	}
	n.relays.rankedAt = time.Time{}
	n.send(now, true)
}

// disseminate distributes the node's own beacon: a relay bundles it with others, any other
// gateway sends it to a relay.
func (n *Node) disseminate(now time.Time, b *peerpb.Beacon) {
	if len(n.relays.ownHallRelays) == 0 {
		n.holdOwnHallBeacon(now, n.self, b)
		return
	}
	b.Relay = true
	n.relays.roundRobin++
	n.write(n.relays.ownHallRelays[n.relays.roundRobin%len(n.relays.ownHallRelays)], marshal(&peerpb.Datagram{Beacon: b}))
}

// holdOwnHallBeacon holds a beacon of the own hall until it is forwarded.
func (n *Node) holdOwnHallBeacon(now time.Time, from netip.Addr, b *peerpb.Beacon) {
	p := &peerpb.Passed{From: packAddr(from), Beacon: marshal(b)}
	n.relays.ownHallBeacons = append(n.relays.ownHallBeacons, p)
	n.hold(now, p)
}

// hold records since when a beacon has been waiting to be forwarded.
func (n *Node) hold(now time.Time, p *peerpb.Passed) {
	if len(n.relays.heldSince) == 0 {
		n.relays.timer.Reset(min(time.Duration(n.relays.livePeers)*bundleDelayPerPeer, maxBundleDelay))
	}
	n.relays.heldSince[p] = now.Add(-time.Duration(p.HeldMs) * time.Millisecond)
}

// forwardBundles sends all held beacons to the own hall, and those of the own hall to one relay
// of each other hall.
func (n *Node) forwardBundles(now time.Time) {
	n.rankRelays(now)
	for p, since := range n.relays.heldSince {
		p.HeldMs = uint32(now.Sub(since).Milliseconds())
	}
	n.relays.roundRobin++
	for _, packed := range packBundles(n.relays.ownHallBeacons, true) {
		for _, hall := range n.relays.otherHallRelays {
			n.sendToHall(hall, packed)
		}
	}
	for _, packed := range packBundles(append(n.relays.ownHallBeacons, n.relays.otherHallBeacons...), false) {
		for _, a := range n.relays.hallPeers {
			n.write(a, packed)
		}
	}
	clear(n.relays.heldSince)
	clear(n.relays.ownHallBeacons)
	clear(n.relays.otherHallBeacons)
	n.relays.ownHallBeacons, n.relays.otherHallBeacons = n.relays.ownHallBeacons[:0], n.relays.otherHallBeacons[:0]
}

// sendToHall sends a bundle to another hall.
func (n *Node) sendToHall(h hallRelays, packed []byte) {
	if h.sendToAll {
		for _, a := range h.addresses {
			n.write(a, packed)
		}
		return
	}
	if len(h.addresses) > 0 {
		n.write(h.addresses[n.relays.roundRobin%len(h.addresses)], packed)
	}
}

// packBundles packs beacons into as few datagrams as possible.
func packBundles(list []*peerpb.Passed, spread bool) [][]byte {
	var packed [][]byte
	for len(list) > 0 {
		count, size := 0, 0
		for count < len(list) && (count == 0 || size+proto.Size(list[count]) <= maxBundleSize) {
			size += proto.Size(list[count])
			count++
		}
		packed = append(packed, marshal(&peerpb.Datagram{Bundle: &peerpb.Bundle{Beacons: list[:count], Spread: spread}}))
		list = list[count:]
	}
	return packed
}

// handleBundle applies the beacons of a bundle, and holds them for the own hall if asked to.
func (n *Node) handleBundle(now time.Time, bundle *peerpb.Bundle) {
	var updates []Update
	for _, p := range bundle.Beacons {
		from := unpackAddr(p.From)
		b := &peerpb.Beacon{}
		if err := proto.Unmarshal(p.Beacon, b); err != nil {
			n.options.OnError(err)
			continue
		}
		if bundle.Spread {
			n.relays.otherHallBeacons = append(n.relays.otherHallBeacons, p)
			n.hold(now, p)
		}
		if from == n.self {
			continue
		}
		if u, ok := n.applyBeacon(now, from, b, time.Duration(p.HeldMs)*time.Millisecond); ok {
			updates = append(updates, u)
		}
	}
	n.deliver(updates)
}
