package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/quarantine"
	"opalbridge.dev/gateway/suspect"
	"opalbridge.dev/gateway/upstream"
)

// This file is a call's part in the quarantine of requests under which servers crash.

// activeCalls holds the calls of this gateway that are at servers, so that a call can be
// cancelled when its request is quarantined meanwhile: it may still wait in the server's
// queue and do no harm yet. It is safe for concurrent use.
type activeCalls struct {
	mutex sync.Mutex
	calls map[*call]context.CancelCauseFunc
}

func newActiveCalls() *activeCalls { return &activeCalls{calls: map[*call]context.CancelCauseFunc{}} }

func (a *activeCalls) add(c *call, cancel context.CancelCauseFunc) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.calls[c] = cancel
}

func (a *activeCalls) remove(c *call) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.calls, c)
}

// cancelQuarantined cancels the calls whose request is quarantined, except those that are
// already being answered.
func (a *activeCalls) cancelQuarantined(quarantined func(r suspect.Subjects) bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for c, cancel := range a.calls {
		if !c.trial && !c.responseStarted.Load() && quarantined(c.computeSubjects()) {
			cancel(errQuarantined)
		}
	}
}

// errQuarantined is the error of a request that is kept from all servers. Its earlier
// attempts have run, so it does not say that the request has not run.
var errQuarantined = errors.New("gateway: servers have ended under this request; it reaches no more of them")

// noRetryCrashes is the number of crashes under a request from which on a call does not
// try a second server. Its caller decides whether to send it again, and the report of the
// latest crash may still be on its way.
const noRetryCrashes = quarantine.CrashThreshold - 1

// quarantineError returns the error of a request that is quarantined because of these keys.
func quarantineError(r suspect.Subjects, barring []quarantine.Key) error {
	for _, p := range r.Parts {
		if slices.Contains(barring, p.Key) {
			return errors.Wrapf(errQuarantined, "%s (%s)", p.Summary(), p.Key)
		}
	}
	return errQuarantined
}

// subjects returns what can be quarantined of the request, which is computed on first use.
func (c *call) subjects() suspect.Subjects {
	if c.cachedSubjects == nil {
		computed := c.computeSubjects()
		c.cachedSubjects = &computed
	}
	return *c.cachedSubjects
}

// computeSubjects computes what can be quarantined of the request. It reads only fields that do not
// change once the request is sent, so other goroutines may call it.
func (c *call) computeSubjects() suspect.Subjects {
	return suspect.Subjects{
		Request: c.computeRequestKey(),
		Account: c.account,
		Parts:   suspect.PromptParts(c.service, c.meta.Model, c.meta.Parts),
	}
}

// computeRequestKey computes the key of the whole request.
func (c *call) computeRequestKey() quarantine.Key {
	return quarantine.KeyOf(quarantine.Request{
		Account: c.account,
		Method:  c.request.Method,
		Host:    c.request.Host,
		Target:  requestTarget(c.request),
		Body:    c.body,
	})
}

// requestKey returns the key of the whole request, without computing those of its parts.
func (c *call) requestKey() quarantine.Key {
	if c.cachedSubjects != nil {
		return c.cachedSubjects.Request
	}
	return c.computeRequestKey()
}

// crashesSeen returns how many servers have crashed under the request or a part of its prompt, and
// what quarantines it; nil if it is not quarantined.
func (c *call) crashesSeen() (n int, barring []quarantine.Key) {
	if c.gateway.suspects.Count() == 0 {
		return 0, nil
	}
	return c.gateway.suspects.Examine(c.subjects())
}

