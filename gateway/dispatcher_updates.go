package gateway

import (
	"time"

	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/share"
)

// This file holds what the dispatcher learns from first events, from their absence and from
// other gateways.

// maxTrustedLateness is the scheduling delay of this process above which its observations
// of servers are ignored: it sees events late, so servers would seem slow or silent. It is
// a tenth of the time that a prompt of usual length takes.
const maxTrustedLateness = 15 * time.Millisecond

// dialTimeout limits connection attempts to servers.
const dialTimeout = 1500 * time.Millisecond

// unreliable reports whether this process was delayed so much since the given time that its
// observations of servers cannot be trusted.
func (d *dispatcher) unreliable(now, since time.Time) bool {
	return d.lateness(since, now) > maxTrustedLateness
}

// recordFirstEvent handles the first event of a request, which shows how far its server has
// got.
func (d *dispatcher) recordFirstEvent(now time.Time, m firstEventReceived) {
	p := d.pending[m.attemptID]
	d.acknowledgeRetry(now, p)
	delete(d.pending, m.attemptID)
	d.lastHeard[m.server] = now
	d.balancer.RecordAccepting(now, m.server)
	d.recordRolloutFirstEvent(now, m.attemptID)
	d.recordSlotFirst(now, m.attemptID)
	if p == nil || p.copiesCache {
		return // while it copied, later requests may have overtaken it
	}
	if d.unreliable(now, p.sentAt) {
		return
	}
	d.balancer.RecordLatency(m.server, now.Sub(p.sentAt), p.queueTime, p.prefillTime)
	remaining, deviation := d.balancer.RecordFirstEvent(now, m.server, p.position)
	d.announceBacklog(m.server, remaining, deviation)
}

// announceBacklog tells the other gateways how much work a server has left, at once if the
// prediction was far off.
func (d *dispatcher) announceBacklog(server string, remaining, deviation time.Duration) {
	d.peers.PublishBacklog(peer.Backlog{Server: hashString(server), Remaining: remaining})
	if deviation.Abs() > backlogErrorThreshold {
		d.peers.SendSoon()
	}
}

// catchUpTime is how long a delayed process takes to read the events that have arrived
// meanwhile.
const catchUpTime = 200 * time.Millisecond

// detectOverdue finds servers whose first events are overdue, which are further behind than
// predicted.
func (d *dispatcher) detectOverdue(now time.Time) {
	if d.unreliable(now, now.Add(-catchUpTime)) {
		return // the first events may have arrived and not been read yet
	}
	for _, p := range d.pending {
		if now.Before(p.due) || p.copiesCache {
			continue
		}
		if remaining, deviation := d.balancer.RecordOverdue(now, p.server, p.position); deviation > backlogErrorThreshold {
			d.announceBacklog(p.server, remaining, deviation)
		}
	}
}

// silenceThreshold is how late a first event must be, without any sign of life from the
// server since it was due, for the server to count as failing. Nearly all predictions are
// off by less than half of it.
const silenceThreshold = 500 * time.Millisecond

// detectSilent reports servers that owe a first event and are silent.
func (d *dispatcher) detectSilent(now time.Time) {
	unreliable := d.unreliable(now, now.Add(-silenceThreshold))
	for _, p := range d.pending {
		if unreliable || p.reportedSilent || now.Sub(p.due) < silenceThreshold || d.lastHeard[p.server].After(p.due) {
			continue
		}
		p.reportedSilent = true
		if d.balancer.WaitsForSlots(p.server) {
			continue // it counts as stalled
		}
		d.log.Warn().Str("event", "server.silent").Str("server", p.server).Dur("overdue", now.Sub(p.due)).
			Dur("heard", now.Sub(d.lastHeard[p.server])).Msg("server is silent: no requests for a while")
		d.balancer.RecordSilence(now, p.server)
	}
	for id := range d.lastHeard {
		if _, known := d.serverIDs[hashString(id)]; !known {
			delete(d.lastHeard, id)
		}
	}
}

// speedChangeFactor is the factor by which an engine's estimated speed must change to be
// logged again.
const speedChangeFactor = 1.25

// logSpeeds logs the estimated speeds of the services' engines that have changed.
func (d *dispatcher) logSpeeds() {
	if d.view.Configuration == nil {
		return
	}
	for _, s := range d.view.Configuration.Services {
		if s.Engine == nil {
			continue
		}
		now, last := d.balancer.Speed(s.Name), d.loggedSpeeds[s.Name]
		if similarSpeed(now.PrefillSlowdown, last.PrefillSlowdown) && similarSpeed(now.FirstEventDelay.Seconds(), last.FirstEventDelay.Seconds()) {
			continue
		}
		d.loggedSpeeds[s.Name] = now
		d.log.Info().Str("event", "engine.speed").Str("service", s.Name).Float64("reading", now.PrefillSlowdown).
			Dur("first_step", now.FirstEventDelay).Msg("engine speed estimated from first events")
	}
}

