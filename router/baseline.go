package router

import (
	"cmp"
	"slices"

	"opalbridge.dev/dispatch"
	"opalbridge.dev/fair"
)

// baseline is the state of the two ways to dispatch that the project is compared
// with: both are what a router can do by itself, with the least loaded agent.
type baseline struct {
	served map[fair.Account]float64 // service given by this router
}

// baselineDispatch binds waiting requests as long as an agent seems to have room.
func (d *dispatcher) baselineDispatch() {
	if d.router.options.Queueing == LateBinding {
		return
	}
	if d.baseline.served == nil {
		d.baseline.served = map[fair.Account]float64{}
	}
	for d.baselineOne() {
	}
}

func (d *dispatcher) baselineOne() bool {
	keys := d.queue.Classes()
	slices.SortFunc(keys, d.baselineOrder)
	for _, k := range keys {
		request := d.queue.Peek(k)
		t := d.tickets[request]
		v, why := d.free(t)
		if v == nil {
			continue
		}
		d.queue.Remove(request)
		delete(d.tickets, request)
		d.baseline.served[k.Account] += d.estimate(k, request.Estimate) / d.share(k.Account)
		d.bind(t, v, 0, why)
		return true
	}
	return false
}

func (d *dispatcher) baselineOrder(a, b dispatch.Class) int {
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

func (d *dispatcher) share(a fair.Account) float64 {
	for _, c := range d.router.holder.Current().Accounts {
		if c.ID == uint32(a) {
			return float64(c.Share)
		}
	}
	return 1
}
