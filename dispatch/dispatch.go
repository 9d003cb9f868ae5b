// Package dispatch holds the waiting side of the router and the admitting side
// of the agent: who waits where, who is told what, and which request gets a place
// when one is free.
//
// # Usage
//
// A router keeps a [Queue] of its callers' requests and tells agents how many
// wait (a want); an agent keeps a [Desk] of all routers' wants and of its
// server's places, and grants a place at a time:
//
//	outcome := queue.Offer(request)      // router: a caller's request must wait
//	desk.SetWant(router, want)           // agent: so many wait there
//	grant, ok := desk.Grant(book)        // agent: a place for whom
//	request := queue.Bind(grant, agent)  // router: the best one at this moment
//
// Both are pure state: no clock, lock or I/O. Each belongs to one goroutine.
package dispatch

import (
	"slices"
	"time"

	"opalbridge.dev/fair"
)

// Key names a line of waiting requests.
type Class struct {
	Account fair.Account
	Pool    string
	Urgent  bool
	Server  string // the one server that may have it; empty: any of the pool
}

// Request is one that waits.
type Request struct {
	ID       string
	Class    Class
	Estimate float64   // weighted tokens
	Prefix   uint64    // hash of the prompt's beginning; zero: none
	Deadline time.Time // when the caller has no more use for the answer
	Arrived  time.Time
}

// Offered is what became of a request offered to a queue: [Waiting] or [Refused].
type EnqueueResult interface{ enqueueResult() }

// Waiting says that the request waits in the queue.
type Queued struct{ Ahead int }

// Refused says that the request does not wait; it was not run.
type Rejected struct {
	Reason     string
	RetryAfter time.Duration
}

func (Queued) enqueueResult()   {}
func (Rejected) enqueueResult() {}

// affinityWindow is how far from the head a request may be bound ahead of its
// turn because the agent has seen its prefix.
const affinityWindow = 8

// Queue holds the requests that wait at one router. Its zero value is empty.
type Queue struct {
	classes  map[Class][]*Request
	accounts map[fair.Account]int
	length   int
}

// Len returns how many requests wait.
func (q *Queue) Len() int { return q.length }

// Waiting returns how many requests of the account wait.
func (q *Queue) Waiting(a fair.Account) int { return q.accounts[a] }

// Count returns how many requests wait in one line.
func (q *Queue) Count(k Class) int { return len(q.classes[k]) }

// Keys returns the lines that are not empty, in no order.
func (q *Queue) Classes() []Class {
	keys := make([]Class, 0, len(q.classes))
	for k := range q.classes {
		keys = append(keys, k)
	}
	return keys
}

// Offer adds a request unless the account has as many waiting as it may. The
// account's drain is the time in which one of its requests leaves the queue at
// present; it sets when a refused caller should try again.
func (q *Queue) Enqueue(r *Request, most int, drain time.Duration) EnqueueResult {
	if q.accounts[r.Class.Account] >= most {
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

func retryAfter(drain time.Duration) time.Duration {
	return min(max(drain, time.Second), time.Minute)
}

// PutBack returns a bound request that was not run to the head of its line.
func (q *Queue) Requeue(r *Request) {
	if q.classes == nil {
		q.classes = map[Class][]*Request{}
		q.accounts = map[fair.Account]int{}
	}
	q.classes[r.Class] = slices.Insert(q.classes[r.Class], 0, r)
	q.accounts[r.Class.Account]++
	q.length++
}

// Bind takes the request that a grant is used for: one whose prefix the agent
// has seen if it is among the first, else the oldest. It returns nil when none
// waits.
func (q *Queue) Dequeue(k Class, seen func(prefix uint64) bool) *Request {
	line := q.classes[k]
	if len(line) == 0 {
		return nil
	}
	at := 0
	for i, r := range line[:min(len(line), affinityWindow)] {
		if r.Prefix != 0 && seen(r.Prefix) {
			at = i
			break
		}
	}
	r := line[at]
	q.removeAt(k, at)
	return r
}

// Peek returns the oldest request of a line, or nil.
func (q *Queue) Peek(k Class) *Request {
	if len(q.classes[k]) == 0 {
		return nil
	}
	return q.classes[k][0]
}

// Remove takes a request out, and reports whether it was waiting.
func (q *Queue) Remove(r *Request) bool {
	at := slices.Index(q.classes[r.Class], r)
	if at < 0 {
		return false
	}
	q.removeAt(r.Class, at)
	return true
}

func (q *Queue) removeAt(k Class, at int) {
	line := slices.Delete(q.classes[k], at, at+1)
	if len(line) == 0 {
		delete(q.classes, k)
	} else {
		q.classes[k] = line
	}
	q.accounts[k.Account]--
	if q.accounts[k.Account] == 0 {
		delete(q.accounts, k.Account)
	}
	q.length--
}
