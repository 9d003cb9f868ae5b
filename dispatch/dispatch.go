// Package dispatch implements the queue of waiting requests at a router and the
// scheduler that admits requests at an agent. They decide which request gets a slot
// of a server when one is free.
//
// # Usage
//
// A router keeps its callers' requests in a [Queue] and sends agents the number of
// waiting requests of each class (its demand). An agent keeps the demands of all
// routers in a [Scheduler], which grants the slots of its server one at a time:
//
//	result := queue.Enqueue(request, maxWaiting, drain)     // router: a request must wait
//	scheduler.SetDemand(router, class, count, estimate)     // agent: demand of a router
//	grant, ok := scheduler.Grant(tracker)                   // agent: reserve a slot
//	request := queue.Dequeue(grant.Class, hasCachedPrefix)  // router: use the grant
//
// Both use no clock, lock or I/O, and neither is safe for concurrent use.
package dispatch

import (
	"slices"
	"time"

	"opalbridge.dev/fair"
)

// Class identifies waiting requests that are interchangeable for scheduling.
type Class struct {
	Account fair.Account
	Pool    string
	Urgent  bool
	Server  string // the only server that may run it; empty: any server of the pool
}

// Request is a waiting request.
type Request struct {
	ID       string
	Class    Class
	Estimate float64   // weighted tokens
	Prefix   uint64    // hash of the prompt's prefix; zero: none
	Deadline time.Time // when the caller no longer needs the response
	Arrived  time.Time
}

// EnqueueResult is the result of [Queue.Enqueue]: [Queued] or [Rejected].
type EnqueueResult interface{ enqueueResult() }

// Queued means that the request waits behind Ahead others of its class.
type Queued struct{ Ahead int }

// Rejected means that the request was not queued and did not run.
type Rejected struct {
	Reason     string
	RetryAfter time.Duration
}

func (Queued) enqueueResult()   {}
func (Rejected) enqueueResult() {}

// affinityWindow is the number of requests at the head of a class among which one
// whose prefix the agent has cached is preferred.
const affinityWindow = 8

// Queue holds the requests that wait at one router, in FIFO order for each class. The
// zero value is an empty queue. A Queue is not safe for concurrent use.
type Queue struct {
	classes  map[Class][]*Request
	accounts map[fair.Account]int
	length   int
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Waiting returns the number of waiting requests of the account.
func (q *Queue) Waiting(a fair.Account) int { return q.accounts[a] }

// Count returns the number of waiting requests of one class.
func (q *Queue) Count(c Class) int { return len(q.classes[c]) }

// Classes returns the classes with waiting requests, in no particular order.
func (q *Queue) Classes() []Class {
	classes := make([]Class, 0, len(q.classes))
	for c := range q.classes {
		classes = append(classes, c)
	}
	return classes
}

// Enqueue adds a request unless maxWaiting requests of its account already wait.
// Drain is the current time between departures of the account's requests from the
// queue; it determines when a rejected caller should retry.
func (q *Queue) Enqueue(r *Request, maxWaiting int, drain time.Duration) EnqueueResult {
	if q.accounts[r.Class.Account] >= maxWaiting {
		return Rejected{Reason: "the account has its full number of requests waiting", RetryAfter: retryAfter(drain)}
	}
	if q.classes == nil {
		q.classes = map[Class][]*Request{}
		q.accounts = map[fair.Account]int{}
	}
	ahead := len(q.classes[r.Class])
	q.classes[r.Class] = append(q.classes[r.Class], r)
	q.accounts[r.Class.Account]++
	q.length++
	return Queued{Ahead: ahead}
}

// retryAfter limits the drain time to between one second and one minute.
func retryAfter(drain time.Duration) time.Duration {
	return min(max(drain, time.Second), time.Minute)
}

// Requeue returns a dequeued request that was not run to the head of its class.
func (q *Queue) Requeue(r *Request) {
	if q.classes == nil {
		q.classes = map[Class][]*Request{}
		q.accounts = map[fair.Account]int{}
	}
	q.classes[r.Class] = slices.Insert(q.classes[r.Class], 0, r)
	q.accounts[r.Class.Account]++
	q.length++
}

// Dequeue removes and returns the request for which a grant is used: the first within
// the affinity window whose prefix the agent has cached, otherwise the oldest. It
// returns nil if none waits.
func (q *Queue) Dequeue(c Class, cached func(prefix uint64) bool) *Request {
	waiting := q.classes[c]
	if len(waiting) == 0 {
		return nil
	}
	i := 0
	for j, r := range waiting[:min(len(waiting), affinityWindow)] {
		if r.Prefix != 0 && cached(r.Prefix) {
			i = j
			break
		}
	}
	r := waiting[i]
	q.removeAt(c, i)
	return r
}

// Peek returns the oldest request of a class, or nil.
func (q *Queue) Peek(c Class) *Request {
	if len(q.classes[c]) == 0 {
		return nil
	}
	return q.classes[c][0]
}

// Remove removes a request, and reports whether it was waiting.
func (q *Queue) Remove(r *Request) bool {
	i := slices.Index(q.classes[r.Class], r)
	if i < 0 {
		return false
	}
	q.removeAt(r.Class, i)
	return true
}

func (q *Queue) removeAt(c Class, i int) {
	waiting := slices.Delete(q.classes[c], i, i+1)
	if len(waiting) == 0 {
		delete(q.classes, c)
	} else {
		q.classes[c] = waiting
	}
	q.accounts[c.Account]--
	if q.accounts[c.Account] == 0 {
		delete(q.accounts, c.Account)
	}
	q.length--
}
