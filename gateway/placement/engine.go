package placement

import (
	"slices"
	"time"
)

// This file estimates the speed of a service's engines, which is not configured. The policy's
// figures are only the initial values.

const (
	// With fewer servers a slow service cannot be told from a slow server, so that only the
	// slowdown of each server is used. One outlier among three does not move the median.
	minServers = 3
	// The median is recomputed at most this often. A server gives some 20 observations per
	// second.
	medianInterval = 50 * time.Millisecond
	// A first event that comes later than predicted raises an estimate by half of this fraction,
	// an earlier one lowers it, so that the estimate approaches the median. The step shrinks as
	// samples are added.
	initialStep     = 0.2
	minStep         = 0.03
	halfStepSamples = 10 // samples after which the step is half of the initial one
	// With so many samples an estimate is sent to other gateways, and theirs no longer replace
	// it.
	minLearnedSamples = 60
	// Requests whose prefill takes less than this fraction of the first event delay update that
	// delay; all others update the prefill slowdown.
	shortPrefillFraction = 0.5
	// Bounds of the estimates, from which they can recover.
	minSlowdown        = 0.02
	maxSlowdown        = 50.0
	minFirstEventDelay = 2 * time.Millisecond
	maxFirstEventDelay = time.Second
)

// speed is the estimated speed of a service's engines.
type speed struct {
	prefillSlowdown estimate  // prefill time over the time that the policy gives
	firstEventDelay estimate  // seconds from the end of prefill to the first event
	medianSlowdown  float64   // median of the servers' observed slowdowns
	medianAt        time.Time // when medianSlowdown was computed
	heldMean        float64   // mean cache memory of a request, in tokens
}

// estimate tracks a median: it moves until as many samples lie above it as below.
type estimate struct {
	value   float64
	samples int
}

// update moves the estimate up if a sample was above it, else down, within the bounds.
func (e *estimate) update(above bool, lo, hi float64) {
	step := max(initialStep*halfStepSamples/float64(halfStepSamples+e.samples), minStep) / 2
	e.samples++
	if above {
		e.value *= 1 + step
	} else {
		e.value /= 1 + step
	}
	e.value = min(max(e.value, lo), hi)
}

// firstEventTime returns the time from the end of prefill to the first event.
func (v *speed) firstEventTime() time.Duration { return seconds(v.firstEventDelay.value) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// speedOf returns the estimate for a service's engines, creating it if needed.
func (b *Balancer) speedOf(service string) *speed {
	v := b.speeds[service]
	if v == nil {
		v = &speed{prefillSlowdown: estimate{value: 1}, firstEventDelay: estimate{value: b.policy.FirstEventDelay.Seconds()}, medianSlowdown: 1}
		b.speeds[service] = v
	}
	return v
}

// updateMedian recomputes the median of the servers' observed slowdowns. A server without
// recent observations counts as being at the median, so that a few slow servers do not move
// it.
func (b *Balancer) updateMedian(now time.Time, service string) {
	group := b.services[service]
	v := b.speedOf(service)
	if len(group) < minServers || now.Sub(v.medianAt) < medianInterval {
		return
	}
	v.medianAt = now
	slowdowns := make([]float64, len(group))
	for i, s := range group {
		slowdowns[i] = s.observedSlowdown(now)
	}
	slices.Sort(slowdowns)
	v.medianSlowdown = min(max(slowdowns[len(slowdowns)/2], minSlowdown), maxSlowdown)
}

// RecordLatency records the time that a request of this gateway took to its first event,
// with the queue time and prefill time predicted when it was sent.
func (b *Balancer) RecordLatency(server string, took, queueTime, prefillTime time.Duration) {
	s := b.servers[server]
	if s == nil || s.engine == nil {
		return
	}
	v := s.speed
	predicted := queueTime + prefillTime
	late := took > predicted+v.firstEventTime()
	if predicted < scale(v.firstEventTime(), shortPrefillFraction) {
		v.firstEventDelay.update(late, minFirstEventDelay.Seconds(), maxFirstEventDelay.Seconds())
		return
	}
	if len(b.services[s.Service]) >= minServers {
		v.prefillSlowdown.update(late, minSlowdown, maxSlowdown)
	}
}

// ServiceOf returns the service of a server, or "" if the server is unknown.
func (b *Balancer) ServiceOf(server string) string {
	if s := b.servers[server]; s != nil {
		return s.Server.Service
	}
	return ""
}

// ServerCount returns the number of servers of a service.
func (b *Balancer) ServerCount(service string) int { return len(b.services[service]) }

// Speed is the estimated speed of a service's engines.
type Speed struct {
	PrefillSlowdown float64       // prefill time over the time that [Policy] gives
	FirstEventDelay time.Duration // from the end of prefill to the first event
	Learned         bool          // based on enough samples, here or at another gateway
}

// SetSpeed takes over another gateway's estimate for a service's engines, unless this gateway
// has enough samples of its own.
func (b *Balancer) SetSpeed(service string, s Speed) {
	v := b.speedOf(service)
	if v.prefillSlowdown.samples >= minLearnedSamples {
		return
	}
	v.prefillSlowdown = estimate{value: min(max(s.PrefillSlowdown, minSlowdown), maxSlowdown), samples: minLearnedSamples}
	v.firstEventDelay = estimate{value: min(max(s.FirstEventDelay, minFirstEventDelay), maxFirstEventDelay).Seconds(), samples: minLearnedSamples}
}

// Speed returns the estimate for a service's engines.
func (b *Balancer) Speed(service string) Speed {
	v := b.speedOf(service)
	return Speed{PrefillSlowdown: v.prefillSlowdown.value, FirstEventDelay: v.firstEventTime(), Learned: v.prefillSlowdown.samples >= minLearnedSamples}
}
