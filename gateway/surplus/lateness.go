package surplus

import (
	"math"
	"time"
)

// Parameters of the share of late streams.
const (
	// Half-life of what is known of ended streams, which last for some seconds each.
	latenessHalfLife = 5 * time.Second
	// Streams from which the share is known: with fewer, one late stream would close the service.
	minStreams = 10
	// Share of late streams within the shares above which a service gives nothing beyond them. Where no
	// prefill makes streams late, fewer than one in a hundred pause for too long.
	maxLateShare = 0.02
)

// lateness counts the streams of a service within their accounts' shares that have ended.
type lateness struct {
	at          time.Time
	total, late float64 // decayed
}

// decay lets the counts decay until now.
func (l *lateness) decay(now time.Time) {
	f := math.Exp2(-float64(now.Sub(l.at)) / float64(latenessHalfLife))
	l.total, l.late, l.at = f*l.total, f*l.late, now
}

// RecordStream records the end of a stream within its account's share; late says whether the pause between
// two of its events was too long. Prefill of requests beyond the shares is one of the causes.
func (t *Table) RecordStream(now time.Time, service string, late bool) {
	l := t.lateness[service]
	if l == nil {
		l = &lateness{at: now}
		t.lateness[service] = l
	}
	l.decay(now)
	l.total++
	if late {
		l.late++
	}
}

// StreamsLate reports whether so many streams of a service within the shares are late that it gives
// nothing beyond them by order.
func (t *Table) StreamsLate(now time.Time, service string) bool {
	l := t.lateness[service]
	if l == nil {
		return false
	}
	l.decay(now)
	return l.total >= minStreams && l.late > maxLateShare*l.total
}
