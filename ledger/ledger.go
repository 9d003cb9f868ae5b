// Package ledger adds up service over the fleet without a coordinator.
//
// Every agent reports its cumulative counters to the summing routers of its hall,
// two or three of them at once. Each keeps a [Hall], whose sum only grows: what a
// dead agent incarnation served stays counted. Summing routers tell each other
// their halls' sums; a [Fleet] merges them by maximum, so that a repeat, a loss
// or a reordering does no harm, and two holders of one hall are as good as one.
//
// # Usage
//
//	h := ledger.NewHall()
//	h.Report("agent-3", incarnation, sequence, totals)
//	f := ledger.NewFleet()
//	f.Merge("quito-1", "router-2", sequence, h.Sum())
//	others := f.Without(h.Own("agent-3"))
//
// The package keeps no time and does no I/O. Who sums is not decided here.
package ledger

import (
	"cmp"
	"math"
	"slices"

	"opalbridge.dev/fair"
)

// Hall sums the counters of one hall's agents.
type Hall struct {
	sources map[string]*source
	// sum is kept up to date with every report, so that a report costs what it
	// names and not what the hall holds.
	sum map[fair.Account]fair.Total
	// touched are the accounts that the latest report changed.
	touched []fair.Account
}

type source struct {
	incarnation string
	sequence    uint64
	totals      map[fair.Account]fair.Total
	waiting     []fair.Account // named last with a reach or something pending
	gone        []string       // earlier incarnations, latest last
	silent      int            // ticks without a report
}

const (
	// goneKept is how many earlier incarnations of an agent are remembered so
	// that their late reports are told from a new one's.
	goneKept = 8
	// silentTicks is after how many ticks without a report an agent's reach no
	// longer counts; its service does.
	silentTicks = 5
)

// NewHall returns a hall without agents.
func NewHall() *Hall {
	return &Hall{
		sources: map[string]*source{},
		sum:     map[fair.Account]fair.Total{},
	}
}

// Report takes in an agent's cumulative counters and reports whether they were
// new. Accounts that are not named keep their service and have no reach.
func (h *Hall) Report(agent, incarnation string, sequence uint64, totals []fair.Total) bool {
	s := h.sources[agent]
	if s == nil {
		s = &source{incarnation: incarnation, totals: map[fair.Account]fair.Total{}}
		h.sources[agent] = s
	}
	if slices.Contains(s.gone, incarnation) {
		return false
	}
	if s.incarnation != incarnation {
		h.retire(s, incarnation)
	}
	if sequence <= s.sequence {
		return false
	}
	s.sequence = sequence
	s.silent = 0
	h.touched = h.touched[:0]
	h.settle(s)
	for _, t := range totals {
		t.Service = math.Max(t.Service, s.totals[t.Account].Service)
		h.replace(s, t)
		if t.Reach > 0 || t.Pending > 0 {
			s.waiting = append(s.waiting, t.Account)
		}
	}
	return true
}

// replace puts an agent's new total of an account in place of its old one.
func (h *Hall) replace(s *source, t fair.Total) {
	old := s.totals[t.Account]
	sum := h.sum[t.Account]
	sum.Account = t.Account
	sum.Service += t.Service - old.Service
	sum.Pending += t.Pending - old.Pending
	sum.Reach += t.Reach - old.Reach
	if t.Lift.After(sum.Lift) {
		sum.Lift = t.Lift
	}
	h.sum[t.Account] = sum
	s.totals[t.Account] = t
	h.touched = append(h.touched, t.Account)
}

// settle takes away an agent's reach and what is pending there.
func (h *Hall) settle(s *source) {
	for _, a := range s.waiting {
		t := s.totals[a]
		t.Reach, t.Pending = 0, 0
		h.replace(s, t)
	}
	s.waiting = s.waiting[:0]
}

// retire begins a new incarnation of an agent; what the old one served stays in
// the sum.
func (h *Hall) retire(s *source, incarnation string) {
	h.settle(s)
	s.gone = append(s.gone, s.incarnation)
	if extra := len(s.gone) - goneKept; extra > 0 {
		s.gone = slices.Delete(s.gone, 0, extra)
	}
	s.incarnation = incarnation
	s.sequence = 0
	s.totals = map[fair.Account]fair.Total{}
}

// Tick tells that one reporting interval has passed. Agents that were silent for
// several lose their reach.
func (h *Hall) Tick() {
	for _, s := range h.sources {
		s.silent++
		if s.silent == silentTicks {
			h.settle(s)
		}
	}
}

// Own returns what the agent reported last, by account.
func (h *Hall) Own(agent string) map[fair.Account]fair.Total {
	s := h.sources[agent]
	if s == nil {
		return nil
	}
	return s.totals
}

// Silent returns the agents that have not reported for several ticks, sorted.
func (h *Hall) Silent() []string {
	var names []string
	for n, s := range h.sources {
		if s.silent >= silentTicks {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

// Touched returns the hall's totals of the accounts that the latest report changed.
func (h *Hall) Touched() []fair.Total {
	slices.Sort(h.touched)
	h.touched = slices.Compact(h.touched)
	totals := make([]fair.Total, len(h.touched))
	for i, a := range h.touched {
		totals[i] = h.sum[a]
	}
	return totals
}

// Sum returns the hall's totals, by account.
func (h *Hall) Sum() []fair.Total { return sorted(h.sum) }

// Adopt raises the sum to at least what others know of this hall: a router that
// begins to sum after a restart has not seen the incarnations that are gone. It
// is to be called once, when every live agent has reported.
func (h *Hall) Adopt(known []fair.Total) {
	for _, t := range known {
		sum := h.sum[t.Account]
		sum.Account = t.Account
		sum.Service = math.Max(sum.Service, t.Service)
		h.sum[t.Account] = sum
	}
}

func sorted(m map[fair.Account]fair.Total) []fair.Total {
	list := make([]fair.Total, 0, len(m))
	for _, t := range m {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b fair.Total) int { return cmp.Compare(a.Account, b.Account) })
	return list
}
