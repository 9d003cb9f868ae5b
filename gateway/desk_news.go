package gateway

import (
	"time"

	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/share"
)

// This file holds what the desk learns: from first events and their absence, and from
// other gateways.

// A process that was later than this says nothing of servers: what it sees of them, it
// sees late, and servers would seem slow or silent. It is a tenth of what a prompt of usual
// length takes.
const trustedLateness = 15 * time.Millisecond

// Connections to servers are given up after this time.
const dialLimit = 1500 * time.Millisecond

// unsure tells whether what was seen of servers since a time says more of this process
// than of them.
func (d *dispatcher) unsure(now, since time.Time) bool {
	return d.lateness(since, now) > trustedLateness
}

// recordFirstEvent takes over that a request has its first event, which shows how far its server
// has got.
func (d *dispatcher) recordFirstEvent(now time.Time, m firstEventReceived) {
	p := d.pending[m.ticket]
	delete(d.pending, m.ticket)
	d.heard[m.server] = now
	d.balancer.RecordAccepting(now, m.server)
	d.startedVersion(now, m.ticket)
	if p == nil || p.copies {
		return // while it was copying, others may have overtaken it
	}
	if d.unsure(now, p.sent) {
		return
	}
	d.balancer.RecordLatency(m.server, now.Sub(p.sent), p.waiting, p.reading)
	left, miss := d.balancer.RecordFirstEvent(now, m.server, p.position)
	d.tellBacklog(m.server, left, miss)
}

// tellBacklog tells the others how far a server has got, at once if that is news.
func (d *dispatcher) tellBacklog(server string, left, miss time.Duration) {
	d.peers.PublishBacklog(peer.Backlog{Server: hashString(server), Remaining: left})
	if miss.Abs() > newsMiss {
		d.peers.SendSoon()
	}
}

// After a process was late it takes this long until it has read what had come.
const unreadFor = 200 * time.Millisecond

// detectOverdue looks for servers that owe a first event, and so are further behind than was
// believed.
func (d *dispatcher) detectOverdue(now time.Time) {
	if d.unsure(now, now.Add(-unreadFor)) {
		return // their first events may lie unread
	}
	for _, p := range d.pending {
		if now.Before(p.due) || p.copies {
			continue
		}
		if left, miss := d.balancer.RecordOverdue(now, p.server, p.position); miss > newsMiss {
			d.tellBacklog(p.server, left, miss)
		}
	}
}

// A server that is this late with a first event, and gave no sign of life since it was
// due, counts as failing: nearly all predictions miss by less than half of it.
const silenceThreshold = 500 * time.Millisecond

// detectSilent marks servers that owe a first event and are silent.
func (d *dispatcher) detectSilent(now time.Time) {
	unsure := d.unsure(now, now.Add(-silenceThreshold))
	for _, p := range d.pending {
		if unsure || p.reportedSilent || now.Sub(p.due) < silenceThreshold || d.heard[p.server].After(p.due) {
			continue
		}
		p.reportedSilent = true
		d.log.Warn().Str("event", "server.silent").Str("server", p.server).Dur("overdue", now.Sub(p.due)).
			Dur("heard", now.Sub(d.heard[p.server])).Msg("let it rest")
		d.balancer.RecordSilence(now, p.server)
	}
	for id := range d.heard {
		if _, known := d.serverIDs[hashString(id)]; !known {
			delete(d.heard, id)
		}
	}
}

// A belief of engines' speed is written to the log when it has changed by this factor.
const speedNews = 1.25

// tellSpeeds writes to the log how fast services' engines are believed to be, if that has
// changed.
func (d *dispatcher) tellSpeeds() {
	if d.view.Configuration == nil {
		return
	}
	for _, s := range d.view.Configuration.Services {
		if s.Engine == nil {
			continue
		}
		now, last := d.balancer.Speed(s.Name), d.speeds[s.Name]
		if alike(now.PrefillSlowdown, last.PrefillSlowdown) && alike(now.FirstEventDelay.Seconds(), last.FirstEventDelay.Seconds()) {
			continue
		}
		d.speeds[s.Name] = now
		d.log.Info().Str("event", "engine.speed").Str("service", s.Name).Float64("reading", now.PrefillSlowdown).
			Dur("first_step", now.FirstEventDelay).Msg("learned from first events")
	}
}

// learnedSpeeds is what this gateway has learnedSpeeds of engines, for the others.
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

// takeSpeeds takes over what another gateway has learned of engines.
func (d *dispatcher) takeSpeeds(list []peer.Speed) {
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

// alike tells whether two figures differ by less than the factor that makes news.
func alike(x, y float64) bool { return x < speedNews*y && y < speedNews*x }

// applyUpdate takes over the news of another gateway.
func (d *dispatcher) applyUpdate(now time.Time, u peer.Update) {
	if !u.Alive {
		if _, known := d.peerRunning[u.From]; known {
			d.log.Info().Str("event", "peer.lost").Str("peer", u.From).Int("gateways", len(d.peerRunning)).Msg("silent or leaving")
		}
		d.addOthers(d.peerRunning[u.From], nil)
		delete(d.peerRunning, u.From)
		delete(d.halls, u.From)
		delete(d.asked, u.From)
		d.livePeers.Store(int64(len(d.peerRunning)))
		d.shares.SetRemoteDemands(u.From, nil)
		return
	}
	if _, known := d.peerRunning[u.From]; !known {
		d.log.Info().Str("event", "peer.regained").Str("peer", u.From).Int("gateways", len(d.peerRunning)+2).Msg("heard")
	}
	if u.Hall != "" {
		d.halls[u.From] = u.Hall
	}
	d.takeSpeeds(u.Speeds)
	d.hearRollouts(now, u.From, u.Rollouts)
	for _, l := range u.Loads {
		d.balancer.RecordSent(now, placement.Load{Server: d.serverIDs[l.Server], Work: l.Work, Parts: l.Parts, CacheTokens: l.Tokens}, false)
	}
	for _, l := range u.Backlogs {
		d.balancer.RecordBacklog(now, d.serverIDs[l.Server], l.Remaining)
	}
	if u.HasDemands {
		d.asked[u.From] = 0
		list := make([]share.Demand, len(u.Demands))
		for i, p := range u.Demands {
			list[i] = share.Demand{Account: p.Account, Asked: float64(p.Asked), Admitted: float64(p.Admitted)}
			d.asked[u.From] += list[i].Asked
		}
		d.shares.SetRemoteDemands(u.From, list)
	}
	defer func() { d.livePeers.Store(int64(len(d.peerRunning))) }()
	if u.Full {
		d.addOthers(d.peerRunning[u.From], u.Running)
		d.peerRunning[u.From] = u.Running
		return
	}
	d.changeOthers(u.From, u.Running)
}

// changeOthers takes over what has changed of another gateway's requests at servers.
func (d *dispatcher) changeOthers(from string, changed map[uint64]int) {
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

// addOthers tells the board what has changed of another gateway's requests at servers.
func (d *dispatcher) addOthers(before, now map[uint64]int) {
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
