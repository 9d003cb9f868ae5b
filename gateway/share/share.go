// Package share computes which client accounts request more than their max-min fair share of
// what the servers can process. Each gateway counts what its callers request and what it
// admits in a sliding window; the counts of other gateways are added as they arrive.
//
// # Usage
//
//	t := share.NewTracker(4 * time.Second)
//	t.RecordAsked(now, account, tokens)
//	if !t.Status(account).OverShare { t.RecordAdmitted(now, account, tokens) }
//	t.SetRemoteDemands(node, demands)
//	t.Recompute(now, tokensPerSecond)
//
// The package does no locking and no I/O and does not read the clock. A Tracker must be used
// by one goroutine only.
package share

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// buckets is the number of buckets in a window.
const buckets = 8

// Demand is what an account requested and was admitted in the window, in tokens.
type Demand struct {
	Account  string
	Asked    float64
	Admitted float64
}

// Tracker tracks the demands of accounts and computes their fair shares.
type Tracker struct {
	epoch        time.Time // time of the first call; buckets count from it by the monotonic clock, so that changes of the wall clock do not move the window
	window       time.Duration
	local        map[string]*counter
	remote       map[string][]Demand // by gateway
	totals       map[string]Demand   // over the fleet, as of the last Recompute
	fairShare    float64             // tokens per account and window when the servers' capacity is divided; 0: all demands fit
	evenShare    float64             // the same for the larger of the capacity and what was admitted; 0: all demands fit
	surplusLimit float64             // admitted tokens above which an account gets no surplus capacity; 0: no limit
}

// NewTracker returns a Tracker without demands.
func NewTracker(window time.Duration) *Tracker {
	return &Tracker{window: window, local: map[string]*counter{}, remote: map[string][]Demand{}, totals: map[string]Demand{}}
}

// counter sums over a sliding window.
type counter struct {
	bucket   int64 // number of the newest bucket
	asked    [buckets]float64
	admitted [buckets]float64
}

func (c *counter) advance(bucket int64) {
	for n := c.bucket + 1; n <= bucket && n <= c.bucket+buckets; n++ {
		c.asked[n%buckets] = 0
		c.admitted[n%buckets] = 0
	}
	c.bucket = max(c.bucket, bucket)
}

func (t *Tracker) counter(now time.Time, account string) *counter {
	c := t.local[account]
	if c == nil {
		c = &counter{}
		t.local[account] = c
	}
	if t.epoch.IsZero() {
		t.epoch = now
	}
	c.advance(int64(now.Sub(t.epoch) / (t.window / buckets)))
	return c
}

// RecordAsked counts tokens that an account requested from this gateway.
func (t *Tracker) RecordAsked(now time.Time, account string, tokens float64) {
	c := t.counter(now, account)
	c.asked[c.bucket%buckets] += tokens
}

// RecordAdmitted counts tokens of a request that this gateway sent to a server for an account.
func (t *Tracker) RecordAdmitted(now time.Time, account string, tokens float64) {
	c := t.counter(now, account)
	c.admitted[c.bucket%buckets] += tokens
	total := t.totals[account]
	total.Admitted += tokens
	t.totals[account] = total
}

// RevertAdmitted reverts a RecordAdmitted made at the given time for a request that did not
// run.
func (t *Tracker) RevertAdmitted(now, admitted time.Time, account string, tokens float64) {
	c := t.counter(now, account)
	bucket := int64(admitted.Sub(t.epoch) / (t.window / buckets))
	if c.bucket-bucket >= buckets {
		return // already outside the window
	}
	c.admitted[bucket%buckets] -= tokens
	total := t.totals[account]
	total.Admitted = max(total.Admitted-tokens, 0)
	t.totals[account] = total
}

// LocalDemands returns the demands at this gateway, the largest first.
func (t *Tracker) LocalDemands(now time.Time) []Demand {
	var list []Demand
	for account := range t.local {
		d := t.demand(now, account)
		if d.Asked == 0 && d.Admitted == 0 {
			delete(t.local, account)
			continue
		}
		list = append(list, d)
	}
	slices.SortFunc(list, func(x, y Demand) int {
		return cmp.Or(cmp.Compare(y.Asked, x.Asked), cmp.Compare(x.Account, y.Account))
	})
	return list
}

func (t *Tracker) demand(now time.Time, account string) Demand {
	c := t.counter(now, account)
	d := Demand{Account: account}
	for i := range buckets {
		d.Asked += c.asked[i]
		d.Admitted += c.admitted[i]
	}
	return d
}

