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
func (d *desk) unsure(now, since time.Time) bool { return d.late(since, now) > trustedLateness }

// start takes over that a request has its first event, which shows how far its server
// has got.
func (d *desk) start(now time.Time, m startedMessage) {
	p := d.pending[m.ticket]
	delete(d.pending, m.ticket)
	d.heard[m.server] = now
	d.board.Works(now, m.server)
	d.startedVersion(now, m.ticket)
	if p == nil || p.copies {
		return // while it was copying, others may have overtaken it
	}
	if d.unsure(now, p.sent) {
		return
	}
	d.board.Took(m.server, now.Sub(p.sent), p.waiting, p.reading)
	left, miss := d.board.Started(now, m.server, p.position)
	d.tellBacklog(m.server, left, miss)
}

// tellBacklog tells the others how far a server has got, at once if that is news.
func (d *desk) tellBacklog(server string, left, miss time.Duration) {
	d.peers.TellBacklog(peer.Backlog{Server: hash(server), Left: left})
	if miss.Abs() > newsMiss {
		d.peers.TellNow()
	}
}

// After a process was late it takes this long until it has read what had come.
const unreadFor = 200 * time.Millisecond

// findLate looks for servers that owe a first event, and so are further behind than was
// believed.
func (d *desk) findLate(now time.Time) {
	if d.unsure(now, now.Add(-unreadFor)) {
		return // their first events may lie unread
	}
	for _, p := range d.pending {
		if now.Before(p.due) || p.copies {
			continue
		}
		if left, miss := d.board.Overdue(now, p.server, p.position); miss > newsMiss {
			d.tellBacklog(p.server, left, miss)
		}
	}
}

// A server that is this late with a first event, and gave no sign of life since it was
// due, counts as failing: nearly all predictions miss by less than half of it.
const overdue = 500 * time.Millisecond

// findSilent marks servers that owe a first event and are silent.
func (d *desk) findSilent(now time.Time) {
	unsure := d.unsure(now, now.Add(-overdue))
	for _, p := range d.pending {
		if unsure || p.told || now.Sub(p.due) < overdue || d.heard[p.server].After(p.due) {
			continue
		}
		p.told = true
		d.log.Warn().Str("event", "server.silent").Str("server", p.server).Dur("overdue", now.Sub(p.due)).
			Dur("heard", now.Sub(d.heard[p.server])).Msg("let it rest")
		d.board.Silent(now, p.server)
	}
	for id := range d.heard {
		if _, known := d.ids[hash(id)]; !known {
			delete(d.heard, id)
		}
	}
}

// A belief of engines' speed is written to the log when it has changed by this factor.
const speedNews = 1.25

// tellSpeeds writes to the log how fast services' engines are believed to be, if that has
// changed.
func (d *desk) tellSpeeds() {
	if d.view.Configuration == nil {
		return
	}
	for _, s := range d.view.Configuration.Services {
		if s.Engine == nil {
			continue
		}
		now, last := d.board.Speed(s.Name), d.speeds[s.Name]
		if alike(now.Reading, last.Reading) && alike(now.FirstStep.Seconds(), last.FirstStep.Seconds()) {
			continue
		}
		d.speeds[s.Name] = now
		d.log.Info().Str("event", "engine.speed").Str("service", s.Name).Float64("reading", now.Reading).
			Dur("first_step", now.FirstStep).Msg("learned from first events")
	}
}

// learned is what this gateway has learned of engines, for the others.
func (d *desk) learned() []peer.Speed {
	if d.view.Configuration == nil {
		return nil
	}
	var list []peer.Speed
	for _, s := range d.view.Configuration.Services {
		if v := d.board.Speed(s.Name); s.Engine != nil && v.Learned {
			list = append(list, peer.Speed{Service: hash(s.Name), Reading: v.Reading, FirstStep: v.FirstStep})
		}
	}
	return list
}

// takeSpeeds takes over what another gateway has learned of engines.
func (d *desk) takeSpeeds(list []peer.Speed) {
	if d.view.Configuration == nil {
		return
	}
	for _, v := range list {
		for _, s := range d.view.Configuration.Services {
			if hash(s.Name) == v.Service {
				d.board.SetSpeed(s.Name, placement.Speed{Reading: v.Reading, FirstStep: v.FirstStep})
			}
		}
	}
}

// alike tells whether two figures differ by less than the factor that makes news.
func alike(x, y float64) bool { return x < speedNews*y && y < speedNews*x }

// update takes over the news of another gateway.
func (d *desk) update(now time.Time, u peer.Update) {
	if !u.Alive {
		if _, known := d.gateways[u.From]; known {
			d.log.Info().Str("event", "peer.lost").Str("peer", u.From).Int("gateways", len(d.gateways)).Msg("silent or leaving")
		}
		d.addOthers(d.gateways[u.From], nil)
		delete(d.gateways, u.From)
		delete(d.halls, u.From)
		delete(d.asked, u.From)
		d.peersAlive.Store(int64(len(d.gateways)))
		d.book.SetOthers(u.From, nil)
		return
	}
	if _, known := d.gateways[u.From]; !known {
		d.log.Info().Str("event", "peer.regained").Str("peer", u.From).Int("gateways", len(d.gateways)+2).Msg("heard")
	}
	if u.Hall != "" {
		d.halls[u.From] = u.Hall
	}
	d.takeSpeeds(u.Speeds)
	d.hearRollouts(now, u.From, u.Rollouts)
	for _, l := range u.Loads {
		d.board.Sent(now, placement.Load{Server: d.ids[l.Server], Work: l.Work, Parts: l.Parts, Tokens: l.Tokens}, false)
	}
	for _, l := range u.Backlogs {
		d.board.Backlog(now, d.ids[l.Server], l.Left)
	}
	if u.DemandsTold {
		d.asked[u.From] = 0
		list := make([]share.Demand, len(u.Demands))
		for i, p := range u.Demands {
			list[i] = share.Demand{Account: p.Account, Asked: float64(p.Asked), Admitted: float64(p.Admitted)}
			d.asked[u.From] += list[i].Asked
		}
		d.book.SetOthers(u.From, list)
	}
	defer func() { d.peersAlive.Store(int64(len(d.gateways))) }()
	if u.Whole {
		d.addOthers(d.gateways[u.From], u.Running)
		d.gateways[u.From] = u.Running
		return
	}
	d.changeOthers(u.From, u.Running)
}

// changeOthers takes over what has changed of another gateway's requests at servers.
func (d *desk) changeOthers(from string, changed map[uint64]int) {
	known := d.gateways[from]
	if known == nil {
		known = map[uint64]int{}
		d.gateways[from] = known
	}
	for h, n := range changed {
		d.board.AddOthers(d.ids[h], n-known[h])
		known[h] = n
		if n == 0 {
			delete(known, h)
		}
	}
}

// addOthers tells the board what has changed of another gateway's requests at servers.
func (d *desk) addOthers(before, now map[uint64]int) {
	for h, n := range now {
		if n != before[h] {
			d.board.AddOthers(d.ids[h], n-before[h])
		}
	}
	for h, n := range before {
		if _, still := now[h]; !still {
			d.board.AddOthers(d.ids[h], -n)
		}
	}
}