// learnedSpeeds returns the engine speeds that this gateway has learned, for the other
// gateways.
func (d *dispatcher) learnedSpeeds() []peer.Speed {
	if d.view.Configuration == nil {
		return nil
	}
	var list []peer.Speed
	for _, s := range d.view.Configuration.Services {
		if v := d.balancer.Speed(s.Name); s.Engine != nil && v.Learned {
			list = append(list, peer.Speed{Service: hashString(s.Name), PrefillSlowdown: v.PrefillSlowdown, FirstEventDelay: v.FirstEventDelay})
		}
	}
	return list
}

// applySpeeds takes over engine speeds that another gateway has learned.
func (d *dispatcher) applySpeeds(list []peer.Speed) {
	if d.view.Configuration == nil {
		return
	}
	for _, v := range list {
		for _, s := range d.view.Configuration.Services {
			if hashString(s.Name) == v.Service {
				d.balancer.SetSpeed(s.Name, placement.Speed{PrefillSlowdown: v.PrefillSlowdown, FirstEventDelay: v.FirstEventDelay})
			}
		}
	}
}

// similarSpeed reports whether two figures differ by less than speedChangeFactor.
func similarSpeed(x, y float64) bool { return x < speedChangeFactor*y && y < speedChangeFactor*x }

// applyUpdate applies an update from another gateway.
func (d *dispatcher) applyUpdate(now time.Time, u peer.Update) {
	if !u.Alive {
		if _, known := d.peerRunning[u.From]; known {
			d.log.Info().Str("event", "peer.lost").Str("peer", u.From).Int("gateways", len(d.peerRunning)).Msg("gateway is silent or leaving")
		}
		d.replacePeerRunning(d.peerRunning[u.From], nil)
		delete(d.peerRunning, u.From)
		delete(d.halls, u.From)
		delete(d.demandByGateway, u.From)
		delete(d.reportedAt, u.From)
		d.livePeers.Store(int64(len(d.peerRunning)))
		d.shares.SetRemoteDemands(u.From, nil)
		return
	}
	if _, known := d.peerRunning[u.From]; !known {
		d.log.Info().Str("event", "peer.regained").Str("peer", u.From).Int("gateways", len(d.peerRunning)+2).Msg("gateway is alive")
	}
	if u.Hall != "" {
		d.halls[u.From] = u.Hall
	}
	d.recordReport(now, u.From)
	d.applySpeeds(u.Speeds)
	d.applyRolloutReports(now, u.From, u.Rollouts)
	for _, l := range u.Loads {
		d.balancer.RecordSent(now, placement.Load{Server: d.serverIDs[l.Server], Work: l.Work, Parts: l.Parts, CacheTokens: l.Tokens}, false)
	}
	for _, l := range u.Backlogs {
		d.balancer.RecordBacklog(now, d.serverIDs[l.Server], l.Remaining)
	}
	if u.HasDemands {
		d.demandByGateway[u.From] = 0
		list := make([]share.Demand, len(u.Demands))
		for i, p := range u.Demands {
			list[i] = share.Demand{Account: p.Account, Asked: float64(p.Asked), Admitted: float64(p.Admitted)}
			d.demandByGateway[u.From] += list[i].Asked
		}
		d.shares.SetRemoteDemands(u.From, list)
		d.applyUnmet(now, u.Demands)
	}
	defer func() { d.livePeers.Store(int64(len(d.peerRunning))) }()
	if u.Full {
		d.replacePeerRunning(d.peerRunning[u.From], u.Running)
		d.peerRunning[u.From] = u.Running
		return
	}
	d.mergePeerRunning(u.From, u.Running)
}

// mergePeerRunning applies changes of another gateway's requests at servers.
func (d *dispatcher) mergePeerRunning(from string, changed map[uint64]int) {
	known := d.peerRunning[from]
	if known == nil {
		known = map[uint64]int{}
		d.peerRunning[from] = known
	}
	for h, n := range changed {
		d.balancer.AddRemoteRunning(d.serverIDs[h], n-known[h])
		known[h] = n
		if n == 0 {
			delete(known, h)
		}
	}
}

// replacePeerRunning updates the balancer from the previous to the current set of another
// gateway's requests at servers.
func (d *dispatcher) replacePeerRunning(before, now map[uint64]int) {
	for h, n := range now {
		if n != before[h] {
			d.balancer.AddRemoteRunning(d.serverIDs[h], n-before[h])
		}
	}
	for h, n := range before {
		if _, still := now[h]; !still {
			d.balancer.AddRemoteRunning(d.serverIDs[h], -n)
		}
	}
}
