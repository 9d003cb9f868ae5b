// Package budget limits how often the fleet retries requests. In any window a service may
// have retries for a fraction of its requests, plus a fixed number, over all gateways
// together. Each gateway spends only what its own requests earn and a part of the fixed
// number, so that no coordination is needed.
//
// # Usage
//
//	b := budget.New(budget.Limits{Ratio: 0.2, FixedRetries: 58, Window: 10 * time.Second}, time.Now())
//	b.RecordRequest(now, service, late)
//	if b.Take(now, service, gateways) {
//		… retry …
//		b.Acknowledge(service) // when the server has shown that it has the request
//	}
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
// What counts is when servers get the retries, which may be seconds after their decision: a
// link may be cut, or the process frozen. So a bucket holds less by what is on its way, and
// what was held back arrives in place of what could have been taken since.
//
// A gateway's part of the fixed number must not grow when it does not hear the others: they
// may be cut off, frozen or starved, and take theirs all the same. So the part is bounded by
// what the gateway knows for certain: a small number of its own, and a little for each request
// that it has read. The gateways that it knows of can only make it smaller. The bound holds if
// FixedRetries is three times the number of gateways, or if the gateways know of each other.
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
	Gateways     int           // in the fleet, if that is certain; 0: unknown
}

// Fractions of Limits.Ratio. The rest keeps the fleet below its limits although requests are
// counted when they are read, which is later than they were sent.
const (
	earnedFraction = 0.8   // that a request adds to the bucket
	heldFraction   = 0.075 // that the bucket holds for each request of the last window
	fixedFraction  = 0.05  // by which each request of the last window raises the gateway's part of the fixed retries
)

const (
	// ownFixedRetries is a gateway's part of the fixed retries in a window, without requests.
	ownFixedRetries = 3
	// heldFixedFraction is the part of its fixed retries that a gateway's bucket holds. It
	// gets the rest in the course of a window.
	heldFixedFraction = 0.25
	// minHeldRetries is what the bucket holds at least, so that a service with few requests
	// has a retry.
	minHeldRetries = 1
)

// maxLateness is how late a process may run for the requests that it reads to count. What the
// fractions leave makes up for requests that are late by four times as much.
const maxLateness = 250 * time.Millisecond

// Budget counts requests and retries by service.
type Budget struct {
	limits       Limits
	started      time.Time
	buckets      map[string]*bucket
	mostGateways int // that were known at the same time
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
	inFlight int // retries that were taken and not acknowledged
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
	b.mostGateways = max(b.mostGateways, gateways, 1)
	allowed := b.limits.Ratio * float64(k.requests.count(now))
	part := b.fixedPart(allowed)
	held := max(heldFixedFraction*part, min(part/2, minHeldRetries))
	k.tokens += (part - held) * now.Sub(k.filled).Seconds() / b.limits.Window.Seconds()
	k.filled = now
	k.tokens = min(k.tokens, max(held+heldFraction*allowed-float64(k.inFlight), 0))
}

// fixedPart returns the gateway's part of the fixed retries in a window. allowed is what the
// ratio allows for its requests of the last window.
func (b *Budget) fixedPart(allowed float64) float64 {
	if b.limits.Gateways > 0 {
		return b.limits.FixedRetries / float64(b.limits.Gateways)
	}
	return min(b.limits.FixedRetries/float64(b.mostGateways), ownFixedRetries+fixedFraction*allowed)
}

// RecordRequest counts a caller's request for a service. late is how late the process has run in
// the last moments. A request that is read by a process that ran late may have been sent long
// ago, in a window whose retries others have spent, and is not counted.
func (b *Budget) RecordRequest(now time.Time, service string, late time.Duration) {
	if late > maxLateness {
		return
	}
	k := b.bucket(service)
	k.requests.add(now)
	k.tokens += earnedFraction * b.limits.Ratio
}

// Take takes one retry from the budget and reports whether one was left. gateways is the
// number of gateways known to share the budget, including this one.
func (b *Budget) Take(now time.Time, service string, gateways int) bool {
	k := b.bucket(service)
	b.fill(now, k, gateways)
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	k.inFlight++
	k.retries.add(now)
	return true
}

// Acknowledge records that a retry has reached its server or will not reach it any more. It is
// called once for each retry that was taken.
func (b *Budget) Acknowledge(service string) {
	b.bucket(service).inFlight--
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
	InFlight  int     // retries that were not acknowledged
	Remaining float64 // retries that may be taken
}

// Usage returns what has been counted of a service.
func (b *Budget) Usage(now time.Time, service string, gateways int) Usage {
	k := b.bucket(service)
	b.fill(now, k, gateways)
	return Usage{Requests: k.requests.count(now), Retries: k.retries.count(now), InFlight: k.inFlight, Remaining: k.tokens}
}
