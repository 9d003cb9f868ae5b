package agent

import (
	"fmt"
	"slices"
	"time"

	"opalbridge.dev/explain"
	"opalbridge.dev/fair"
	"opalbridge.dev/wire/wirepb"
)

// rateEstimator estimates the fleet's service rate from the totals received.
type rateEstimator struct {
	served float64
	at     time.Time
	rate   float64 // weighted tokens per second: a decaying maximum
}

// rateDecay is the factor by which an earlier, higher rate shrinks each second.
const rateDecay = 0.98

func (p *rateEstimator) observe(served float64, at time.Time) {
	if !p.at.IsZero() && at.After(p.at) && served >= p.served {
		rate := (served - p.served) / at.Sub(p.at).Seconds()
		p.rate = max(rate, p.rate*rateDecay)
	}
	p.served, p.at = served, at
}

// bound returns the largest gap between the accounts that wait here and the bound
// that it must not exceed, both in weighted service.
func (d *admission) bound() (gap, bound float64) {
	gap, waiting := d.tracker.Gap()
	if waiting < 2 {
		return 0, 0
	}
	reach, share := d.tracker.BoundInputs()
	age := 2 * d.agent.options.Interval
	if !d.totalsMergedAt.IsZero() {
		age += now().Sub(d.totalsMergedAt)
	}
	b := fair.GapBound{
		MaxCost:      d.largestReservation,
		Slots:        reach,
		ServiceRate:  d.serviceRate.rate,
		TotalsAge:    age.Seconds(),
		UrgentCredit: float64(d.agent.holder.Current().Limits.WithDefaults().UrgentCredit),
		MinShare:     share,
	}
	return gap, b.Value()
}

// checkBound checks the fairness bound; a violation is recorded and counted.
func (d *admission) checkBound() {
	d.serviceRate.observe(d.tracker.TotalServed(), now())
	gap, bound := d.bound()
	if gap <= bound {
		return
	}
	d.agent.violations.Add(1)
	d.agent.record(explain.Event{
		Kind: explain.Degrade,
		Text: fmt.Sprintf("the gap of %.0f between waiting accounts is above the bound of %.0f", gap, bound),
	})
	d.agent.options.Log.Error().Float64("gap", gap).Float64("bound", bound).Msg("fairness bound exceeded")
}

func (d *admission) status() *wirepb.NodeStatus {
	gap, bound := d.bound()
	_, totals := d.tracker.Snapshot()
	s := &wirepb.NodeStatus{
		Node:         d.agent.options.Name,
		Role:         "agent",
		Hall:         d.agent.options.Hall,
		Incarnation:  d.agent.incarnation,
		Revision:     d.agent.holder.Revision(),
		Running:      uint32(d.scheduler.Running()),
		Limit:        uint32(d.scheduler.Limit()),
		Waiting:      uint32(d.scheduler.Waiting()),
		Gap:          gap,
		Bound:        bound,
		ControlBytes: d.agent.ControlBytes(),
		UpMs:         now().Sub(d.agent.startedAt).Milliseconds(),
		Violations:   uint32(d.agent.Violations()),
	}
	for _, t := range totals {
		s.Counters = append(s.Counters, &wirepb.Counter{Account: uint32(t.Account), Service: uint64(max(0, t.Service)), Reach: uint32(t.Slots)})
	}
	for component, at := range d.degradedSince {
		s.Degraded = append(s.Degraded, fmt.Sprintf("%s: %s since %s", component, d.limit.Health(), at.UTC().Format(time.RFC3339)))
	}
	if d.leaving {
		s.Degraded = append(s.Degraded, "leaving")
	}
	slices.Sort(s.Degraded)
	return s
}