// SetRemoteDemands replaces the demands of another gateway. An empty list removes it.
func (t *Tracker) SetRemoteDemands(node string, list []Demand) {
	if len(list) == 0 {
		delete(t.remote, node)
		return
	}
	t.remote[node] = list
}

// Recompute recomputes the fair shares; rate is what the servers process, in tokens per second
// (0: unknown).
func (t *Tracker) Recompute(now time.Time, rate float64) {
	t.totals = map[string]Demand{}
	add := func(d Demand) {
		total := t.totals[d.Account]
		total.Account = d.Account
		total.Asked += d.Asked
		total.Admitted += d.Admitted
		t.totals[d.Account] = total
	}
	for _, d := range t.LocalDemands(now) {
		add(d)
	}
	for _, list := range t.remote {
		for _, d := range list {
			add(d)
		}
	}
	asked := make([]float64, 0, len(t.totals))
	for _, d := range t.totals {
		asked = append(asked, d.Asked)
	}
	admitted := 0.0
	for _, d := range t.totals {
		admitted += d.Admitted
	}
	capacity := rate * t.window.Seconds()
	t.fairShare = 0
	if capacity > 0 {
		t.fairShare = MaxMinShare(asked, capacity)
	}
	t.evenShare = MaxMinShare(asked, max(admitted, capacity))
	t.surplusLimit = t.computeSurplusLimit()
}

// maxAdmittedRatio bounds what an account gets beyond its share: at most this many times as
// much as any backlogged account, so that the two stay within a factor of two even when
// servers run idle. The margin between covers the age of other gateways' counts, which is up
// to half a second, an eighth of the window.
const maxAdmittedRatio = 1.5

// backloggedFraction is the fraction of its requested tokens below which an account counts
// as backlogged.
const backloggedFraction = 0.5

// computeSurplusLimit returns the admitted tokens above which an account gets no surplus
// capacity. Every backlogged account gets its fair share, so the limit does not fall below
// that for one that has just become active.
func (t *Tracker) computeSurplusLimit() float64 {
	least := math.Inf(1)
	for _, d := range t.totals {
		if d.Asked > t.fairShare && d.Admitted < backloggedFraction*d.Asked {
			least = min(least, d.Admitted)
		}
	}
	if t.fairShare == 0 || math.IsInf(least, 1) {
		return 0
	}
	return maxAdmittedRatio * max(least, t.fairShare)
}

// Status compares an account's admitted tokens with its fair share.
type Status struct {
	OverShare  bool    // it has been admitted at least its fair share in the window
	Capped     bool    // it is so far ahead of a backlogged account that it gets no surplus capacity
	ShareRatio float64 // admitted tokens over an even share of all admitted tokens; 0: unknown
}

// Status returns an account's status. An account that requests no more than its fair share is
// never over it.
func (t *Tracker) Status(account string) Status {
	admitted := t.totals[account].Admitted
	s := Status{OverShare: t.fairShare > 0 && admitted >= t.fairShare}
	s.Capped = s.OverShare && t.surplusLimit > 0 && admitted > t.surplusLimit
	if t.evenShare > 0 {
		s.ShareRatio = admitted / t.evenShare
	}
	return s
}

// LocalRate returns the rate at which an account is served that falls to this gateway, in tokens per
// second: its fair share, or what it was admitted if that is more, divided among the gateways as they
// are asked for the account's tokens. It is 0 if there is no fair share or nothing was asked for
// here.
func (t *Tracker) LocalRate(now time.Time, account string) float64 {
	total := t.totals[account].Asked
	if t.fairShare == 0 || total <= 0 || t.local[account] == nil {
		return 0
	}
	part := min(t.demand(now, account).Asked/total, 1) // the total is as of the last Recompute
	return max(t.fairShare, t.totals[account].Admitted) * part / t.window.Seconds()
}

// MaxMinShare returns the max-min fair share: the level up to which each demand is met when
// the capacity is divided among them. It is 0 if all demands fit or the capacity is unknown.
func MaxMinShare(demands []float64, capacity float64) float64 {
	sorted := slices.Clone(demands)
	slices.Sort(sorted)
	remaining := capacity
	for i, d := range sorted {
		even := remaining / float64(len(sorted)-i)
		if d > even {
			return max(even, 0)
		}
		remaining -= d
	}
	return 0
}
