package slots

import (
	"slices"
	"time"
)

// maxHeldPerScan is how many waiting requests of a service are tried in vain in a scan: more than
// one, since a request that was tried at the free server already must not block the rest.
const maxHeldPerScan = 4

// Position determines when a waiting request gets a slot.
type Position struct {
	Service  string
	Priority int // lower ones go first
	Retry    bool
	Since    time.Time
}

// goesBefore reports whether a request gets a slot before another one. One that a server has
// rejected has waited before.
func (p Position) goesBefore(x Position) bool {
	switch {
	case p.Priority != x.Priority:
		return p.Priority < x.Priority
	case p.Retry != x.Retry:
		return p.Retry
	default:
		return p.Since.Before(x.Since)
	}
}

// Queue holds requests that wait for slots, in order of priority and age. Its zero value is empty.
// It must be used by one goroutine only.
type Queue[T any] struct{ entries []entry[T] }

type entry[T any] struct {
	position Position
	request  T
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Add adds a request.
func (q *Queue[T]) Add(p Position, request T) {
	i := len(q.entries)
	for i > 0 && p.goesBefore(q.entries[i-1].position) {
		i--
	}
	q.entries = slices.Insert(q.entries, i, entry[T]{p, request})
}

// Ahead returns how many requests to a service go before a new one and how many go later.
func (q *Queue[T]) Ahead(service string, priority int) (ahead, behind int) {
	for i := range q.entries {
		switch p := &q.entries[i].position; {
		case p.Service != service:
		case p.Priority > priority:
			behind++
		default:
			ahead++
		}
	}
	return ahead, behind
}

// ReplaceLast makes room for a request of a priority: it removes the request that would get a slot
// last and returns it. ok is false if that one goes before the new one.
func (q *Queue[T]) ReplaceLast(priority int) (last T, ok bool) {
	n := len(q.entries) - 1
	if n < 0 || q.entries[n].position.Priority <= priority {
		return last, false
	}
	last = q.entries[n].request
	q.entries = slices.Delete(q.entries, n, n+1)
	return last, true
}

// Turn is the place of a waiting request in a scan.
type Turn struct {
	Ahead, Behind int  // requests to its service that wait on and go first, and that go later
	Blocked       bool // so many before it have been held that it need not be tried
}

// Result says what has become of a waiting request in a scan.
type Result int

// Results of scans.
const (
	Done    Result = iota // it leaves the queue
	Held                  // it was tried and waits on
	Skipped               // it was not tried
)

// Scan calls try for all requests in order. try must not change the queue.
func (q *Queue[T]) Scan(try func(request T, t Turn) Result) {
	ahead, behind, held := map[string]int{}, map[string]int{}, map[string]int{}
	for i := range q.entries {
		behind[q.entries[i].position.Service]++
	}
	remaining := q.entries[:0]
	for _, e := range q.entries {
		service := e.position.Service
		behind[service]--
		r := try(e.request, Turn{Ahead: ahead[service], Behind: behind[service], Blocked: held[service] >= maxHeldPerScan})
		if r == Done {
			continue
		}
		if r == Held {
			held[service]++
		}
		ahead[service]++
		remaining = append(remaining, e)
	}
	clear(q.entries[len(remaining):])
	q.entries = remaining
}
