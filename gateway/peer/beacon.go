package peer

import (
	"net/netip"
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer/peerpb"
)

// beacon returns what goes out next, but for loads: in a whole one the demands and all
// running requests, in others those that have changed; a rare one names the live gateways
// as well. It returns the state that it tells, too.
func (n *Node) beacon(whole, rare bool) (*peerpb.Beacon, State) {
	s := n.options.State()
	n.sequence++
	b := &peerpb.Beacon{
		Incarnation: n.incarnation, NewestLoad: n.newest - uint64(len(n.pending)), Sequence: n.sequence,
		ConfigurationVersion: s.ConfigurationVersion, StoreRevision: uint64(s.StoreRevision), StoreAway: s.StoreUnreachable, Leaving: n.leaving,
		ConfirmedMs: uint32(min(time.Since(s.ConfirmedAt), longestAge).Milliseconds()),
	}
	for server, left := range n.seen {
		b.Backlogs = append(b.Backlogs, &peerpb.Backlog{Server: server, LeftUs: microseconds(left)})
	}
	clear(n.seen)
	for server, requests := range s.Running {
		if whole || requests != n.told[server] {
			b.Running = append(b.Running, &peerpb.Running{Server: server, Requests: uint32(requests)})
		}
	}
	if !whole {
		for server := range n.told {
			if _, still := s.Running[server]; !still {
				b.Running = append(b.Running, &peerpb.Running{Server: server})
			}
		}
	}
	if whole {
		b.Rollouts = s.Rollouts
		b.Demands, b.DemandsTold, b.Hall, b.Weight = s.Demands, true, n.options.Hall, uint32(max(s.Weight, 0))
		for _, v := range s.Speeds {
			b.Speeds = append(b.Speeds, &peerpb.Speed{Service: v.Service, Reading: float32(v.PrefillSlowdown), FirstStepUs: microseconds(v.FirstEventDelay)})
		}
	}
	if rare {
		b.Peers = n.live()
	}
	return b, s
}

// addLoads adds the loads that are still to be told.
func (n *Node) addLoads(b *peerpb.Beacon) {
	b.NewestLoad = n.newest
	kept := n.pending[:0]
	for _, l := range n.pending {
		b.Loads = append(b.Loads, l.load)
		l.told++
		if l.told < repeatLoads {
			kept = append(kept, l)
		}
	}
	n.pending = kept
}

// addRefusals adds the refusals that are still to be told.
func (n *Node) addRefusals(now time.Time, b *peerpb.Beacon) {
	for _, r := range n.refused.next(mostRefusals) {
		b.Refusals = append(b.Refusals, &peerpb.Refusal{Key: r.Key, LeftMs: milliseconds(r.Deadline.Sub(now)), SpentMs: milliseconds(now.Sub(r.FirstAttempt))})
	}
}

// addEnds adds the ends of servers that are still to be told, who was not their cause, and
// which servers leave.
func (n *Node) addEnds(b *peerpb.Beacon) {
	for _, e := range n.ended.next(endsABeacon) {
		packed := make([]byte, 0, len(e.Suspects)*len(Key{}))
		for _, k := range e.Suspects {
			packed = append(packed, k[:]...)
		}
		b.Ends = append(b.Ends, &peerpb.End{Server: e.Server, Suspects: packed})
	}
	for _, a := range n.cleared.next(answeredBeacon) {
		b.Answered = append(b.Answered, &peerpb.Answered{Key: a.Key[:], Servers: a.Servers})
	}
	b.Leaves = n.gone.next(leavesABeacon)
}

// ends returns what a beacon tells of servers that have ended.
func ends(b *peerpb.Beacon) (ends []Crash, answered []Cleared) {
	for _, e := range b.Ends {
		end := Crash{Server: e.Server}
		for rest := e.Suspects; len(rest) >= len(Key{}); rest = rest[len(Key{}):] {
			end.Suspects = append(end.Suspects, Key(rest[:len(Key{})]))
		}
		ends = append(ends, end)
	}
	for _, a := range b.Answered {
		if len(a.Key) == len(Key{}) {
			answered = append(answered, Cleared{Key: Key(a.Key), Servers: a.Servers})
		}
	}
	return ends, answered
}

// milliseconds encodes a time, cut to what the field holds.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), int64(^uint32(0))))
}

// microseconds encodes a time, cut to what the field holds.
func microseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), int64(^uint32(0))))
}

func (n *Node) live() []uint32 {
	var list []uint32
	for a, r := range n.peers {
		if r.alive && len(list) < mostAddresses {
			list = append(list, packAddr(a))
		}
	}
	return list
}

func packAddr(a netip.Addr) uint32 {
	b := a.As4()
	return uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
}

func unpackAddr(v uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)})
}

