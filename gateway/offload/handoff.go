package offload

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of what is handed off.
const (
	// CPU time that a connection is expected to take at the gateway that serves it.
	connectionCost = 4 * time.Millisecond
	// Gateways report four times a second; CPU time that was spared longer ago than this is gone. It is
	// the time of two reports, one of which may be lost.
	maxSpareAge = 500 * time.Millisecond
	// The time that the first report of a gateway stands for.
	reportInterval = 250 * time.Millisecond
)

// Outcome is what became of a connection that this gateway cannot serve.
type Outcome string

// Outcomes.
const (
	OwnHall   Outcome = "own_hall"   // handed off to a gateway of its hall
	OtherHall Outcome = "other_hall" // handed off to a gateway of another hall
	None      Outcome = "none"       // there was no gateway to take it
	Failed    Outcome = "failed"     // those that were to take it could not be reached
)

// Obstacle says why no gateway can take a connection.
type Obstacle string

// Obstacles.
const (
	NoGateway  Obstacle = "no gateway is heard of"
	AllShort   Obstacle = "all gateways are short of CPU time"
	NoSpare    Obstacle = "gateways of other halls have too little spare CPU"
	Restricted Obstacle = "accounts or routes are bound to other regions"
)

// Choice is the decision about one connection.
type Choice struct {
	Outcome  Outcome // OwnHall, OtherHall or None
	Address  string
	Hall     string
	Obstacle Obstacle // if the outcome is None
}

// ChoiceOptions describes a connection for which a gateway is chosen.
type ChoiceOptions struct {
	Now        time.Time
	Random     float64 // in [0, 1)
	OtherHalls bool    // gateways of other halls may take connections
	Except     string  // address of a gateway that could not be reached; empty: none
}

// Handoff decides which gateway takes a connection that this one cannot serve.
type Handoff struct {
	hall    string
	regions map[string]string // region of each hall
	timeout time.Duration     // a gateway that has not reported for this long is lost
	targets []*target         // of the own hall, and then of others, each in order of address
	ownHall int               // number of targets of the own hall
	short   map[string]int    // gateways that are short of CPU time, by hall; those of other regions do not count
}

// target is another gateway that may take connections.
type target struct {
	Gateway
	reportedAt time.Time
	left       time.Duration // CPU time that this gateway may still hand off to it
}

// NewHandoff returns the decisions of a gateway in a hall. regions holds the region of each hall. Reports
// expire after the timeout.
func NewHandoff(hall string, regions map[string]string, timeout time.Duration) *Handoff {
	return &Handoff{hall: hall, regions: regions, timeout: timeout, short: map[string]int{}}
}

// sameRegion reports whether a hall is known to be in this gateway's region.
func (h *Handoff) sameRegion(hall string) bool {
	region := h.regions[h.hall]
	return hall == h.hall || region != "" && h.regions[hall] == region
}

// find returns the index of a gateway among the targets.
func (h *Handoff) find(address string) (index int, found bool) {
	if index, found = search(h.targets[:h.ownHall], address); found {
		return index, true
	}
	index, found = search(h.targets[h.ownHall:], address)
	return h.ownHall + index, found
}

func search(list []*target, address string) (index int, found bool) {
	return slices.BinarySearchFunc(list, address, func(t *target, a string) int { return cmp.Compare(t.Address, a) })
}

// add adds a gateway that is not among the targets, and returns it.
func (h *Handoff) add(now time.Time, g Gateway) *target {
	t := &target{Gateway: g, reportedAt: now.Add(-reportInterval)}
	if g.Hall == h.hall {
		i, _ := search(h.targets[:h.ownHall], g.Address)
		h.targets = slices.Insert(h.targets, i, t)
		h.ownHall++
	} else {
		i, _ := search(h.targets[h.ownHall:], g.Address)
		h.targets = slices.Insert(h.targets, h.ownHall+i, t)
	}
	h.count(g, 1)
	return t
}

// candidates returns the gateways that may take a connection. Where those of other halls may not, a fleet of
// hundreds of gateways costs no more than the own hall.
func (h *Handoff) candidates(o *ChoiceOptions) []*target {
	if o.OtherHalls {
		return h.targets
	}
	return h.targets[:h.ownHall]
}

// Report takes over another gateway's state.
func (h *Handoff) Report(now time.Time, g Gateway) {
	if !h.sameRegion(g.Hall) {
		h.Lost(g.Address)
		return
	}
	t := h.update(now, g)
	age := min(max(now.Sub(t.reportedAt), 0), maxSpareAge)
	t.reportedAt = now
	part := func(d time.Duration) time.Duration {
		return d * time.Duration(g.Spare) / 1000 / time.Duration(h.senders(g.Hall))
	}
	if g.Spare <= 0 {
		t.left = 0
		return
	}
	// A gateway whose part of the spare CPU is small saves it for one connection.
	t.left = min(t.left+part(age), max(part(maxSpareAge), connectionCost))
}

