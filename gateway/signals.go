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

// This file takes over what servers say of themselves in their answers: that they leave, and
// that they want rest. Their entries tell the first one too, but not while the store takes
// nothing (platform: TestServerSaysItLeaves).
//
// Two places act on it. The desk places nothing at such a server any more; and whoever was
// placed there before looks once more when its connection is there, just before it is sent.
// That a server leaves is told to the other gateways, also to one that starts. Rest is asked
// of this gateway alone: the others may well be served at the same moment.

const (
	// A server that has said that it leaves is not believed to be ready again for so long
	// after its entry has gone: an entry that lapses while the store is away comes back, and a
	// server serves on for some seconds, at times many, after it has said so. One that starts
	// again is another lifetime, and free at once.
	leavingKept = time.Minute
	// Servers that leave and have no entry here, remembered at most; a fleet of 10,000 that
	// is replaced at once fits.
	mostLeaving = 1 << 14
)

// Why a request is not sent to a server after all.
var (
	errServerLeaving = errors.New("gateway: the server has said that it leaves")
	errServerBackoff = errors.New("gateway: the server has asked for rest")
)

// serverSignals is what servers have said of themselves. It is safe for use by several goroutines.
type serverSignals struct {
	mutex   sync.Mutex
	leaving map[string]time.Time // when the entry was there last, by lifetime
	rests   map[string]time.Time // ends, by lifetime
}

func newServerSignals() *serverSignals {
	return &serverSignals{leaving: map[string]time.Time{}, rests: map[string]time.Time{}}
}

// leaves takes over that a server leaves. It returns whether that is news.
func (s *serverSignals) leaves(now time.Time, server string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, known := s.leaving[server]; known || len(s.leaving) >= mostLeaving {
		return false
	}
	s.leaving[server] = now
	return true
}

// rest takes over that a server wants rest. Of several rests the latest end holds.
func (s *serverSignals) rest(server string, until time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rests[server] = latest(s.rests[server], until)
}

// checkAvailable returns why a server gets no request now; nil: it may get one.
func (s *serverSignals) checkAvailable(now time.Time, server string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, leaving := s.leaving[server]; leaving {
		return errServerLeaving
	}
	if now.Before(s.rests[server]) {
		return errServerBackoff
	}
	return nil
}

// count returns how many servers have said that they leave, and how many rest.
func (s *serverSignals) count(now time.Time) (leaving, resting int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, until := range s.rests {
		if now.Before(until) {
			resting++
		}
	}
	return len(s.leaving), resting
}

// applyTo notes in a list of servers which of them have said that they leave, and forgets what is
// over. It returns all that leave.
func (s *serverSignals) applyTo(now time.Time, servers []catalog.Server) (leaving []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, until := range s.rests {
		if !now.Before(until) {
			delete(s.rests, id)
		}
	}
	if len(s.leaving) == 0 {
		return nil
	}
	for i := range servers {
		if _, said := s.leaving[servers[i].ID]; said {
			s.leaving[servers[i].ID] = now
			servers[i].Leaving = true
		}
	}
	for id, seen := range s.leaving {
		if now.Sub(seen) > leavingKept {
			delete(s.leaving, id)
			continue
		}
		leaving = append(leaving, id)
	}
	return leaving
}

// handleSignal takes over what an answer says of its server. It is called by any goroutine.
func (g *Gateway) handleSignal(server catalog.Server, s upstream.Signal) {
	now := time.Now()
	if s.Leaving && g.signals.leaves(now, server.ID) {
		g.log.Info().Str("event", "server.says_leaving").Str("server", server.ID).Int("status", s.Status).Msg("no new work")
		g.peers.PublishLeaving(server.ID)
		g.leaves(server.ID)
	}
	if s.Backoff > 0 && s.Status == http.StatusServiceUnavailable {
		until := now.Add(min(s.Backoff, placement.MaxBackoff))
		g.log.Info().Str("event", "server.asks_rest").Str("server", server.ID).Int("status", s.Status).Dur("rest", s.Backoff).Msg("no work until then")
		g.signals.rest(server.ID, until)
		g.dispatcher.send(restMessage{server: server.ID, until: until})
	}
}

// applyPeerLeaving takes over which servers have told other gateways that they leave.
func (g *Gateway) applyPeerLeaving(now time.Time, from string, servers []string) {
	for _, id := range servers {
		if g.signals.leaves(now, id) {
			g.log.Info().Str("event", "server.told_leaving").Str("server", id).Str("peer", from).Msg("no new work")
			g.leaves(id)
		}
	}
}

// leaves lets the desk know at once that a server leaves, and the view with the next one.
func (g *Gateway) leaves(server string) {
	g.dispatcher.send(leavesMessage{server: server})
	select {
	case g.storeWatcher.leavingSignal <- struct{}{}:
	default: // the follower is about to look
	}
}
