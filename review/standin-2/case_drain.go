package main

import (
	"fmt"
	"time"
)

// cases are the scripted cases, by name.
var cases = map[string]func(p *play) (broken bool, err error){
	"drain-watch-cut": drainWatchCut,
	"cold-restart":    coldRestart,
	"settings-moved":  settingsMoved,
}

// Times of drainWatchCut.
const (
	drainMS     = 2000 * time.Millisecond // drain_ms of the small sites
	drainSettle = 4 * time.Second         // traffic before the watches are cut; over contact_ms
	drainCuts   = 4 * time.Second         // from then to the end of the server's entry
	drainCutAt  = 500 * time.Millisecond  // how long a watch waits before it is cut
	drainLinger = 3 * time.Second         // how much longer than drain_ms the leaving server serves
)

// drainWatchCut: one of three servers leaves without saying "draining". Its entry goes, and it serves on for
// drain_ms and some seconds longer, then it ends. The store cuts each watch that has waited for half a second. It is
// up and answers all other calls.
func drainWatchCut(p *play) (broken bool, err error) {
	s, err := newStore(p)
	if err != nil {
		return false, err
	}
	s.putJSON("op/config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "reading-push", "host": "api.example", "prefix": "/push/", "kind": "non_idempotent", "timeout_ms": 1000, "goal_ms": 150,
			"priority": 2, "service": "logger-api", "max_attempts": 1, "public": true,
		}},
		"services": []any{map[string]any{"name": "logger-api", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 290000},
		"tenants":  []any{map[string]any{"name": "quito", "api_keys": []string{"k1"}, "priority": 1}},
	})
	var servers []*backend
	for i := range 3 {
		b := &backend{play: p, store: s, id: fmt.Sprintf("i-%d", i+1), service: "logger-api", zone: "quito-norte", work: 100 * time.Millisecond, capacity: 6}
		if err := b.start(); err != nil {
			return false, err
		}
		servers = append(servers, b)
	}
	if err := p.startGateways(s.address, []gatewaySpec{{hall: "quito-norte"}, {hall: "quito-norte"}}); err != nil {
		return false, err
	}
	var load []*clients
	for _, g := range p.gateways {
		c := &clients{play: p, target: func() string { return g.front }, path: "/push/1", host: "api.example", method: "POST", every: 40 * time.Millisecond, budget: time.Second, body: "reading"}
		c.start()
		load = append(load, c)
	}
	time.Sleep(drainSettle)
	leaving := servers[2]
	if p.trouble {
		s.cutAfter(drainCutAt)
	}
	time.Sleep(drainCuts)
	s.Remove("servers/" + leaving.id)
	acknowledged := time.Now()
	p.logAt(acknowledged, "store: the entry of server %s is gone; it serves on for %v", leaving.id, drainMS+drainLinger)
	time.Sleep(drainMS + drainLinger)
	leaving.endNow()
	ended := time.Now()
	p.logAt(ended, "server %s ends", leaving.id)
	time.Sleep(2 * time.Second)
	lost := 0
	for _, c := range load {
		c.end()
		for _, a := range c.answers {
			if a.status == 502 && a.ended.After(ended.Add(-50*time.Millisecond)) && a.ended.Before(ended.Add(200*time.Millisecond)) {
				lost++
			}
		}
		p.logf("answers: %v", c.count())
	}
	late := leaving.after(acknowledged.Add(drainMS))
	all := leaving.after(acknowledged)
	last := time.Duration(0)
	if len(all) > 0 {
		last = all[len(all)-1].at.Sub(acknowledged)
	}
	text := fmt.Sprintf("%d requests reached server %s after its entry had gone, the last one %v later; %d of them later than drain_ms (%v). %d requests that it had begun got 502 as it ended",
		len(all), leaving.id, last.Round(time.Millisecond), len(late), drainMS, lost)
	p.logf("%s", text)
	fmt.Println(text)
	return len(late) > 0, nil
}
