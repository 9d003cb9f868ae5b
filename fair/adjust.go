package fair

import (
	"math"
	"slices"
)

// This file adjusts virtual times without service: of accounts that return from
// idleness and of accounts that are too far behind or ahead.

// StartWaiting records that the account has a request waiting at this server. Its
// scheduling key is raised to that of the account picked last, so that it is not
// served before. An account that waited nowhere in the fleet is also raised to the
// least virtual time among the waiting accounts, so that being idle earns no credit.
func (tr *Tracker) StartWaiting(a Account) {
	s := tr.state(a)
	if s.waiting || tr.options.Policy == Unordered {
		s.waiting = true
		return
	}
	lowest, found := tr.minWaiting()
	s.waiting = true
	if lag := tr.lastKey - tr.schedulingKey(s); lag > 0 && tr.options.Policy == Corrected {
		s.correction -= lag
	}
	if s.slots > 0 {
		return
	}
	if !found {
		lowest = tr.lastVirtualTime
	}
	if v := tr.virtualTime(s); v < lowest {
		tr.adjust(s, lowest-v)
	}
}

// minWaiting returns the least virtual time of the waiting accounts, and false if
// there are none.
func (tr *Tracker) minWaiting() (float64, bool) {
	lowest, found := math.Inf(1), false
	for i := range tr.accounts {
		if s := &tr.accounts[i]; s.waiting {
			lowest = math.Min(lowest, tr.virtualTime(s))
			found = true
		}
	}
	return lowest, found
}

// adjust adds to the virtual time of an account.
func (tr *Tracker) adjust(s *accountState, delta float64) {
	s.adjustment.Value += delta
	s.adjusted = true
}

// StopWaiting records that no request of the account waits at this server any more.
func (tr *Tracker) StopWaiting(a Account) { tr.state(a).waiting = false }

// CapDebts limits how far the accounts that wait at this server are apart: each is
// brought to within half the debt cap of their median, so that no two differ by more
// than the cap. An account that only a few servers can serve stays behind without
// accumulating a claim on the others, and after a network partition heals, the
// difference is not repaid by starving an account. CapDebts returns the number of
// virtual times it changed.
func (tr *Tracker) CapDebts() int {
	half := tr.options.DebtCap / 2
	if half <= 0 || tr.options.Policy == Unordered {
		return 0
	}
	tr.sortBuf = tr.sortBuf[:0]
	for i := range tr.accounts {
		if s := &tr.accounts[i]; s.waiting {
			tr.sortBuf = append(tr.sortBuf, tr.virtualTime(s))
		}
	}
	if len(tr.sortBuf) < 2 {
		return 0
	}
	slices.Sort(tr.sortBuf)
	n := len(tr.sortBuf)
	median := (tr.sortBuf[(n-1)/2] + tr.sortBuf[n/2]) / 2
	changed := 0
	for i := range tr.accounts {
		s := &tr.accounts[i]
		if s.waiting && tr.clamp(s, median-half, median+half) {
			changed++
		}
	}
	return changed
}

// clamp adjusts an account's virtual time into the given range and reports whether
// it had to.
func (tr *Tracker) clamp(s *accountState, low, high float64) bool {
	v := tr.virtualTime(s)
	switch {
	case v < low:
		tr.adjust(s, low-v)
	case v > high:
		s.adjustment.Version++
		tr.adjust(s, high-v)
	default:
		return false
	}
	return true
}