// checkQuarantine returns an error if the request may not be sent to a server. With sending set, it
// uses up a trial of a quarantined request if one is due, which the store has to confirm.
func (c *call) checkQuarantine(ctx context.Context, sending bool) error {
	_, barring := c.crashesSeen()
	if len(barring) == 0 || c.trial {
		return nil
	}
	if !sending {
		if c.gateway.suspects.TrialDue(time.Now(), c.subjects()) {
			return nil
		}
		return quarantineError(c.subjects(), barring)
	}
	c.trial = c.gateway.suspects.ClaimTrial(ctx, c.subjects())
	if c.trial {
		return nil
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return quarantineError(c.subjects(), barring)
}

// reportAnswered records that the request was answered completely, by a response with this status.
func (c *call) reportAnswered(status int) {
	now := time.Now()
	c.gateway.suspects.RequestAnswered(now, c.requestKey())
	if status < http.StatusMultipleChoices { // a server may reject a request without working on its prompt
		c.gateway.suspects.PartsAnswered(now, c.service, c.meta.Model, c.meta.Parts)
	}
}

// reportLost records that the request was lost at a server.
func (c *call) reportLost(d placement.Assign, sent time.Time, kind lossKind) {
	heard := sent
	if c.lastEventAt.After(sent) {
		heard = c.lastEventAt
	}
	planned := !c.gateway.view.Load().acceptsWork(d.Server.ID)
	lost := suspect.Request{
		Key:        c.subjects().Request,
		ID:         c.meta.ID,
		Account:    c.account,
		Summary:    c.summary(),
		Parts:      c.subjects().Parts,
		Responding: heard != sent,
	}
	c.gateway.crashes.requestLost(time.Now(), d.Server, planned, heard, lostRequest{kind: kind, Request: lost})
}

// endedWithServer reports whether an unframed response has ended because its server did, and if so
// records the loss, which is no crash if the server was leaving. The end of its connection does not tell:
// the kernel closes the connections of a process that ends, too. A response that was complete just
// before is taken for one that may not be.
func (c *call) endedWithServer(ctx context.Context, d placement.Assign, sent time.Time, r *upstream.Response) bool {
	if !r.Unframed || !c.serverEnded(ctx, d.Server) {
		return false
	}
	c.reportLost(d, sent, lossConnectionBroke)
	c.gateway.crashes.connectionRefused(time.Now(), d.Server.ID)
	return true
}

// endingDelay is the time between two looks at a server that was to end: while a process ends, its
// connections may be closed before its listener.
const endingDelay = 20 * time.Millisecond

// serverEnded reports whether the lifetime of a server that closed a connection a moment ago has ended:
// nothing listens at its address, or another lifetime does. The report of a server, which tells the
// lifetime, is asked for only if its entry tells one.
func (c *call) serverEnded(ctx context.Context, s catalog.Server) bool {
	if refusesConnections(ctx, s) {
		return true
	}
	if !c.gateway.view.Load().acceptsWork(s.ID) {
		select {
		case <-ctx.Done():
			return true // it may have ended
		case <-time.After(endingDelay):
		}
		if refusesConnections(ctx, s) {
			return true
		}
	}
	otherLifetime := errors.Is(c.gateway.confirmLifetime(ctx, s), errOtherLifetime)
	return otherLifetime || ctx.Err() != nil // nobody knows, after the deadline
}

// summary describes the request for operators.
func (c *call) summary() string {
	text := c.account + " " + c.request.Method + " " + c.request.Host + requestTarget(c.request)
	return text[:min(len(text), suspect.MaxSummaryLength)]
}

// abandonAttempt records the loss of a request whose context has ended at a server, and
// returns the next step.
func (c *call) abandonAttempt(ctx context.Context, d placement.Assign, sent time.Time) step {
	kind := lossCallerClosed
	if errors.Is(context.Cause(ctx), errDeadline) {
		kind = lossTimeout
	}
	c.reportLost(d, sent, kind)
	return c.contextEnded(ctx)
}

// acceptsWork reports whether a server is known and takes new work.
func (v *View) acceptsWork(id string) bool {
	s, known := v.server(id)
	return known && !s.Leaving && !s.Evacuated
}

// server returns the server with the given ID.
func (v *View) server(id string) (catalog.Server, bool) {
	at, known := slices.BinarySearchFunc(v.Servers, id, func(s catalog.Server, id string) int { return strings.Compare(s.ID, id) })
	if !known {
		return catalog.Server{}, false
	}
	return v.Servers[at], true
}

// cancelQuarantinedCalls cancels calls whenever a request is quarantined, until ctx ends.
func (g *Gateway) cancelQuarantinedCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.suspects.NewlyQuarantined():
			g.activeCalls.cancelQuarantined(g.suspects.Bars)
		}
	}
}
