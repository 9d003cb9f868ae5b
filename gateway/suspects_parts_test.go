package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/protocol"
	"opalbridge.dev/gateway/quarantine"
)

// promptSubjects returns what can be quarantined of a request with these parts in its prompt.
func promptSubjects(account, body string, parts ...string) subjects {
	var prompt []protocol.Part
	for _, p := range append(parts, body) {
		prompt = append(prompt, protocol.Part{ID: p})
	}
	return subjects{
		request: quarantine.KeyOf(quarantine.Request{Account: account, Body: []byte(body)}),
		account: account,
		parts:   promptParts("s", "m", prompt),
	}
}

func suspectOf(r subjects, lostAt time.Time) suspect {
	return suspect{key: r.request, account: r.account, parts: r.parts, lostAt: lostAt}
}

// newTestTracker returns a tracker whose reports are dropped.
func newTestTracker(store SuspectStore) *suspectTracker {
	s := newSuspectTracker(zerolog.Nop(), "10.0.0.1", func() int { return 1 })
	s.peers, s.store = discardReports{}, store
	return s
}

// TestPartEvidenceOutlivesGateways guards against a part that is barred for all accounts, or not at
// all, by a gateway that knows it from the store alone.
func TestPartEvidenceOutlivesGateways(t *testing.T) {
	store := &sharedSuspects{stored: map[quarantine.Key]quarantine.StoredRecord{}}
	first, now := newTestTracker(store), time.Now()
	for n := range 3 {
		r := promptSubjects("a", fmt.Sprint("own", n), "bad")
		at := now.Add(time.Duration(n) * time.Second)
		first.serverCrashed(at, fmt.Sprint("i-", n), []suspect{suspectOf(r, at)})
	}
	require.True(t, first.flush(t.Context()))
	stored, _ := store.snapshot()
	second := newTestTracker(store)
	second.applyStored(now.Add(time.Minute), nil, stored, true)
	require.True(t, second.bars(promptSubjects("a", "own", "x", "bad")))
	require.False(t, second.bars(promptSubjects("b", "own", "bad")), "no request of the account was at a crash")
	require.False(t, second.bars(promptSubjects("a", "bad", "x")), "the last part crashes no server")
}

// TestCrashesCountFromTheirTime guards against servers that crash at the same moment, which a gateway
// notices one after the other.
func TestCrashesCountFromTheirTime(t *testing.T) {
	s, now := newTestTracker(nil), time.Now()
	detector := newCrashDetector(zerolog.Nop(), s.serverCrashed)
	for n := range 4 {
		r := promptSubjects("a", fmt.Sprint("own", n), "shared")
		server := readyServer(fmt.Sprint("i-", n))
		detector.requestLost(now, server, false, now, lostRequest{kind: lossConnectionBroke, suspect: suspectOf(r, time.Time{})})
	}
	for n := range 4 {
		detector.connectionRefused(now.Add(time.Duration(n)*time.Second), fmt.Sprint("i-", n))
	}
	require.Equal(t, 4, s.registry.CrashCount(promptSubjects("a", "own", "shared").parts[0].key))
	require.False(t, s.bars(promptSubjects("a", "own", "shared")))
}

// TestStoredPartFollowsAnswers guards against a sound part that stays in the store as one that was
// never answered, where gateways that start would bar it.
func TestStoredPartFollowsAnswers(t *testing.T) {
	crashes := func(s *suspectTracker, now time.Time) {
		for n := range 3 {
			r := promptSubjects("a", fmt.Sprint("own", n), "shared")
			at := now.Add(time.Duration(n) * 10 * time.Millisecond)
			s.serverCrashed(at, fmt.Sprint("i-", n), []suspect{suspectOf(r, at)})
		}
	}
	shared := promptSubjects("a", "own", "shared").parts[0].key
	tests := []struct {
		name string
		do   func(writer, watcher *suspectTracker, store *sharedSuspects)
	}{
		{"another gateway vouches for it", func(writer, _ *suspectTracker, _ *sharedSuspects) {
			writer.applyPartsAnswered([]peer.Key{peer.Key(shared)})
		}},
		{"it is answered after another gateway vouched", func(writer, _ *suspectTracker, _ *sharedSuspects) {
			writer.registry.MarkAnsweredBefore(shared)
			writer.partsAnswered(time.Now(), "s", "m", []protocol.Part{{ID: "shared"}, {ID: "own"}})
		}},
		{"its writer has ended, and another gateway has had it answered", func(_, watcher *suspectTracker, store *sharedSuspects) {
			watcher.partsAnswered(time.Now(), "s", "m", []protocol.Part{{ID: "shared"}, {ID: "own"}})
			stored, _ := store.snapshot()
			watcher.applyStored(time.Now(), nil, stored, true)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := &sharedSuspects{stored: map[quarantine.Key]quarantine.StoredRecord{}}
			writer, watcher := newTestTracker(store), newTestTracker(store)
			crashes(writer, time.Now())
			require.True(t, writer.flush(t.Context()))
			stored, _ := store.snapshot()
			require.Contains(t, stored, shared)
			test.do(writer, watcher, store)
			require.True(t, writer.flush(t.Context()))
			require.True(t, watcher.flush(t.Context()))
			stored, _ = store.snapshot()
			started := newTestTracker(store)
			started.applyStored(time.Now(), nil, stored, true)
			require.False(t, started.bars(promptSubjects("a", "x", "shared")))
		})
	}
}

// TestPromptParts checks which parts of a prompt are counted.
func TestPromptParts(t *testing.T) {
	tests := []struct {
		name   string
		prompt []string
		want   []string
	}{
		{"no parts", nil, []string{}},
		{"the last one alone", []string{"own"}, []string{}},
		{"the last one is left out", []string{"a", "b", "own"}, []string{"a", "b"}},
		{"twice", []string{"a", "a", "own"}, []string{"a"}},
		{"empty", []string{"", "a", ""}, []string{"a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var prompt []protocol.Part
			for _, id := range test.prompt {
				prompt = append(prompt, protocol.Part{ID: id})
			}
			ids := []string{}
			for _, p := range promptParts("s", "m", prompt) {
				ids = append(ids, p.ID)
			}
			require.Equal(t, test.want, ids)
		})
	}
}
