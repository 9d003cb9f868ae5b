package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"opalbridge.dev/gateway/offload"
	"opalbridge.dev/gateway/peer"
)

// This file connects the gateway with package offload's decision to withdraw from the load balancer:
// overload.go takes the samples, other gateways report their state in full beacons, and stop.go answers
// the health checks.

// withdrawal is the gateway's withdrawal from the load balancer. It is safe for concurrent use.
type withdrawal struct {
	log       zerolog.Logger
	calledFor func() bool // whether the configuration calls for it
	withdrawn atomic.Bool
	mutex     sync.Mutex
	decision  *offload.Withdrawal
}

// newWithdrawal returns the gateway's withdrawal, or nil if the settings switch it off.
func newWithdrawal(g *Gateway) *withdrawal {
	mode := g.options.Dispatcher.Features.Withdraw
	if mode == Off {
		return nil
	}
	return &withdrawal{
		log:       g.log,
		calledFor: func() bool { return mode == On || g.dispatcher.tolerantStreams.Load() },
		decision: offload.NewWithdrawal(offload.Gateway{
			Address: g.options.Dispatcher.Address, Hall: g.options.Dispatcher.Hall, MilliCPU: g.options.MilliCPU,
		}),
	}
}

// isWithdrawn reports whether the gateway has withdrawn. w may be nil.
func (w *withdrawal) isWithdrawn() bool { return w != nil && w.withdrawn.Load() }

// sample takes a sample of the share of connections that the gateway admits. w may be nil.
func (w *withdrawal) sample(now time.Time, admitted float64) {
	if w == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	s := w.decision.Sample(offload.Sample{At: now, Admitted: admitted, CalledFor: w.calledFor()})
	if w.withdrawn.Swap(s.Withdrawn) == s.Withdrawn {
		return
	}
	if s.Withdrawn {
		w.log.Warn().Str("event", "gateway.withdrawn").Str("reason", string(s.Reason)).Float64("admitted", s.Admitted).Dur("for", s.Duration).
			Int("hall_ready", s.HallReady).Int("hall_gateways", s.Hall).Msg("withdrawn from the load balancer")
		return
	}
	w.log.Info().Str("event", "gateway.returned").Str("reason", string(s.Reason)).
		Int("hall_ready", s.HallReady).Int("hall_gateways", s.Hall).Msg("ready for the load balancer again")
}

// update applies an update from another gateway. w may be nil.
func (w *withdrawal) update(now time.Time, u peer.Update) {
	if w == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case !u.Alive:
		w.decision.Lost(u.From)
	case u.Full:
		w.decision.Report(now, offload.Gateway{Address: u.From, Hall: u.Hall, MilliCPU: u.Weight, NotAdmitted: u.NotAdmitted, Readiness: u.Readiness})
	}
}

// readiness returns what the gateway answers to the load balancer's health checks.
func (g *Gateway) readiness() offload.Readiness {
	switch {
	case !g.hasView() || g.stopping.Load():
		return offload.NotReady
	case g.withdrawal.isWithdrawn():
		return offload.Withdrawn
	}
	return offload.Ready
}
