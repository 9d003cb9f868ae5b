// Package share tells which client accounts ask for more than their max-min fair
// share of what the servers make. Every gateway counts what it was asked and what it
// admitted in a sliding window; the others' counts are added as they arrive.
//
// # Usage
//
//	b := share.NewBook(4 * time.Second)
//	b.Ask(now, account, tokens)
//	if !b.Standing(account).Over { b.Admit(now, account, tokens) }
//	b.SetOthers(node, demands)
//	b.Settle(now, tokensPerSecond)
//
// The package takes no lock, does no input or output and reads no clock. A Book
// belongs to one goroutine.
package share

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// buckets divide the window.
const buckets = 8

// Demand is what an account asked and was admitted in the window, in tokens.
type Demand struct {
	Account  string
	Asked    float64
	Admitted float64
}

// Tracker counts the demands of accounts.
type Tracker struct {
	epoch  time.Time // of the first call: steps of the time of day must not move the window
	window time.Duration
	own    map[string]*counter
	others map[string][]Demand // by gateway
	totals map[string]Demand   // over the fleet, as of the last Settle
	owed   float64             // tokens of an account in a window, of what the servers are said to make; 0: all demands fit
	level  float64             // the same of what the servers were given; 0: all demands fit
	most   float64             // tokens of an account beyond which it gets nothing beyond its share; 0: no bound
}

// NewTracker returns an empty book.
func NewTracker(window time.Duration) *Tracker {
	return &Tracker{window: window, own: map[string]*counter{}, others: map[string][]Demand{}, totals: map[string]Demand{}}
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

func (b *Tracker) counter(now time.Time, account string) *counter {
	c := b.own[account]
	if c == nil {
		c = &counter{}
		b.own[account] = c
	}
	if b.epoch.IsZero() {
		b.epoch = now
	}
	c.advance(int64(now.Sub(b.epoch) / (b.window / buckets)))
	return c
}

// RecordAsked counts what an account asked of this gateway.
func (b *Tracker) RecordAsked(now time.Time, account string, tokens float64) {
	c := b.counter(now, account)
	c.asked[c.bucket%buckets] += tokens
}

// RecordAdmitted counts what this gateway sent to a server for an account.
func (b *Tracker) RecordAdmitted(now time.Time, account string, tokens float64) {
	c := b.counter(now, account)
	c.admitted[c.bucket%buckets] += tokens
	t := b.totals[account]
	t.Admitted += tokens
	b.totals[account] = t
}

// RevertAdmitted counts no more what was admitted at a time, since nothing of it began to run.
func (b *Tracker) RevertAdmitted(now, admitted time.Time, account string, tokens float64) {
	c := b.counter(now, account)
	bucket := int64(admitted.Sub(b.epoch) / (b.window / buckets))
	if c.bucket-bucket >= buckets {
		return // it has left the window
	}
	c.admitted[bucket%buckets] -= tokens
	t := b.totals[account]
	t.Admitted = max(t.Admitted-tokens, 0)
	b.totals[account] = t
}

// LocalDemands returns this gateway's demands, the largest first.
func (b *Tracker) LocalDemands(now time.Time) []Demand {
	var list []Demand
	for account := range b.own {
		d := b.demand(now, account)
		if d.Asked == 0 && d.Admitted == 0 {
			delete(b.own, account)
			continue
		}
		list = append(list, d)
	}
	slices.SortFunc(list, func(x, y Demand) int {
		return cmp.Or(cmp.Compare(y.Asked, x.Asked), cmp.Compare(x.Account, y.Account))
	})
	return list
}

func (b *Tracker) demand(now time.Time, account string) Demand {
	c := b.counter(now, account)
	d := Demand{Account: account}
	for i := range buckets {
		d.Asked += c.asked[i]
		d.Admitted += c.admitted[i]
	}
	return d
}

// SetRemoteDemands replaces the demands of another gateway; none: it has gone.
func (b *Tracker) SetRemoteDemands(node string, list []Demand) {
	if len(list) == 0 {
		delete(b.others, node)
		return
	}
	b.others[node] = list
}

// Recompute computes the share that holds from now on; rate is what the servers make,
// in tokens a second (0: unknown).
func (b *Tracker) Recompute(now time.Time, rate float64) {
	b.totals = map[string]Demand{}
	add := func(d Demand) {
		t := b.totals[d.Account]
		t.Account = d.Account
		t.Asked += d.Asked
		t.Admitted += d.Admitted
		b.totals[d.Account] = t
	}
	for _, d := range b.LocalDemands(now) {
		add(d)
	}
	for _, list := range b.others {
		for _, d := range list {
			add(d)
		}
	}
	asked := make([]float64, 0, len(b.totals))
	for _, d := range b.totals {
		asked = append(asked, d.Asked)
	}
	given := 0.0
	for _, d := range b.totals {
		given += d.Admitted
	}
	capacity := rate * b.window.Seconds()
	b.owed = 0
	if capacity > 0 {
		b.owed = MaxMinShare(asked, capacity)
	}
	b.level = MaxMinShare(asked, max(given, capacity))
	b.most = b.bound()
}

// An account gets nothing beyond its share once it has this many times as much as another one
// that presses, so that what both get stays within a factor of two whatever servers run dry.
// What is told of other gateways' sums is up to half a second old, an eighth of the window,
// which is what lies between.
const mostGap = 1.5

// pressing is the share of what it asks below which an account counts as behind.
const pressing = 0.5

// bound returns how much an account may have got to get something beyond its share. Each
// account that presses gets its share, so the bound does not fall below that for one that has
// just come.
func (b *Tracker) bound() float64 {
	least := math.Inf(1)
	for _, d := range b.totals {
		if d.Asked > b.owed && d.Admitted < pressing*d.Asked {
			least = min(least, d.Admitted)
		}
	}
	if b.owed == 0 || math.IsInf(least, 1) {
		return 0
	}
	return mostGap * max(least, b.owed)
}

// Status tells where an account stands against its share.
type Status struct {
	OverShare  bool    // it was admitted all that it is owed in the window
	Capped     bool    // it got so much more than another one that presses that it gets no more beyond its share
	ShareRatio float64 // what it was admitted over what an even share of all that was admitted would be; 0: unknown
}

// Status returns where an account stands. An account that asks for no more than its
// share is never over.
func (b *Tracker) Status(account string) Status {
	admitted := b.totals[account].Admitted
	s := Status{OverShare: b.owed > 0 && admitted >= b.owed}
	s.Capped = s.OverShare && b.most > 0 && admitted > b.most
	if b.level > 0 {
		s.ShareRatio = admitted / b.level
	}
	return s
}

// MaxMinShare returns the max-min fair share: the amount up to which every demand can be
// met when all together may have capacity. It is 0 when all demands fit, or when the
// capacity is unknown.
func MaxMinShare(demands []float64, capacity float64) float64 {
	sorted := slices.Clone(demands)
	slices.Sort(sorted)
	left := capacity
	for i, d := range sorted {
		even := left / float64(len(sorted)-i)
		if d > even {
			return max(even, 0)
		}
		left -= d
	}
	return 0
}
