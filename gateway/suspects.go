package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/quarantine"
)

// This file keeps requests that end servers from the next ones, over the fleet. Such a
// request comes as a sound first try each time, to whatever gateway, and would end server after
// server (platform: TestRequestThatEndsServers). crashes.go finds out which servers have ended, and
// package quarantine decides.
//
// Two ways bring what one gateway has seen to the others, so that either may fail: beacons,
// in some milliseconds, and for those that were at two ends or more the store, which also
// outlasts all gateways.

// Suspect is a request that was at two servers or more when they ended.
type Suspect struct {
	Summary      string   // what it asks, for operators
	Servers      []string // lifetimes that ended
	Simultaneous bool     // they did so at one moment, but for one at most
	Trials       int      // how often it was sent although it is barred
}

// SuspectStore keeps suspects where each gateway finds them alike, until they are dropped.
type SuspectStore interface {
	// Keep adds what is known of a suspect to what is kept of it.
	Keep(ctx context.Context, key quarantine.Key, s Suspect) error
	// Drop forgets a suspect; there need not be one.
	Drop(ctx context.Context, key quarantine.Key) error
	// Try counts one more try of a suspect that is barred, if so many are counted. It returns
	// whether it was counted; after an error nobody knows.
	Try(ctx context.Context, key quarantine.Key, tries int) (counted bool, err error)
}

const (
	// Requests that all gateways together tell as suspects in a second after a server's end:
	// 64 KB a second for each gateway while servers end, and with fewer the requests at
	// three of the largest servers that end at once would not be told.
	fleetSuspects = 2048
	// A gateway of a large fleet tells so many at least.
	leastSuspects = 4
	// A doubtful request is tried after this time without another end or try, in which all
	// gateways have heard of the last one. The bound of three more sends has room for two.
	trialInterval = 3 * time.Second
	maxTrials     = 2
	// Gateways come to it one after the other, so that mostly one of them asks the store; the
	// later ones together.
	tryStagger  = 300 * time.Millisecond
	mostStagger = 10
	// The store answers within milliseconds; a caller waits for it.
	tryTimeout = 500 * time.Millisecond
	// A write to the store is given up after this time.
	storeWriteTimeout = time.Second
	// And tried again after this, twice as late each time up to the longest.
	minStoreWriteBackoff = 250 * time.Millisecond
	maxStoreWriteBackoff = 2 * time.Second
)

// suspectTracker is what this gateway believes of requests that were at ends of servers. It is safe
// for use by several goroutines.
type suspectTracker struct {
	log          zerolog.Logger
	peers        *peer.Node
	address      string        // IP address of this gateway
	store        SuspectStore  // nil: nothing is kept, and what is barred is not tried
	fleet        func() int    // live gateways
	wake         chan struct{} // there is something to write
	newlyBarred  chan struct{} // a request has been barred
	suspectCount atomic.Int64  // requests in the registry; with none there is nothing to look for

	mutex         sync.Mutex
	registry      *quarantine.Registry
	recentAnswers quarantine.RecentAnswers      // of this gateway
	ownWrites     map[quarantine.Key]bool       // kept in the store by this gateway
	trials        map[quarantine.Key]trialState // although they are barred
	others        map[string]bool               // live gateways, by address
	summaries     map[quarantine.Key]string     // what those ask that were at two ends or more, as far as this gateway has seen them
	pendingWrites map[quarantine.Key]bool       // to be written
	rewriteAt     map[quarantine.Key]time.Time  // to be written again from then on, unless another gateway has
	second        time.Time                     // in which told counts
	told          int
}

func newSuspectTracker(log zerolog.Logger, address string, fleet func() int) *suspectTracker {
	return &suspectTracker{
		log: log, address: address, fleet: fleet, wake: make(chan struct{}, 1), newlyBarred: make(chan struct{}, 1), registry: quarantine.NewRegistry(),
		ownWrites: map[quarantine.Key]bool{}, trials: map[quarantine.Key]trialState{}, others: map[string]bool{}, summaries: map[quarantine.Key]string{}, pendingWrites: map[quarantine.Key]bool{}, rewriteAt: map[quarantine.Key]time.Time{},
	}
}

