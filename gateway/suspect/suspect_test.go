package suspect

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/quarantine"
)

// crashCount returns how many servers have crashed during a request, and whether it is
// quarantined.
func (s *Tracker) crashCount(key quarantine.Key) (n int, quarantined bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.registry.CrashCount(key), s.registry.IsQuarantined(key)
}

// isQuarantined reports whether a request is quarantined.
func (s *Tracker) isQuarantined(key quarantine.Key) bool {
	_, quarantined := s.crashCount(key)
	return quarantined
}

// faultyStore stores suspects and can be made unreachable.
type faultyStore struct {
	mutex       sync.Mutex
	unreachable bool
	calls       int
	saved       map[quarantine.Key]Suspect
	trials      map[quarantine.Key]int // by quarantined request
}

func (f *faultyStore) do(use func()) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls++
	if f.unreachable {
		return errors.New("away")
	}
	use()
	return nil
}

func (f *faultyStore) Save(_ context.Context, key quarantine.Key, s Suspect) error {
	return f.do(func() { f.saved[key] = s })
}

func (f *faultyStore) CountTrial(_ context.Context, key quarantine.Key, trials int) (counted bool, err error) {
	err = f.do(func() {
		counted = f.trials[key] == trials
		if counted {
			f.trials[key]++
		}
	})
	return counted, err
}

func (f *faultyStore) Delete(_ context.Context, key quarantine.Key) error {
	return f.do(func() { delete(f.saved, key) })
}

// TestSuspectsAreStored: a request with two crashes is written to the store, also if the store is
// unreachable at first, and deleted once it is answered.
func TestSuspectsAreStored(t *testing.T) {
	store := &faultyStore{unreachable: true, saved: map[quarantine.Key]Suspect{}}
	s := newTestTracker(store)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		s.RunWriter(ctx)
		close(ended)
	}()
	defer func() {
		stop()
		<-ended
	}()
	now := time.Now()
	requests := []Request{{Key: quarantine.Key{1}, Summary: "a POST h/x"}, {Key: quarantine.Key{2}}}
	s.ServerCrashed(now, "i-1", requests)
	s.ServerCrashed(now.Add(2*time.Second), "i-2", requests[:1])
	require.Eventually(t, func() bool {
		store.mutex.Lock()
		defer store.mutex.Unlock()
		return store.calls > 0
	}, 5*time.Second, time.Millisecond)
	kept := func() (n int, summary string) {
		store.mutex.Lock()
		defer store.mutex.Unlock()
		return len(store.saved), store.saved[quarantine.Key{1}].Summary
	}
	n, _ := kept()
	require.Zero(t, n)
	store.mutex.Lock()
	store.unreachable = false
	store.mutex.Unlock()
	require.Eventually(t, func() bool {
		n, summary := kept()
		return n == 1 && summary == "a POST h/x"
	}, 5*time.Second, 5*time.Millisecond)
	s.RequestAnswered(now.Add(3*time.Second), quarantine.Key{1})
	require.Eventually(t, func() bool {
		n, _ := kept()
		return n == 0
	}, 5*time.Second, 5*time.Millisecond)
	_, quarantined := s.crashCount(quarantine.Key{1})
	require.False(t, quarantined)
}

// TestSuspectsFromPeers: peers' reports count, except for requests that this gateway has answered
// recently.
func TestSuspectsFromPeers(t *testing.T) {
	s := newTestTracker(&faultyStore{})
	now := time.Now()
	s.RequestAnswered(now, quarantine.Key{2})
	for n, server := range []string{"i-1", "i-2", "i-3"} {
		at := now.Add(time.Duration(n) * time.Second)
		s.ApplyPeerReports(at, []peer.Crash{{Server: server, At: at, Suspects: []peer.Key{{1}, {2}}}}, nil)
	}
	require.True(t, s.isQuarantined(quarantine.Key{1}))
	n, _ := s.crashCount(quarantine.Key{2})
	require.Zero(t, n)
	require.False(t, s.TrialDue(now.Add(time.Minute), Subjects{Request: quarantine.Key{1}}), "the crashes did not come at once")
	s.ApplyPeerReports(now, nil, []peer.Cleared{{Key: peer.Key{1}, Servers: []string{"i-2"}}})
	require.False(t, s.isQuarantined(quarantine.Key{1}))
}

// TestTrialsAreCounted: gateways that quarantine a request because of simultaneous crashes send
// it maxTrials times in all, with a pause in between, even if they know the crashes from the
// store alone or restart in between. None sends it while the store is unreachable.
func TestTrialsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		key := quarantine.Key{1}
		store := &faultyStore{trials: map[quarantine.Key]int{}}
		addresses := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
		kept := func() quarantine.StoredRecord {
			return quarantine.StoredRecord{Servers: []string{"i-1", "i-2", "i-3"}, Simultaneous: true, Trials: store.trials[key]}
		}
		start := func(own string) *Tracker {
			s := NewTracker(zerolog.Nop(), own, func() int { return len(addresses) })
			s.Store, s.Peers = store, discardReports{}
			for _, other := range addresses {
				s.SetPeerLive(other, other != own)
			}
			s.ApplyStored(time.Now(), nil, map[quarantine.Key]quarantine.StoredRecord{key: kept()}, false)
			return s
		}
		var fleet []*Tracker
		for _, a := range addresses {
			fleet = append(fleet, start(a))
		}
		var sent []time.Duration
		began := time.Now()
		store.unreachable = true
		for step := range 600 {
			time.Sleep(100 * time.Millisecond)
			if step == 100 {
				store.unreachable = false
			}
			for i, s := range fleet {
				if s.TrialDue(time.Now(), Subjects{Request: key}) && s.ClaimTrial(t.Context(), Subjects{Request: key}) {
					sent = append(sent, time.Since(began))
				}
				if step%70 == 69 {
					fleet[i] = start(addresses[i])
				}
			}
		}
		require.Len(t, sent, maxTrials)
		require.Greater(t, sent[0], 10*time.Second, "the store was unreachable")
		require.GreaterOrEqual(t, sent[1]-sent[0], trialInterval)
	})
}

// TestTrialsRestartAfterDeletion: a suspect that was deleted and is ambiguous again may be tried anew,
// also by a gateway that sees both changes in one view.
func TestTrialsRestartAfterDeletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		key := quarantine.Key{1}
		store := &faultyStore{trials: map[quarantine.Key]int{key: 2}}
		s := NewTracker(zerolog.Nop(), "10.0.0.1", func() int { return 1 })
		s.Store, s.Peers = store, discardReports{}
		kept := func(trials int, servers ...string) map[quarantine.Key]quarantine.StoredRecord {
			return map[quarantine.Key]quarantine.StoredRecord{key: {Servers: servers, Simultaneous: true, Trials: trials}}
		}
		before, after := kept(2, "i-1", "i-2", "i-3"), kept(0, "i-4", "i-5", "i-6")
		s.ApplyStored(time.Now(), nil, before, false)
		time.Sleep(time.Minute)
		require.False(t, s.ClaimTrial(t.Context(), Subjects{Request: key}), "both trials are used")
		store.trials[key] = 0
		s.ApplyStored(time.Now(), before, after, false)
		time.Sleep(time.Minute)
		require.True(t, s.ClaimTrial(t.Context(), Subjects{Request: key}))
	})
}
