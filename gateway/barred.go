package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/quarantine"
)

// This file is what a call does about servers that end under its request.

// errBarred is why a request reaches no server. Earlier tries of it have run, so it is no
// promise.
var errBarred = errors.New("gateway: servers have ended under this request; it reaches no more of them")

// Under so many ends a request is not sent to a second server in the same try: its caller
// decides whether it comes again, and the news of the latest end may still be on their way.
const cautious = quarantine.MostEnds - 1

// Of what a request asks, the log tells so much.
const longestAsks = 200

// key names what the request asks. It is made when it is first needed: on most days no server
// ends, and then a request costs none.
func (c *call) key() quarantine.Key {
	if !c.keyed {
		c.identity = quarantine.KeyOf(quarantine.Request{
			Account: c.account, Method: c.request.Method, Host: c.request.Host, Target: target(c.request), Body: c.body,
		})
		c.keyed = true
	}
	return c.identity
}

// endsSeen returns how many servers have ended under the request, and whether it is barred.
func (c *call) endsSeen() (n int, barred bool) {
	if c.gateway.suspects.known.Load() == 0 {
		return 0, false
	}
	return c.gateway.suspects.ends(c.key())
}

func (c *call) barred() bool {
	_, barred := c.endsSeen()
	return barred
}

// answered tells that the request was answered whole.
func (c *call) answered() {
	if c.gateway.suspects.known.Load() > 0 {
		c.gateway.suspects.answered(c.key())
	}
}

// lost tells that the request was lost at a server.
func (c *call) lost(d placement.Assign, sent time.Time, how lossKind) {
	heard := sent
	if c.latest.After(sent) {
		heard = c.latest
	}
	planned := !c.gateway.view.Load().takesWork(d.Server.ID)
	c.gateway.ends.lose(time.Now(), d.Server, planned, heard, lost{how: how, suspect: suspect{key: c.key(), asks: c.asks(), begun: heard != sent}})
}

// asks is what the request asks, for operators.
func (c *call) asks() string {
	text := c.account + " " + c.request.Method + " " + c.request.Host + target(c.request)
	return text[:min(len(text), longestAsks)]
}

// abandon is the step after the request's context has ended at a server.
func (c *call) abandon(ctx context.Context, d placement.Assign, sent time.Time) step {
	how := lostByCaller
	if errors.Is(context.Cause(ctx), errDeadline) {
		how = lostBySilence
	}
	c.lost(d, sent, how)
	return c.ended(ctx)
}

// takesWork tells whether a server is there and takes new work.
func (v *View) takesWork(id string) bool {
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
