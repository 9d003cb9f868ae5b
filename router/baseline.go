package router

import (
	"cmp"
	"slices"

	"opalbridge.dev/dispatch"
	"opalbridge.dev/fair"
)

// baseline is the state of the two baseline policies, RouterFair and FirstCome. In
// both the router decides alone and sends to the least loaded agent.
type baseline struct {
	served map[fair.Account]float64 // expected cost dispatched by this router, divided by share
}

// dispatchBaseline binds waiting requests while an agent seems to have capacity.
func (d *dispatcher) dispatchBaseline() {
	if d.router.options.Queueing == LateBinding {
		return
	}
	if d.baseline.served == nil {
		d.baseline.served = map[fair.Account]float64{}
	}
	for d.dispatchBaselineOne() {
	}
}

func (d *dispatcher) dispatchBaselineOne() bool {
	keys := d.queue.Classes()
	slices.SortFunc(keys, d.compareBaseline)
	for _, k := range keys {
		request := d.queue.Peek(k)
		t := d.tickets[request]
		v, reason := d.pickAgent(t)
		if v == nil {
			continue
		}
		d.queue.Remove(request)
		delete(d.tickets, request)
		d.baseline.served[k.Account] += d.expectedCost(k, request.Estimate) / d.accountShare(k.Account)
		d.bind(t, v, 0, reason)
		return true
	}
	return false
}

func (d *dispatcher) compareBaseline(a, b dispatch.Class) int {
	if d.router.options.Queueing == RouterFair {
		if c := cmp.Compare(d.baseline.served[a.Account], d.baseline.served[b.Account]); c != 0 {
			return c
		}
	}
	if c := d.queue.Peek(a).Arrived.Compare(d.queue.Peek(b).Arrived); c != 0 {
		return c
	}
	return cmp.Compare(a.Account, b.Account)
}

func (d *dispatcher) accountShare(a fair.Account) float64 {
	for _, c := range d.router.holder.Current().Accounts {
		if c.ID == uint32(a) {
			return float64(c.Share)
		}
	}
	return 1
}
