package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
)

// short is a request without shared parts, which any server reads in milliseconds.
func short(key uint64) *placement.Request {
	return &placement.Request{
		Service: "s", Hall: "h", PromptTokens: 100, OutputTokens: 10, Objective: 800 * time.Millisecond, Remaining: 12 * time.Second,
		CallerTimeout: 3200 * time.Millisecond, TieBreak: key,
	}
}

// sendOwn places a request of this gateway and books it.
func sendOwn(b *placement.Balancer, now time.Time, key uint64) (server string, d placement.Decision) {
	d = b.Place(now, short(key))
	if assign, ok := d.(placement.Assign); ok {
		b.RecordSent(now, assign.Load, true)
		return assign.Server.ID, d
	}
	return "", d
}

// TestRest: what is decided while a server rests that has asked for it.
func TestRest(t *testing.T) {
	const rest = 3 * time.Second
	tests := []struct {
		name   string
		rest   func(b *placement.Balancer)
		at     time.Duration // after the first answer
		change func(a *placement.Request)
		want   placement.Decision // of one server: sent there, held or refused
	}{
		{"no rest", func(*placement.Balancer) {}, 0, nil, placement.Assign{}},
		{"at once", func(b *placement.Balancer) { b.BackoffUntil(start, "i-00", start.Add(rest)) }, 0, nil, placement.Refuse{RetryAfter: rest, Reason: placement.BackingOff}},
		{"near its end", func(b *placement.Balancer) { b.BackoffUntil(start, "i-00", start.Add(rest)) }, 2800 * time.Millisecond, nil,
			placement.Hold{Predicted: 200 * time.Millisecond, Reason: placement.BackingOff}},
		{"not well within what the caller has", func(b *placement.Balancer) { b.BackoffUntil(start, "i-00", start.Add(rest)) }, 2500 * time.Millisecond, nil,
			placement.Refuse{RetryAfter: 500 * time.Millisecond, Reason: placement.BackingOff}},
		{"without an objective", func(b *placement.Balancer) { b.BackoffUntil(start, "i-00", start.Add(rest)) }, 0,
			func(a *placement.Request) { a.Objective = 0 }, placement.Hold{Predicted: rest, Reason: placement.BackingOff}},
		{"without an objective, and hardly time", func(b *placement.Balancer) { b.BackoffUntil(start, "i-00", start.Add(rest)) }, 0,
			func(a *placement.Request) { a.Objective, a.Remaining = 0, time.Second }, placement.Refuse{RetryAfter: rest, Reason: placement.BackingOff}},
		{"late already", func(b *placement.Balancer) { b.BackoffUntil(start, "i-00", start.Add(rest)) }, 0,
			func(a *placement.Request) { a.Objective, a.Remaining = -1, time.Second }, placement.Refuse{RetryAfter: rest, Reason: placement.BackingOff}},
		{"at its end", func(b *placement.Balancer) { b.BackoffUntil(start, "i-00", start.Add(rest)) }, rest, nil, placement.Assign{}},
		{"a shorter one during it", func(b *placement.Balancer) {
			b.BackoffUntil(start, "i-00", start.Add(rest))
			b.BackoffUntil(start.Add(time.Second), "i-00", start.Add(2*time.Second))
		}, 2500 * time.Millisecond, nil, placement.Refuse{RetryAfter: 500 * time.Millisecond, Reason: placement.BackingOff}},
		{"a longer one during it", func(b *placement.Balancer) {
			b.BackoffUntil(start, "i-00", start.Add(rest))
			b.BackoffUntil(start.Add(time.Second), "i-00", start.Add(5*time.Second))
		}, 4 * time.Second, nil, placement.Refuse{RetryAfter: time.Second, Reason: placement.BackingOff}},
		{"that has passed", func(b *placement.Balancer) { b.BackoffUntil(start, "i-00", start) }, 0, nil, placement.Assign{}},
		{"of years", func(b *placement.Balancer) { b.BackoffUntil(start, "i-00", start.Add(10000*time.Hour)) }, 0, nil,
			placement.Refuse{RetryAfter: placement.MaxBackoff, Reason: placement.BackingOff}},
		{"of a server that is not known", func(b *placement.Balancer) { b.BackoffUntil(start, "i-99", start.Add(rest)) }, 0, nil, placement.Assign{}},
		{"of the lifetime before", func(b *placement.Balancer) {
			b.BackoffUntil(start, "i-00", start.Add(rest))
			b.SetServers(start, []catalog.Server{{ID: "i-00@7", Service: "s", Hall: "h", Capacity: 6}}, engine)
		}, 0, nil, placement.Assign{}},
		{"and all leave", func(b *placement.Balancer) {
			b.BackoffUntil(start, "i-00", start.Add(rest))
			b.MarkLeaving("i-00")
		}, 2900 * time.Millisecond, nil, placement.NoServer{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := engines(1)
			test.rest(b)
			a := short(1)
			if test.change != nil {
				test.change(a)
			}
			got := b.Place(start.Add(test.at), a)
			if _, sent := test.want.(placement.Assign); sent {
				require.IsType(t, test.want, got)
				return
			}
			require.Equal(t, test.want, got)
		})
	}
}

