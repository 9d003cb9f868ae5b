package gateway

import (
	"context"
	"math"
	"time"

	"opalbridge.dev/gateway/warmup"
)

// This file is the desk's part in sparing cold servers (package warmup), and the duty
// that writes claims.

// ClaimStore writes who holds a cold server where each gateway finds it alike. A key is
// written once.
type ClaimStore interface {
	// Claim returns whether this process holds the server in that episode, and the era of the
	// store in which that was decided. After an error nobody knows.
	Claim(ctx context.Context, c warmup.Claim) (won bool, era uint64, err error)
}

const (
	// Who had no request for a service in this time does not claim its servers: another
	// gateway can make more of them.
	wantedFor = time.Second
	// Claims that wait to be written; the store answers within milliseconds.
	claimQueueSize = 64
	// A claim is given up after this time, a third of the shortest coldness seen.
	claimTimeout = time.Second
)

// setCold takes over which servers are cold.
func (d *dispatcher) setCold(now time.Time, v *View) {
	for _, id := range d.coldLimiter.Servers() {
		d.balancer.CloseUntil(id, time.Time{})
	}
	var list []warmup.Server
	for _, s := range v.Servers {
		c, known := v.Cold[s.ID]
		if !known || !now.Before(c.until()) {
			continue
		}
		if limits := d.coldLimits(v, s.Service); limits.PerSecond > 0 {
			list = append(list, warmup.Server{
				Claim: warmup.Claim{Server: s.ID, Episode: c.Episode}, Hall: s.Hall, Limits: limits,
				ColdUntil: c.until(), IdleSince: c.Clear, StartObserved: c.Witnessed, Claimed: c.Claimed,
			})
		}
	}
	d.coldLimiter.SetServers(now, list)
	for _, s := range list {
		d.balancer.CloseUntil(s.Server, d.coldLimiter.NextSendAt(now, s.Server))
	}
	d.claim(now)
}

// coldLimits returns what a service's servers bear while they are cold.
func (d *dispatcher) coldLimits(v *View, service string) warmup.Limits {
	l := d.settings.ColdLimits
	if v.Configuration != nil {
		if s, ok := v.Configuration.Service(service); ok {
			l.PerSecond = s.ColdPerSecond
		}
	}
	return l
}

// sentCold notes a request to a cold server.
func (d *dispatcher) sentCold(now time.Time, server string) {
	d.coldLimiter.RecordSend(now, server)
	d.balancer.CloseUntil(server, d.coldLimiter.NextSendAt(now, server))
}

// claim asks for cold servers to be claimed.
func (d *dispatcher) claim(now time.Time) {
	wanted := func(server string) bool {
		return now.Sub(d.wanted[d.balancer.ServiceOf(server)]) < wantedFor
	}
	for _, c := range d.coldLimiter.DueClaims(now, wanted, d.ranking()) {
		select {
		case d.claims <- c:
		default:
			d.coldLimiter.ResolveClaim(now, c, warmup.Unknown)
		}
	}
}

// settleClaim takes over how a claim ended.
func (d *dispatcher) settleClaim(now time.Time, m claimMessage) {
	d.coldLimiter.ResolveClaim(now, m.claim, m.outcome)
	if m.outcome == warmup.Won {
		d.balancer.CloseUntil(m.claim.Server, d.coldLimiter.NextSendAt(now, m.claim.Server))
	}
}

// ranking returns how to tell how many live gateways come before this one for a server, in an
// order that most find alike (rendezvous hashing). Only the holder's own requests go to a cold
// server, so who is asked for more holds more of them: by an even hash most cold servers got
// fewer than two of the ten requests a second that they might. What is asked counts beside the
// requests in hand, since a gateway whose servers have gone has little in hand.
func (d *dispatcher) ranking() func(s warmup.Server) int {
	inHand, asked := float64(sum(d.running)+1), d.asked[d.settings.Address]
	hands, demand := inHand, asked
	for address, running := range d.peerRunning {
		hands += float64(sum(running) + 1)
		demand += d.asked[address]
	}
	weightOf := func(inHand, asked float64) float64 { return inHand/hands + asked/max(demand, 1) }
	weight := weightOf(inHand, asked)
	weights := map[string]float64{}
	for address, running := range d.peerRunning {
		weights[address] = weightOf(float64(sum(running)+1), d.asked[address])
	}
	return func(s warmup.Server) int {
		own := score(d.settings.Address, s.Server, weight)
		first := 0
		for address, weight := range weights {
			if score(address, s.Server, weight) > own {
				first++
			}
		}
		return first
	}
}

// score orders gateways for a server: each comes first as often as its weight is of all
// weights.
func score(gateway, server string, weight float64) float64 {
	return -weight / math.Log(unitHash(gateway+"/"+server))
}

func sum[K comparable](counts map[K]int) int {
	n := 0
	for _, count := range counts {
		n += count
	}
	return n
}

// writeClaims writes claims one after the other until ctx ends.
func (g *Gateway) writeClaims(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-g.claims:
			g.dispatcher.send(claimMessage{claim: c, outcome: g.writeClaim(ctx, c)})
		}
	}
}

func (g *Gateway) writeClaim(ctx context.Context, c warmup.Claim) warmup.Outcome {
	if g.options.Claims == nil || g.stopping.Load() {
		return warmup.Lost
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	won, era, err := g.options.Claims.Claim(ctx, c)
	event := g.log.Info().Str("event", "server.claimed").Str("server", c.Server).Stringer("episode", c.Episode)
	switch {
	case err != nil:
		event.Err(err).Msg("nobody knows who holds it")
		return warmup.Unknown
	case era != c.Episode.Era():
		event.Uint64("era", era).Msg("the store has come back from a copy since: who holds it is not known to it")
		return warmup.Lost
	case won:
		event.Bool("own", true).Msg("this gateway sends it what it bears while it is cold")
		return warmup.Won
	default:
		event.Bool("own", false).Msg("another gateway holds it")
		return warmup.Lost
	}
}
