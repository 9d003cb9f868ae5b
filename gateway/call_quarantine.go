package gateway

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/quarantine"
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
func (a *activeCalls) cancelQuarantined(quarantined func(key quarantine.Key) bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for c, cancel := range a.calls {
		if !c.trial && !c.responseStarted.Load() && quarantined(c.computeQuarantineKey()) {
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

// maxSummaryLength limits the part of a request that is logged.
const maxSummaryLength = 200

// quarantineKey returns the request's quarantine quarantineKey, which is computed on first use.
func (c *call) quarantineKey() quarantine.Key {
	if !c.hasCachedKey {
		c.cachedKey, c.hasCachedKey = c.computeQuarantineKey(), true
	}
	return c.cachedKey
}

// computeQuarantineKey computes the request's quarantine key. It reads only fields that do not change
// once the request was read, so other goroutines may call it.
func (c *call) computeQuarantineKey() quarantine.Key {
	return quarantine.KeyOf(quarantine.Request{
		Account: c.account, Method: c.request.Method, Host: c.request.Host, Target: requestTarget(c.request), Body: c.body,
	})
}

// crashesSeen returns how many servers have crashed under the request, and whether it is
// quarantined.
func (c *call) crashesSeen() (n int, quarantined bool) {
	if c.gateway.suspects.suspectCount.Load() == 0 {
		return 0, false
	}
	return c.gateway.suspects.crashCount(c.quarantineKey())
}

// quarantined reports whether the request may not be sent to a server. With sending set, it
// uses up a trial of a quarantined request if one is due.
func (c *call) quarantined(sending bool) bool {
	_, quarantined := c.crashesSeen()
	if !quarantined || c.trial {
		return false
	}
	if !sending {
		return !c.gateway.suspects.trialDue(time.Now(), c.quarantineKey())
	}
	c.trial = c.gateway.suspects.claimTrial(c.request.Context(), c.quarantineKey())
	return !c.trial
}

// reportAnswered records that the request was answered completely.
func (c *call) reportAnswered() {
	c.gateway.suspects.requestAnswered(time.Now(), c.quarantineKey())
}

// reportLost records that the request was lost at a server.
func (c *call) reportLost(d placement.Assign, sent time.Time, kind lossKind) {
	heard := sent
	if c.lastEventAt.After(sent) {
		heard = c.lastEventAt
	}
	planned := !c.gateway.view.Load().acceptsWork(d.Server.ID)
	lost := suspect{
		key:        c.quarantineKey(),
		id:         c.meta.ID,
		summary:    c.summary(),
		parts:      c.meta.Parts,
		responding: heard != sent,
	}
	c.gateway.crashes.requestLost(time.Now(), d.Server, planned, heard, lostRequest{kind: kind, suspect: lost})
}

// summary describes the request for operators.
func (c *call) summary() string {
	text := c.account + " " + c.request.Method + " " + c.request.Host + requestTarget(c.request)
	return text[:min(len(text), maxSummaryLength)]
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
		case <-g.suspects.newlyQuarantined:
			g.activeCalls.cancelQuarantined(g.suspects.isQuarantined)
		}
	}
}
