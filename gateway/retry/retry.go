// Package retry tells which requests are a caller's next try. Whoever was turned away comes
// back on another connection, often to another gateway, with a new id; how long ago it
// tried first decides whether it can still be in time.
//
// A caller's try is known by what it asks ([Key]) and by when its patience ends: a next try
// names so much less time as has passed, so both end at the same moment. Gateways remember
// whom they turned away and tell each other ([Refusal]).
//
// # Usage
//
//	m := retry.NewMemory()
//	m.Add(now, retry.Refusal{Key: key, Ends: ends, First: first}) // turned away here, or told
//	first, back := m.First(now, key, ends)                        // a request has come
//
// Who was turned away by a gateway that nobody heard counts as a first try: a wrong answer
// costs the order in which requests are served, never a promise. The package takes no lock
// and reads no clock.
package retry

import "time"

const (
	// Two ends of a caller's patience that differ by less are the same: requests take some
	// milliseconds from the caller, and a busy gateway looks at them up to a hundred later.
	tolerance = 100 * time.Millisecond
	// A refusal that is told twice ends at the same moment but for the way of the news.
	sameRefusal = 20 * time.Millisecond
	// Callers that have given up are looked for this often while the memory is full: it
	// takes some 50 µs.
	forgetEvery = 100 * time.Millisecond
	// Refusals remembered; with more, those that end first are forgotten. 400 a second,
	// whose callers wait for a third of ten seconds.
	mostRefusals = 4096
)

// Key names what a request asks, so that another try of it has the same.
type Key uint64

// Refusal is a request that was turned away.
type Refusal struct {
	Key          Key
	Deadline     time.Time // when its caller gives up
	FirstAttempt time.Time // when its caller tried first
}

// History remembers refusals.
type History struct {
	refusals  map[Key][]Refusal
	count     int
	forgotten time.Time // when callers that have given up were last looked for
}

// NewHistory returns an empty memory.
func NewHistory() *History { return &History{refusals: map[Key][]Refusal{}} }

// Add remembers a refusal.
func (m *History) Add(now time.Time, r Refusal) {
	if !now.Before(r.Deadline) {
		return
	}
	for _, known := range m.refusals[r.Key] {
		if known.Deadline.Sub(r.Deadline).Abs() <= sameRefusal {
			return // it was told twice
		}
	}
	if m.count >= mostRefusals && now.Sub(m.forgotten) >= forgetEvery {
		m.forget(now)
	}
	if m.count >= mostRefusals {
		return // all of them may still come back: the newest is the least likely to have
	}
	m.refusals[r.Key] = append(m.refusals[r.Key], r)
	m.count++
}

// First returns when the caller of a request tried first, if it was turned away before.
// That refusal is forgotten: a caller comes back once for each.
func (m *History) First(now time.Time, key Key, ends time.Time) (first time.Time, back bool) {
	list := m.refusals[key]
	best, least := -1, tolerance
	for i, r := range list {
		if d := r.Deadline.Sub(ends).Abs(); d <= least {
			best, least = i, d
		}
	}
	if best < 0 {
		return time.Time{}, false
	}
	first = list[best].FirstAttempt
	m.remove(key, best)
	return first, true
}

func (m *History) remove(key Key, at int) {
	list := m.refusals[key]
	list[at] = list[len(list)-1]
	m.refusals[key] = list[:len(list)-1]
	if len(list) == 1 {
		delete(m.refusals, key)
	}
	m.count--
}

// forget drops the refusals of callers that have given up.
func (m *History) forget(now time.Time) {
	m.forgotten = now
	for key, list := range m.refusals {
		for i := len(list) - 1; i >= 0; i-- {
			if !now.Before(list[i].Deadline) {
				m.remove(key, i)
			}
		}
	}
}

// Len returns how many refusals are remembered.
func (m *History) Len() int { return m.count }
