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
	agents map[string]*agentState
	// sum is kept up to date with every report, so that a report costs what it
	// names and not what the hall holds.
	sum map[fair.Account]fair.Total
	// touched are the accounts that the latest report changed.
	changed []fair.Account
}

type agentState struct {
	incarnation      string
	sequence         uint64
	totals           map[fair.Account]fair.Total
	active           []fair.Account // named last with a reach or something pending
	pastIncarnations []string       // earlier incarnations, latest last
	silentTicks      int            // ticks without a report
}

const (
	// goneKept is how many earlier incarnations of an agent are remembered so
	// that their late reports are told from a new one's.
	maxPastIncarnations = 8
	// silentTicks is after how many ticks without a report an agent's reach no
	// longer counts; its service does.
	maxSilentTicks = 5
)

// NewHall returns a hall without agents.
func NewHall() *Hall {
	return &Hall{
		agents: map[string]*agentState{},
		sum:    map[fair.Account]fair.Total{},
	}
}

// Report takes in an agent's cumulative counters and reports whether they were
// new. Accounts that are not named keep their service and have no reach.
func (h *Hall) Report(agent, incarnation string, sequence uint64, totals []fair.Total) bool {
	s := h.agents[agent]
	if s == nil {
		s = &agentState{incarnation: incarnation, totals: map[fair.Account]fair.Total{}}
		h.agents[agent] = s
	}
	if slices.Contains(s.pastIncarnations, incarnation) {
		return false
	}
	if s.incarnation != incarnation {
		h.startIncarnation(s, incarnation)
	}
	if sequence <= s.sequence {
		return false
	}
	s.sequence = sequence
	s.silentTicks = 0
	h.changed = h.changed[:0]
	h.clearPending(s)
	for _, t := range totals {
		t.Service = math.Max(t.Service, s.totals[t.Account].Service)
		h.replaceTotal(s, t)
		if t.Slots > 0 || t.Pending > 0 {
			s.active = append(s.active, t.Account)
		}
	}
	return true
}

// replace puts an agent's new total of an account in place of its old one.
func (h *Hall) replaceTotal(s *agentState, t fair.Total) {
	old := s.totals[t.Account]
	sum := h.sum[t.Account]
	sum.Account = t.Account
	sum.Service += t.Service - old.Service
	sum.Pending += t.Pending - old.Pending
	sum.Slots += t.Slots - old.Slots
	if t.Adjustment.Supersedes(sum.Adjustment) {
		sum.Adjustment = t.Adjustment
	}
	h.sum[t.Account] = sum
	s.totals[t.Account] = t
	h.changed = append(h.changed, t.Account)
}

// settle takes away an agent's reach and what is pending there.
func (h *Hall) clearPending(s *agentState) {
	for _, a := range s.active {
		t := s.totals[a]
		t.Slots, t.Pending = 0, 0
		h.replaceTotal(s, t)
	}
	s.active = s.active[:0]
}

// retire begins a new incarnation of an agent; what the old one served stays in
// the sum.
func (h *Hall) startIncarnation(s *agentState, incarnation string) {
	h.clearPending(s)
	s.pastIncarnations = append(s.pastIncarnations, s.incarnation)
	if extra := len(s.pastIncarnations) - maxPastIncarnations; extra > 0 {
		s.pastIncarnations = slices.Delete(s.pastIncarnations, 0, extra)
	}
	s.incarnation = incarnation
	s.sequence = 0
	s.totals = map[fair.Account]fair.Total{}
}

// Tick tells that one reporting interval has passed. Agents that were silent for
// several lose their reach.
func (h *Hall) Tick() {
	for _, s := range h.agents {
		s.silentTicks++
		if s.silentTicks == maxSilentTicks {
			h.clearPending(s)
		}
	}
}

// Own returns what the agent reported last, by account.
func (h *Hall) LastReport(agent string) map[fair.Account]fair.Total {
	s := h.agents[agent]
	if s == nil {
		return nil
	}
	return s.totals
}

// Silent returns the agents that have not reported for several ticks, sorted.
func (h *Hall) SilentAgents() []string {
	var names []string
	for n, s := range h.agents {
		if s.silentTicks >= maxSilentTicks {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

// Touched returns the hall's totals of the accounts that the latest report changed.
func (h *Hall) Changed() []fair.Total {
	slices.Sort(h.changed)
	h.changed = slices.Compact(h.changed)
	totals := make([]fair.Total, len(h.changed))
	for i, a := range h.changed {
		totals[i] = h.sum[a]
	}
	return totals
}

// Sum returns the hall's totals, by account.
func (h *Hall) Sum() []fair.Total { return sorted(h.sum) }

// Adopt raises the sum to at least what others know of this hall: a router that
// begins to sum after a restart has not seen the incarnations that are gone. It
// is to be called once, when every live agent has reported.
func (h *Hall) RaiseTo(known []fair.Total) {
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