// take takes over a datagram.
func (n *Node) take(now time.Time, p packet) {
	if p.from == n.self {
		return
	}
	if r := n.peers[p.from]; r != nil {
		r.direct = now
	}
	if b := p.datagram.Beacon; b != nil {
		if u, ok := n.hear(now, p.from, b, 0); ok {
			n.update([]Update{u})
		}
		if first := n.peers[p.from].introduce; first {
			n.answer(p.from)
		}
		if b.Relay {
			n.collect(now, p.from, b)
		}
	}
	if b := p.datagram.Bundle; b != nil {
		n.takeBundle(now, b)
	}
}

// hear takes over a beacon that a peer made some time ago. ok is false if it tells nothing
// new.
func (n *Node) hear(now time.Time, from netip.Addr, b *peerpb.Beacon, age time.Duration) (u Update, ok bool) {
	r := n.meet(now, from)
	r.introduce = false
	if b.Incarnation < r.incarnation && now.Sub(r.heard) < lateDatagrams {
		return u, false // a late datagram of a process that has ended
	}
	first := b.Incarnation != r.incarnation
	latest := first || b.Sequence > r.sequence
	r.incarnation, r.heard = b.Incarnation, now
	if b.Leaving {
		left := r.alive
		r.alive = false
		n.relays.routed = time.Time{} // it is relied on no more
		return Update{From: from.String()}, left
	}
	r.introduce = first || !r.alive
	if !r.alive {
		n.relays.routed = time.Time{} // it is reached at once
	}
	r.alive = true
	for _, v := range b.Peers {
		if a := unpackAddr(v); a != n.self && n.peers[a] == nil {
			n.meet(now, a)
			n.answer(a)
		}
	}
	u = Update{
		From: from.String(), Alive: true, Loads: r.news(b, first), Running: map[uint64]int{},
		ConfigurationVersion: b.ConfigurationVersion, StoreRevision: catalog.Revision(b.StoreRevision), StoreUnreachable: b.StoreAway,
		ConfirmedAt: now.Add(-age - time.Duration(b.ConfirmedMs)*time.Millisecond),
	}
	for _, l := range b.Backlogs {
		u.Backlogs = append(u.Backlogs, Backlog{Server: l.Server, Remaining: time.Duration(l.LeftUs) * time.Microsecond})
	}
	made := now.Add(-age)
	for _, f := range b.Refusals {
		u.Refusals = append(u.Refusals, Refusal{
			Key: f.Key, Deadline: made.Add(time.Duration(f.LeftMs) * time.Millisecond), FirstAttempt: made.Add(-time.Duration(f.SpentMs) * time.Millisecond),
		})
	}
	u.Crashes, u.Cleared = ends(b)
	u.LeavingServers = b.Leaves
	if latest {
		hall := r.hall
		r.sequence = b.Sequence
		r.gauges(b, &u)
		if r.hall != hall {
			n.relays.routed = time.Time{}
		}
	}
	u.Hall = r.hall
	return u, true
}

// gauges takes over what only the newest beacon of a peer tells.
func (r *remote) gauges(b *peerpb.Beacon, u *Update) {
	if b.DemandsTold {
		r.weight, u.Weight = b.Weight, int(b.Weight)
	}
	if b.Hall != "" {
		r.hall = b.Hall
	}
	u.Full, u.Demands, u.HasDemands = b.DemandsTold, b.Demands, b.DemandsTold
	u.Rollouts = b.Rollouts
	for _, v := range b.Speeds {
		u.Speeds = append(u.Speeds, Speed{Service: v.Service, PrefillSlowdown: float64(v.Reading), FirstEventDelay: time.Duration(v.FirstStepUs) * time.Microsecond})
	}
	for _, g := range b.Running {
		u.Running[g.Server] = int(g.Requests)
	}
}

// meet returns the peer at an address, which may be new.
func (n *Node) meet(now time.Time, a netip.Addr) *remote {
	r := n.peers[a]
	if r == nil {
		r = &remote{known: now}
		n.peers[a] = r
	}
	return r
}

// answer lets a peer know of this node at once: one that was not alive here, or whose
// address has just been learned.
func (n *Node) answer(to netip.Addr) {
	b, _ := n.beacon(true, true)
	n.write(to, pack(&peerpb.Datagram{Beacon: b}))
}

// news returns the loads of a beacon that were not taken over yet.
func (r *remote) news(b *peerpb.Beacon, first bool) []Load {
	oldest := b.NewestLoad - uint64(len(b.Loads)) // number before the first one here
	if first {
		r.newest = oldest
	}
	skip := 0
	if r.newest > oldest {
		skip = int(min(r.newest-oldest, uint64(len(b.Loads))))
	}
	r.newest = max(r.newest, b.NewestLoad)
	var list []Load
	for _, l := range b.Loads[skip:] {
		list = append(list, Load{Server: l.Server, Work: time.Duration(l.WorkUs) * time.Microsecond, Parts: l.Parts, Tokens: int(l.Tokens)})
	}
	return list
}

func (n *Node) update(list []Update) {
	if len(list) == 0 {
		return
	}
	select {
	case n.updates <- list:
	default: // the next beacon brings gauges and versions again; loads cost accuracy only
	}
}
