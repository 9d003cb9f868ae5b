package attempt_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/attempt"
)

func TestLifecycleAfterLostAttempt(t *testing.T) {
	tests := []struct {
		name      string
		retryable bool
		events    []attempt.Event
		want      attempt.Action
	}{
		{"declined", false, []attempt.Event{attempt.Send, attempt.Decline}, attempt.Retry{}},
		{"disconnected", false, []attempt.Event{attempt.Send, attempt.Disconnect}, attempt.RequestRevoke{}},
		{"revoked", false, []attempt.Event{attempt.Send, attempt.Disconnect, attempt.ConfirmRevoked}, attempt.Retry{}},
		{"already begun", false, []attempt.Event{attempt.Send, attempt.Disconnect, attempt.ConfirmStarted}, attempt.Reattach{}},
		{"agent gone, not retryable", false, []attempt.Event{attempt.Send, attempt.Disconnect, attempt.AgentGone},
			attempt.Done{Outcome: attempt.Unknown{Cause: attempt.Interrupted, Reason: "the agent that had it is gone"}}},
		{"agent gone, retryable", true, []attempt.Event{attempt.Send, attempt.Disconnect, attempt.AgentGone}, attempt.Retry{}},
		{"agent gone after part of the response", true, []attempt.Event{attempt.Send, attempt.Admit, attempt.Respond, attempt.Disconnect, attempt.AgentGone},
			attempt.Done{Outcome: attempt.Executed{Cause: attempt.Interrupted, Reason: "the answer was cut: its agent is gone"}}},
		{"abandoned after it may have run", true, []attempt.Event{attempt.Send, attempt.Disconnect, attempt.AgentGone, attempt.Abandon},
			attempt.Done{Outcome: attempt.Unknown{Cause: attempt.Interrupted, Reason: "an earlier attempt may have run"}}},
		{"abandoned after it was declined", true, []attempt.Event{attempt.Send, attempt.Decline, attempt.Abandon},
			attempt.Done{Outcome: attempt.NotExecuted{}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := attempt.NewLifecycle(test.retryable)
			var got attempt.Action
			for _, e := range test.events {
				got = l.Fire(e)
			}
			require.Equal(t, test.want, got)
		})
	}
}

func TestInvalidEventPanics(t *testing.T) {
	require.Panics(t, func() { attempt.NewLifecycle(true).Fire(attempt.Finish) })
}

// TestLifecycleExhaustive tries every sequence of events up to a depth. It checks that
// a request is reported as not executed only if no attempt can have run, and that a
// request that is not retryable is sent again only after the agent confirmed that
// the earlier attempt did not run.
func TestLifecycleExhaustive(t *testing.T) {
	const depth = 9
	events := []attempt.Event{attempt.Send, attempt.Admit, attempt.Decline, attempt.Respond, attempt.Disconnect, attempt.ConfirmRevoked,
		attempt.ConfirmStarted, attempt.AgentGone, attempt.Resume, attempt.Finish, attempt.Truncate, attempt.Abandon}
	for _, retryable := range []bool{false, true} {
		states := 0
		var walk func(path []attempt.Event)
		walk = func(path []attempt.Event) {
			states++
			if len(path) == depth {
				return
			}
			for _, e := range events {
				next := append(path[:len(path):len(path)], e)
				if checkLifecycle(t, retryable, next) {
					walk(next)
				}
			}
		}
		walk(nil)
		t.Logf("figure lives-checked-%v %d paths", retryable, states)
	}
}

// checkLifecycle replays a path of events, checks it, and reports whether it can be
// extended.
func checkLifecycle(t *testing.T, retryable bool, path []attempt.Event) bool {
	l := attempt.NewLifecycle(retryable)
	mayHaveRun := false
	for i, e := range path {
		var action attempt.Action
		possible := tryFire(l, e, &action)
		if !possible {
			return false
		}
		switch e {
		case attempt.Send:
			require.False(t, mayHaveRun && !retryable, "sent again although it may have run: %v", path)
		case attempt.Admit, attempt.ConfirmStarted, attempt.AgentGone:
			mayHaveRun = true
		case attempt.Decline, attempt.ConfirmRevoked:
			mayHaveRun = agentGoneBefore(path[:i])
		}
		if done, ended := action.(attempt.Done); ended {
			if _, notExecuted := done.Outcome.(attempt.NotExecuted); notExecuted {
				require.False(t, mayHaveRun, "reported as not executed although it may have run: %v", path)
			}
			return false
		}
	}
	return true
}

