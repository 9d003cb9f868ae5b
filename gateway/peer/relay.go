package peer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"opalbridge.dev/gateway/peer/peerpb"
)

// This file sends beacons through relays. Told by every gateway to every other one, they
// took half of the processor time of a fleet of 103 gateways, and 1.17 GB between halls in
// a minute, the largest price of that minute; told more rarely, they were too old to
// place by.
//
// Two gateways of each hall are its relays: the ones with most processor, as every
// gateway ranks them for itself from the beacons that it hears. Lists may differ: a
// gateway passes on what it is asked to pass on, whether or not it counts itself a relay.
// A relay that is not heard is passed over after a moment, and a load that was lost with
// it is told again through the other one.

const (
	relaysPerHall = 2
	// Of a hall of which nobody was heard lately, so many are told.
	unprovenPerHall = 4
	// A relay passes on what it has this soon after the first beacon: so much for each
	// live gateway, up to longestBundleDelay. At 100 gateways it then sends 70 bundles a
	// second to each of its hall, and news of another hall are 20 ms old.
	bundleDelay        = 150 * time.Microsecond
	longestBundleDelay = 15 * time.Millisecond
	// Beacons in one datagram, in bytes; more go into a further one.
	longestBundle = 8 << 10
	// A relay that is relied on is passed over when nothing was heard of it for so long: a
	// heartbeat, since its bundles hold its own beacons, and 100 ms. With the heartbeat
	// before, and the time between two looks, it is 0.3 s below the time after which
	// gateways that are not heard count as gone, so none does when the relays of all halls
	// end at once.
	relayPatience = 350 * time.Millisecond
	// It is looked for this often.
	judgeEvery = 100 * time.Millisecond
	// It is tried again after this time.
	shunFor = 2 * time.Second
	// Relays are ranked anew at most this often: with 100 gateways it takes 20 µs.
	routeEvery = 50 * time.Millisecond
)

// relays is what a node knows of its way to the others.
type relays struct {
	timer  *time.Timer // runs while beacons wait to be passed on
	own    []*peerpb.Passed
	others []*peerpb.Passed // of other halls, for the own hall
	kept   map[*peerpb.Passed]time.Time
	turn   int
	alive  int // live peers
	routed time.Time
	round  uint64 // times that relays were ranked

	hall  []netip.Addr // live peers of the own hall
	up    []netip.Addr // relays of the own hall; empty: this node is one
	halls []hallRelays // of each other hall
}

// hallRelays are the gateways through which another hall is told.
type hallRelays struct {
	list []netip.Addr
	all  bool // each is told, since none is known to pass it on; else they take turns
}

func newRelays() relays {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return relays{timer: t, kept: map[*peerpb.Passed]time.Time{}}
}

// candidate is a gateway that may be a relay.
type candidate struct {
	address netip.Addr
	remote  *remote // nil: this node
	weight  uint32
}

// route ranks the gateways of each hall, if that was not done a moment ago.
func (n *Node) route(now time.Time) {
	if now.Sub(n.relays.routed) < routeEvery {
		return
	}
	n.relays.routed = now
	n.relays.round++
	halls := map[string][]candidate{
		n.options.Hall: {{address: n.self, weight: uint32(max(n.options.State().Weight, 0))}},
	}
	n.relays.hall, n.relays.alive = n.relays.hall[:0], 0
	for a, r := range n.peers {
		if !r.alive {
			continue
		}
		n.relays.alive++
		if r.hall == n.options.Hall {
			n.relays.hall = append(n.relays.hall, a)
		}
		if now.Before(r.shunned) {
			continue
		}
		halls[r.hall] = append(halls[r.hall], candidate{address: a, remote: r, weight: r.weight})
	}
	own := ranked(halls[n.options.Hall], relaysPerHall)
	n.relays.up = nil
	if !slices.ContainsFunc(own, func(c candidate) bool { return c.remote == nil }) {
		n.relays.up = rely(now, n.relays.round, own)
	}
	delete(halls, n.options.Hall)
	n.relays.halls = n.relays.halls[:0]
	for _, list := range halls {
		n.relays.halls = append(n.relays.halls, n.relaysOf(now, list))
	}
}

// relaysOf returns the relays of another hall: those first in rank that were heard lately,
// through whomever, since they tell this hall's relays by turns. If none was, its relays
// have ended, and the next ones in rank may have to be told that this hall's have ended too.
func (n *Node) relaysOf(now time.Time, list []candidate) hallRelays {
	if len(n.relays.up) > 0 {
		return hallRelays{} // this node tells its own relays only
	}
	var heard, first []netip.Addr
	for i, c := range ranked(list, len(list)) {
		if i < unprovenPerHall {
			first = append(first, c.address)
		}
		if len(heard) < relaysPerHall && now.Sub(c.remote.heard) <= relayPatience {
			heard = append(heard, c.address)
		}
	}
	if len(heard) == 0 {
		return hallRelays{list: first, all: true}
	}
	return hallRelays{list: heard}
}

