// Package fair implements weighted fair queueing of client accounts over a fleet of
// backend servers. It decides which account a server serves next so that service
// divided by share stays close between all backlogged accounts of the fleet,
// although each server's agent decides alone.
//
// An agent keeps one [Tracker]. Between two reports it is fair by itself: it picks
// the account that got the least normalized service at its server. With every
// answer from a summing router it learns how far each waiting account is behind or
// ahead of the others over the fleet, and corrects the account's local priority by
// this server's fraction of a part of that difference. Together the servers
// compensate the whole difference within a few reports. No server needs to know
// what the others pick, and they do not all pick the same account at once, as they
// would if they picked by the fleet's totals (docs/design/fairness.md has the
// figures).
//
// # Usage
//
//	t := fair.NewTracker(fair.Options{Slots: 8, UrgentCredit: 4000, DebtCap: 60000})
//	t.SetShare(account, 2)
//	t.StartWaiting(account)             // its first request is queued
//	i := t.Pick(candidates)             // the account to serve next
//	t.Reserve(account, estimate)        // a slot is taken
//	t.Charge(account, tokens, estimate) // some of the request was served
//	t.Release(account, rest)            // the attempt ended
//	t.Merge(sequence, totals)           // totals of the rest of the fleet
//
// The package uses no clock, lock or I/O. Costs are weighted tokens. Service is
// normalized: weighted tokens divided by share. The virtual time of an account is
// its service, what is reserved for its running requests, and its adjustment.
package fair

import (
	"math"
)

// Account is the number that identifies a client account in the configuration.
type Account uint32

// Adjustment changes an account's virtual time without service: up when the account
// returns after being idle or is behind by more than the debt cap, down when it is
// ahead by more than the cap. Of two adjustments the one with the higher version
// wins, then the one with the higher value.
type Adjustment struct {
	Version uint64
	Value   float64 // normalized service
}

// Supersedes reports whether a replaces o.
func (a Adjustment) Supersedes(o Adjustment) bool {
	if a.Version != o.Version {
		return a.Version > o.Version
	}
	return a.Value > o.Value
}

// Total is the state of one account that agents and summing routers exchange.
type Total struct {
	Account    Account
	Service    float64 // cumulative, normalized
	Pending    float64 // reserved for running requests and not yet served
	Slots      float64 // slots of the servers at which the account waits
	Adjustment Adjustment
}

// Candidate is an account with a request that waits for a slot.
type Candidate struct {
	Account Account
	Urgent  bool
}

// Policy selects how accounts are ordered. All but Corrected are baselines for
// comparison.
type Policy int

// The policies.
const (
	Corrected   Policy = iota // service at this server, corrected by the fleet's totals
	Uncorrected               // the fleet's totals as last received
	LocalOnly                 // service at this server only
	Unordered                 // always the first candidate
)

// Options configures a Tracker.
type Options struct {
	Slots        float64 // concurrent requests that the server accepts
	UrgentCredit float64 // weighted tokens that an account may borrow for urgent requests
	DebtCap      float64 // largest difference that is kept, in weighted tokens at a share of one
	Policy       Policy
}

// Tracker holds one agent's view of the service that every account received. It is
// not safe for concurrent use.
type Tracker struct {
	options           Options
	index             map[Account]int
	accounts          []accountState
	sequence          uint64
	lastVirtualTime   float64 // virtual time of the account picked last
	lastKey           float64 // scheduling key of the account picked last
	correctedSequence uint64  // report whose totals were used for the latest correction
	maxSlots          float64 // largest slot count of any account seen; zero before any totals
	pickCount         uint64
	reportBuf         []Total
	sortBuf           []float64
}

const (
	// maxReportLag is how many reports behind an answer is too late to be merged.
	maxReportLag = 16
	// correctionGain is the fraction of a difference that is corrected with each
	// report. Requests that run but are not yet charged add noise to the totals: a
	// larger gain follows that noise, a smaller one takes longer to correct an
	// uneven set of servers.
	correctionGain = 0.08
)

// accountState holds one account's service and priority. Amounts of service are
// normalized.
type accountState struct {
	account      Account
	share        float64
	local        float64 // served at this server
	pending      float64 // reserved at this server and not yet served
	remote       float64 // served and reserved at other servers, as last received
	slots        float64
	correction   float64 // subtracted from the local service in the scheduling key
	adjustment   Adjustment
	waiting      bool
	lastReported float64
	adjusted     bool   // whether adjustment changed since the last report
	lastPick     uint64 // pickCount when it was last picked
}

