package config_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/config"
	"opalbridge.dev/kv/kvtest"
)

func addAccount(name string) func(*config.Document) error {
	return func(d *config.Document) error {
		d.NextAccount++
		d.Accounts = append(d.Accounts, config.Account{ID: d.NextAccount, Name: name, Share: 1})
		return nil
	}
}

func TestProposeOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		expect uint64
		change func(*config.Document) error
		want   any
	}{
		{"accepted", 1, addAccount("b"), config.Accepted{}},
		{"any revision", 0, addAccount("b"), config.Accepted{}},
		{"conflict", 7, addAccount("b"), config.Conflict{}},
		{"invalid document", 0, addAccount("Not A Name"), config.Rejected{}},
		{"change fails", 0, func(*config.Document) error { return errors.New("no") }, config.Rejected{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := config.Store{KV: &kvtest.Service{}}
			require.IsType(t, config.Accepted{}, s.Propose(context.Background(), 0, addAccount("a")))
			require.IsType(t, test.want, s.Propose(context.Background(), test.expect, test.change))
		})
	}
}

// TestLostAnswerResolvedByRereading drops the response to a write that took
// effect; the change must be in the document exactly once.
func TestLostAnswerResolvedByRereading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p kvtest.Service
		s := config.Store{KV: &p}
		p.SetFaults(kvtest.Faults{LoseWriteResponses: 1})
		o, ok := s.Propose(context.Background(), 0, addAccount("a")).(config.Accepted)
		require.True(t, ok)
		require.Equal(t, uint64(1), o.Document.Revision)
		require.Len(t, o.Document.Accounts, 1)
		require.Equal(t, 1, p.Calls().Writes)
	})
}

// TestLostAnswerWithConcurrentChange has another operator's change accepted before
// the write whose response was lost is resolved.
func TestLostAnswerWithConcurrentChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p kvtest.Service
		s := config.Store{KV: &p}
		p.SetFaults(kvtest.Faults{LoseWriteResponses: 1, Delay: 10 * time.Millisecond})
		var first config.Outcome
		var done sync.WaitGroup
		done.Go(func() { first = s.Propose(context.Background(), 0, addAccount("a")) })
		done.Go(func() {
			time.Sleep(21 * time.Millisecond)
			require.IsType(t, config.Accepted{}, s.Propose(context.Background(), 0, addAccount("b")))
		})
		done.Wait()
		require.IsType(t, config.Accepted{}, first)
		d, _, err := s.Load(context.Background())
		require.NoError(t, err)
		require.Len(t, d.Accounts, 2)
		require.Equal(t, uint64(2), d.Revision)
	})
}

// TestConcurrentOperatorsLoseNoChange has several operators propose changes at the
// same time while responses are lost. Every accepted change must be in the final
// document once, and revisions must have no gaps.
func TestConcurrentOperatorsLoseNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p kvtest.Service
		p.SetFaults(kvtest.Faults{LoseWriteResponses: 3, Delay: time.Millisecond})
		var done sync.WaitGroup
		accepted := make([]bool, 6)
		for i := range accepted {
			done.Go(func() {
				s := config.Store{KV: &p}
				_, accepted[i] = s.Propose(context.Background(), 0, addAccount(string(rune('a'+i)))).(config.Accepted)
			})
		}
		done.Wait()
		s := config.Store{KV: &p}
		d, _, err := s.Load(context.Background())
		require.NoError(t, err)
		n := 0
		for i, ok := range accepted {
			if ok {
				n++
				require.NotNil(t, d.Account(string(rune('a'+i))))
			}
		}
		require.Equal(t, n, len(d.Accounts))
		require.Equal(t, uint64(n), d.Revision)
	})
}

func TestHolderRejectsLowerRevision(t *testing.T) {
	var h config.Holder
	require.Zero(t, h.Revision())
	require.True(t, h.Offer(&config.Document{Revision: 5}))
	changed := h.Changed()
	require.False(t, h.Offer(&config.Document{Revision: 4}))
	require.False(t, h.Offer(&config.Document{Revision: 5}))
	require.Equal(t, uint64(5), h.Revision())
	require.True(t, h.Offer(&config.Document{Revision: 6}))
	<-changed
}

func TestValidateReportsEveryError(t *testing.T) {
	d := config.Document{
		Accounts: []config.Account{{Name: "A"}, {Name: "ok", Share: 1}, {Name: "ok", Share: 1}},
		Pools:    []config.Pool{{Name: "p", Kind: "odd"}},
		Servers:  []config.Server{{Name: "s", Pools: []string{"none"}}},
	}
	err := d.Validate()
	for _, field := range []string{"accounts[0].name", "accounts[0].share", "accounts[2].name", "pools[0].kind", "servers[0].pools"} {
		require.ErrorContains(t, err, field)
	}
}

func TestAuthenticate(t *testing.T) {
	now := time.Unix(1000, 0)
	d := config.Document{Accounts: []config.Account{{Name: "a", Keys: []config.Key{
		{Hash: config.HashKey("old"), Expires: now.Add(-time.Second)}, {Hash: config.HashKey("new")},
	}}}}
	require.Nil(t, d.Authenticate("old", now))
	require.Equal(t, "a", d.Authenticate("new", now).Name)
	require.Nil(t, d.Authenticate("", now))
}