// ranked returns those of a hall's gateways that come first as its relays: most processor
// first, and among equals in an order that all find alike.
func ranked(list []candidate, most int) []candidate {
	slices.SortFunc(list, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(mixed(x.address), mixed(y.address)))
	})
	return list[:min(len(list), most)]
}

// mixed scatters addresses, so that a hall's relays are not its first hosts.
func mixed(a netip.Addr) uint32 { return packAddr(a) * 0x9e3779b1 }

// rely notes since when relays of the own hall are relied on, and passes over those that
// are not heard: what they pass on goes to each gateway of their hall.
func rely(now time.Time, round uint64, chosen []candidate) []netip.Addr {
	var list []netip.Addr
	for _, c := range chosen {
		r := c.remote
		if r.round+1 != round {
			r.chosen = now
		}
		r.round = round
		if now.Sub(latest(r.direct, r.chosen)) > relayPatience {
			r.shunned = now.Add(shunFor)
			continue
		}
		list = append(list, c.address)
	}
	return list
}

// judge looks for relays that have gone silent, and tells the fleet of this node through
// others.
func (n *Node) judge(now time.Time) {
	silent := func(a netip.Addr) bool {
		r := n.peers[a]
		return r == nil || now.Sub(latest(r.direct, r.chosen)) > relayPatience
	}
	if !slices.ContainsFunc(n.relays.up, silent) {
		return
	}
	n.relays.routed = time.Time{}
	n.send(now, true)
}

// spread lets the fleet know the own beacon: a relay bundles it with others, who is none
// sends it to one.
func (n *Node) spread(now time.Time, b *peerpb.Beacon) {
	if len(n.relays.up) == 0 {
		n.collect(now, n.self, b)
		return
	}
	b.Relay = true
	n.relays.turn++
	n.write(n.relays.up[n.relays.turn%len(n.relays.up)], pack(&peerpb.Datagram{Beacon: b}))
}

// collect keeps a beacon of the own hall until it is passed on.
func (n *Node) collect(now time.Time, from netip.Addr, b *peerpb.Beacon) {
	p := &peerpb.Passed{From: packAddr(from), Beacon: pack(b)}
	n.relays.own = append(n.relays.own, p)
	n.keep(now, p)
}

// keep notes since when a beacon waits to be passed on.
func (n *Node) keep(now time.Time, p *peerpb.Passed) {
	if len(n.relays.kept) == 0 {
		n.relays.timer.Reset(min(time.Duration(n.relays.alive)*bundleDelay, longestBundleDelay))
	}
	n.relays.kept[p] = now.Add(-time.Duration(p.HeldMs) * time.Millisecond)
}

// passOn sends what waits to the own hall, and the own hall's to one relay of each other
// hall.
func (n *Node) passOn(now time.Time) {
	n.route(now)
	for p, since := range n.relays.kept {
		p.HeldMs = uint32(now.Sub(since).Milliseconds())
	}
	n.relays.turn++
	for _, packed := range bundles(n.relays.own, true) {
		for _, hall := range n.relays.halls {
			n.tellHall(hall, packed)
		}
	}
	for _, packed := range bundles(append(n.relays.own, n.relays.others...), false) {
		for _, a := range n.relays.hall {
			n.write(a, packed)
		}
	}
	clear(n.relays.kept)
	clear(n.relays.own)
	clear(n.relays.others)
	n.relays.own, n.relays.others = n.relays.own[:0], n.relays.others[:0]
}

// tellHall sends a bundle to another hall.
func (n *Node) tellHall(h hallRelays, packed []byte) {
	if h.all {
		for _, a := range h.list {
			n.write(a, packed)
		}
		return
	}
	if len(h.list) > 0 {
		n.write(h.list[n.relays.turn%len(h.list)], packed)
	}
}

// bundles packs beacons into as few datagrams as hold them.
func bundles(list []*peerpb.Passed, spread bool) [][]byte {
	var packed [][]byte
	for len(list) > 0 {
		count, size := 0, 0
		for count < len(list) && (count == 0 || size+proto.Size(list[count]) <= longestBundle) {
			size += proto.Size(list[count])
			count++
		}
		packed = append(packed, pack(&peerpb.Datagram{Bundle: &peerpb.Bundle{Beacons: list[:count], Spread: spread}}))
		list = list[count:]
	}
	return packed
}

// takeBundle takes over the beacons of a bundle, and keeps them for the own hall if that
// is asked.
func (n *Node) takeBundle(now time.Time, bundle *peerpb.Bundle) {
	var updates []Update
	for _, p := range bundle.Beacons {
		from := unpackAddr(p.From)
		b := &peerpb.Beacon{}
		if err := proto.Unmarshal(p.Beacon, b); err != nil {
			n.options.OnError(err)
			continue
		}
		if bundle.Spread {
			n.relays.others = append(n.relays.others, p)
			n.keep(now, p)
		}
		if from == n.self {
			continue
		}
		if u, ok := n.hear(now, from, b, time.Duration(p.HeldMs)*time.Millisecond); ok {
			updates = append(updates, u)
		}
	}
	n.update(updates)
}
