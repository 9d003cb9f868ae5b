package peer

import (
	"net/netip"
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/offload"
	"opalbridge.dev/gateway/peer/peerpb"
)

// newBeacon returns the next beacon, without loads, and the state that it reports. A full beacon
// holds the demands and all running requests, another one only the running requests that have
// changed. With discovery set, it also lists the live gateways.
func (n *Node) newBeacon(full, discovery bool) (*peerpb.Beacon, State) {
	s := n.options.State()
	n.sequence++
	b := &peerpb.Beacon{
		Incarnation: n.incarnation, NewestLoad: n.newestLoad - uint64(len(n.pendingLoads)), Sequence: n.sequence,
		ConfigurationVersion: s.ConfigurationVersion, StoreRevision: uint64(s.StoreRevision), StoreAway: s.StoreUnreachable, Leaving: n.leaving,
		ConfirmedMs: uint32(min(time.Since(s.ConfirmedAt), maxAge).Milliseconds()),
	}
	for server, remaining := range n.pendingBacklogs {
		b.Backlogs = append(b.Backlogs, &peerpb.Backlog{Server: server, LeftUs: microseconds(remaining)})
	}
	clear(n.pendingBacklogs)
	for server, requests := range s.Running {
		if full || requests != n.lastRunning[server] {
			b.Running = append(b.Running, &peerpb.Running{Server: server, Requests: uint32(requests)})
		}
	}
	if !full {
		for server := range n.lastRunning {
			if _, still := s.Running[server]; !still {
				b.Running = append(b.Running, &peerpb.Running{Server: server})
			}
		}
	}
	if full {
		b.Rollouts = s.Rollouts
		b.Demands, b.DemandsTold, b.Hall, b.Weight = s.Demands, true, n.options.Hall, uint32(max(s.Weight, 0))
		b.NotAdmitted, b.Readiness = uint32(min(max(s.NotAdmitted, 0), 100)), uint32(s.Readiness)
		b.Spare = encodeSpare(s)
		for _, v := range s.Speeds {
			b.Speeds = append(b.Speeds, &peerpb.Speed{Service: v.Service, Reading: float32(v.PrefillSlowdown), FirstStepUs: microseconds(v.FirstEventDelay)})
		}
	}
	if discovery {
		b.Peers = n.liveAddresses()
	}
	return b, s
}

// addLoads adds the loads that are still to be sent.
func (n *Node) addLoads(b *peerpb.Beacon) {
	b.NewestLoad = n.newestLoad
	kept := n.pendingLoads[:0]
	for _, l := range n.pendingLoads {
		b.Loads = append(b.Loads, l.load)
		l.sent++
		if l.sent < transmissionsPerItem {
			kept = append(kept, l)
		}
	}
	n.pendingLoads = kept
}

// addRefusals adds the refusals that are still to be sent.
func (n *Node) addRefusals(now time.Time, b *peerpb.Beacon) {
	for _, r := range n.pendingRefusals.next(now, maxRefusals) {
		b.Refusals = append(b.Refusals, &peerpb.Refusal{Key: r.Key, LeftMs: milliseconds(r.Deadline.Sub(now)), SpentMs: milliseconds(now.Sub(r.FirstAttempt))})
	}
}

// milliseconds encodes a duration, clamped to the range of the field.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), int64(^uint32(0))))
}

// microseconds encodes a duration, clamped to the range of the field.
func microseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), int64(^uint32(0))))
}

