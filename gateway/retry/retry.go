// Package retry recognizes the retries of callers whose requests were refused. A caller retries on
// another connection, often at another gateway, with a new ID; how long ago its first attempt was
// decides whether the request can still be served in time.
//
// A retry is recognized by its content ([Key]) and its deadline: a retry names a timeout that is
// shorter by the time passed, so the deadline stays the same. Gateways remember the requests that
// they refuse and report them to each other ([Refusal]).
//
// # Usage
//
//	h := retry.NewHistory()
//	h.Record(now, retry.Refusal{Key: key, Deadline: d, FirstAttempt: first}) // refused here or by a peer
//	first, ok := h.FirstAttempt(now, key, d)                                 // a request has arrived
//
// A retry of a request that was refused by a gateway whose report got lost counts as a first
// attempt. A wrong answer affects the order in which requests are served, but no guarantee. The
// package takes no locks and does not read the clock.
package retry

import "time"

const (
	// tolerance is the difference up to which two deadlines count as the same: requests take some
	// milliseconds from the caller, and a busy gateway reads them up to 100 ms later.
	tolerance = 100 * time.Millisecond
	// duplicateTolerance is the difference in deadline up to which two refusals are the same one,
	// reported twice; it covers the time of transmission.
	duplicateTolerance = 20 * time.Millisecond
	// evictInterval is the minimum time between evictions of expired refusals while the history
	// is full; one takes some 50 µs.
	evictInterval = 100 * time.Millisecond
	// maxRefusals bounds the history: 400 refusals a second, whose callers wait for a third of
	// ten seconds. While it is full, new refusals are not recorded.
	maxRefusals = 4096
)

// Key identifies the content of a request; a retry has the same key.
type Key uint64

// Refusal is a request that was refused.
type Refusal struct {
	Key          Key
	Deadline     time.Time // when the caller gives up
	FirstAttempt time.Time // when the caller made its first attempt
}

// History holds refusals whose callers may retry.
type History struct {
	refusals     map[Key][]Refusal
	count        int
	lastEviction time.Time // time of the last eviction
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{refusals: map[Key][]Refusal{}} }

// Record adds a refusal.
func (h *History) Record(now time.Time, r Refusal) {
	if !now.Before(r.Deadline) {
		return
	}
	for _, known := range h.refusals[r.Key] {
		if known.Deadline.Sub(r.Deadline).Abs() <= duplicateTolerance {
			return // reported twice
		}
	}
	if h.count >= maxRefusals && now.Sub(h.lastEviction) >= evictInterval {
		h.evictExpired(now)
	}
	if h.count >= maxRefusals {
		return // all callers may still retry; the newest is the least likely to have done so
	}
	h.refusals[r.Key] = append(h.refusals[r.Key], r)
	h.count++
}

// FirstAttempt returns the time of the first attempt if a request is the retry of a refused one. It
// removes that refusal, since a caller retries once for each.
func (h *History) FirstAttempt(now time.Time, key Key, deadline time.Time) (first time.Time, ok bool) {
	list := h.refusals[key]
	best, minDiff := -1, tolerance
	for i, r := range list {
		if d := r.Deadline.Sub(deadline).Abs(); d <= minDiff {
			best, minDiff = i, d
		}
	}
	if best < 0 {
		return time.Time{}, false
	}
	first = list[best].FirstAttempt
	h.remove(key, best)
	return first, true
}

func (h *History) remove(key Key, i int) {
	list := h.refusals[key]
	list[i] = list[len(list)-1]
	h.refusals[key] = list[:len(list)-1]
	if len(list) == 1 {
		delete(h.refusals, key)
	}
	h.count--
}

// evictExpired removes the refusals whose callers have given up.
func (h *History) evictExpired(now time.Time) {
	h.lastEviction = now
	for key, list := range h.refusals {
		for i := len(list) - 1; i >= 0; i-- {
			if !now.Before(list[i].Deadline) {
				h.remove(key, i)
			}
		}
	}
}

// Len returns the number of refusals.
func (h *History) Len() int { return h.count }
