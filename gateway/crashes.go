package gateway

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"opalbridge.dev/gateway/catalog"
)

// This file finds out which servers have ended, as against connections that have broken, and
// which requests were there then. A server has ended if a connection to it broke while a
// request was there, and then either it takes no connections any more, which is asked at
// once, or its entry goes, or another lifetime of it begins. One that was leaving, or whose
// entry had gone before, has ended as was planned: that blames nobody.

const (
	// A connection that is neither taken nor refused in this time says nothing.
	probeTimeout = 300 * time.Millisecond
	// A server is not asked again within this time.
	probeAgain = 200 * time.Millisecond
	// Servers that wait to be asked; of more, their entries tell.
	probeQueue = 64
	// Servers that are asked at once.
	probeWorkers = 4
	// What broke is remembered for this long: the entry of a server that has ended goes after
	// three to four seconds, and later by two if the store was away.
	brokenFor = 10 * time.Second
	// A request whose caller had left it is blamed if its server ends this soon after: the
	// server may have gone on with it.
	leftFor = 500 * time.Millisecond
	// Requests remembered of one server.
	mostThere = 256
)

// crashDetector is what this gateway has seen of servers that may have ended. It is safe for use by
// several goroutines.
type crashDetector struct {
	log     zerolog.Logger
	verdict func(now time.Time, server string, there []suspect)
	probes  chan catalog.Server

	mutex  sync.Mutex
	broken map[string]*breakage // by lifetime
	gone   map[string]time.Time // lifetimes whose entry has gone although they were not leaving
}

// breakage is what has broken at a server.
type breakage struct {
	since  time.Time
	probed time.Time
	ended  time.Time // when it was known to have ended; zero: it is not
	there  []lost
}

// lost is a request without an answer.
type lost struct {
	suspect
	how lossKind
	at  time.Time
}

// lossKind tells how a request was lost at a server.
type lossKind int

const (
	lossConnectionBroke lossKind = iota // its connection broke
	lostBySilence                       // nothing was heard until its time was over
	lostByCaller                        // its caller left
)

func newCrashDetector(log zerolog.Logger, verdict func(now time.Time, server string, there []suspect)) *crashDetector {
	return &crashDetector{
		log: log, verdict: verdict, probes: make(chan catalog.Server, probeQueue),
		broken: map[string]*breakage{}, gone: map[string]time.Time{},
	}
}

// requestLost takes over that a request was lost at a server. It was sent, or last heard of, at a
// time; planned tells that the server takes no new work, or has no entry.
func (c *crashDetector) requestLost(now time.Time, s catalog.Server, planned bool, heard time.Time, l lost) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	l.at = now
	gone, hasGone := c.gone[s.ID]
	if hasGone && l.how == lostBySilence && heard.Before(gone) {
		c.ended(now, s.ID, "its entry has gone", []lost{l})
		return
	}
	if planned {
		return
	}
	b := c.broken[s.ID]
	if b == nil {
		c.sweep(now)
		b = &breakage{since: now}
		c.broken[s.ID] = b
	}
	if !b.ended.IsZero() {
		if heard.Before(b.ended) && l.how != lostByCaller {
			c.ended(now, s.ID, "", []lost{l})
		}
		return
	}
	b.there = append(b.there, l)
	b.there = b.there[max(0, len(b.there)-mostThere):]
	if l.how == lossConnectionBroke && now.Sub(b.probed) >= probeAgain {
		b.probed = now
		select {
		case c.probes <- s:
		default: // its entry tells
		}
	}
}

// connectionRefused takes over that a server takes no connections.
func (c *crashDetector) connectionRefused(now time.Time, server string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.decide(now, server, "it refuses connections")
}

// decide takes a server for ended if something broke there.
func (c *crashDetector) decide(now time.Time, server, why string) {
	b := c.broken[server]
	broke := func(l lost) bool { return l.how != lostByCaller }
	if b == nil || !b.ended.IsZero() || !slices.ContainsFunc(b.there, broke) {
		return
	}
	b.ended = now
	there := slices.DeleteFunc(b.there, func(l lost) bool { return l.how == lostByCaller && now.Sub(l.at) > leftFor })
	b.there = nil
	c.ended(now, server, why, there)
}

func (c *crashDetector) ended(now time.Time, server, why string, there []lost) {
	if why != "" {
		c.log.Warn().Str("event", "server.ended").Str("server", server).Str("by", why).Int("requests", len(there)).Msg("unplanned; each of its requests may be the cause")
	}
	list := make([]suspect, len(there))
	for i, l := range there {
		list[i] = l.suspect
	}
	c.verdict(now, server, list)
}

// viewChanged takes over which servers there are.
func (c *crashDetector) viewChanged(now time.Time, before, after []catalog.Server) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, s := range missing(before, after) {
		if s.Leaving || s.Evacuated {
			delete(c.broken, s.ID)
			continue
		}
		c.gone[s.ID] = now
		c.decide(now, s.ID, "its entry has gone")
	}
	c.sweep(now)
}

// missing returns the servers that are in the first of two lists only. Both are in the order
// of their IDs.
func missing(before, after []catalog.Server) []catalog.Server {
	var list []catalog.Server
	for _, s := range before {
		for len(after) > 0 && after[0].ID < s.ID {
			after = after[1:]
		}
		if len(after) == 0 || after[0].ID != s.ID {
			list = append(list, s)
		}
	}
	return list
}

// sweep forgets what is over.
func (c *crashDetector) sweep(now time.Time) {
	for id, b := range c.broken {
		if now.Sub(b.since) > brokenFor {
			delete(c.broken, id)
		}
	}
	for id, at := range c.gone {
		if now.Sub(at) > brokenFor {
			delete(c.gone, id)
		}
	}
}

// runProbes asks servers whether they take connections, until ctx ends.
func (c *crashDetector) runProbes(ctx context.Context) {
	dialer := net.Dialer{Timeout: probeTimeout}
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-c.probes:
			connection, err := dialer.DialContext(ctx, "tcp4", s.Address)
			if err == nil {
				connection.Close()
				continue
			}
			if errors.Is(err, syscall.ECONNREFUSED) {
				c.connectionRefused(time.Now(), s.ID)
			}
		}
	}
}
