package peer

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"opalbridge.dev/gateway/peer/peerpb"
)

// beacon returns what goes out next: the loads that are pending, and in a whole one the
// demands and all running requests, in others those that have changed; a rare one names
// the live gateways as well. It returns the state that it tells, too.
func (n *Node) beacon(whole, rare bool) (*peerpb.Beacon, State) {
	s := n.options.State()
	b := &peerpb.Beacon{
		Incarnation: n.incarnation, NewestLoad: n.newest,
		ConfigurationVersion: s.ConfigurationVersion, StoreRevision: s.StoreRevision, StoreAway: s.StoreAway, Leaving: n.leaving,
		ConfirmedMs: uint32(min(time.Since(s.Confirmed), longestAge).Milliseconds()),
	}
	kept := n.pending[:0]
	for _, l := range n.pending {
		b.Loads = append(b.Loads, l.load)
		l.told++
		if l.told < repeatLoads {
			kept = append(kept, l)
		}
	}
	n.pending = kept
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
		b.Demands, b.DemandsTold, b.Hall = s.Demands, true, n.options.Hall
		for _, v := range s.Speeds {
			b.Speeds = append(b.Speeds, &peerpb.Speed{Service: v.Service, Reading: float32(v.Reading), FirstStepUs: microseconds(v.FirstStep)})
		}
	}
	if rare {
		b.Peers = n.live()
	}
	return b, s
}

// microseconds encodes a time, cut to what the field holds.
func microseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), int64(^uint32(0))))
}

func (n *Node) live() []uint32 {
	var list []uint32
	for a, r := range n.peers {
		if r.alive && len(list) < mostAddresses {
			list = append(list, pack(a))
		}
	}
	return list
}

func pack(a netip.Addr) uint32 {
	b := a.As4()
	return uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
}

func unpack(v uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)})
}

// take takes over a beacon.
func (n *Node) take(now time.Time, p packet) {
	if p.from == n.self {
		return
	}
	r := n.meet(now, p.from)
	b := p.beacon
	if b.Incarnation < r.incarnation && now.Sub(r.heard) < lateDatagrams {
		return // a late datagram of a process that has ended
	}
	first := b.Incarnation != r.incarnation
	r.incarnation, r.heard = b.Incarnation, now
	if b.Leaving {
		if r.alive {
			r.alive = false
			n.update(Update{From: p.from.String()})
		}
		return
	}
	if first || !r.alive {
		n.answer(p.from)
	}
	r.alive = true
	if b.Hall != "" {
		r.hall = b.Hall
	}
	for _, v := range b.Peers {
		if a := unpack(v); a != n.self && n.peers[a] == nil {
			n.meet(now, a)
			n.answer(a)
		}
	}
	u := Update{
		From: p.from.String(), Hall: r.hall, Alive: true, Loads: r.news(b, first), Running: map[uint64]int{}, Whole: b.DemandsTold,
		Demands: b.Demands, DemandsTold: b.DemandsTold,
		ConfigurationVersion: b.ConfigurationVersion, StoreRevision: b.StoreRevision, StoreAway: b.StoreAway,
		Confirmed: now.Add(-time.Duration(b.ConfirmedMs) * time.Millisecond),
	}
	for _, l := range b.Backlogs {
		u.Backlogs = append(u.Backlogs, Backlog{Server: l.Server, Left: time.Duration(l.LeftUs) * time.Microsecond})
	}
	for _, v := range b.Speeds {
		u.Speeds = append(u.Speeds, Speed{Service: v.Service, Reading: float64(v.Reading), FirstStep: time.Duration(v.FirstStepUs) * time.Microsecond})
	}
	for _, g := range b.Running {
		u.Running[g.Server] = int(g.Requests)
	}
	n.update(u)
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
	packed, err := proto.Marshal(b)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "peer: encode beacon"))
	}
	_, _ = n.conn.WriteToUDPAddrPort(packed, netip.AddrPortFrom(to, n.port))
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

func (n *Node) update(u Update) {
	select {
	case n.updates <- u:
	default: // the next beacon brings gauges and versions again; loads cost accuracy only
	}
}
