package quarantine

import "time"

const (
	// A request that was answered this recently is the cause of no end: what ends the servers
	// that run it is not answered. Longer, and one that has begun to end servers (with their
	// next version, say) would be sent on for so much longer. A question that many callers ask
	// at once is answered several times a second.
	answeredFor = 10 * time.Second
	// Requests remembered; with more, those that were answered first are forgotten. A gateway
	// answers 46 a second at the size of two years from now, so these are three minutes of it
	// there, and 0.2 MB.
	mostAnswers = 8192
)

// RecentAnswers remembers which requests were answered whole lately. Its zero value is empty.
type RecentAnswers struct {
	at   map[Key]time.Time
	ring []Key // in the order in which they came in
	next int   // place in ring of the oldest
}

// Add notes an answer.
func (a *RecentAnswers) Add(now time.Time, k Key) {
	if a.at == nil {
		a.at = map[Key]time.Time{}
	}
	if _, known := a.at[k]; known {
		a.at[k] = now
		return
	}
	if len(a.ring) < mostAnswers {
		a.ring = append(a.ring, k)
	} else {
		delete(a.at, a.ring[a.next])
		a.ring[a.next] = k
		a.next = (a.next + 1) % mostAnswers
	}
	a.at[k] = now
}

// Contains tells whether a request was answered lately.
func (a *RecentAnswers) Contains(now time.Time, k Key) bool {
	at, known := a.at[k]
	return known && now.Sub(at) < answeredFor
}
