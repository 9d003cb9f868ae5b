// Package fair decides which client account a backend server serves next, so
// that service divided by share stays close between all backlogged accounts of
// the fleet, although each server's agent decides alone.
//
// An agent keeps one [Book]. It knows its own service exactly, the rest of the
// fleet's from totals that are seconds old, and assumes in between that the
// other servers at which an account waits do as it does itself: what it has
// committed to an account since the last totals, times the capacity of those
// servers over its own. Without that assumption every agent would turn to the
// same account at once and overshoot by the fleet's capacity times the age of
// the totals.
//
// # Usage
//
//	b := fair.NewBook(fair.Options{Slots: 8, UrgentCredit: 4000, DebtCap: 60000})
//	b.SetShare(account, 2)
//	b.Arrive(account)                   // its first request waits here
//	i := b.Pick(candidates)             // whom to serve now
//	b.Reserve(account, estimate)        // a place is taken
//	b.Charge(account, tokens, estimate) // it was served some of it
//	b.Release(account, rest)            // the attempt ended
//	b.Merge(totals)                     // the rest of the fleet
//
// Everything is pure: no clock, lock or I/O. Costs are weighted tokens; service
// is weighted tokens divided by share.
package fair

import (
	"math"
	"slices"
)

// Account is the number that the configuration gave a client account.
type Account uint32

// Lift moves an account's standing without service: up when it comes back after
// being idle or has fallen behind by more than the debt cap, down when it is
// ahead by more than the cap. Of two lifts the higher version wins, then the
// higher value.
type Lift struct {
	Version uint64
	Value   float64 // service
}

// After reports whether l replaces o.
func (l Lift) After(o Lift) bool {
	if l.Version != o.Version {
		return l.Version > o.Version
	}
	return l.Value > o.Value
}

// Total is what a Book learns or tells of one account.
type Total struct {
	Account Account
	Service float64 // cumulative
	Reach   float64 // slots of the servers at which the account waits
	Lift    Lift
}

// Candidate is an account that waits for a place.
type Candidate struct {
	Account Account
	Urgent  bool
}

// Policy is a way to pick; all but Fleet are baselines to compare with.
type Policy int

// The policies.
const (
	Fleet     Policy = iota // fleet totals, carried forward as the package says
	Stale                   // fleet totals as they were last heard, uncorrected
	Alone                   // this server's own counters only
	Unordered               // the first candidate
)

// Options set up a Book.
type Options struct {
	Slots        float64 // requests the server takes at once
	UrgentCredit float64 // weighted tokens an account may borrow for urgent work
	DebtCap      float64 // weighted tokens of share one beyond which debts are forgiven
	Policy       Policy
}

// Book is one agent's view of every account's service. It is for one goroutine.
type Book struct {
	options  Options
	index    map[Account]int
	accounts []standing
	sequence uint64
	floor    float64 // standing of the account picked last
	picks    uint64
	spare    []Total
	sorted   []float64
}

// snapshots is how many reports may be on their way at once.
const snapshots = 16

type standing struct {
	account   Account
	share     float64
	own       float64 // served here
	pending   float64 // reserved here and not yet served
	others    float64 // served elsewhere, as last heard
	reach     float64
	committed [snapshots]float64 // own plus pending when report i was made
	baseline  float64            // committed when the totals in use were reported
	lift      Lift
	waits     bool
	reported  float64
	changed   bool
	picked    uint64 // when it was picked last, in picks
}

// NewBook returns an empty book.
func NewBook(o Options) *Book {
	return &Book{options: o, index: map[Account]int{}}
}

// SetLimits replaces the credit and the cap.
func (b *Book) SetLimits(urgentCredit, debtCap float64) {
	b.options.UrgentCredit = urgentCredit
	b.options.DebtCap = debtCap
}

// SetSlots tells how many requests the server takes at once now.
func (b *Book) SetSlots(slots float64) { b.options.Slots = slots }

