package gateway

import (
	"context"
	"math"
	"time"

	"opalbridge.dev/gateway/idhash"
	"opalbridge.dev/gateway/warmup"
)

// This file limits what the dispatcher sends to cold servers (see package warmup) and
// writes claims on them.

// ClaimStore records which gateway holds a cold server, the same for all gateways. A key is
// written once.
type ClaimStore interface {
	// Claim reports whether this process holds the server in the claim's episode, and the
	// store's era in which that was decided. After an error the outcome is unknown.
	Claim(ctx context.Context, c warmup.Claim) (won bool, era uint64, err error)
}

const (
	// claimDemandWindow is how recent a gateway's last request for a service must be for it
	// to claim the service's servers. Otherwise another gateway can make better use of
	// them.
	claimDemandWindow = time.Second
	// claimQueueSize limits the claims that wait to be written. The store answers within
	// milliseconds.
	claimQueueSize = 64
	// claimTimeout limits the write of a claim. It is a third of the shortest cold period
	// seen.
	claimTimeout = time.Second
)

// setColdServers replaces the set of cold servers from a view.
func (d *dispatcher) setColdServers(now time.Time, v *View) {
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
				ColdUntil: c.until(), IdleSince: c.IdleSince, StartObserved: c.StartObserved, Claimed: c.Claimed,
			})
		}
	}
	d.coldLimiter.SetServers(now, list)
	for _, s := range list {
		d.balancer.CloseUntil(s.Server, d.coldLimiter.NextSendAt(now, s.Server))
	}
	d.queueClaims(now)
}

// coldLimits returns the limits of a service's servers while they are cold.
func (d *dispatcher) coldLimits(v *View, service string) warmup.Limits {
	l := d.settings.ColdLimits
	if v.Configuration != nil {
		if s, ok := v.Configuration.Service(service); ok {
			l.PerSecond = s.ColdPerSecond
		}
	}
	return l
}

// recordColdSend records a request to a cold server.
func (d *dispatcher) recordColdSend(now time.Time, server string) {
	d.coldLimiter.RecordSend(now, server)
	d.balancer.CloseUntil(server, d.coldLimiter.NextSendAt(now, server))
}

// queueClaims queues the claims that are due.
func (d *dispatcher) queueClaims(now time.Time) {
	wanted := func(server string) bool {
		return now.Sub(d.lastRequested[d.balancer.ServiceOf(server)]) < claimDemandWindow
	}
	for _, c := range d.coldLimiter.DueClaims(now, wanted, d.claimRanking()) {
		select {
		case d.claims <- c:
		default:
			d.coldLimiter.ResolveClaim(now, c, warmup.Unknown)
		}
	}
}

// applyClaimOutcome applies the outcome of a claim.
func (d *dispatcher) applyClaimOutcome(now time.Time, m claimWritten) {
	d.coldLimiter.ResolveClaim(now, m.claim, m.outcome)
	if m.outcome == warmup.Won {
		d.balancer.CloseUntil(m.claim.Server, d.coldLimiter.NextSendAt(now, m.claim.Server))
	}
}

// claimRanking returns a function that counts the live gateways that rank before this one
// for a server. It uses weighted rendezvous hashing, so most gateways compute the same
// order.
//
// Only the holder's own requests go to a cold server, so gateways with more requests have
// to hold more of them: with equal weights most cold servers got fewer than two of the ten
// requests a second that they could take. The weight counts demand as well as running
// requests, since a gateway whose servers are gone has few running.
func (d *dispatcher) claimRanking() func(s warmup.Server) int {
	running, demand := float64(sum(d.running)+1), d.demandByGateway[d.settings.Address]
	totalRunning, totalDemand := running, demand
	for address, atServers := range d.peerRunning {
		totalRunning += float64(sum(atServers) + 1)
		totalDemand += d.demandByGateway[address]
	}
	weightOf := func(running, demand float64) float64 { return running/totalRunning + demand/max(totalDemand, 1) }
	weight := weightOf(running, demand)
	weights := map[string]float64{}
	for address, atServers := range d.peerRunning {
		weights[address] = weightOf(float64(sum(atServers)+1), d.demandByGateway[address])
	}
	return func(s warmup.Server) int {
		own := rendezvousScore(d.settings.Address, s.Server, weight)
		first := 0
		for address, weight := range weights {
			if rendezvousScore(address, s.Server, weight) > own {
				first++
			}
		}
		return first
	}
}

// rendezvousScore returns a gateway's score for a server. Each gateway has the highest
// score for a share of the servers that is proportional to its weight.
func rendezvousScore(gateway, server string, weight float64) float64 {
	return -weight / math.Log(idhash.Unit(gateway+"/"+server))
}

// sum returns the sum of all counts.
func sum[K comparable](counts map[K]int) int {
	n := 0
	for _, count := range counts {
		n += count
	}
	return n
}

// writeClaims writes claims one at a time until ctx ends.
func (g *Gateway) writeClaims(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-g.claims:
			g.dispatcher.send(claimWritten{claim: c, outcome: g.writeClaim(ctx, c)})
		}
	}
}

// writeClaim writes a claim and returns its outcome.
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
		event.Err(err).Msg("claim may or may not have been written")
		return warmup.Unknown
	case era != c.Episode.Era():
		event.Uint64("era", era).Msg("store was restored from a backup since: holder unknown")
		return warmup.Lost
	case won:
		event.Bool("own", true).Msg("only this gateway sends requests while the server is cold")
		return warmup.Won
	default:
		event.Bool("own", false).Msg("another gateway holds the server")
		return warmup.Lost
	}
}
