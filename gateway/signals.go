package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/upstream"
)

// This file handles what servers announce about themselves in answers: that they are
// leaving, and that they want clients to back off (a 503 with a time to come back). A
// server's entry in the store also says that it is leaving, but not while the store accepts
// no writes (platform: TestServerAnnouncesLeaving).
//
// Both are checked twice. The dispatcher places no more requests at such a server, and a
// request that was placed there before is checked again just before it is sent on its
// connection. A leaving server is announced to the other gateways, including one that
// starts later. A backoff applies to this gateway only: the server may be able to serve the
// others at the same moment.

const (
	// leavingRetention is how long a leaving server is remembered after its entry has gone.
	// An entry that lapses while the store is unreachable may come back, and a server may serve
	// for some seconds or more after it has announced that it is leaving. A server that
	// starts again is another lifetime and is available at once.
	leavingRetention = time.Minute
	// maxLeaving limits the remembered leaving servers. A fleet of 10,000 that is replaced
	// at once fits.
	maxLeaving = 1 << 14
	// unannouncedPeriod is how long a server that has started again may serve before a gateway
	// hears of it. What it asks for meanwhile seems to come from the lifetime before.
	unannouncedPeriod = 3 * time.Second
	// maxInheritedBackoff bounds the backoff that a lifetime takes over: the one before may have
	// asked for it after all.
	maxInheritedBackoff = 2 * time.Second
)

// Reasons not to send a request that was already placed.
var (
	errServerLeaving = errors.New("gateway: server is leaving")
	errServerBackoff = errors.New("gateway: server has asked for backoff")
)

// serverSignals holds what servers have announced about themselves. It is safe for
// concurrent use.
type serverSignals struct {
	mutex    sync.Mutex
	leaving  map[string]time.Time     // when the entry was last seen, by lifetime
	backoffs map[string]serverBackoff // by lifetime
}

// serverBackoff is a backoff that a server has asked for.
type serverBackoff struct {
	askedAt time.Time // of the latest request for backoff
	until   time.Time
}

func newServerSignals() *serverSignals {
	return &serverSignals{leaving: map[string]time.Time{}, backoffs: map[string]serverBackoff{}}
}

// addLeaving records that a server is leaving. It reports whether that was not known
// before.
func (s *serverSignals) addLeaving(now time.Time, server string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, known := s.leaving[server]; known || len(s.leaving) >= maxLeaving {
		return false
	}
	s.leaving[server] = now
	return true
}

// addBackoff records that a server has asked for backoff. Of several backoffs the latest
// end applies.
func (s *serverSignals) addBackoff(now time.Time, server string, until time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.backoffs[server] = serverBackoff{askedAt: now, until: latest(s.backoffs[server].until, until)}
}

// inheritBackoff returns until when a lifetime backs off because of what the one before it seems
// to have asked for, and records that; ok is false if it does not.
func (s *serverSignals) inheritBackoff(now time.Time, previous, current string) (until time.Time, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := s.backoffs[previous]
	if !now.Before(b.until) || now.Sub(b.askedAt) > unannouncedPeriod {
		return time.Time{}, false
	}
	if limit := now.Add(maxInheritedBackoff); b.until.After(limit) {
		b.until = limit
	}
	s.backoffs[current] = b
	return b.until, true
}

// checkAvailable returns an error if the server may not get a request now.
func (s *serverSignals) checkAvailable(now time.Time, server string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, leaving := s.leaving[server]; leaving {
		return errServerLeaving
	}
	if now.Before(s.backoffs[server].until) {
		return errServerBackoff
	}
	return nil
}

// count returns the numbers of leaving servers and of servers with a backoff.
func (s *serverSignals) count(now time.Time) (leaving, backingOff int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, b := range s.backoffs {
		if now.Before(b.until) {
			backingOff++
		}
	}
	return len(s.leaving), backingOff
}

// applyTo marks the leaving servers in a list and removes expired records. It returns the
// IDs of all leaving servers.
func (s *serverSignals) applyTo(now time.Time, servers []catalog.Server) (leaving []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, b := range s.backoffs {
		if !now.Before(b.until) {
			delete(s.backoffs, id)
		}
	}
	if len(s.leaving) == 0 {
		return nil
	}
	for i := range servers {
		if _, announced := s.leaving[servers[i].ID]; announced {
			s.leaving[servers[i].ID] = now
			servers[i].Leaving = true
		}
	}
	for id, seen := range s.leaving {
		if now.Sub(seen) > leavingRetention {
			delete(s.leaving, id)
			continue
		}
		leaving = append(leaving, id)
	}
	return leaving
}

// handleSignal handles what an answer says about its server. It may be called by any
// goroutine.
func (g *Gateway) handleSignal(server catalog.Server, s upstream.Signal) {
	now := time.Now()
	if s.Leaving && g.signals.addLeaving(now, server.ID) {
		g.log.Info().Str("event", "server.says_leaving").Str("server", server.ID).Int("status", s.Status).Msg("server announced that it is leaving: no new requests")
		g.peers.PublishLeaving(server.ID)
		g.serverLeaving(server.ID)
	}
	if s.Backoff > 0 && s.Status == http.StatusServiceUnavailable {
		until := now.Add(min(s.Backoff, placement.MaxBackoff))
		g.log.Info().Str("event", "server.asks_rest").Str("server", server.ID).Int("status", s.Status).Dur("rest", s.Backoff).Msg("server asked for backoff: no requests until it ends")
		g.signals.addBackoff(now, server.ID, until)
		g.dispatcher.send(backoffRequested{server: server.ID, until: until})
	}
}

// inheritBackoff keeps requests from a server that has started again for as long as it has asked
// for backoff before this gateway heard of the start.
func (g *Gateway) inheritBackoff(now time.Time, previous, current string) {
	until, ok := g.signals.inheritBackoff(now, previous, current)
	if !ok {
		return
	}
	g.log.Info().Str("event", "server.asks_rest").Str("server", current).Str("before", previous).Dur("rest", until.Sub(now)).Msg("server asked for backoff before its start was known")
	g.dispatcher.send(backoffRequested{server: current, until: until})
}

// applyPeerLeaving takes over the leaving servers that another gateway has announced.
func (g *Gateway) applyPeerLeaving(now time.Time, from string, servers []string) {
	for _, id := range servers {
		if g.signals.addLeaving(now, id) {
			g.log.Info().Str("event", "server.told_leaving").Str("server", id).Str("peer", from).Msg("another gateway reported that the server is leaving: no new requests")
			g.serverLeaving(id)
		}
	}
}

// serverLeaving tells the dispatcher at once that a server is leaving; the view follows.
func (g *Gateway) serverLeaving(server string) {
	g.dispatcher.send(leavingAnnounced{server: server})
	g.runs.ServerLeaving(time.Now(), server)
	select {
	case g.storeWatcher.leavingSignal <- struct{}{}:
	default: // the store watcher has a notification pending
	}
}
