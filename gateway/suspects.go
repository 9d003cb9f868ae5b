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

// This file protects the fleet from requests that crash servers. Such a request arrives as a
// valid first attempt each time, at any gateway, and would crash server after server (platform:
// TestRequestThatCrashesServers). crashes.go detects which servers have crashed, and package
// quarantine decides which requests, and which parts of prompts (suspects_parts.go), are
// quarantined.
//
// What one gateway has seen reaches the others in two ways, so that either may fail: by beacons,
// within milliseconds, and, for requests during which two servers or more have crashed, by the
// store, which also outlasts all gateways.

// Suspect is a request, or a part of prompts, during which two servers or more have crashed.
type Suspect struct {
	Summary      string                   // description for operators
	Servers      []string                 // lifetimes that crashed
	Simultaneous bool                     // they crashed at one moment, but for one at most
	Trials       int                      // times that it was sent although quarantined
	Part         *quarantine.PartEvidence // nil: it is a request
}

// SuspectStore stores suspects where all gateways see the same ones, until they are deleted.
type SuspectStore interface {
	// Save merges what is known of a suspect into the stored state.
	Save(ctx context.Context, key quarantine.Key, s Suspect) error
	// Delete removes a suspect; it need not exist.
	Delete(ctx context.Context, key quarantine.Key) error
	// CountTrial counts one more trial of a quarantined suspect if the stored count equals trials.
	// It reports whether it was counted; after an error that is unknown.
	CountTrial(ctx context.Context, key quarantine.Key, trials int) (counted bool, err error)
}

// suspectPublisher tells the other gateways what this one knows of suspects. Its methods must not
// block.
type suspectPublisher interface {
	PublishCrash(c peer.Crash)
	PublishCleared(c peer.Cleared)
	PublishPartAnswered(k peer.Key)
}

const (
	// maxFleetSuspectsPerSecond bounds the suspects that all gateways together report in a second
	// after a server has crashed: 64 KB a second for each gateway while servers crash. With fewer,
	// the requests at three of the largest servers that crash at once would not all be reported.
	maxFleetSuspectsPerSecond = 2048
	// minSuspectsPerSecond is what each gateway of a large fleet may report at least.
	minSuspectsPerSecond = 4
)

// suspectTracker tracks requests during which servers have crashed. It is safe for concurrent use.
type suspectTracker struct {
	log              zerolog.Logger
	peers            suspectPublisher
	address          string        // IP address of this gateway
	store            SuspectStore  // nil: nothing is stored, and quarantined requests are not tried
	fleetSize        func() int    // number of live gateways
	writerWake       chan struct{} // there is something to write
	newlyQuarantined chan struct{} // a request has been quarantined
	suspectCount     atomic.Int64  // requests in the registry; if 0, lookups are skipped

	mutex         sync.Mutex
	registry      *quarantine.Registry
	recentAnswers quarantine.RecentAnswers      // answered by this gateway
	answeredParts quarantine.AnsweredParts      // of prompts that this gateway has had answered
	ownWrites     map[quarantine.Key]bool       // stored by this gateway
	trials        map[quarantine.Key]trialState // of quarantined requests
	livePeers     map[string]bool               // by address
	summaries     map[quarantine.Key]string     // descriptions of suspects that this gateway has seen, for requests with two crashes or more
	pendingWrites map[quarantine.Key]bool       // to be written to the store
	rewriteAt     map[quarantine.Key]time.Time  // to be written again from then on, unless a peer has
	windowStart   time.Time                     // start of the second in which reported counts
	reported      int
}

func newSuspectTracker(log zerolog.Logger, address string, fleetSize func() int) *suspectTracker {
	return &suspectTracker{
		log: log, address: address, fleetSize: fleetSize,
		writerWake:       make(chan struct{}, 1),
		newlyQuarantined: make(chan struct{}, 1),
		registry:         quarantine.NewRegistry(),
		ownWrites:        map[quarantine.Key]bool{},
		trials:           map[quarantine.Key]trialState{},
		livePeers:        map[string]bool{},
		summaries:        map[quarantine.Key]string{},
		pendingWrites:    map[quarantine.Key]bool{},
		rewriteAt:        map[quarantine.Key]time.Time{},
	}
}

// suspect is a request that was at a server when the server crashed.
type suspect struct {
	key        quarantine.Key
	id         string // of the attempt, as its caller gave it
	account    string
	summary    string
	parts      []promptPart
	responding bool      // events of its answer had arrived
	lostAt     time.Time // when its connection broke; zero: not known
}

