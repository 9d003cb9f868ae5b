package quarantine

import "time"

const (
	// A request that was answered this recently is not blamed for a crash, since a request that
	// crashes its server gets no answer. A longer time would let a request that has begun to
	// crash servers, for example after a change of version, be sent on for that much longer. A
	// request that many callers send at the same time is answered several times a second.
	recentAnswerTTL = 10 * time.Second
	// maxRecentAnswers bounds the requests remembered; beyond it, those added first are evicted.
	// At 46 answers per second this covers three minutes and takes 0.2 MB.
	maxRecentAnswers = 8192
)

// RecentAnswers remembers which requests were answered completely a short time ago. The zero
// value is empty and ready to use.
type RecentAnswers struct {
	answeredAt map[Key]time.Time
	ring       []Key // in order of insertion
	oldest     int   // index of the oldest entry in ring once it is full
}

// Add records that a request was answered at time now.
func (a *RecentAnswers) Add(now time.Time, k Key) {
	if a.answeredAt == nil {
		a.answeredAt = map[Key]time.Time{}
	}
	if _, known := a.answeredAt[k]; known {
		a.answeredAt[k] = now
		return
	}
	if len(a.ring) < maxRecentAnswers {
		a.ring = append(a.ring, k)
	} else {
		delete(a.answeredAt, a.ring[a.oldest])
		a.ring[a.oldest] = k
		a.oldest = (a.oldest + 1) % maxRecentAnswers
	}
	a.answeredAt[k] = now
}

// Contains reports whether a request was answered within the last recentAnswerTTL.
func (a *RecentAnswers) Contains(now time.Time, k Key) bool {
	at, ok := a.answeredAt[k]
	return ok && now.Sub(at) < recentAnswerTTL
}
