package gateway

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
)

// This file is the dispatcher's part in avoiding pauses of running streams and servers without free
// memory. It does nothing unless Features.AvoidPauses is set.

// answer is what is expected of an attempt's answer.
type answer struct {
	heldTokens   int // cache memory that the attempt takes at its server
	outputTokens int // length that the caller guessed
	service      string
}

// setPauseLimits passes the longest pause of each service's streams to the balancer: the shortest
// one of its routes.
func (d *dispatcher) setPauseLimits(c *catalog.Configuration) {
	if !d.settings.Features.AvoidPauses || c == nil {
		return
	}
	limits := map[string]time.Duration{}
	for _, r := range c.Routes {
		for _, t := range r.Targets {
			if known := limits[t.Service]; r.MaxEventGap > 0 && (known == 0 || r.MaxEventGap < known) {
				limits[t.Service] = r.MaxEventGap
			}
		}
	}
	d.balancer.SetPauseLimits(limits)
}

// setExpectedOutput fills in the expected length of the answer.
func (d *dispatcher) setExpectedOutput(req *placement.Request) {
	if d.settings.Features.AvoidPauses {
		req.ExpectedOutput = d.lengths.Expect(req.Route, req.OutputTokens)
	}
}

// pauseThreshold is the expected share of late streams from which on a placement counts as one that
// makes streams late.
const pauseThreshold = 0.5

// recordAnswerExpected records a decision to send a request.
func (d *dispatcher) recordAnswerExpected(req *placement.Request, a placement.Assign) {
	if !d.settings.Features.AvoidPauses {
		return
	}
	if a.Load.HeldTokens > 0 {
		d.answers[a.ID] = answer{heldTokens: a.Load.HeldTokens, outputTokens: req.OutputTokens, service: req.Service}
	}
	if a.LateShare >= pauseThreshold {
		d.pausesPredicted.Add(1)
	}
	d.avoided.record(a.Avoided)
}

// avoidedCounts counts requests that were sent elsewhere because of pauses or memory.
type avoidedCounts struct {
	pauses atomic.Int64 // past a server, because of the pauses of its streams
	memory atomic.Int64 // past a server into whose memory they did not fit
	full   atomic.Int64 // to a server although they fitted into no server's memory
}

// record counts a request that is sent.
func (c *avoidedCounts) record(a placement.Avoided) {
	switch a.Reason {
	case placement.AvoidPauses:
		c.pauses.Add(1)
	case placement.AvoidMemory:
		c.memory.Add(1)
	}
	if a.FitsNowhere {
		c.full.Add(1)
	}
}

// avoidedFields are the log fields that tell how regard to pauses and memory changed a decision.
type avoidedFields placement.Avoided

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (f avoidedFields) MarshalZerologObject(e *zerolog.Event) {
	if f.Server != "" {
		e.Str("avoided", f.Server).Str("avoided_for", string(f.Reason))
	}
	if f.LateShare > 0 {
		e.Float64("avoided_late_share", f.LateShare)
	}
	if f.FullServers > 0 {
		e.Int("full_servers", f.FullServers).Bool("fits_nowhere", f.FitsNowhere)
	}
}

// recordAnswerEnd releases an attempt's memory and learns from the length of its answer.
func (d *dispatcher) recordAnswerEnd(m attemptEnded) {
	a, ok := d.answers[m.attemptID]
	if !ok {
		return
	}
	delete(d.answers, m.attemptID)
	d.balancer.ReleaseMemory(m.server, a.heldTokens)
	if m.end != placement.Served || m.events == 0 || d.view.Configuration == nil {
		return
	}
	if s, ok := d.view.Configuration.Service(a.service); ok && s.Engine != nil {
		d.lengths.Record(m.route, a.outputTokens, m.events*s.Engine.MaxEventTokens)
	}
}

// answeredEvents returns the number of events of an answer that was relayed from its beginning; 0:
// unknown.
func (c *call) answeredEvents() int {
	if c.meta.LastEventID != "" || c.meta.Resumes != "" || c.delivered > 1 {
		return 0
	}
	return c.eventCount
}
