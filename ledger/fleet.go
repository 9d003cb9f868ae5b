package ledger

import (
	"cmp"
	"math"
	"slices"

	"opalbridge.dev/fair"
)

// Fleet merges the sums of all halls.
type Fleet struct {
	halls  map[string]*hallView
	totals []fair.Total // of all halls, sorted; nil if they must be summed again
}

// hallView holds what is known of one hall.
type hallView struct {
	service     map[fair.Account]float64
	adjustments map[fair.Account]fair.Adjustment
	reports     map[string]*routerReport // by summing router
}

// routerReport holds the slots and pending service from the latest message of a
// summing router.
type routerReport struct {
	sequence uint64
	totals   map[fair.Account]fair.Total
	age      int // ticks since it was received
}

// NewFleet returns a fleet without halls.
func NewFleet() *Fleet { return &Fleet{halls: map[string]*hallView{}} }

// HallSum is a message of one summing router with the totals of its hall.
type HallSum struct {
	Hall     string
	Source   string // router and its incarnation
	Sequence uint64
	Totals   []fair.Total
}

// Merge applies the totals of a hall. Service and adjustments are merged in any order
// of arrival; slots and pending service count only if the sequence number of the
// source is new.
func (f *Fleet) Merge(s HallSum) {
	f.totals = nil
	v := f.hall(s.Hall)
	v.mergeService(s.Totals)
	v.mergeReport(s)
}

// Update applies the totals of some accounts of a hall that this router sums itself.
// Other accounts stay as they are.
func (f *Fleet) Update(s HallSum) {
	v := f.hall(s.Hall)
	v.mergeService(s.Totals)
	r := v.reports[s.Source]
	if r == nil {
		r = &routerReport{totals: map[fair.Account]fair.Total{}}
		v.reports[s.Source] = r
	}
	r.sequence, r.age = s.Sequence, 0
	for _, t := range s.Totals {
		r.totals[t.Account] = t
		f.recompute(t.Account)
	}
}

// recompute sums one account again in the cached totals.
func (f *Fleet) recompute(a fair.Account) {
	i, known := slices.BinarySearchFunc(f.totals, a, func(t fair.Total, a fair.Account) int { return cmp.Compare(t.Account, a) })
	if !known {
		f.totals = nil
		return
	}
	total := fair.Total{Account: a}
	for _, v := range f.halls {
		v.add(a, &total)
	}
	f.totals[i] = total
}

// hall returns the view of a hall, which it creates if necessary.
func (f *Fleet) hall(hall string) *hallView {
	v := f.halls[hall]
	if v == nil {
		v = &hallView{
			service:     map[fair.Account]float64{},
			adjustments: map[fair.Account]fair.Adjustment{},
			reports:     map[string]*routerReport{},
		}
		f.halls[hall] = v
	}
	return v
}

func (v *hallView) mergeService(totals []fair.Total) {
	for _, t := range totals {
		v.service[t.Account] = math.Max(v.service[t.Account], t.Service)
		if t.Adjustment.Supersedes(v.adjustments[t.Account]) {
			v.adjustments[t.Account] = t.Adjustment
		}
	}
}

func (v *hallView) mergeReport(s HallSum) {
	r := v.reports[s.Source]
	if r != nil && s.Sequence <= r.sequence {
		return
	}
	r = &routerReport{sequence: s.Sequence, totals: map[fair.Account]fair.Total{}}
	for _, t := range s.Totals {
		if t.Slots > 0 || t.Pending > 0 {
			r.totals[t.Account] = t
		}
	}
	v.reports[s.Source] = r
}

// Tick records that one interval has passed. It drops the slots and pending service
// from routers that have not been heard for several intervals.
func (f *Fleet) Tick() {
	f.totals = nil
	for _, v := range f.halls {
		for n, r := range v.reports {
			r.age++
			if r.age > maxSilentTicks {
				delete(v.reports, n)
			}
		}
	}
}

// HallTotals returns the totals of one hall, or nil if it is not known.
func (f *Fleet) HallTotals(name string) []fair.Total {
	v := f.halls[name]
	if v == nil {
		return nil
	}
	m := map[fair.Account]fair.Total{}
	v.addTo(m)
	return sorted(m)
}

// Halls returns the halls' names, sorted.
func (f *Fleet) Halls() []string {
	var names []string
	for n := range f.halls {
		names = append(names, n)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}

// Sum returns the fleet's totals.
func (f *Fleet) Sum() []fair.Total { return f.Excluding(nil) }

// Excluding returns the fleet's totals without those of one agent.
func (f *Fleet) Excluding(agent map[fair.Account]fair.Total) []fair.Total {
	if f.totals == nil {
		f.totals = f.sumHalls()
	}
	totals := slices.Clone(f.totals)
	for i := range totals {
		t := &totals[i]
		o := agent[t.Account]
		t.Service = math.Max(0, t.Service-o.Service)
		t.Pending = math.Max(0, t.Pending-o.Pending)
	}
	return totals
}

func (f *Fleet) sumHalls() []fair.Total {
	m := map[fair.Account]fair.Total{}
	for _, v := range f.halls {
		v.addTo(m)
	}
	return sorted(m)
}

func (v *hallView) addTo(m map[fair.Account]fair.Total) {
	for a := range v.service {
		t := m[a]
		t.Account = a
		v.add(a, &t)
		m[a] = t
	}
}

// add adds the hall's service, slots and pending service of one account to a total.
func (v *hallView) add(a fair.Account, t *fair.Total) {
	slots, pending := v.maxReported(a)
	t.Service += v.service[a]
	t.Slots += slots
	t.Pending += pending
	if adj := v.adjustments[a]; adj.Supersedes(t.Adjustment) {
		t.Adjustment = adj
	}
}

// maxReported returns the largest slot count and the largest pending service of an
// account in the latest messages of the routers.
func (v *hallView) maxReported(a fair.Account) (slots, pending float64) {
	for _, r := range v.reports {
		slots = math.Max(slots, r.totals[a].Slots)
		pending = math.Max(pending, r.totals[a].Pending)
	}
	return slots, pending
}
