package placement

import (
	"slices"
	"time"
)

// This file holds what is learned of a service's engines, whose speed nobody announces.
// The policy's figures are only where it starts.

const (
	// Fewer servers can't tell a slow service from a slow server: then each server's own
	// pace serves. One odd server among three doesn't move their median.
	leastServers = 3
	// The median is taken anew this often. A server tells its pace some 20 times a second.
	speedEvery = 50 * time.Millisecond
	// A first event that comes later than predicted moves the belief up by half of this
	// share of it, an earlier one down, so that half of them are late. The share falls with
	// the requests seen.
	firstMove = 0.2
	leastMove = 0.03
	halfMove  = 10 // requests after which a move is half of the first one
	// After so many first events a belief is told to others, and those of others are not
	// taken over any more.
	learnedAfter = 60
	// Requests that are read in a shorter time than this share of the first step tell of
	// the first step, the others of the reading.
	shortReading = 0.5
	// Bounds of what is believed, so that it can come back.
	leastPace      = 0.02
	mostPace       = 50.0
	leastFirstStep = 2 * time.Millisecond
	mostFirstStep  = time.Second
)

// speed is how fast a service's engines are believed to be.
type speed struct {
	reading   estimate  // how much longer reading takes than the policy says
	firstStep estimate  // seconds from the end of reading to the first event
	usual     float64   // the median of what the servers' paces are by their progress
	settled   time.Time // when usual was computed
}

// estimate is a figure that moves until as many observations lie above it as below.
type estimate struct {
	value float64
	seen  int // observations
}

// learn moves the estimate towards an observation above or below it.
func (e *estimate) learn(above bool, least, most float64) {
	move := max(firstMove*halfMove/float64(halfMove+e.seen), leastMove) / 2
	e.seen++
	if above {
		e.value *= 1 + move
	} else {
		e.value /= 1 + move
	}
	e.value = min(max(e.value, least), most)
}

// first returns the time from the end of reading to the first event.
func (v *speed) first() time.Duration { return seconds(v.firstStep.value) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// speedOf returns what is known of a service's engines.
func (b *Balancer) speedOf(service string) *speed {
	v := b.speeds[service]
	if v == nil {
		v = &speed{reading: estimate{value: 1}, firstStep: estimate{value: b.policy.FirstStep.Seconds()}, usual: 1}
		b.speeds[service] = v
	}
	return v
}

// learnUsual takes the median of what the servers' paces are now. A server of which
// nothing was seen lately counts as usual, so a few slow ones stay apart.
func (b *Balancer) learnUsual(now time.Time, service string) {
	group := b.services[service]
	v := b.speedOf(service)
	if len(group) < leastServers || now.Sub(v.settled) < speedEvery {
		return
	}
	v.settled = now
	paces := make([]float64, len(group))
	for i, s := range group {
		paces[i] = s.progressPace(now)
	}
	slices.Sort(paces)
	v.usual = min(max(paces[len(paces)/2], leastPace), mostPace)
}

// RecordLatency tells how long an own request took to its first event, and what was predicted
// when it was sent: for waiting and for its own reading.
func (b *Balancer) RecordLatency(server string, took, waiting, reading time.Duration) {
	s := b.servers[server]
	if s == nil || s.engine == nil {
		return
	}
	v := s.speed
	predicted := waiting + reading
	late := took > predicted+v.first()
	if predicted < scale(v.first(), shortReading) {
		v.firstStep.learn(late, leastFirstStep.Seconds(), mostFirstStep.Seconds())
		return
	}
	if len(b.services[s.Service]) >= leastServers {
		v.reading.learn(late, leastPace, mostPace)
	}
}

// ServiceOf returns the service of a server; empty: it is not known.
func (b *Balancer) ServiceOf(server string) string {
	if s := b.servers[server]; s != nil {
		return s.Server.Service
	}
	return ""
}

// ServerCount returns how many servers a service has.
func (b *Balancer) ServerCount(service string) int { return len(b.services[service]) }

// Speed is what is believed of a service's engines.
type Speed struct {
	PrefillSlowdown float64       // how much longer reading takes than [Policy] says
	FirstEventDelay time.Duration // from the end of reading to the first event
	Learned         bool          // from many first events, or from another gateway that saw them
}

// SetSpeed takes over what another gateway has learned of a service's engines, unless this
// one has learned it itself.
func (b *Balancer) SetSpeed(service string, s Speed) {
	v := b.speedOf(service)
	if v.reading.seen >= learnedAfter {
		return
	}
	v.reading = estimate{value: min(max(s.PrefillSlowdown, leastPace), mostPace), seen: learnedAfter}
	v.firstStep = estimate{value: min(max(s.FirstEventDelay, leastFirstStep), mostFirstStep).Seconds(), seen: learnedAfter}
}

// Speed returns what is believed of a service's engines.
func (b *Balancer) Speed(service string) Speed {
	v := b.speedOf(service)
	return Speed{PrefillSlowdown: v.reading.value, FirstEventDelay: v.first(), Learned: v.reading.seen >= learnedAfter}
}