// SetShare sets an account's share of capacity; it counts from now on. A share
// of zero or less counts as one.
func (b *Book) SetShare(a Account, share float64) {
	if share <= 0 {
		share = 1
	}
	b.at(a).share = share
}

func (b *Book) at(a Account) *standing {
	i, known := b.index[a]
	if !known {
		i = len(b.accounts)
		b.index[a] = i
		b.accounts = append(b.accounts, standing{account: a, share: 1})
	}
	return &b.accounts[i]
}

// Standing returns the account's service over the fleet, as estimated here, with
// what is reserved for it and its lift.
func (b *Book) Standing(a Account) float64 { return b.standing(b.at(a)) }

func (b *Book) standing(s *standing) float64 {
	committed := s.own + s.pending
	switch b.options.Policy {
	case Alone, Unordered:
		return committed + s.lift.Value
	case Stale:
		return s.others + committed + s.lift.Value
	default:
		return s.others + committed + s.lift.Value + b.mirrored(s, committed)
	}
}

// mirrored is what the other servers are taken to have committed to the account
// since the totals in use.
func (b *Book) mirrored(s *standing, committed float64) float64 {
	if b.options.Slots <= 0 || s.reach <= b.options.Slots {
		return 0
	}
	since := committed - s.baseline
	return math.Max(0, since) * (s.reach/b.options.Slots - 1)
}

// Pick returns the index of the candidate to serve next: the account furthest
// behind, an urgent candidate counting as further behind by the credit. Of equals
// the one picked longest ago wins. It returns -1 when there is no candidate.
func (b *Book) Pick(candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	if b.options.Policy == Unordered {
		return 0
	}
	best, least, oldest := -1, math.Inf(1), uint64(0)
	for i, c := range candidates {
		s := b.at(c.Account)
		v := b.standing(s)
		if c.Urgent {
			v -= b.options.UrgentCredit / s.share
		}
		if best < 0 || v < least || (v == least && s.picked < oldest) {
			best, least, oldest = i, v, s.picked
		}
	}
	b.picks++
	s := b.at(candidates[best].Account)
	s.picked = b.picks
	b.floor = b.standing(s)
	return best
}

// Arrive tells that the account's first request waits here. An account that
// waited nowhere is lifted to the account furthest behind among those that wait,
// so that idling saves nothing up.
func (b *Book) Arrive(a Account) {
	s := b.at(a)
	if s.waits {
		return
	}
	elsewhere := s.reach > 0
	least, found := b.leastWaiting()
	s.waits = true
	if elsewhere || b.options.Policy == Unordered {
		return
	}
	if !found {
		least = b.floor
	}
	if v := b.standing(s); v < least {
		b.raise(s, least-v)
	}
}

// Leave tells that no request of the account waits here any more.
func (b *Book) Leave(a Account) { b.at(a).waits = false }

// Forgive caps what accounts that wait here owe and are owed: each is brought to
// within half the debt cap of their median, so that no two are further apart than
// the cap. An account that only a few servers can serve stays behind without
// piling up a claim on the others, and a healed partition is not paid back at the
// cost of starving anyone. It returns how many standings it changed.
func (b *Book) Forgive() int {
	half := b.options.DebtCap / 2
	if half <= 0 || b.options.Policy == Unordered {
		return 0
	}
	b.sorted = b.sorted[:0]
	for i := range b.accounts {
		if s := &b.accounts[i]; s.waits {
			b.sorted = append(b.sorted, b.standing(s))
		}
	}
	if len(b.sorted) < 2 {
		return 0
	}
	slices.Sort(b.sorted)
	n := len(b.sorted)
	median := (b.sorted[(n-1)/2] + b.sorted[n/2]) / 2
	changed := 0
	for i := range b.accounts {
		s := &b.accounts[i]
		if s.waits && b.clamp(s, median-half, median+half) {
			changed++
		}
	}
	return changed
}

