// Package budget limits how often the fleet retries requests. In any window a service may
// have retries for a fraction of its requests, plus a fixed number, over all gateways
// together. Each gateway spends only what its own requests earn and an even part of the
// fixed number, so that no coordination is needed.
//
// # Usage
//
//	b := budget.New(budget.Limits{Ratio: 0.2, FixedRetries: 58, Window: 10 * time.Second}, time.Now())
//	b.RecordRequest(now, service)
//	if b.Take(now, service, gateways) { … retry … }
//
// # The bound
//
// A service's budget is a token bucket at each gateway. Requests and time fill it; it holds
// only a part of what it gets in a window. What the fleet spends in a window is at most what
// its buckets held when the window began, which is a part of what the requests of the window
// before allow, and what they got since. So it does not matter which gateways read the
// requests, nor how often a process starts: a new one begins with an empty bucket.
//
// A sliding window at each gateway would not do. A gateway could spend a whole window's worth
// at its end, and the one that reads the next window's requests, or the next process on the
// same host, another one.
//
// The package does no locking and does not read the clock; a Budget must be used by one
// goroutine only.
package budget

import "time"

// Limits are the limits for the whole fleet.
type Limits struct {
	Ratio        float64       // retries per request in the window
	FixedRetries float64       // additional retries per window
	Window       time.Duration // any time span of this length; 0: a second
}

// Fractions of Limits.Ratio. The rest keeps the fleet below its limits although requests are
// counted when they are read, which is later than they were sent.
const (
	earnedFraction = 0.8 // that a request adds to the bucket
	heldFraction   = 0.1 // that the bucket holds for each request of the last window
)

// heldFixedFraction is the part of a gateway's fixed retries that its bucket holds. It gets
// the rest in the course of a window.
const heldFixedFraction = 1.0 / 3

// Budget counts requests and retries by service.
type Budget struct {
	limits  Limits
	started time.Time
	buckets map[string]*bucket
}

// New returns the budget of a process that started at the given time.
func New(l Limits, started time.Time) *Budget {
	if l.Window <= 0 {
		l.Window = time.Second
	}
	return &Budget{limits: l, started: started, buckets: map[string]*bucket{}}
}

// bucket is the token bucket of a service.
type bucket struct {
	tokens   float64 // retries that may be taken
	filled   time.Time
	requests counter
	retries  counter
}

func (b *Budget) bucket(service string) *bucket {
	k := b.buckets[service]
	if k == nil {
		k = &bucket{filled: b.started, requests: newCounter(b.limits.Window, b.started), retries: newCounter(b.limits.Window, b.started)}
		b.buckets[service] = k
	}
	return k
}

// fill adds what time earns and drops what the bucket does not hold.
func (b *Budget) fill(now time.Time, k *bucket, gateways int) {
	held, earned := b.fixedRetries(gateways)
	k.tokens += earned * now.Sub(k.filled).Seconds() / b.limits.Window.Seconds()
	k.filled = now
	k.tokens = min(k.tokens, held+heldFraction*b.limits.Ratio*float64(k.requests.count(now)))
}

// fixedRetries returns a gateway's part of the fixed retries: what its bucket holds, and what
// it earns in a window. A bucket holds a whole retry if the part is that large, so that a
// service with few requests has one.
func (b *Budget) fixedRetries(gateways int) (held, earned float64) {
	part := b.limits.FixedRetries / float64(max(gateways, 1))
	held = max(heldFixedFraction*part, min(part, 1))
	return held, part - held
}

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(now time.Time, service string) {
	k := b.bucket(service)
	k.requests.add(now)
	k.tokens += earnedFraction * b.limits.Ratio
}

// Take takes one retry from the budget and reports whether one was left. gateways is the
// number of gateways that share the budget, including this one.
func (b *Budget) Take(now time.Time, service string, gateways int) bool {
	k := b.bucket(service)
	b.fill(now, k, gateways)
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	k.retries.add(now)
	return true
}

// Remaining returns the number of retries left for a service.
func (b *Budget) Remaining(now time.Time, service string, gateways int) float64 {
	k := b.bucket(service)
	b.fill(now, k, gateways)
	return k.tokens
}

// Usage is what a gateway has counted of a service in the last window.
type Usage struct {
	Requests  int
	Retries   int
	Remaining float64 // retries that may be taken
}

// Usage returns what has been counted of a service.
func (b *Budget) Usage(now time.Time, service string, gateways int) Usage {
	k := b.bucket(service)
	b.fill(now, k, gateways)
	return Usage{Requests: k.requests.count(now), Retries: k.retries.count(now), Remaining: k.tokens}
}
