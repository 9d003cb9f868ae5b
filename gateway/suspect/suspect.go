// Package suspect protects the fleet from requests, and parts of prompts, that crash servers. Such a
// request arrives as a valid first attempt each time, at any gateway, and would crash server after
// server (platform: TestRequestThatCrashesServers). Package gateway detects which servers have
// crashed, and package quarantine decides which requests, and which parts of prompts (parts.go),
// are quarantined. A [Tracker] keeps what a gateway has seen and heard of them.
//
// What one gateway has seen reaches the others in two ways, so that either may fail: by beacons
// ([Publisher]), within milliseconds, and, for requests during which two servers or more have
// crashed, by the store ([Store], store.go), which also outlasts all gateways. Where something else
// may be the cause of the crashes, a quarantined request is sent all the same, a few times over the
// fleet (trials.go).
//
// # Usage
//
//	t := suspect.NewTracker(log, address, fleetSize)
//	t.Peers, t.Store = peers, store
//	go t.RunWriter(ctx)
//	subjects := suspect.Subjects{Request: key, Account: "quito", Parts: suspect.PromptParts(service, model, parts)}
//	if t.Bars(subjects) && !t.ClaimTrial(ctx, subjects) { … } // must not be sent to a server
//	t.ServerCrashed(now, "i-7f3a@1760000000000", requests)   // with requests of this gateway
//	t.RequestAnswered(now, key)                              // was not the cause
//	t.PartsAnswered(now, service, model, parts)              // nor were these
//	t.ApplyPeerReports(now, update.Crashes, update.Cleared)  // from another gateway
//	t.ApplyStored(now, old, stored, watches)                 // from the store
package suspect

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

// Suspect is a request, or a part of prompts, during which two servers or more have crashed.
type Suspect struct {
	Summary      string                   // description for operators
	Servers      []string                 // lifetimes that crashed
	Simultaneous bool                     // they crashed at one moment, but for one at most
	Trials       int                      // times that it was sent although quarantined
	Part         *quarantine.PartEvidence // nil: it is a request
}

// Store stores suspects where all gateways see the same ones, until they are deleted.
type Store interface {
	// Save merges what is known of a suspect into the stored state.
	Save(ctx context.Context, key quarantine.Key, s Suspect) error
	// Delete removes a suspect; it need not exist.
	Delete(ctx context.Context, key quarantine.Key) error
	// CountTrial counts one more trial of a quarantined suspect if the stored count equals trials.
	// It reports whether it was counted; after an error that is unknown.
	CountTrial(ctx context.Context, key quarantine.Key, trials int) (counted bool, err error)
}

// Publisher tells the other gateways what this one knows of suspects. Its methods must not
// block.
type Publisher interface {
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

// Tracker tracks requests during which servers have crashed. It is safe for concurrent use.
type Tracker struct {
	// Peers and Store are set before the first call of a method.
	Peers Publisher
	Store Store // nil: nothing is stored, and quarantined requests are not tried

	log              zerolog.Logger
	address          string // IP address of this gateway
	fleetSize        func() int
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

// NewTracker returns a tracker of the gateway with this IP address. fleetSize returns the number of
// live gateways.
func NewTracker(log zerolog.Logger, address string, fleetSize func() int) *Tracker {
	return &Tracker{
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

// Request is a request that was at a server when the server crashed.
type Request struct {
	Key        quarantine.Key
	ID         string // of the attempt, as its caller gave it
	Account    string
	Summary    string // description for operators
	Parts      []Part
	Responding bool      // events of its answer had arrived
	LostAt     time.Time // when its connection broke; zero: not known
}

// MaxSummaryLength limits the description of a request or part.
const MaxSummaryLength = 200

// ServerCrashed records that a server has crashed with requests of this gateway, and reports it
// to the peers.
func (s *Tracker) ServerCrashed(now time.Time, server string, requests []Request) {
	// Requests without a response so far come first, in case not all can be reported: servers
	// crash when they begin with the request that causes it.
	slices.SortStableFunc(requests, func(x, y Request) int {
		switch {
		case x.Responding == y.Responding:
			return 0
		case y.Responding:
			return -1
		}
		return 1
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	keys := make([]quarantine.Key, 0, len(requests))
	for _, t := range requests {
		if !s.recentAnswers.Contains(now, t.Key) {
			keys = append(keys, t.Key)
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
func crashTime(now time.Time, requests []Request) time.Time {
	at := now
	for _, t := range requests {
		if !t.LostAt.IsZero() && t.LostAt.Before(at) {
			at = t.LostAt
		}
	}
	return at
}

// summarize keeps the descriptions of suspects that have changed.
func (s *Tracker) summarize(requests []Request, changed []quarantine.Key) {
	for _, t := range requests {
		if slices.Contains(changed, t.Key) {
			s.summaries[t.Key] = t.Summary
		}
		for _, p := range t.Parts {
			if slices.Contains(changed, p.Key) {
				s.summaries[p.Key] = p.Summary()
			}
		}
	}
}

// reportCrash reports to the peers which requests and parts were at a server: those with an earlier
// crash, and of the rest as many as the limit allows.
func (s *Tracker) reportCrash(now time.Time, e peer.Crash, keys []quarantine.Key, parts []quarantine.PartSuspect, repeated []quarantine.Key) {
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
	s.Peers.PublishCrash(e)
}

// reportChanged logs the new state of requests. The mutex must be held.
func (s *Tracker) reportChanged(changed []quarantine.Key, server string) {
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

// ApplyPeerReports applies what a peer reports.
func (s *Tracker) ApplyPeerReports(now time.Time, crashes []peer.Crash, cleared []peer.Cleared) {
	if len(crashes)+len(cleared) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, e := range crashes {
		keys := make([]quarantine.Key, 0, len(e.Suspects))
		for _, k := range e.Suspects {
			if s.recentAnswers.Contains(now, quarantine.Key(k)) {
				s.Peers.PublishCleared(peer.Cleared{Key: k, Servers: []string{e.Server}})
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

// RequestAnswered records that a request was answered completely.
func (s *Tracker) RequestAnswered(now time.Time, key quarantine.Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recentAnswers.Add(now, key)
	s.clearCrashes(key)
}

// clearCrashes discards the crashes counted for a request, here and at the peers.
func (s *Tracker) clearCrashes(key quarantine.Key) {
	_, repeated := s.registry.Record(key)
	cleared := s.registry.MarkAnswered(key)
	if len(cleared) == 0 {
		return
	}
	s.Peers.PublishCleared(peer.Cleared{Key: peer.Key(key), Servers: cleared})
	if repeated || s.ownWrites[key] {
		s.removeStored(key)
	}
}

// removeStored has a request deleted from the store.
func (s *Tracker) removeStored(k quarantine.Key) {
	s.log.Info().Str("event", s.kindOf(k)+".cleared").Str("key", k.String()).Str("asks", s.summaries[k]).Msg("answered; no longer a suspect")
	delete(s.summaries, k)
	s.queueWrite(k)
}

// Count returns the number of suspects, counting those during which one server has crashed. If it is
// 0, no request is quarantined. It takes no lock.
func (s *Tracker) Count() int { return int(s.suspectCount.Load()) }

// NewlyQuarantined returns the channel that tells when a request has been quarantined. It tells once
// of several ones.
func (s *Tracker) NewlyQuarantined() <-chan struct{} { return s.newlyQuarantined }

// QuarantinedCount returns the number of quarantined suspects, and how many of them are parts of
// prompts.
func (s *Tracker) QuarantinedCount() (all, parts int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.registry.CountQuarantined()
}