// update replaces a gateway's state, or adds the gateway.
func (h *Handoff) update(now time.Time, g Gateway) *target {
	i, found := h.find(g.Address)
	if found && h.targets[i].Hall != g.Hall {
		h.Lost(g.Address)
		found = false
	}
	if !found {
		return h.add(now, g)
	}
	t := h.targets[i]
	h.count(t.Gateway, -1)
	h.count(g, 1)
	t.Gateway = g
	return t
}

// count counts a gateway that is short of CPU time.
func (h *Handoff) count(g Gateway, n int) {
	if g.MilliCPU <= 0 && g.Readiness != NotReady {
		h.short[g.Hall] += n
	}
}

// senders returns how many gateways may hand connections off to those of a hall, including this one: those
// of the hall itself, or of the other halls, that are short of CPU time. Each takes the same part.
func (h *Handoff) senders(hall string) int {
	if hall == h.hall {
		return 1 + h.short[hall]
	}
	n := 1
	for other, short := range h.short {
		if other != hall {
			n += short
		}
	}
	return n
}

// Lost removes a gateway that is not heard from any more.
func (h *Handoff) Lost(address string) {
	if i, found := h.find(address); found {
		h.count(h.targets[i].Gateway, -1)
		h.targets = slices.Delete(h.targets, i, i+1)
		if i < h.ownHall {
			h.ownHall--
		}
	}
}

// Failed records that a gateway could not be reached: it gets no connections of other halls before its
// next report.
func (h *Handoff) Failed(address string) {
	if i, found := h.find(address); found {
		h.targets[i].left = 0
	}
}

// Choose decides which gateway takes a connection, and counts it against that gateway's spare CPU.
func (h *Handoff) Choose(o ChoiceOptions) Choice {
	t := h.choose(&o)
	if t == nil {
		return Choice{Outcome: None, Obstacle: h.obstacle(&o)}
	}
	t.left = max(t.left-connectionCost, 0)
	if t.Hall == h.hall {
		return Choice{Outcome: OwnHall, Address: t.Address, Hall: t.Hall}
	}
	return Choice{Outcome: OtherHall, Address: t.Address, Hall: t.Hall}
}

// Obstacle returns why Choose would find no gateway; empty: it would find one.
func (h *Handoff) Obstacle(o ChoiceOptions) Obstacle {
	if h.choose(&o) != nil {
		return ""
	}
	return h.obstacle(&o)
}

// preference is how much a gateway is preferred for a connection.
type preference int

// Preferences, the best first.
const (
	hallWithSpare preference = iota
	otherWithSpare
	hallWithoutSpare // better than none: it is not short of CPU time
	unusable
)

// choose draws a gateway among those that are preferred most, or returns nil if none is usable.
func (h *Handoff) choose(o *ChoiceOptions) *target {
	var sums [unusable]int
	for _, t := range h.candidates(o) {
		if p, weight := h.rate(o, t); p != unusable {
			sums[p] += weight
		}
	}
	for best, sum := range sums {
		if sum > 0 {
			return h.draw(o, preference(best), sum)
		}
	}
	return nil
}

// draw draws one of the gateways of a preference, whose weights add up to sum.
func (h *Handoff) draw(o *ChoiceOptions, best preference, sum int) *target {
	n := min(int(o.Random*float64(sum)), sum-1)
	for _, t := range h.candidates(o) {
		if p, weight := h.rate(o, t); p == best {
			if n -= weight; n < 0 {
				return t
			}
		}
	}
	return nil // not reached
}

// rate returns the preference for a gateway and its weight among others of the same preference. Gateways of other
// halls are weighted by spare CPU, so that a burst does not overload one of them.
func (h *Handoff) rate(o *ChoiceOptions, t *target) (p preference, weight int) {
	own := t.Hall == h.hall
	switch {
	case t.MilliCPU <= 0:
		return unusable, 0
	case !o.OtherHalls:
		return hallWithSpare, t.MilliCPU
	case !h.usable(o, t):
		return unusable, 0
	case own && (!t.TellsSpare || t.left >= connectionCost):
		return hallWithSpare, t.MilliCPU
	case own:
		return hallWithoutSpare, t.MilliCPU
	case t.left >= connectionCost:
		return otherWithSpare, int(t.left)
	}
	return unusable, 0
}

// usable reports whether a gateway is heard of and serves connections, whatever its CPU time.
func (h *Handoff) usable(o *ChoiceOptions, t *target) bool {
	return t.Readiness != NotReady && t.Address != o.Except && o.Now.Sub(t.reportedAt) < h.timeout
}

// obstacle says why no gateway can take a connection.
func (h *Handoff) obstacle(o *ChoiceOptions) Obstacle {
	obstacle := NoGateway
	for _, t := range h.candidates(o) {
		switch {
		case !h.usable(o, t):
		case t.MilliCPU > 0:
			return NoSpare // it would have been chosen if it were of this hall
		default:
			obstacle = AllShort
		}
	}
	return obstacle
}
