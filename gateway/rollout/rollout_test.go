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

// The platform's limit on the requests that a bad version may get: a fraction of all requests
// in the order's duration, plus a constant.
const (
	exposeShare = 0.1
	exposeSlack = 50
)

// version describes how the servers of a version answer.
type version struct {
	fails   float64 // fraction of answers
	slow    float64 // fraction of answers
	factor  float64 // of the latency of slow answers
	from    time.Duration
	share   float64 // it is bad only while it gets at least this fraction of all requests
	route   int     // the only bad route; 0: all routes
	servers int     // number of bad servers; 0: all servers
}

// simulation is a fleet of gateways that roll out a version of a service.
type simulation struct {
	rng            *rand.Rand
	gateways       []*rollout.Rollout
	order          rollout.Order
	target         version
	baseline       version
	servers        int
	perStep        float64 // requests per step at each gateway
	restarts       bool
	total, exposed int // all requests, and those sent to the target
	bad            int
	evidence       *rollout.Evidence
	revertedAt     time.Duration // when the first gateway reverted the target; 0: none has
	completedAt    time.Duration // when nine in ten gateways had moved all traffic
	fiftyBadAt     time.Duration // when the 50th bad answer was given
}

const step = 50 * time.Millisecond

func newSimulation(seed uint64, target, baseline version) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), target: target, baseline: baseline, servers: 50, perStep: 2,
		order: rollout.Order{Service: "model", Target: "v2", Duration: 15 * time.Second, Revision: 7},
	}
	for range 27 {
		s.gateways = append(s.gateways, rollout.New(s.order, start))
	}
	return s
}

// answer draws a server's answer.
func (s *simulation) answer(v version, age time.Duration, route, server int, share float64) rollout.Answer {
	a := rollout.Answer{RelativeLatency: math.Exp(0.3 * s.rng.NormFloat64()), EventInterval: time.Duration(float64(5*time.Millisecond) * math.Exp(0.2*s.rng.NormFloat64()))}
	if s.rng.Float64() < 0.05 {
		a.RelativeLatency *= 3 // queued behind others
	}
	if age < v.from || share < v.share || v.route != 0 && v.route != route || v.servers != 0 && server >= v.servers {
		return a
	}
	a.Failed = s.rng.Float64() < v.fails
	if s.rng.Float64() < v.slow {
		a.RelativeLatency *= v.factor
	}
	return a
}

// run simulates a rollout until some time after its duration. Reports take up to a second.
func (s *simulation) run() {
	type message struct {
		at     time.Time
		from   string
		report rollout.Report
		stage  rollout.Stage
	}
	var inTransit []message
	for now := start; now.Sub(start) < s.order.Duration+3*time.Second; now = now.Add(step) {
		age := now.Sub(start)
		share := 0.0
		for _, r := range s.gateways {
			share += r.TargetShare() / float64(len(s.gateways))
		}
		moved := 0
		for i, r := range s.gateways {
			if s.restarts && s.rng.Float64() < 0.002 {
				r = rollout.New(s.order, start)
				s.gateways[i] = r
			}
			for range int(s.perStep + s.rng.Float64()) {
				toTarget := r.TryTarget()
				r.RecordSent(toTarget)
				route := 1 + s.rng.IntN(3)
				v, server := s.baseline, s.rng.IntN(s.servers)
				if toTarget {
					v, server = s.target, s.rng.IntN(r.TargetServers(s.servers))
				}
				a := s.answer(v, age, route, server, share)
				r.RecordAnswer(uint32(route), uint32(server), toTarget, a)
				if age < s.order.Duration {
					s.total++
				}
				if toTarget {
					s.count(age, a)
				}
			}
			if s.rng.Float64() < 0.05 {
				inTransit = append(inTransit, message{now.Add(time.Duration(s.rng.Float64() * float64(300*time.Millisecond))), fmt.Sprint(i), maps.Clone(r.Report()), r.Stage()})
			}
			r.Advance(now, true)
			if r.Evidence() != nil && s.revertedAt == 0 {
				s.revertedAt, s.evidence = age, r.Evidence()
			}
			if !r.FullSince().IsZero() {
				moved++
			}
		}
		if moved >= len(s.gateways)*9/10 && s.completedAt == 0 {
			s.completedAt = age
		}
		pending := inTransit[:0]
		for _, t := range inTransit {
			if now.Before(t.at) {
				pending = append(pending, t)
				continue
			}
			for i, r := range s.gateways {
				if fmt.Sprint(i) != t.from && s.rng.Float64() < 0.95 {
					r.MergeReport(t.from, t.report, t.stage, start)
				}
			}
		}
		inTransit = pending
	}
}