func (b *Book) clamp(s *standing, low, high float64) bool {
	v := b.standing(s)
	switch {
	case v < low:
		b.raise(s, low-v)
	case v > high:
		s.lift.Version++
		b.raise(s, high-v)
	default:
		return false
	}
	return true
}

func (b *Book) raise(s *standing, by float64) {
	s.lift.Value += by
	s.changed = true
}

func (b *Book) leastWaiting() (float64, bool) {
	least, found := math.Inf(1), false
	for i := range b.accounts {
		if s := &b.accounts[i]; s.waits {
			least = math.Min(least, b.standing(s))
			found = true
		}
	}
	return least, found
}

// Reserve counts a place given to the account, with the expected cost in
// weighted tokens.
func (b *Book) Reserve(a Account, estimate float64) {
	s := b.at(a)
	s.pending += estimate / s.share
}

// Charge counts service of the given cost and takes the given part of a
// reservation back. Both are in weighted tokens.
func (b *Book) Charge(a Account, cost, reserved float64) {
	s := b.at(a)
	s.own += cost / s.share
	b.unreserve(s, reserved)
}

// Release takes the rest of a reservation back.
func (b *Book) Release(a Account, reserved float64) { b.unreserve(b.at(a), reserved) }

func (b *Book) unreserve(s *standing, reserved float64) {
	s.pending = math.Max(0, s.pending-reserved/s.share)
}

// Report returns a sequence number and the totals that changed since the last
// report: this server's own service, its slots where the account waits, and the
// lift. The slice is valid until the next call.
func (b *Book) Report(all bool) (uint64, []Total) {
	b.sequence++
	b.spare = b.spare[:0]
	for i := range b.accounts {
		s := &b.accounts[i]
		s.committed[b.sequence%snapshots] = s.own + s.pending
		if !all && s.own == s.reported && !s.changed && !s.waits {
			continue
		}
		s.reported = s.own
		s.changed = false
		t := Total{Account: s.account, Service: s.own, Lift: s.lift}
		if s.waits {
			t.Reach = b.options.Slots
		}
		b.spare = append(b.spare, t)
	}
	return b.sequence, b.spare
}

// Peek returns the standing of every account: fleet service as estimated here and
// reach, and whether it waits here by a positive reach.
func (b *Book) Peek() (uint64, []Total) {
	totals := make([]Total, len(b.accounts))
	for i := range b.accounts {
		s := &b.accounts[i]
		totals[i] = Total{Account: s.account, Service: b.standing(s), Lift: s.lift}
		if s.waits {
			totals[i].Reach = math.Max(s.reach, b.options.Slots)
		}
	}
	return b.sequence, totals
}

// Merge takes in the rest of the fleet's totals, as they were when the report of
// that sequence number had been counted. Accounts that are not named keep their
// service and count as waiting nowhere else. Repeated or late totals are dropped,
// and Merge reports false.
func (b *Book) Merge(sequence uint64, totals []Total) bool {
	if sequence+snapshots <= b.sequence || sequence > b.sequence {
		return false
	}
	for i := range b.accounts {
		s := &b.accounts[i]
		s.reach = 0
		s.baseline = s.committed[sequence%snapshots]
	}
	for _, t := range totals {
		s := b.at(t.Account)
		s.others = t.Service
		s.reach = t.Reach
		if t.Lift.After(s.lift) {
			s.lift = t.Lift
		}
	}
	return true
}

// Gap returns the largest difference in standing between accounts that wait
// here, and how many there are.
func (b *Book) Gap() (gap float64, waiting int) {
	least, most := math.Inf(1), math.Inf(-1)
	for i := range b.accounts {
		s := &b.accounts[i]
		if !s.waits {
			continue
		}
		v := b.standing(s)
		least, most = math.Min(least, v), math.Max(most, v)
		waiting++
	}
	if waiting == 0 {
		return 0, 0
	}
	return most - least, waiting
}