func agentGoneBefore(path []attempt.Event) bool {
	for _, e := range path {
		if e == attempt.AgentGone {
			return true
		}
	}
	return false
}

// tryFire fires an event and reports whether it was possible.
func tryFire(l *attempt.Lifecycle, e attempt.Event, action *attempt.Action) (ok bool) {
	defer func() {
		if recover() != nil {
			ok = false
		}
	}()
	*action = l.Fire(e)
	return true
}

func TestRegistryRevoke(t *testing.T) {
	now := time.Unix(1000, 0)
	r := attempt.NewRegistry(time.Minute, 10)
	id := attempt.ID{Request: "r", Attempt: 1}
	require.True(t, r.Revoke(id, now))
	require.Equal(t, attempt.Revoked{}, r.Begin(id, now), "a revoked attempt never begins")

	other := attempt.ID{Request: "r", Attempt: 2}
	require.Equal(t, attempt.Started{}, r.Begin(other, now))
	require.False(t, r.Revoke(other, now), "an attempt that has begun cannot be revoked")
	require.Equal(t, attempt.AlreadyBegun{}, r.Begin(other, now), "no attempt begins twice")
	r.End(other, now)
	require.False(t, r.Revoke(other, now.Add(time.Second)))
}

func TestRegistryIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := attempt.NewRegistry(time.Minute, 2)
	for i := range uint32(2) {
		require.Equal(t, attempt.Started{}, r.Begin(attempt.ID{Request: "r", Attempt: i}, now))
		r.End(attempt.ID{Request: "r", Attempt: i}, now)
	}
	require.Equal(t, attempt.RegistryFull{}, r.Begin(attempt.ID{Request: "r", Attempt: 9}, now))
	require.Equal(t, attempt.Started{}, r.Begin(attempt.ID{Request: "r", Attempt: 9}, now.Add(2*time.Minute)))
}

func TestKeyStoreClaim(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	const window = 10 * time.Minute
	timed := func(at time.Time) string {
		u := uuid.Must(uuid.NewV7())
		ms := at.UnixMilli()
		for i := range 6 {
			u[i] = byte(ms >> (8 * (5 - i)))
		}
		return u.String()
	}
	tests := []struct {
		name string
		key  string
		at   time.Duration // after the owner's start
		want attempt.ClaimResult
	}{
		{"opaque key before a full window", "k", time.Minute, attempt.Indeterminate{RetryAfter: 9 * time.Minute}},
		{"opaque key after a full window", "k", 11 * time.Minute, attempt.NewKey{}},
		{"timed key created after the start", timed(start.Add(3 * time.Minute)), 3 * time.Minute, attempt.NewKey{}},
		{"timed key created before the start", timed(start.Add(-time.Minute)), 3 * time.Minute, attempt.Indeterminate{RetryAfter: 7 * time.Minute}},
		{"timed key within the skew of the start", timed(start.Add(time.Minute)), 3 * time.Minute, attempt.Indeterminate{RetryAfter: 7 * time.Minute}},
		{"timed key from the future", timed(start.Add(time.Hour)), 3 * time.Minute, attempt.Indeterminate{RetryAfter: 7 * time.Minute}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			k := attempt.NewKeyStore(window, 100, start)
			id := attempt.KeyID{Account: 1, Key: test.key}
			require.Equal(t, test.want, k.Claim(id, "r1", 1, start.Add(test.at)))
			if _, first := test.want.(attempt.NewKey); first {
				require.Equal(t, attempt.Duplicate{Request: "r1", Attempt: 1, Running: true}, k.Claim(id, "r2", 1, start.Add(test.at)))
				other := attempt.KeyID{Account: 2, Key: test.key}
				require.Equal(t, attempt.NewKey{}, k.Claim(other, "r3", 1, start.Add(test.at)), "the same key of another account is a different key")
			}
		})
	}
}
