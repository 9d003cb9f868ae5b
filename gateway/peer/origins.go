package peer

import (
	"net/netip"
	"time"

	"opalbridge.dev/gateway/origin"
	"opalbridge.dev/gateway/peer/peerpb"
)

// This file tells and asks other gateways where streams have begun (package origin). Reports go
// straight to a few gateways, not through relays: told to all, they would grow with the requests
// of the whole fleet.

// OriginStore holds the origins that this gateway knows. The node's goroutine calls its methods,
// which must not block.
type OriginStore interface {
	// AddOrigin takes over what a peer has reported, and returns what contradicts it.
	AddOrigin(now time.Time, o origin.Origin) (contradicting []origin.Origin)
	// FindOrigins returns what is known of an attempt: several if reports contradict each other.
	FindOrigins(now time.Time, a origin.Attempt) []origin.Origin
	// OriginUnknown takes over that a peer knows nothing of an attempt for which it was asked. What
	// it knows is passed to AddOrigin.
	OriginUnknown(from string, a origin.Attempt)
}

// maxOriginsPerDatagram limits the origins that are sent in one datagram, of 23 bytes each.
const maxOriginsPerDatagram = 256

// originQuery asks for an attempt.
type originQuery struct {
	attempt origin.Attempt
	asked   chan<- int // gets the number of peers asked; must have room
}

// PublishOrigin reports to other gateways where a stream has begun. It never blocks: the caller of a
// stream whose origin is dropped is asked to begin anew if it takes the stream up elsewhere.
func (n *Node) PublishOrigin(o origin.Origin) { offer(n.origins, o) }

// AskOrigin asks other gateways where a stream has begun. The number of peers asked is sent to
// asked, which must have room for it; nothing is sent if the queue is full. It never blocks.
func (n *Node) AskOrigin(a origin.Attempt, asked chan<- int) {
	offer(n.originQueries, originQuery{a, asked})
}

// sendOrigins reports an origin, and others that wait, to the gateways that remember them.
func (n *Node) sendOrigins(now time.Time, first origin.Origin) {
	pending := []origin.Origin{first}
	for len(n.origins) > 0 && len(pending) < maxOriginsPerDatagram {
		pending = append(pending, <-n.origins)
	}
	live := n.livePeers()
	byReplica := map[uint32][]*peerpb.Origin{}
	for _, o := range pending {
		for _, a := range origin.Replicas(o.Attempt, live, origin.ReplicaCount) {
			byReplica[a] = append(byReplica[a], encodeOrigin(now, o))
		}
	}
	for a, list := range byReplica {
		n.write(unpackAddr(a), marshal(&peerpb.Datagram{Origins: &peerpb.Origins{Begun: list}}))
	}
}

// askOrigins sends a question to the gateways that may know its answer.
func (n *Node) askOrigins(q originQuery) {
	targets := origin.Replicas(q.attempt, n.livePeers(), origin.AskedCount)
	packed := marshal(&peerpb.Datagram{Origins: &peerpb.Origins{Asked: []uint64{uint64(q.attempt)}}})
	for _, a := range targets {
		n.write(unpackAddr(a), packed)
	}
	q.asked <- len(targets)
}

// livePeers returns the addresses of all live peers.
func (n *Node) livePeers() []uint32 {
	list := make([]uint32, 0, len(n.peers))
	for a, r := range n.peers {
		if r.alive {
			list = append(list, packAddr(a))
		}
	}
	return list
}

// handleOrigins takes over what a peer reports, and answers what it asks.
func (n *Node) handleOrigins(now time.Time, from netip.Addr, m *peerpb.Origins) {
	if n.options.Origins == nil {
		return
	}
	reply := &peerpb.Origins{}
	for _, o := range m.Begun {
		for _, c := range n.options.Origins.AddOrigin(now, decodeOrigin(now, o)) {
			reply.Answers = append(reply.Answers, encodeOrigin(now, c))
		}
	}
	for _, a := range m.Asked[:min(len(m.Asked), maxOriginsPerDatagram)] {
		known := n.options.Origins.FindOrigins(now, origin.Attempt(a))
		if len(known) == 0 {
			reply.Answers = append(reply.Answers, &peerpb.Origin{Attempt: a})
		}
		for _, o := range known {
			reply.Answers = append(reply.Answers, encodeOrigin(now, o))
		}
	}
	for _, o := range m.Answers {
		if o.Version == 0 {
			n.options.Origins.OriginUnknown(from.String(), origin.Attempt(o.Attempt))
			continue
		}
		n.options.Origins.AddOrigin(now, decodeOrigin(now, o))
	}
	if len(reply.Answers) > 0 {
		n.write(from, marshal(&peerpb.Datagram{Origins: reply}))
	}
}

// encodeOrigin encodes an origin. Its time is rounded up, so that it is not forgotten early.
func encodeOrigin(now time.Time, o origin.Origin) *peerpb.Origin {
	left := max(o.Expires.Sub(now)+time.Second-1, 0) / time.Second
	return &peerpb.Origin{Attempt: uint64(o.Attempt), Version: uint64(o.Version), LeftS: uint32(left)}
}

func decodeOrigin(now time.Time, o *peerpb.Origin) origin.Origin {
	left := min(time.Duration(o.LeftS)*time.Second, origin.MaxRetention)
	return origin.Origin{Attempt: origin.Attempt(o.Attempt), Version: origin.Version(o.Version), Expires: now.Add(left)}
}