// count records a request sent to the target.
func (s *simulation) count(age time.Duration, a rollout.Answer) {
	if age < s.order.Duration {
		s.exposed++
	}
	if a.Failed || a.RelativeLatency > 4 {
		if s.bad++; s.bad == 50 {
			s.fiftyBadAt = age
		}
	}
}

// TestVerdicts plays versions of each kind with several seeds. A bad one is reverted within
// the platform's limits, and a good one gets all requests in time, whatever happens to single
// servers.
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
		{"good, one bad server", version{fails: 0.5, servers: 1}, noise, false, false},
		{"good, two slow servers", version{slow: 1, factor: 5, servers: 2}, noise, false, false},
		{"good, gateways restart", version{}, noise, true, false},
		{"fails at once", version{fails: 0.3}, noise, false, true},
		{"fails later", version{fails: 0.3, from: 6 * time.Second}, noise, false, true},
		{"fails under load", version{fails: 0.3, share: 0.2}, noise, false, true},
		{"fails on one route", version{fails: 0.3, route: 2}, noise, false, true},
		{"slow", version{slow: 0.4, factor: 4}, noise, false, true},
		{"slow on one route, later", version{slow: 0.5, factor: 4, route: 3, from: 5 * time.Second}, noise, false, true},
		{"fails, gateways restart", version{fails: 0.3}, noise, true, true},
		{"fails 7% of its answers", version{fails: 0.07}, noise, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				s := newSimulation(seed, test.target, test.baseline)
				s.restarts = test.restarts
				s.run()
				if !test.bad {
					require.Zero(t, s.revertedAt, "seed %d: reverted: %+v", seed, s.evidence)
					require.NotZero(t, s.completedAt, "seed %d: not all traffic moved", seed)
					require.Less(t, s.completedAt, s.order.Duration*3/4, "seed %d: the rest is for streams at the old servers", seed)
					continue
				}
				require.NotZero(t, s.revertedAt, "seed %d: not reverted", seed)
				require.LessOrEqual(t, float64(s.exposed), exposeShare*float64(s.total)+exposeSlack, "seed %d: too much exposure, reverted after %v: %+v", seed, s.revertedAt, s.evidence)
				if s.fiftyBadAt != 0 {
					require.Less(t, s.revertedAt-s.fiftyBadAt, 4*time.Second, "seed %d: reverted late", seed)
				}
			}
		})
	}
}

// TestFleetExposureBound: the fraction of all requests that the target gets as a canary is
// bounded, whatever gateways know of each other.
func TestFleetExposureBound(t *testing.T) {
	order := rollout.Order{Target: "v2", Duration: time.Minute, Revision: 3}
	total, exposed := 0, 0
	for gateway := range 300 {
		r := rollout.New(order, start)
		r.Advance(start, true)
		for range 10 + gateway {
			toTarget := r.TryTarget()
			r.RecordSent(toTarget)
			total++
			if toTarget {
				exposed++
			}
		}
	}
	require.LessOrEqual(t, float64(exposed), 0.05*float64(total)+1)
	require.Greater(t, float64(exposed), 0.04*float64(total))
}

// TestNoExposureWithoutFreshData: a gateway without fresh information sends nothing to the
// target, and resumes when it has some.
func TestNoExposureWithoutFreshData(t *testing.T) {
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

// TestStateFor: the status of an earlier order, or of another target, does not apply to an
// order.
func TestStateFor(t *testing.T) {
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
