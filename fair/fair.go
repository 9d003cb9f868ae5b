// Package fair decides which client account a backend server serves next, so
// that service divided by share stays close between all backlogged accounts of
// the fleet, although each server's agent decides alone.
//
// An agent keeps one [Book]. Between two reports it is fair by itself: it picks
// the account that has had least here. With every answer from a summing router it
// sees how far each account that waits here is behind or ahead of the others over
// the fleet, and gives it a credit or a debit here for this server's part of a
// fraction of that. The servers together then make good the whole difference in a
// few reports, no server needs to know what the others pick, and they do not all
// turn to the same account at once, which they would if they picked by the
// fleet's totals (docs/design/fairness.md has the figures).
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
)

// Account is the number that the configuration gave a client account.
type Account uint32

// Lift moves an account's standing without service: up when it comes back after
// being idle or has fallen behind by more than the debt cap, down when it is
// ahead by more than the cap. Of two lifts the higher version wins, then the
// higher value.
type Adjustment struct {
	Version uint64
	Value   float64 // service
}

// After reports whether l replaces o.
func (l Adjustment) Supersedes(o Adjustment) bool {
	if l.Version != o.Version {
		return l.Version > o.Version
	}
	return l.Value > o.Value
}

// Total is what a Book learns or tells of one account.
type Total struct {
	Account    Account
	Service    float64 // cumulative
	Pending    float64 // reserved for what runs, and not yet served
	Slots      float64 // slots of the servers at which the account waits
	Adjustment Adjustment
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
	Corrected   Policy = iota // this server's own service, corrected by fleet totals
	Uncorrected               // fleet totals as they were last heard, uncorrected
	LocalOnly                 // this server's own counters only
	Unordered                 // the first candidate
)

// Options set up a Book.
type Options struct {
	Slots        float64 // requests the server takes at once
	UrgentCredit float64 // weighted tokens an account may borrow for urgent work
	DebtCap      float64 // weighted tokens of share one beyond which debts are forgiven
	Policy       Policy
}

// Book is one agent's view of every account's service. It is for one goroutine.
type Tracker struct {
	options           Options
	index             map[Account]int
	accounts          []accountState
	sequence          uint64
	lastVirtualTime   float64 // standing of the account picked last
	lastKey           float64 // key of the account picked last
	correctedSequence uint64  // report whose totals were last used to correct
	maxSlots          float64 // largest reach of any account seen; zero: no totals yet
	pickCount         uint64
	reportBuf         []Total
	sortBuf           []float64
}

const (
	// lateReports is how many reports old an answer may be.
	maxReportLag = 16
	// gain is the part of a difference that is made good with each report. What
	// runs and has not been served yet blurs the totals; a larger gain follows
	// that noise, a smaller one takes longer to correct a bad set of servers.
	correctionGain = 0.08
)

type accountState struct {
	account      Account
	share        float64
	local        float64 // served here
	pending      float64 // reserved here and not yet served
	remote       float64 // served and reserved elsewhere, as last heard
	slots        float64
	correction   float64 // what is taken off its service here to correct the fleet's
	adjustment   Adjustment
	waiting      bool
	lastReported float64
	adjusted     bool   // since the last report
	lastPick     uint64 // when it was picked last, in picks
}

// NewBook returns an empty book.
func NewTracker(o Options) *Tracker {
	return &Tracker{options: o, index: map[Account]int{}}
}

// SetLimits replaces the credit and the cap.
func (b *Tracker) SetLimits(urgentCredit, debtCap float64) {
	b.options.UrgentCredit = urgentCredit
	b.options.DebtCap = debtCap
}

// SetSlots tells how many requests the server takes at once now.
func (b *Tracker) SetSlots(slots float64) { b.options.Slots = slots }

// SetShare sets an account's share of capacity; it counts from now on. A share
// of zero or less counts as one.
func (b *Tracker) SetShare(a Account, share float64) {
	if share <= 0 {
		share = 1
	}
	b.state(a).share = share
}

func (b *Tracker) state(a Account) *accountState {
	i, known := b.index[a]
	if !known {
		i = len(b.accounts)
		b.index[a] = i
		b.accounts = append(b.accounts, accountState{account: a, share: 1})
	}
	return &b.accounts[i]
}

// Standing returns the account's service over the fleet, as known here, with what
// is reserved for it and its lift.
func (b *Tracker) VirtualTime(a Account) float64 { return b.virtualTime(b.state(a)) }

func (b *Tracker) virtualTime(s *accountState) float64 {
	if b.options.Policy == LocalOnly {
		return s.local + s.pending + s.adjustment.Value
	}
	return s.remote + s.local + s.pending + s.adjustment.Value
}

// key orders accounts for a place here: the least is served next.
func (b *Tracker) schedulingKey(s *accountState) float64 {
	if b.options.Policy == Corrected {
		return s.local + s.pending - s.correction
	}
	return b.virtualTime(s)
}

// part is this server's part of what is done for an account over the fleet.
func (b *Tracker) serverFraction(s *accountState) float64 {
	if b.options.Policy != Corrected || b.options.Slots <= 0 {
		return 1
	}
	return b.options.Slots / math.Max(s.slots, b.options.Slots)
}

// credit is this server's part of what the account may borrow for urgent work. An
// account that has just begun to wait is not yet known to wait elsewhere, and
// would get the whole credit at every server; the widest reach seen stands in.
func (b *Tracker) urgentCredit(s *accountState) float64 {
	whole := b.options.UrgentCredit / s.share
	if b.options.Policy != Corrected {
		return whole
	}
	if b.maxSlots == 0 {
		return 0
	}
	return whole * b.options.Slots / max(b.options.Slots, s.slots, b.maxSlots)
}

// Pick returns the index of the candidate to serve next: the account furthest
// behind, an urgent candidate counting as further behind by the credit. Of equals
// the one picked longest ago wins. It returns -1 when there is no candidate.
func (b *Tracker) Pick(candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	if b.options.Policy == Unordered {
		return 0
	}
	best, least, oldest := -1, math.Inf(1), uint64(0)
	for i, c := range candidates {
		s := b.state(c.Account)
		v := b.schedulingKey(s)
		if c.Urgent {
			v -= b.urgentCredit(s)
		}
		older := s.lastPick < oldest || (s.lastPick == oldest && c.Urgent)
		if best < 0 || v < least || (v == least && older) {
			best, least, oldest = i, v, s.lastPick
		}
	}
	b.pickCount++
	s := b.state(candidates[best].Account)
	s.lastPick = b.pickCount
	b.lastVirtualTime = b.virtualTime(s)
	b.lastKey = b.schedulingKey(s)
	return best
}

// Gap returns the largest difference in standing between accounts that wait
// here, and how many there are.
func (b *Tracker) Gap() (gap float64, waiting int) {
	least, most := math.Inf(1), math.Inf(-1)
	for i := range b.accounts {
		s := &b.accounts[i]
		if !s.waiting {
			continue
		}
		v := b.virtualTime(s)
		least, most = math.Min(least, v), math.Max(most, v)
		waiting++
	}
	if waiting == 0 {
		return 0, 0
	}
	return most - least, waiting
}