// NewTracker returns a tracker without accounts.
func NewTracker(o Options) *Tracker {
	return &Tracker{options: o, index: map[Account]int{}}
}

// SetLimits replaces the urgent credit and the debt cap.
func (tr *Tracker) SetLimits(urgentCredit, debtCap float64) {
	tr.options.UrgentCredit = urgentCredit
	tr.options.DebtCap = debtCap
}

// SetSlots sets how many concurrent requests the server accepts.
func (tr *Tracker) SetSlots(slots float64) { tr.options.Slots = slots }

// SetShare sets an account's share of capacity for later charges. A share of zero
// or less counts as one.
func (tr *Tracker) SetShare(a Account, share float64) {
	if share <= 0 {
		share = 1
	}
	tr.state(a).share = share
}

// state returns the state of an account, which it creates if necessary.
func (tr *Tracker) state(a Account) *accountState {
	i, known := tr.index[a]
	if !known {
		i = len(tr.accounts)
		tr.index[a] = i
		tr.accounts = append(tr.accounts, accountState{account: a, share: 1})
	}
	return &tr.accounts[i]
}

// VirtualTime returns the account's normalized service over the fleet, as far as
// this agent knows, plus what is reserved for it and its adjustment.
func (tr *Tracker) VirtualTime(a Account) float64 { return tr.virtualTime(tr.state(a)) }

func (tr *Tracker) virtualTime(s *accountState) float64 {
	if tr.options.Policy == LocalOnly {
		return s.local + s.pending + s.adjustment.Value
	}
	return s.remote + s.local + s.pending + s.adjustment.Value
}

// schedulingKey returns the priority of an account at this server: the least is
// served next.
func (tr *Tracker) schedulingKey(s *accountState) float64 {
	if tr.options.Policy == Corrected {
		return s.local + s.pending - s.correction
	}
	return tr.virtualTime(s)
}

// serverFraction returns this server's fraction of the slots that may serve an
// account.
func (tr *Tracker) serverFraction(s *accountState) float64 {
	if tr.options.Policy != Corrected || tr.options.Slots <= 0 {
		return 1
	}
	return tr.options.Slots / math.Max(s.slots, tr.options.Slots)
}

// urgentCredit returns this server's fraction of what the account may borrow for
// urgent requests. While an account has just begun to wait, other servers' slots are
// not yet counted for it, and it would get the whole credit at every server.
// Therefore the largest slot count seen for any account is used as a minimum.
func (tr *Tracker) urgentCredit(s *accountState) float64 {
	total := tr.options.UrgentCredit / s.share
	if tr.options.Policy != Corrected {
		return total
	}
	if tr.maxSlots == 0 {
		return 0
	}
	return total * tr.options.Slots / max(tr.options.Slots, s.slots, tr.maxSlots)
}

// Pick returns the index of the candidate to serve next: the account with the least
// scheduling key, which is lowered by the urgent credit for an urgent candidate. Of
// equals the one picked longest ago wins. It returns -1 when there is no candidate.
func (tr *Tracker) Pick(candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	if tr.options.Policy == Unordered {
		return 0
	}
	best, minKey, oldest := -1, math.Inf(1), uint64(0)
	for i, c := range candidates {
		s := tr.state(c.Account)
		k := tr.schedulingKey(s)
		if c.Urgent {
			k -= tr.urgentCredit(s)
		}
		older := s.lastPick < oldest || (s.lastPick == oldest && c.Urgent)
		if best < 0 || k < minKey || (k == minKey && older) {
			best, minKey, oldest = i, k, s.lastPick
		}
	}
	tr.pickCount++
	s := tr.state(candidates[best].Account)
	s.lastPick = tr.pickCount
	tr.lastVirtualTime = tr.virtualTime(s)
	tr.lastKey = tr.schedulingKey(s)
	return best
}

// Gap returns the largest difference in virtual time between the accounts that wait
// at this server, and the number of these accounts.
func (tr *Tracker) Gap() (gap float64, waiting int) {
	lowest, highest := math.Inf(1), math.Inf(-1)
	for i := range tr.accounts {
		s := &tr.accounts[i]
		if !s.waiting {
			continue
		}
		v := tr.virtualTime(s)
		lowest, highest = math.Min(lowest, v), math.Max(highest, v)
		waiting++
	}
	if waiting == 0 {
		return 0, 0
	}
	return highest - lowest, waiting
}
