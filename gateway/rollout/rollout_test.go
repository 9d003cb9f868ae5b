package rollout_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/rollout"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The platform's bound on what a bad version may get: a part of all requests in the order's
// duration, and some more.
const (
	exposeShare = 0.1
	exposeSlack = 50
)

// version is how a version's servers answer.
type version struct {
	fails   float64 // part of answers
	slow    float64 // part of answers
	factor  float64 // of those
	from    time.Duration
	share   float64 // it is bad only while it gets at least this part of all requests
	route   int     // 0: all
	servers int     // only so many of them are bad; 0: all
}

// play is a fleet of gateways that move a service's traffic.
type play struct {
	draw     *rand.Rand
	gateways []*rollout.Rollout
	order    rollout.Order
	target   version
	baseline version
	servers  int
	perStep  float64 // requests of one gateway
	restarts bool
	all, got int // requests, and those that the target got
	bad      int
	why      *rollout.Evidence
	back     time.Duration // when the first gateway took the target back; 0: none has
	complete time.Duration // when nine in ten had moved
	seventh  time.Duration // when the 50th bad answer was given
}

const playStep = 50 * time.Millisecond

func newPlay(seed uint64, target, baseline version) *play {
	p := &play{
		draw: rand.New(rand.NewPCG(seed, 1)), target: target, baseline: baseline, servers: 50, perStep: 2,
		order: rollout.Order{Service: "model", Target: "v2", Duration: 15 * time.Second, Revision: 7},
	}
	for range 27 {
		p.gateways = append(p.gateways, rollout.New(p.order, start))
	}
	return p
}

// answer draws how a server answers.
func (p *play) answer(v version, age time.Duration, route, server int, share float64) rollout.Answer {
	a := rollout.Answer{RelativeLatency: math.Exp(0.3 * p.draw.NormFloat64()), EventInterval: time.Duration(float64(5*time.Millisecond) * math.Exp(0.2*p.draw.NormFloat64()))}
	if p.draw.Float64() < 0.05 {
		a.RelativeLatency *= 3 // it met a queue
	}
	if age < v.from || share < v.share || v.route != 0 && v.route != route || v.servers != 0 && server >= v.servers {
		return a
	}
	a.Failed = p.draw.Float64() < v.fails
	if p.draw.Float64() < v.slow {
		a.RelativeLatency *= v.factor
	}
	return a
}

// run plays a roll-out until a time after its duration. Reports take up to a second.
func (p *play) run() {
	type told struct {
		at     time.Time
		from   string
		report rollout.Report
		stage  rollout.Stage
	}
	var under []told
	for now := start; now.Sub(start) < p.order.Duration+3*time.Second; now = now.Add(playStep) {
		age := now.Sub(start)
		share := 0.0
		for _, r := range p.gateways {
			share += r.TargetShare() / float64(len(p.gateways))
		}
		moved := 0
		for i, r := range p.gateways {
			if p.restarts && p.draw.Float64() < 0.002 {
				r = rollout.New(p.order, start)
				p.gateways[i] = r
			}
			for range int(p.perStep + p.draw.Float64()) {
				toTarget := r.TryTarget()
				r.RecordSent(toTarget)
				route := 1 + p.draw.IntN(3)
				v, server := p.baseline, p.draw.IntN(p.servers)
				if toTarget {
					v, server = p.target, p.draw.IntN(r.TargetServers(p.servers))
				}
				a := p.answer(v, age, route, server, share)
				r.RecordAnswer(uint32(route), uint32(server), toTarget, a)
				if age < p.order.Duration {
					p.all++
				}
				if toTarget {
					p.count(age, a)
				}
			}
			if p.draw.Float64() < 0.05 {
				under = append(under, told{now.Add(time.Duration(p.draw.Float64() * float64(300*time.Millisecond))), fmt.Sprint(i), maps.Clone(r.Report()), r.Stage()})
			}
			r.Advance(now, true)
			if r.Evidence() != nil && p.back == 0 {
				p.back, p.why = age, r.Evidence()
			}
			if !r.FullSince().IsZero() {
				moved++
			}
		}
		if moved >= len(p.gateways)*9/10 && p.complete == 0 {
			p.complete = age
		}
		left := under[:0]
		for _, t := range under {
			if now.Before(t.at) {
				left = append(left, t)
				continue
			}
			for i, r := range p.gateways {
				if fmt.Sprint(i) != t.from && p.draw.Float64() < 0.95 {
					r.MergeReport(t.from, t.report, t.stage, start)
				}
			}
		}
		under = left
	}
}

// count counts a request that the target got.
func (p *play) count(age time.Duration, a rollout.Answer) {
	if age < p.order.Duration {
		p.got++
	}
	if a.Failed || a.RelativeLatency > 4 {
		if p.bad++; p.bad == 50 {
			p.seventh = age
		}
	}
}

