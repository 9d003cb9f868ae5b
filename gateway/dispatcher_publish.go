package gateway

import (
	"time"

	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/peer/peerpb"
)

// This file builds the state that beacons tell the other gateways.

// publishInterval is the minimum time between two builds of the state for beacons, which
// takes some microseconds per server.
const publishInterval = 5 * time.Millisecond

// schedulePublish rebuilds the state for beacons now, or at the next overdue check if it
// was built a moment ago.
func (d *dispatcher) schedulePublish(now time.Time) {
	if now.Sub(d.publishedAt) < publishInterval {
		d.publishPending = true
		return
	}
	d.publishedAt = now
	d.publish()
}

// publish builds the state that the next beacon carries.
func (d *dispatcher) publish() {
	d.publishPending = false
	old := d.peerState.Load()
	s := &peer.State{Running: make(map[uint64]int, len(d.running)), Demands: old.Demands, Speeds: old.Speeds}
	for id, n := range d.running {
		s.Running[hashString(id)] = n
	}
	d.peerState.Store(s)
}

// publishDemands updates what beacons tell of this gateway's accounts, engine speeds and
// rollouts.
func (d *dispatcher) publishDemands(now time.Time) {
	own := d.shares.LocalDemands(now)
	demand := 0.0
	for _, o := range own {
		demand += o.Asked
	}
	d.demandByGateway[d.settings.Address] = demand
	list := make([]*peerpb.Demand, 0, min(len(own), maxDemands))
	for _, o := range own[:min(len(own), maxDemands)] {
		list = append(list, &peerpb.Demand{Account: o.Account, Asked: uint32(o.Asked), Admitted: uint32(o.Admitted)})
	}
	d.addUnmet(now, list)
	s := *d.peerState.Load()
	s.Demands, s.Speeds, s.Rollouts = list, d.learnedSpeeds(), d.rolloutReports(now)
	d.peerState.Store(&s)
}
