package suspect

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
func promptSubjects(account, body string, parts ...string) Subjects {
	var prompt []protocol.Part
	for _, p := range append(parts, body) {
		prompt = append(prompt, protocol.Part{ID: p})
	}
	return Subjects{
		Request: quarantine.KeyOf(quarantine.Request{Account: account, Body: []byte(body)}),
		Account: account,
		Parts:   PromptParts("s", "m", prompt),
	}
}

func suspectOf(r Subjects, lostAt time.Time) Request {
	return Request{Key: r.Request, Account: r.Account, Parts: r.Parts, LostAt: lostAt}
}

// newTestTracker returns a tracker whose reports are dropped.
func newTestTracker(store Store) *Tracker {
	s := NewTracker(zerolog.Nop(), "10.0.0.1", func() int { return 1 })
	s.Peers, s.Store = discardReports{}, store
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
		first.ServerCrashed(at, fmt.Sprint("i-", n), []Request{suspectOf(r, at)})
	}
	require.True(t, first.Flush(t.Context()))
	stored, _ := store.snapshot()
	second := newTestTracker(store)
	second.ApplyStored(now.Add(time.Minute), nil, stored, true)
	require.True(t, second.Bars(promptSubjects("a", "own", "x", "bad")))
	require.False(t, second.Bars(promptSubjects("b", "own", "bad")), "no request of the account was at a crash")
	require.False(t, second.Bars(promptSubjects("a", "bad", "x")), "the last part crashes no server")
}

// TestStoredPartFollowsAnswers guards against a sound part that stays in the store as one that was
// never answered, where gateways that start would bar it.
func TestStoredPartFollowsAnswers(t *testing.T) {
	crashes := func(s *Tracker, now time.Time) {
		for n := range 3 {
			r := promptSubjects("a", fmt.Sprint("own", n), "shared")
			at := now.Add(time.Duration(n) * 10 * time.Millisecond)
			s.ServerCrashed(at, fmt.Sprint("i-", n), []Request{suspectOf(r, at)})
		}
	}
	shared := promptSubjects("a", "own", "shared").Parts[0].Key
	tests := []struct {
		name string
		do   func(writer, watcher *Tracker, store *sharedSuspects)
	}{
		{"another gateway vouches for it", func(writer, _ *Tracker, _ *sharedSuspects) {
			writer.ApplyPartsAnswered([]peer.Key{peer.Key(shared)})
		}},
		{"it is answered after another gateway vouched", func(writer, _ *Tracker, _ *sharedSuspects) {
			writer.registry.MarkAnsweredBefore(shared)
			writer.PartsAnswered(time.Now(), "s", "m", []protocol.Part{{ID: "shared"}, {ID: "own"}})
		}},
		{"its writer has ended, and another gateway has had it answered", func(_, watcher *Tracker, store *sharedSuspects) {
			watcher.PartsAnswered(time.Now(), "s", "m", []protocol.Part{{ID: "shared"}, {ID: "own"}})
			stored, _ := store.snapshot()
			watcher.ApplyStored(time.Now(), nil, stored, true)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := &sharedSuspects{stored: map[quarantine.Key]quarantine.StoredRecord{}}
			writer, watcher := newTestTracker(store), newTestTracker(store)
			crashes(writer, time.Now())
			require.True(t, writer.Flush(t.Context()))
			stored, _ := store.snapshot()
			require.Contains(t, stored, shared)
			test.do(writer, watcher, store)
			require.True(t, writer.Flush(t.Context()))
			require.True(t, watcher.Flush(t.Context()))
			stored, _ = store.snapshot()
			started := newTestTracker(store)
			started.ApplyStored(time.Now(), nil, stored, true)
			require.False(t, started.Bars(promptSubjects("a", "x", "shared")))
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
			for _, p := range PromptParts("s", "m", prompt) {
				ids = append(ids, p.ID)
			}
			require.Equal(t, test.want, ids)
		})
	}
}
