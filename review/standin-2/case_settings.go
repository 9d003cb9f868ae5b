package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// Times of settingsMoved.
const (
	configApplyMS  = 2000 * time.Millisecond // config_apply_ms of the small sites
	settingsSettle = 4 * time.Second         // traffic before the settings change; over contact_ms
	settingsBoth   = 4 * time.Second         // the store answers at both addresses for so long
	settingsWatch  = 8 * time.Second         // after the key was taken away
)

// settingsMoved: the platform's store gets another address. The platform writes it into the settings files and
// sends SIGHUP to one of four gateways; the store answers at both addresses for some seconds, and then at the new one only.
// After that a key is taken away.
func settingsMoved(p *play) (broken bool, err error) {
	s, err := newStore(p)
	if err != nil {
		return false, err
	}
	config := func(version int, keys ...string) {
		s.putJSON("op/config", map[string]any{
			"version": version,
			"routes": []any{map[string]any{
				"name": "reading-push", "host": "api.example", "prefix": "/push/", "kind": "non_idempotent", "timeout_ms": 1000, "goal_ms": 150,
				"priority": 2, "service": "logger-api", "max_attempts": 1, "public": false,
			}},
			"services": []any{map[string]any{"name": "logger-api", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}},
			"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 290000},
			"tenants":  []any{map[string]any{"name": "quito", "api_keys": keys, "priority": 1}},
		})
	}
	config(1, "k1", "k2")
	for i := range 3 {
		b := &backend{play: p, store: s, id: fmt.Sprintf("i-%d", i+1), service: "logger-api", zone: "quito-norte", work: 30 * time.Millisecond, capacity: 6}
		if err := b.start(); err != nil {
			return false, err
		}
	}
	moved, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	second := &http.Server{Handler: s}
	go func() { _ = second.Serve(moved) }() // ends with the play
	p.closeLater(func() { second.Close() })
	if err := p.startGateways(s.address, []gatewaySpec{{hall: "quito-norte"}, {hall: "quito-norte"}, {hall: "quito-norte"}, {hall: "quito-norte"}}); err != nil {
		return false, err
	}
	signalled := p.gateways[0] // a quarter of the gateways
	var load []*clients
	for _, g := range p.gateways {
		for _, key := range []string{"k1", "k2"} {
			c := &clients{play: p, target: func() string { return g.front }, path: "/push/1", host: "api.example", key: key, method: "POST", every: 150 * time.Millisecond, budget: time.Second, body: "reading"}
			c.start()
			load = append(load, c)
		}
	}
	time.Sleep(settingsSettle)
	if p.trouble {
		for _, g := range p.gateways {
			text, err := os.ReadFile(g.settings)
			if err != nil {
				return false, err
			}
			changed := strings.ReplaceAll(string(text), s.address, moved.Addr().String())
			if err := os.WriteFile(g.settings, []byte(changed), 0o600); err != nil {
				return false, err
			}
		}
		signalled.signal(syscall.SIGHUP)
		p.logf("platform: the store's address is %s instead of %s in the settings files", moved.Addr(), s.address)
	}
	time.Sleep(settingsBoth)
	if p.trouble {
		s.server.Close()
		p.logf("platform: the store no longer answers at %s", s.address)
	}
	time.Sleep(time.Second)
	config(2, "k1")
	acknowledged := time.Now()
	p.logAt(acknowledged, "operator: version 2 is confirmed, which takes key k2 away")
	time.Sleep(settingsWatch)
	late, others, last := 0, 0, time.Duration(0)
	for _, c := range load {
		c.end()
		for _, a := range c.answers {
			if since := a.sent.Sub(acknowledged); c.key == "k2" && a.status == 200 && since > configApplyMS {
				if c.target() != signalled.front {
					others++
					continue
				}
				late, last = late+1, max(last, since)
			}
		}
		p.logf("answers of %s with key %s: %v", c.target(), c.key, c.count())
	}
	text := fmt.Sprintf("%d requests with the key that was taken away were run by way of the gateway that got SIGHUP although they were sent later than config_apply_ms (%v) after the confirmation, the last one %v after it; %d by way of the others",
		late, configApplyMS, last.Round(time.Millisecond), others)
	p.logf("%s", text)
	fmt.Println(text)
	return late > 0, nil
}