// tries is how often a request was sent although it is barred, over the fleet.
type trialState struct {
	counted int
	at      time.Time // when this gateway heard of the latest one, or asked the store in vain
	asking  bool      // the store is being asked for another one
}

// suspect is a request that was at a server when that one ended.
type suspect struct {
	key        quarantine.Key
	summary    string
	responding bool // events of its answer had come
}

// serverCrashed takes over that a server has serverCrashed under requests of this gateway, and tells the
// others.
func (s *suspectTracker) serverCrashed(now time.Time, server string, there []suspect) {
	// Who had not begun to be answered comes first, in case not all can be told: servers end
	// when they begin with the request that ends them.
	slices.SortStableFunc(there, func(x, y suspect) int {
		switch {
		case x.responding == y.responding:
			return 0
		case y.responding:
			return -1
		}
		return 1
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	keys := make([]quarantine.Key, 0, len(there))
	for _, t := range there {
		if !s.recentAnswers.Contains(now, t.key) {
			keys = append(keys, t.key)
		}
	}
	changed := s.registry.AddCrash(now, server, keys)
	for _, t := range there {
		if slices.Contains(changed, t.key) {
			s.summaries[t.key] = t.summary
		}
	}
	s.reportChanged(changed, server)
	for _, k := range changed {
		s.pendingWrites[k] = true
	}
	s.wakeWriter()
	s.tell(now, server, keys, changed)
}

// tell tells the others who was there: those that were at an end before, and of the rest as
// many as the fleet can bear.
func (s *suspectTracker) tell(now time.Time, server string, keys, repeated []quarantine.Key) {
	if now.Sub(s.second) >= time.Second {
		s.second, s.told = now, 0
	}
	left := max(fleetSuspects/max(s.fleet(), 1), leastSuspects) - s.told
	e := peer.Crash{Server: server}
	for _, k := range repeated {
		e.Suspects = append(e.Suspects, peer.Key(k))
	}
	for _, k := range keys {
		if left > 0 && !slices.Contains(repeated, k) {
			e.Suspects = append(e.Suspects, peer.Key(k))
			s.told++
			left--
		}
	}
	s.peers.PublishCrash(e)
}

// note writes to the log what is now believed of requests. The mutex is held.
func (s *suspectTracker) reportChanged(changed []quarantine.Key, server string) {
	for _, k := range changed {
		r, _ := s.registry.Record(k)
		event := s.log.Warn().Str("key", k.String()).Str("asks", s.summaries[k]).Strs("servers", r.Servers).Str("latest", server)
		if r.QuarantinedAt.IsZero() {
			event.Str("event", "request.suspected").Msg("servers have ended under it; one more and it is barred")
			continue
		}
		event.Str("event", "request.barred").Msg("it reaches no server any more")
		select {
		case s.newlyBarred <- struct{}{}:
		default: // whoever reads it looks at all
		}
	}
	s.suspectCount.Store(int64(s.registry.Len()))
}

// applyPeerReports takes over what another gateway tells.
func (s *suspectTracker) applyPeerReports(now time.Time, ends []peer.Crash, answered []peer.Cleared) {
	if len(ends)+len(answered) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, e := range ends {
		keys := make([]quarantine.Key, 0, len(e.Suspects))
		for _, k := range e.Suspects {
			if s.recentAnswers.Contains(now, quarantine.Key(k)) {
				s.peers.PublishCleared(peer.Cleared{Key: k, Servers: []string{e.Server}})
				continue
			}
			keys = append(keys, quarantine.Key(k))
		}
		s.reportChanged(s.registry.AddCrash(now, e.Server, keys), e.Server)
	}
	for _, a := range answered {
		k := quarantine.Key(a.Key)
		s.registry.Clear(k, a.Servers)
		if _, repeated := s.registry.Record(k); !repeated && s.ownWrites[k] {
			s.removeStored(k) // it may have been written after who answered it has dropped it
		}
	}
}

// crashCount returns how many servers have ended under a request, and whether it is barred.
func (s *suspectTracker) crashCount(key quarantine.Key) (n int, barred bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.registry.CrashCount(key), s.registry.IsQuarantined(key)
}

// requestAnswered takes over that a request was requestAnswered whole.
func (s *suspectTracker) requestAnswered(now time.Time, key quarantine.Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recentAnswers.Add(now, key)
	s.clearCrashes(key)
}

// clear lets nothing count any more that a request has seen, here and at the other gateways.
func (s *suspectTracker) clearCrashes(key quarantine.Key) {
	_, repeated := s.registry.Record(key)
	cleared := s.registry.MarkAnswered(key)
	if len(cleared) == 0 {
		return
	}
	s.peers.PublishCleared(peer.Cleared{Key: peer.Key(key), Servers: cleared})
	if repeated {
		s.removeStored(key)
	}
}

// drop lets the store keep a request no more.
func (s *suspectTracker) removeStored(k quarantine.Key) {
	s.log.Info().Str("event", "request.cleared").Str("key", k.String()).Msg("it was answered")
	delete(s.summaries, k)
	s.pendingWrites[k] = true
	s.wakeWriter()
}

// setPeerLive takes over whether another gateway lives.
func (s *suspectTracker) setPeerLive(address string, alive bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if alive {
		s.others[address] = true
		return
	}
	delete(s.others, address)
}

// trialDue tells whether a request that is barred may be sent once all the same, by this gateway
// now: all ends came at one moment, so something else may be their cause. Gateways come to it
// in an order that most find alike (rendezvous hashing), also those that have started since
// and know of the ends by the store alone.
func (s *suspectTracker) trialDue(now time.Time, key quarantine.Key) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.due(now, key)
}

// due is mayTry with the mutex held.
func (s *suspectTracker) due(now time.Time, key quarantine.Key) bool {
	quiet, doubtful := s.registry.Ambiguous(now, key)
	known := s.trials[key]
	if !doubtful || s.store == nil || known.asking || known.counted >= maxTrials {
		return false
	}
	before := 0
	own := unitHash(s.address + "/" + key.String())
	for address := range s.others {
		if unitHash(address+"/"+key.String()) > own {
			before++
		}
	}
	return min(quiet, now.Sub(known.at)) >= trialInterval+time.Duration(min(before, mostStagger))*tryStagger
}

// claimTrial uses a claimTrial of a request that is barred. The store counts them, so that there are no more
// over the fleet, whichever gateways have started since.
func (s *suspectTracker) claimTrial(ctx context.Context, key quarantine.Key) bool {
	s.mutex.Lock()
	known := s.trials[key]
	if !s.due(time.Now(), key) {
		s.mutex.Unlock()
		return false
	}
	s.trials[key] = trialState{counted: known.counted, at: known.at, asking: true}
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	counted, err := s.store.Try(ctx, key, known.counted)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.trials[key]
	now.asking, now.at = false, time.Now()
	if counted {
		now.counted = max(now.counted, known.counted+1)
	}
	s.trials[key] = now
	if err != nil || !counted {
		s.log.Info().Str("event", "request.not_tried").Str("key", key.String()).Err(err).Msg("another gateway may have tried it")
		return false
	}
	s.log.Warn().Str("event", "request.tried").Str("key", key.String()).Str("asks", s.summaries[key]).Int("tries", known.counted+1).Msg("all ends under it came at once, so it may not be their cause")
	return true
}

// isBarred tells whether a request is barred.
func (s *suspectTracker) isBarred(key quarantine.Key) bool {
	_, barred := s.crashCount(key)
	return barred
}

// barredCount returns how many requests are barredCount.
func (s *suspectTracker) barredCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.registry.CountQuarantined()
}
