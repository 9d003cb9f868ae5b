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
	"opalbridge.dev/gateway/suspect"
)

// This file tells crashed servers from broken connections, and finds the requests that a
// crashed server had in flight. A server has crashed if a connection to it broke while it
// had a request, and then it refuses connections (it is probed at once), its entry
// disappears, or another lifetime of it starts. A server that was leaving, or whose entry
// had disappeared before, has stopped as planned, and no request is blamed.

const (
	// probeTimeout limits a probe. A connection that is neither accepted nor refused in
	// this time proves nothing.
	probeTimeout = 300 * time.Millisecond
	// probeInterval is the minimum time between two probes of a server.
	probeInterval = 200 * time.Millisecond
	// probeQueueSize limits the servers that wait for a probe. Crashes of others are
	// detected by their entries.
	probeQueueSize = 64
	// probeWorkers is the number of concurrent probes.
	probeWorkers = 4
	// lossRetention is how long losses are remembered. The entry of a crashed server
	// disappears after three to four seconds, and up to two seconds later if the store was
	// unreachable.
	lossRetention = 10 * time.Second
	// callerClosedWindow is how soon after its caller has closed the connection a request is still
	// blamed for a crash: the server may have gone on with it.
	callerClosedWindow = 500 * time.Millisecond
	// maxLostPerServer limits the lost requests remembered for a server.
	maxLostPerServer = 256
)

// crashDetector tracks servers that may have crashed. It is safe for concurrent use.
type crashDetector struct {
	log     zerolog.Logger
	onCrash func(now time.Time, server string, requests []suspect.Request)
	probes  chan catalog.Server

	mutex   sync.Mutex
	losses  map[string]*serverLosses // by lifetime
	removed map[string]time.Time     // lifetimes whose entry disappeared although they were not leaving
}

// serverLosses holds the requests lost at a server.
type serverLosses struct {
	since     time.Time
	lastProbe time.Time
	crashedAt time.Time // when the crash was detected; zero: it was not
	requests  []lostRequest
}

// lostRequest is a request that got no complete answer.
type lostRequest struct {
	suspect.Request
	kind lossKind
	at   time.Time
}

// lossKind is how a request was lost.
type lossKind int

const (
	lossConnectionBroke lossKind = iota // its connection broke
	lossTimeout                         // nothing was received until its deadline
	lossCallerClosed                    // its caller closed the connection
)

func newCrashDetector(log zerolog.Logger, onCrash func(now time.Time, server string, requests []suspect.Request)) *crashDetector {
	return &crashDetector{
		log: log, onCrash: onCrash, probes: make(chan catalog.Server, probeQueueSize),
		losses: map[string]*serverLosses{}, removed: map[string]time.Time{},
	}
}

// requestLost records that a request was lost at a server. heard is when it was sent or
// last received an event. planned says that the server was leaving or had no entry.
func (c *crashDetector) requestLost(now time.Time, s catalog.Server, planned bool, heard time.Time, l lostRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	l.at = now
	removedAt, wasRemoved := c.removed[s.ID]
	if wasRemoved && l.kind == lossTimeout && heard.Before(removedAt) {
		c.reportCrash(now, s.ID, "its entry has gone", []lostRequest{l})
		return
	}
	if planned {
		return
	}
	b := c.losses[s.ID]
	if b == nil {
		c.expire(now)
		b = &serverLosses{since: now}
		c.losses[s.ID] = b
	}
	if !b.crashedAt.IsZero() {
		if heard.Before(b.crashedAt) && l.kind != lossCallerClosed {
			c.reportCrash(now, s.ID, "", []lostRequest{l})
		}
		return
	}
	b.requests = append(b.requests, l)
	b.requests = b.requests[max(0, len(b.requests)-maxLostPerServer):]
	if l.kind == lossConnectionBroke && now.Sub(b.lastProbe) >= probeInterval {
		b.lastProbe = now
		select {
		case c.probes <- s:
		default: // its entry in the store shows a crash
		}
	}
}

// connectionRefused records that a server refuses connections.
func (c *crashDetector) connectionRefused(now time.Time, server string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.declareCrashed(now, server, "it refuses connections")
}

// declareCrashed marks a server as crashed if a request was lost there other than by its
// caller.
func (c *crashDetector) declareCrashed(now time.Time, server, cause string) {
	b := c.losses[server]
	notByCaller := func(l lostRequest) bool { return l.kind != lossCallerClosed }
	if b == nil || !b.crashedAt.IsZero() || !slices.ContainsFunc(b.requests, notByCaller) {
		return
	}
	b.crashedAt = now
	requests := slices.DeleteFunc(b.requests, func(l lostRequest) bool { return l.kind == lossCallerClosed && now.Sub(l.at) > callerClosedWindow })
	b.requests = nil
	c.reportCrash(now, server, cause, requests)
}

// reportCrash logs a crash, unless cause is empty, and passes on the requests that may have
// caused it.
func (c *crashDetector) reportCrash(now time.Time, server, cause string, requests []lostRequest) {
	if cause != "" {
		c.log.Warn().Str("event", "server.ended").Str("server", server).Str("by", cause).Int("requests", len(requests)).Msg("server crashed: any of its requests may be the cause")
	}
	list := make([]suspect.Request, len(requests))
	for i, l := range requests {
		list[i] = l.Request
		if l.kind == lossConnectionBroke {
			list[i].LostAt = l.at
		}
		c.log.Warn().Str("event", "request.lost").Str("request", l.ID).Str("server", server).Str("key", l.Key.String()).
			Str("asks", l.Summary).Str("parts", l.PartIDs()).Bool("responding", l.Responding).
			Msg("request was at a server that crashed")
	}
	c.onCrash(now, server, list)
}

// viewChanged handles a change of the server list.
func (c *crashDetector) viewChanged(now time.Time, before, after []catalog.Server) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, s := range removedServers(before, after) {
		if s.Leaving || s.Evacuated {
			delete(c.losses, s.ID)
			continue
		}
		c.removed[s.ID] = now
		c.declareCrashed(now, s.ID, "its entry has gone")
	}
	c.expire(now)
}

// removedServers returns the servers that are only in the first list. Both lists are sorted
// by ID.
func removedServers(before, after []catalog.Server) []catalog.Server {
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

// expire removes old records.
func (c *crashDetector) expire(now time.Time) {
	for id, b := range c.losses {
		if now.Sub(b.since) > lossRetention {
			delete(c.losses, id)
		}
	}
	for id, at := range c.removed {
		if now.Sub(at) > lossRetention {
			delete(c.removed, id)
		}
	}
}

// refusesConnections reports whether a server refuses connections.
func refusesConnections(ctx context.Context, s catalog.Server) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	connection, err := dialer.DialContext(ctx, "tcp4", s.Address)
	if err == nil {
		connection.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// runProbes probes whether servers accept connections, until ctx ends.
func (c *crashDetector) runProbes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-c.probes:
			if refusesConnections(ctx, s) {
				c.connectionRefused(time.Now(), s.ID)
			}
		}
	}
}