func (n *Node) liveAddresses() []uint32 {
	var list []uint32
	for a, r := range n.peers {
		if r.alive && len(list) < maxAddresses {
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

// handlePacket processes a received datagram.
func (n *Node) handlePacket(now time.Time, p packet) {
	if p.from == n.self {
		return
	}
	if r := n.peers[p.from]; r != nil {
		r.lastDirect = now
	}
	if b := p.datagram.Beacon; b != nil {
		if u, ok := n.applyBeacon(now, p.from, b, 0); ok {
			n.deliver([]Update{u})
		}
		if introduce := n.peers[p.from].needsReply; introduce {
			n.sendIntroduction(p.from)
		}
		if b.Relay {
			n.holdOwnHallBeacon(now, p.from, b)
		}
	}
	if b := p.datagram.Bundle; b != nil {
		n.handleBundle(now, b)
	}
	if o := p.datagram.Origins; o != nil {
		n.handleOrigins(now, p.from, o)
	}
}

// applyBeacon takes over a beacon that a peer created the given time ago. ok is false if it
// contains nothing new.
func (n *Node) applyBeacon(now time.Time, from netip.Addr, b *peerpb.Beacon, age time.Duration) (u Update, ok bool) {
	r := n.getOrAddPeer(now, from)
	r.needsReply = false
	if b.Incarnation < r.incarnation && now.Sub(r.lastHeard) < staleIncarnationWindow {
		return u, false // a late datagram of an earlier process
	}
	newIncarnation := b.Incarnation != r.incarnation
	newest := newIncarnation || b.Sequence > r.sequence
	r.incarnation, r.lastHeard = b.Incarnation, now
	if b.Leaving {
		wasAlive := r.alive
		r.alive = false
		n.relays.rankedAt = time.Time{} // it must not be used as a relay any more
		return Update{From: from.String()}, wasAlive
	}
	r.needsReply = newIncarnation || !r.alive
	if !r.alive {
		n.relays.rankedAt = time.Time{} // it must be reached without delay
	}
	r.alive = true
	for _, v := range b.Peers {
		if a := unpackAddr(v); a != n.self && n.peers[a] == nil {
			n.getOrAddPeer(now, a)
			n.sendIntroduction(a)
		}
	}
	u = Update{
		From: from.String(), Alive: true, Loads: r.newLoads(b, newIncarnation), Running: map[uint64]int{},
		ConfigurationVersion: b.ConfigurationVersion, StoreRevision: catalog.Revision(b.StoreRevision), StoreUnreachable: b.StoreAway,
		ConfirmedAt: now.Add(-age - time.Duration(b.ConfirmedMs)*time.Millisecond),
	}
	for _, l := range b.Backlogs {
		u.Backlogs = append(u.Backlogs, Backlog{Server: l.Server, Remaining: time.Duration(l.LeftUs) * time.Microsecond})
	}
	created := now.Add(-age)
	for _, f := range b.Refusals {
		u.Refusals = append(u.Refusals, Refusal{
			Key: f.Key, Deadline: created.Add(time.Duration(f.LeftMs) * time.Millisecond), FirstAttempt: created.Add(-time.Duration(f.SpentMs) * time.Millisecond),
		})
	}
	u.Crashes, u.Cleared = decodeCrashes(created, b)
	u.PartsAnswered = unpackKeys(b.PartsAnswered)
	u.LeavingServers = b.Leaves
	if newest {
		hall := r.hall
		r.sequence = b.Sequence
		if newIncarnation {
			r.spare = 0 // it may run an earlier release now
		}
		r.applyGauges(b, &u)
		if r.hall != hall {
			n.relays.rankedAt = time.Time{}
		}
	}
	u.Hall = r.hall
	return u, true
}

// applyGauges takes over the values that are valid only in the peer's newest beacon.
func (r *remote) applyGauges(b *peerpb.Beacon, u *Update) {
	if b.DemandsTold {
		r.weight, u.Weight = b.Weight, int(b.Weight)
		u.NotAdmitted, u.Readiness = int(min(b.NotAdmitted, 100)), offload.Readiness(b.Readiness)
		if b.Spare > 0 {
			r.spare = b.Spare
		}
		u.TellsSpare, u.Spare = r.spare > 0, decodeSpare(b.Weight, r.spare)
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

// getOrAddPeer returns the peer at an address, adding it if it is new.
func (n *Node) getOrAddPeer(now time.Time, a netip.Addr) *remote {
	r := n.peers[a]
	if r == nil {
		r = &remote{knownSince: now}
		n.peers[a] = r
	}
	return r
}

// sendIntroduction announces this node at once to a peer that was not alive, or whose address
// has just been learned.
func (n *Node) sendIntroduction(to netip.Addr) {
	b, _ := n.newBeacon(true, true)
	n.write(to, marshal(&peerpb.Datagram{Beacon: b}))
}

// newLoads returns the loads of a beacon that have not been taken over yet.
func (r *remote) newLoads(b *peerpb.Beacon, newIncarnation bool) []Load {
	oldest := b.NewestLoad - uint64(len(b.Loads)) // sequence number before the first load of this beacon
	if newIncarnation {
		r.newestLoad = oldest
	}
	skip := 0
	if r.newestLoad > oldest {
		skip = int(min(r.newestLoad-oldest, uint64(len(b.Loads))))
	}
	r.newestLoad = max(r.newestLoad, b.NewestLoad)
	var loads []Load
	for _, l := range b.Loads[skip:] {
		loads = append(loads, Load{Server: l.Server, Work: time.Duration(l.WorkUs) * time.Microsecond, Parts: l.Parts, Tokens: int(l.Tokens)})
	}
	return loads
}

func (n *Node) deliver(list []Update) {
	if len(list) == 0 {
		return
	}
	select {
	case n.updates <- list:
	default: // the next beacon repeats gauges and versions; lost loads only cost accuracy
	}
}
