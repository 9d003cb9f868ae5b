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
	totals []fair.Total // of all halls, sorted; nil: to be added up anew
}

type hallView struct {
	service     map[fair.Account]float64
	adjustments map[fair.Account]fair.Adjustment
	reports     map[string]*routerReport // by summing router
}

// latest is what only the latest word of a summing router tells.
type routerReport struct {
	sequence uint64
	totals   map[fair.Account]fair.Total
	age      int // ticks since it was heard
}

// NewFleet returns a fleet without halls.
func NewFleet() *Fleet { return &Fleet{halls: map[string]*hallView{}} }

// HallSum is a hall's totals as one summing router told them.
type HallSum struct {
	Hall     string
	Source   string // the router and its incarnation
	Sequence uint64
	Totals   []fair.Total
}

// Merge takes in a hall's totals. Service and lifts are merged whatever the order
// they come in; reach and what is pending count only if the source's sequence
// number is new.
func (f *Fleet) Merge(s HallSum) {
	f.totals = nil
	v := f.hall(s.Hall)
	v.mergeService(s.Totals)
	v.mergeReport(s)
}

// Update takes in the totals of some accounts of a hall that is summed here, and
// leaves its other accounts as they are.
func (f *Fleet) Update(s HallSum) {
	v := f.hall(s.Hall)
	v.mergeService(s.Totals)
	l := v.reports[s.Source]
	if l == nil {
		l = &routerReport{totals: map[fair.Account]fair.Total{}}
		v.reports[s.Source] = l
	}
	l.sequence, l.age = s.Sequence, 0
	for _, t := range s.Totals {
		l.totals[t.Account] = t
		f.recompute(t.Account)
	}
}

// refresh adds one account up anew in the total that is kept.
func (f *Fleet) recompute(a fair.Account) {
	at, known := slices.BinarySearchFunc(f.totals, a, func(t fair.Total, a fair.Account) int { return cmp.Compare(t.Account, a) })
	if !known {
		f.totals = nil
		return
	}
	total := fair.Total{Account: a}
	for _, v := range f.halls {
		v.add(a, &total)
	}
	f.totals[at] = total
}

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
	l := v.reports[s.Source]
	if l != nil && s.Sequence <= l.sequence {
		return
	}
	l = &routerReport{sequence: s.Sequence, totals: map[fair.Account]fair.Total{}}
	for _, t := range s.Totals {
		if t.Slots > 0 || t.Pending > 0 {
			l.totals[t.Account] = t
		}
	}
	v.reports[s.Source] = l
}

// Tick tells that one interval has passed; reach not heard again for several is
// dropped.
func (f *Fleet) Tick() {
	f.totals = nil
	for _, v := range f.halls {
		for n, l := range v.reports {
			l.age++
			if l.age > maxSilentTicks {
				delete(v.reports, n)
			}
		}
	}
}

// Hall returns what is known of one hall.
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

// Without returns the fleet's totals less one agent's own.
func (f *Fleet) Excluding(own map[fair.Account]fair.Total) []fair.Total {
	if f.totals == nil {
		f.totals = f.sumHalls()
	}
	totals := slices.Clone(f.totals)
	for i := range totals {
		t := &totals[i]
		o := own[t.Account]
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

// add adds the hall's part of one account to a total.
func (v *hallView) add(a fair.Account, t *fair.Total) {
	reach, pending := v.maxReported(a)
	t.Service += v.service[a]
	t.Slots += reach
	t.Pending += pending
	if l := v.adjustments[a]; l.Supersedes(t.Adjustment) {
		t.Adjustment = l
	}
}

func (v *hallView) maxReported(a fair.Account) (reach, pending float64) {
	for _, l := range v.reports {
		reach = math.Max(reach, l.totals[a].Slots)
		pending = math.Max(pending, l.totals[a].Pending)
	}
	return reach, pending
}
