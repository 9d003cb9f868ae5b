// Package ledger sums the service of client accounts over the fleet without a
// coordinator.
//
// Every agent reports its cumulative counters to the summing routers of its hall,
// two or three of them at once. Each of these keeps a [Hall], whose sum of service
// only grows: what an agent incarnation served stays counted after it ends. Summing
// routers exchange the sums of their halls. A [Fleet] merges them by maximum, so
// that it tolerates duplicated, lost and reordered messages, and any number of
// routers may report the same hall.
//
// # Usage
//
//	h := ledger.NewHall()
//	h.Report("agent-3", incarnation, sequence, totals)
//	f := ledger.NewFleet()
//	f.Merge(ledger.HallSum{Hall: "quito-1", Source: "router-2", Sequence: sequence, Totals: h.Sum()})
//	others := f.Excluding(h.LastReport("agent-3"))
//
// The package uses no clock and does no I/O, and it does not decide which routers
// sum.
package ledger

import (
	"cmp"
	"math"
	"slices"

	"opalbridge.dev/fair"
)

// Hall sums the counters of the agents of one hall.
type Hall struct {
	agents map[string]*agentState
	// sum is updated with every report, so that the cost of a report depends on
	// the accounts it lists and not on the number of accounts of the hall.
	sum map[fair.Account]fair.Total
	// changed lists the accounts that the latest report changed.
	changed []fair.Account
}

// agentState holds what one agent reported.
type agentState struct {
	incarnation      string
	sequence         uint64
	totals           map[fair.Account]fair.Total
	active           []fair.Account // accounts with slots or pending service in the latest report
	pastIncarnations []string       // latest last
	silentTicks      int            // ticks since the latest report
}

const (
	// maxPastIncarnations limits how many earlier incarnations of an agent are
	// remembered. Their late reports are rejected; without the list they would be
	// taken for those of a new incarnation.
	maxPastIncarnations = 8
	// maxSilentTicks is the number of ticks without a report after which an
	// agent's slots and pending service no longer count. Its service still does.
	maxSilentTicks = 5
)

// NewHall returns a hall without agents.
func NewHall() *Hall {
	return &Hall{
		agents: map[string]*agentState{},
		sum:    map[fair.Account]fair.Total{},
	}
}

// Report applies an agent's cumulative counters and reports whether they were new.
// Accounts that are not listed keep their service and have no slots.
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

// replaceTotal replaces an agent's total of one account and updates the sum.
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

// clearPending removes an agent's slots and pending service from the sum.
func (h *Hall) clearPending(s *agentState) {
	for _, a := range s.active {
		t := s.totals[a]
		t.Slots, t.Pending = 0, 0
		h.replaceTotal(s, t)
	}
	s.active = s.active[:0]
}

// startIncarnation begins a new incarnation of an agent. What the old one served
// stays in the sum.
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

// Tick records that one reporting interval has passed. Agents that have not reported
// for several intervals lose their slots and pending service.
func (h *Hall) Tick() {
	for _, s := range h.agents {
		s.silentTicks++
		if s.silentTicks == maxSilentTicks {
			h.clearPending(s)
		}
	}
}

// LastReport returns the latest totals of an agent, by account.
func (h *Hall) LastReport(agent string) map[fair.Account]fair.Total {
	s := h.agents[agent]
	if s == nil {
		return nil
	}
	return s.totals
}

// SilentAgents returns the names of the agents that have not reported for several
// ticks, sorted.
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

// Changed returns the hall's totals of the accounts that the latest report changed.
func (h *Hall) Changed() []fair.Total {
	slices.Sort(h.changed)
	h.changed = slices.Compact(h.changed)
	totals := make([]fair.Total, len(h.changed))
	for i, a := range h.changed {
		totals[i] = h.sum[a]
	}
	return totals
}

// Sum returns the hall's totals, sorted by account.
func (h *Hall) Sum() []fair.Total { return sorted(h.sum) }

// RaiseTo raises the sum to at least what other routers know of this hall. A router
// that starts to sum after a restart has not seen the service of agent incarnations
// that have ended. It must be called once, after every live agent has reported.
func (h *Hall) RaiseTo(known []fair.Total) {
	for _, t := range known {
		sum := h.sum[t.Account]
		sum.Account = t.Account
		sum.Service = math.Max(sum.Service, t.Service)
		h.sum[t.Account] = sum
	}
}

// sorted returns the totals sorted by account.
func sorted(m map[fair.Account]fair.Total) []fair.Total {
	list := make([]fair.Total, 0, len(m))
	for _, t := range m {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b fair.Total) int { return cmp.Compare(a.Account, b.Account) })
	return list
}