// TestVerdicts plays versions of each kind with several seeds. A bad one is taken back within
// the platform's bounds, a good one gets all requests in time, whatever befalls single servers.
func TestVerdicts(t *testing.T) {
	const seeds = 6
	noise := version{fails: 0.01, slow: 0.03, factor: 4}
	tests := []struct {
		name             string
		target, baseline version
		restarts         bool
		bad              bool
	}{
		{"good", version{}, version{}, false, false},
		{"as bad as the baseline", version{fails: 0.1, slow: 0.1, factor: 4}, version{fails: 0.1, slow: 0.1, factor: 4}, false, false},
		{"good, one server fails by itself", version{fails: 0.5, servers: 1}, noise, false, false},
		{"good, two servers are slow by themselves", version{slow: 1, factor: 5, servers: 2}, noise, false, false},
		{"good, gateways start again", version{}, noise, true, false},
		{"fails at once", version{fails: 0.3}, noise, false, true},
		{"fails later", version{fails: 0.3, from: 6 * time.Second}, noise, false, true},
		{"fails under load", version{fails: 0.3, share: 0.2}, noise, false, true},
		{"fails on one route", version{fails: 0.3, route: 2}, noise, false, true},
		{"slow", version{slow: 0.4, factor: 4}, noise, false, true},
		{"slow on one route, later", version{slow: 0.5, factor: 4, route: 3, from: 5 * time.Second}, noise, false, true},
		{"fails, gateways start again", version{fails: 0.3}, noise, true, true},
		{"fails at a fifteenth of its answers", version{fails: 0.07}, noise, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				p := newPlay(seed, test.target, test.baseline)
				p.restarts = test.restarts
				p.run()
				if !test.bad {
					require.Zero(t, p.back, "seed %d: taken back: %+v", seed, p.why)
					require.NotZero(t, p.complete, "seed %d: not all has moved", seed)
					require.Less(t, p.complete, p.order.Duration*3/4, "seed %d: streams at the old servers have the rest", seed)
					continue
				}
				require.NotZero(t, p.back, "seed %d: not taken back", seed)
				require.LessOrEqual(t, float64(p.got), exposeShare*float64(p.all)+exposeSlack, "seed %d: too much went to it, taken back after %v: %+v", seed, p.back, p.why)
				if p.seventh != 0 {
					require.Less(t, p.back-p.seventh, 4*time.Second, "seed %d: taken back late", seed)
				}
			}
		})
	}
}

// TestShareIsKeptOverTheFleet: whatever gateways know of each other, the part of all requests
// that the target gets as a canary is bounded.
func TestShareIsKeptOverTheFleet(t *testing.T) {
	order := rollout.Order{Target: "v2", Duration: time.Minute, Revision: 3}
	all, got := 0, 0
	for gateway := range 300 {
		r := rollout.New(order, start)
		r.Advance(start, true)
		for range 10 + gateway {
			toTarget := r.TryTarget()
			r.RecordSent(toTarget)
			all++
			if toTarget {
				got++
			}
		}
	}
	require.LessOrEqual(t, float64(got), 0.05*float64(all)+1)
	require.Greater(t, float64(got), 0.04*float64(all))
}

// TestNoFreshNewsNoExposure: a gateway that has no fresh news sends nothing to the target, and
// begins again when it has.
func TestNoFreshNewsNoExposure(t *testing.T) {
	r := rollout.New(rollout.Order{Target: "v2", Duration: time.Minute}, start)
	turns := func(fresh bool) (n int) {
		r.Advance(start, fresh)
		for range 1000 {
			toTarget := r.TryTarget()
			r.RecordSent(toTarget)
			if toTarget {
				n++
			}
		}
		return n
	}
	require.InDelta(t, 50, turns(true), 2)
	require.Zero(t, turns(false))
	require.InDelta(t, 50, turns(true), 2)
}

// TestStatusOf: a status of an earlier order, or of another target, says nothing of this one.
func TestStatusOf(t *testing.T) {
	order := rollout.Order{Target: "v2", Revision: 9}
	tests := []struct {
		name   string
		status rollout.Status
		want   rollout.State
	}{
		{"none", rollout.Status{}, rollout.Unknown},
		{"of the order", rollout.Status{State: rollout.Complete, Target: "v2", Revision: 10}, rollout.Complete},
		{"of an earlier order of the same target", rollout.Status{State: rollout.RolledBack, Target: "v2", Revision: 8}, rollout.Unknown},
		{"of another target", rollout.Status{State: rollout.RolledBack, Target: "v3", Revision: 12}, rollout.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { require.Equal(t, test.want, test.status.StateFor(order)) })
	}
}