// serverCrashed records that a server has crashed with requests of this gateway, and reports it
// to the peers.
func (s *suspectTracker) serverCrashed(now time.Time, server string, requests []suspect) {
	// Requests without a response so far come first, in case not all can be reported: servers
	// crash when they begin with the request that causes it.
	slices.SortStableFunc(requests, func(x, y suspect) int {
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
	keys := make([]quarantine.Key, 0, len(requests))
	for _, t := range requests {
		if !s.recentAnswers.Contains(now, t.key) {
			keys = append(keys, t.key)
		}
	}
	parts := s.suspectParts(now, requests)
	crashedAt := crashTime(now, requests)
	changed := s.registry.AddCrash(crashedAt, server, keys, parts...)
	s.summarize(requests, changed)
	s.reportChanged(changed, server)
	for _, k := range changed {
		s.pendingWrites[k] = true
	}
	s.wakeWriter()
	s.reportCrash(now, peer.Crash{Server: server, At: crashedAt}, keys, parts, changed)
}

// crashTime returns when a server crashed: when the first connection to it broke. The crash may be
// noticed seconds later.
func crashTime(now time.Time, requests []suspect) time.Time {
	at := now
	for _, t := range requests {
		if !t.lostAt.IsZero() && t.lostAt.Before(at) {
			at = t.lostAt
		}
	}
	return at
}

// summarize keeps the descriptions of suspects that have changed.
func (s *suspectTracker) summarize(requests []suspect, changed []quarantine.Key) {
	for _, t := range requests {
		if slices.Contains(changed, t.key) {
			s.summaries[t.key] = t.summary
		}
		for _, p := range t.parts {
			if slices.Contains(changed, p.key) {
				s.summaries[p.key] = p.summary()
			}
		}
	}
}

// reportCrash reports to the peers which requests and parts were at a server: those with an earlier
// crash, and of the rest as many as the limit allows.
func (s *suspectTracker) reportCrash(now time.Time, e peer.Crash, keys []quarantine.Key, parts []quarantine.PartSuspect, repeated []quarantine.Key) {
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart, s.reported = now, 0
	}
	limit := max(maxFleetSuspectsPerSecond/max(s.fleetSize(), 1), minSuspectsPerSecond)
	admit := func() bool {
		if s.reported >= limit {
			return false
		}
		s.reported++
		return true
	}
	e.Parts = partsToReport(parts, repeated, admit)
	for _, k := range keys {
		if slices.Contains(repeated, k) {
			e.Suspects = append(e.Suspects, peer.Key(k))
		}
	}
	for _, k := range keys {
		if !slices.Contains(repeated, k) && admit() {
			e.Suspects = append(e.Suspects, peer.Key(k))
		}
	}
	s.peers.PublishCrash(e)
}

// reportChanged logs the new state of requests. The mutex must be held.
func (s *suspectTracker) reportChanged(changed []quarantine.Key, server string) {
	for _, k := range changed {
		r, _ := s.registry.Record(k)
		event := s.log.Warn().Str("key", k.String()).Str("asks", s.summaries[k]).Strs("servers", r.Servers).Str("latest", server)
		if r.Part != nil {
			event.Strs("accounts", r.Part.Accounts).Bool("answered_before", r.Part.AnsweredBefore).Int64("span_ms", r.Part.SpanMs)
		}
		if r.QuarantinedAt.IsZero() {
			event.Str("event", s.kindOf(k)+".suspected").Msg("servers crashed during requests with this key; more crashes bar it")
			continue
		}
		event.Str("event", s.kindOf(k)+".barred").Msg("barred from all servers")
		select {
		case s.newlyQuarantined <- struct{}{}:
		default: // the reader looks at all quarantined requests
		}
	}
	s.suspectCount.Store(int64(s.registry.Len()))
}

// applyPeerReports applies what a peer reports.
func (s *suspectTracker) applyPeerReports(now time.Time, crashes []peer.Crash, cleared []peer.Cleared) {
	if len(crashes)+len(cleared) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, e := range crashes {
		keys := make([]quarantine.Key, 0, len(e.Suspects))
		for _, k := range e.Suspects {
			if s.recentAnswers.Contains(now, quarantine.Key(k)) {
				s.peers.PublishCleared(peer.Cleared{Key: k, Servers: []string{e.Server}})
				continue
			}
			keys = append(keys, quarantine.Key(k))
		}
		parts := s.reportedParts(now, e.Parts)
		s.reportChanged(s.registry.AddCrash(e.At, e.Server, keys, parts...), e.Server)
		s.vouch(now, e.Parts)
	}
	for _, a := range cleared {
		k := quarantine.Key(a.Key)
		s.registry.Clear(k, a.Servers)
		if _, repeated := s.registry.Record(k); !repeated && s.ownWrites[k] {
			s.removeStored(k) // it may have been stored after the gateway that answered it deleted it
		}
	}
}

// requestAnswered records that a request was answered completely.
func (s *suspectTracker) requestAnswered(now time.Time, key quarantine.Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recentAnswers.Add(now, key)
	s.clearCrashes(key)
}

// clearCrashes discards the crashes counted for a request, here and at the peers.
func (s *suspectTracker) clearCrashes(key quarantine.Key) {
	_, repeated := s.registry.Record(key)
	cleared := s.registry.MarkAnswered(key)
	if len(cleared) == 0 {
		return
	}
	s.peers.PublishCleared(peer.Cleared{Key: peer.Key(key), Servers: cleared})
	if repeated || s.ownWrites[key] {
		s.removeStored(key)
	}
}

// removeStored has a request deleted from the store.
func (s *suspectTracker) removeStored(k quarantine.Key) {
	s.log.Info().Str("event", s.kindOf(k)+".cleared").Str("key", k.String()).Str("asks", s.summaries[k]).Msg("answered; no longer a suspect")
	delete(s.summaries, k)
	s.queueWrite(k)
}

// quarantinedCount returns the number of quarantined suspects, and how many of them are parts of
// prompts.
func (s *suspectTracker) quarantinedCount() (all, parts int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.registry.CountQuarantined()
}
