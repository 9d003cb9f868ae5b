package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of coldRestart: those of the site caudalia-andes-now-grown.
const (
	coldPerSecond = 7.0
	coldOver      = 1.5
	coldSlack     = 5.0
	coldTime      = 3 * time.Second
	beatInterval  = 1200 * time.Millisecond
	fallsOverAt   = 21 // requests in a second, three times what a cold server bears
)

// Times of coldRestart.
const (
	coldSettle    = 4 * time.Second        // traffic before the evacuation
	coldEvacuated = 5 * time.Second        // length of the evacuation
	coldDown      = 350 * time.Millisecond // for which the killed gateway is down
	coldBefore    = 100 * time.Millisecond // from the server's coldness to the end of the evacuation
	coldStart     = 50 * time.Millisecond  // from the gateway's start to the end of the evacuation
	coldAfter     = 5 * time.Second
)

// coldRestart: a zone is evacuated and taken back. Its server has become cold shortly before, and says so with
// its next heartbeat. As the evacuation ends, the gateway of the zone is killed and starts again.
func coldRestart(p *play) (broken bool, err error) {
	s, err := newStore(p)
	if err != nil {
		return false, err
	}
	s.putJSON("op/config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "crew-ask", "host": "llm.example", "prefix": "/ask/", "kind": "streaming", "timeout_ms": 12000, "goal_ms": 600,
			"priority": 1, "service": "hydro-llm", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_aim_ms": 600,
		}},
		"services": []any{map[string]any{
			"name": "hydro-llm", "health_path": "/health", "max_conns": 450, "protocol": "h1", "tls": false, "cold_s": coldTime.Seconds(), "cold_per_s": coldPerSecond,
			"runtime": map[string]any{"capacity": 64, "kv_tokens": 512195, "token_kv_bytes": 163840, "link_mbps": 550000.0, "moves": false, "backups": false, "stride": 5, "most": 12, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 290000},
		"tenants": []any{map[string]any{"name": "quito", "api_keys": []string{"k1"}, "priority": 1}},
	})
	zones := []string{"quito-norte", "quito-sur", "cuenca-dc"}
	var servers []*backend
	for i, z := range zones {
		b := &backend{play: p, store: s, id: fmt.Sprintf("i-%d", i+1), service: "hydro-llm", zone: z, work: 30 * time.Millisecond, events: 6, gap: 20 * time.Millisecond, capacity: 64}
		if err := b.start(); err != nil {
			return false, err
		}
		servers = append(servers, b)
	}
	var specs []gatewaySpec
	for _, z := range zones {
		specs = append(specs, gatewaySpec{hall: z, extra: fmt.Sprintf("cold_factor: %v\ncold_extra: %v\n", coldOver, coldSlack)})
	}
	if err := p.startGateways(s.address, specs); err != nil {
		return false, err
	}
	var load []*clients
	for i, g := range p.gateways {
		every := 60 * time.Millisecond
		if i == 1 {
			every = 17 * time.Millisecond // of the gateway that is restarted
		}
		c := &clients{play: p, target: func() string { return g.front }, path: "/ask/1", host: "llm.example", key: "k1", method: "POST", every: every, budget: 12 * time.Second,
			headers: map[string]string{"Model": "m", "Token-Count": "200,30", "Length-Hint": "30"}, body: "question"}
		c.start()
		load = append(load, c)
	}
	time.Sleep(coldSettle)
	zone, cold, restarted := zones[1], servers[1], p.gateways[1]
	s.putJSON("op/evacuate/"+zone, map[string]any{})
	p.logf("operator: zone %s is evacuated", zone)
	end := time.Now().Add(coldEvacuated)
	time.Sleep(time.Until(end.Add(-coldStart - coldDown)))
	if p.trouble {
		restarted.signal(syscall.SIGKILL)
		<-restarted.done
	}
	time.Sleep(time.Until(end.Add(-coldBefore)))
	var once sync.Once
	becameCold := time.Now()
	cold.mutex.Lock()
	cold.coldTill = becameCold.Add(coldTime)
	cold.mutex.Unlock()
	p.logAt(becameCold, "server %s is cold for %v", cold.id, coldTime)
	var fellOver time.Time // zero: it did not
	recent := func(now time.Time) int { return len(cold.after(now.Add(-time.Second))) }
	cold.onArrival = func(at time.Time) {
		if at.Before(becameCold.Add(coldTime)) && recent(at) > fallsOverAt {
			once.Do(func() {
				fellOver = at
				p.logf("server %s falls over: more than %d requests in a second while it is cold", cold.id, fallsOverAt)
				go cold.endNow()
			})
		}
	}
	time.AfterFunc(beatInterval, cold.beat) // its last heartbeat came just before it became cold
	time.Sleep(time.Until(end.Add(-coldStart)))
	if p.trouble {
		if err := restarted.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(end))
	s.Remove("op/evacuate/" + zone)
	p.logf("operator: zone %s is taken back", zone)
	time.Sleep(coldAfter)
	cut := 0
	for _, c := range load {
		c.end()
		for _, a := range c.answers {
			if a.status == 200 && a.note != "" && !fellOver.IsZero() && a.ended.After(fellOver) {
				cut++
			}
		}
		p.logf("answers: %v", c.count())
	}
	most := 0
	list := cold.after(becameCold)
	for i, a := range list {
		if a.at.After(becameCold.Add(coldTime)) {
			break
		}
		n := 0
		for _, b := range list[i:] {
			if b.at.Sub(a.at) < time.Second && b.at.Before(becameCold.Add(coldTime)) {
				n++
			}
		}
		most = max(most, n)
	}
	bound := coldPerSecond*coldOver + coldSlack
	text := fmt.Sprintf("cold server %s got up to %d requests in one second; the bound is %v x %v + %v = %v. It fell over: %v; %d streams were cut then", cold.id, most, coldPerSecond, coldOver, coldSlack, bound, !fellOver.IsZero(), cut)
	p.logf("%s", text)
	fmt.Println(text)
	return float64(most) > bound, nil
}