// TestOthersServeMeanwhile: one that is sound gets all, also if it failed to be reached.
func TestOthersServeMeanwhile(t *testing.T) {
	b := engines(3)
	b.BackoffUntil(start, "i-00", start.Add(time.Minute))
	b.BackoffUntil(start, "i-01", start.Add(time.Minute))
	b.RecordEnd(start, "i-02", false, placement.Unreachable)
	for key := range uint64(50) {
		server, d := sendOwn(b, start.Add(100*time.Millisecond), key)
		require.Equal(t, "i-02", server, "%v", d)
	}
}

// TestFewAfterRest: when rests end, each server gets few requests until it is seen to take
// work, then more in steps.
func TestFewAfterRest(t *testing.T) {
	const rest = time.Second
	end := start.Add(rest)
	for _, servers := range []int{1, 10} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			b := engines(servers)
			for i := range servers {
				b.BackoffUntil(start, fmt.Sprintf("i-%02d", i), end)
			}
			gathered := func(now time.Time) int {
				n := 0
				for key := range uint64(60 * servers) {
					if _, d := sendOwn(b, now, key); d != nil {
						if _, ok := d.(placement.Assign); ok {
							n++
						}
					}
				}
				return n
			}
			require.Zero(t, gathered(end.Add(-time.Millisecond)))
			require.Equal(t, 2*servers, gathered(end), "of all that gathered")
			require.Zero(t, gathered(end.Add(50*time.Millisecond)))
			require.Equal(t, 4*servers, gathered(end.Add(100*time.Millisecond)), "none was turned away")
			for i := range servers {
				b.RecordAccepting(end.Add(150*time.Millisecond), fmt.Sprintf("i-%02d", i))
			}
			require.Equal(t, 8*servers, gathered(end.Add(150*time.Millisecond)), "they are seen to work")
		})
	}
}

// TestTurnedAwayAfterRest: a server that goes on turning requests away after its rest gets few.
func TestTurnedAwayAfterRest(t *testing.T) {
	b := engines(1)
	b.BackoffUntil(start, "i-00", start.Add(time.Second))
	sent := 0
	for ms := range 1000 {
		now := start.Add(time.Second + time.Duration(ms)*time.Millisecond)
		server, _ := sendOwn(b, now, uint64(ms))
		if server != "" {
			sent++
			b.RecordEnd(now, server, true, placement.Rejected)
		}
	}
	require.LessOrEqual(t, sent, 10, "a try in each step")
	require.GreaterOrEqual(t, sent, 9, "or nobody would see that it works again")
}

// TestRestingIsNoSource: nothing is copied from a server that rests.
func TestRestingIsNoSource(t *testing.T) {
	b := placement.NewBalancer(placement.DefaultPolicy())
	copies := func(string) *catalog.Engine {
		return &catalog.Engine{Slots: 64, KVTokens: 500000, BytesPerToken: 1000, LinkMbps: 100000}
	}
	b.SetServers(start, servers(2), copies)
	first := put(b, start, long(7)).(placement.Assign)
	later := start.Add(time.Second)
	a := long(7)
	a.Exclude = []string{first.Server.ID}
	b.BackoffUntil(later, first.Server.ID, later.Add(time.Minute))
	require.Empty(t, b.Place(later, long(7)).(placement.Assign).CopyFrom)
	b.SetServers(later, servers(2), copies)
	b.MarkLeaving(first.Server.ID)
	afterRest := later.Add(2 * time.Minute)
	require.Equal(t, first.Server.Address, b.Place(afterRest, long(7)).(placement.Assign).CopyFrom, "one that leaves is one")
}
