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

// This file is what a call does about servers that end under its request.

// activeCalls holds the calls of this gateway that are at servers, so that those are taken back
// whose request is barred meanwhile: what waits in a server's queue has not ended it yet. It is
// safe for use by several goroutines.
type activeCalls struct {
	mutex sync.Mutex
	calls map[*call]context.CancelCauseFunc
}

func newActiveCalls() *activeCalls { return &activeCalls{calls: map[*call]context.CancelCauseFunc{}} }

func (u *activeCalls) add(c *call, cancel context.CancelCauseFunc) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.calls[c] = cancel
}

func (u *activeCalls) remove(c *call) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.calls, c)
}

// takeBack ends the calls whose request is barred, but for those that are being answered.
func (u *activeCalls) takeBack(barred func(key quarantine.Key) bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for c, cancel := range u.calls {
		if !c.probe && !c.responseStarted.Load() && barred(c.makeKey()) {
			cancel(errQuarantined)
		}
	}
}

// errQuarantined is why a request reaches no server. Earlier tries of it have run, so it is no
// promise.
var errQuarantined = errors.New("gateway: servers have ended under this request; it reaches no more of them")

// Under so many ends a request is not sent to a second server in the same try: its caller
// decides whether it comes again, and the news of the latest end may still be on their way.
const maxCrashesToRetry = quarantine.CrashThreshold - 1

// Of what a request asks, the log tells so much.
const longestAsks = 200

// key names what the request asks. It is made when it is first needed.
func (c *call) key() quarantine.Key {
	if !c.hasFingerprint {
		c.fingerprint, c.hasFingerprint = c.makeKey(), true
	}
	return c.fingerprint
}

// makeKey reads only what does not change after the request was read.
func (c *call) makeKey() quarantine.Key {
	return quarantine.KeyOf(quarantine.Request{
		Account: c.account, Method: c.request.Method, Host: c.request.Host, Target: requestTarget(c.request), Body: c.body,
	})
}

// crashesSeen returns how many servers have ended under the request, and whether it is barred.
func (c *call) crashesSeen() (n int, barred bool) {
	if c.gateway.suspects.suspectCount.Load() == 0 {
		return 0, false
	}
	return c.gateway.suspects.crashCount(c.key())
}

// quarantined tells whether the request may reach no server. Just before it is sent, a try that it
// is due is used.
func (c *call) quarantined(sending bool) bool {
	_, barred := c.crashesSeen()
	if !barred || c.probe {
		return false
	}
	if !sending {
		return !c.gateway.suspects.trialDue(time.Now(), c.key())
	}
	c.probe = c.gateway.suspects.claimTrial(c.request.Context(), c.key())
	return !c.probe
}

// reportAnswered tells that the request was reportAnswered whole.
func (c *call) reportAnswered() {
	c.gateway.suspects.requestAnswered(time.Now(), c.key())
}

// reportLost tells that the request was reportLost at a server.
func (c *call) reportLost(d placement.Assign, sent time.Time, how lossKind) {
	heard := sent
	if c.lastEventAt.After(sent) {
		heard = c.lastEventAt
	}
	planned := !c.gateway.view.Load().acceptsWork(d.Server.ID)
	c.gateway.crashes.requestLost(time.Now(), d.Server, planned, heard, lost{how: how, suspect: suspect{key: c.key(), summary: c.asks(), responding: heard != sent}})
}

// asks is what the request asks, for operators.
func (c *call) asks() string {
	text := c.account + " " + c.request.Method + " " + c.request.Host + requestTarget(c.request)
	return text[:min(len(text), longestAsks)]
}

// abandonAttempt is the step after the request's context has ended at a server.
func (c *call) abandonAttempt(ctx context.Context, d placement.Assign, sent time.Time) step {
	how := lostByCaller
	if errors.Is(context.Cause(ctx), errDeadline) {
		how = lostBySilence
	}
	c.reportLost(d, sent, how)
	return c.contextEnded(ctx)
}

// acceptsWork tells whether a server is there and takes new work.
func (v *View) acceptsWork(id string) bool {
	s, known := v.server(id)
	return known && !s.Leaving && !s.Evacuated
}

// server returns the server of that ID.
func (v *View) server(id string) (catalog.Server, bool) {
	at, known := slices.BinarySearchFunc(v.Servers, id, func(s catalog.Server, id string) int { return strings.Compare(s.ID, id) })
	if !known {
		return catalog.Server{}, false
	}
	return v.Servers[at], true
}

// cancelQuarantinedCalls takes calls back whenever a request has been barred, until ctx ends.
func (g *Gateway) cancelQuarantinedCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.suspects.newlyBarred:
			g.activeCalls.takeBack(g.suspects.isBarred)
		}
	}
}
