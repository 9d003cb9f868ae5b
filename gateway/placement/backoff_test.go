package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
)

// shortRequest returns a request without shared parts, whose prefill takes milliseconds.
func shortRequest(key uint64) *placement.Request {
	return &placement.Request{
		Service: "s", Hall: "h", PromptTokens: 100, OutputTokens: 10, Objective: 800 * time.Millisecond, Remaining: 12 * time.Second,
		CallerTimeout: 3200 * time.Millisecond, TieBreak: key,
	}
}

// sendOwn places a request of this gateway and records it as sent.
func sendOwn(b *placement.Balancer, now time.Time, key uint64) (server string, d placement.Decision) {
	d = b.Place(now, shortRequest(key))
	if assign, ok := d.(placement.Assign); ok {
		b.RecordSent(now, assign.Load, true)
		return assign.Server.ID, d
	}
	return "", d
}

// TestBackoff: decisions while the only server backs off.
func TestBackoff(t *testing.T) {
	const period = 3 * time.Second
	tests := []struct {
		name   string
		setup  func(b *placement.Balancer)
		at     time.Duration // time since the backoff was asked for
		change func(a *placement.Request)
		want   placement.Decision // with one server: assigned, held or refused
	}{
		{"no backoff", func(*placement.Balancer) {}, 0, nil, placement.Assign{}},
		{"at the start", func(b *placement.Balancer) { b.BackoffUntil(start, "i-00", start.Add(period)) }, 0, nil, placement.Refuse{RetryAfter: period, Reason: placement.BackingOff}},
		{"near its end", func(b *placement.Balancer) { b.BackoffUntil(start, "i-00", start.Add(period)) }, 2800 * time.Millisecond, nil,
			placement.Hold{Predicted: 200 * time.Millisecond, Reason: placement.BackingOff}},
		{"too long for the caller", func(b *placement.Balancer) { b.BackoffUntil(start, "i-00", start.Add(period)) }, 2500 * time.Millisecond, nil,
			placement.Refuse{RetryAfter: 500 * time.Millisecond, Reason: placement.BackingOff}},
		{"no objective", func(b *placement.Balancer) { b.BackoffUntil(start, "i-00", start.Add(period)) }, 0,
			func(a *placement.Request) { a.Objective = 0 }, placement.Hold{Predicted: period, Reason: placement.BackingOff}},
		{"no objective, little time left", func(b *placement.Balancer) { b.BackoffUntil(start, "i-00", start.Add(period)) }, 0,
			func(a *placement.Request) { a.Objective, a.Remaining = 0, time.Second }, placement.Refuse{RetryAfter: period, Reason: placement.BackingOff}},
		{"already late", func(b *placement.Balancer) { b.BackoffUntil(start, "i-00", start.Add(period)) }, 0,
			func(a *placement.Request) { a.Objective, a.Remaining = -1, time.Second }, placement.Refuse{RetryAfter: period, Reason: placement.BackingOff}},
		{"at its end", func(b *placement.Balancer) { b.BackoffUntil(start, "i-00", start.Add(period)) }, period, nil, placement.Assign{}},
		{"shorter backoff during it", func(b *placement.Balancer) {
			b.BackoffUntil(start, "i-00", start.Add(period))
			b.BackoffUntil(start.Add(time.Second), "i-00", start.Add(2*time.Second))
		}, 2500 * time.Millisecond, nil, placement.Refuse{RetryAfter: 500 * time.Millisecond, Reason: placement.BackingOff}},
		{"longer backoff during it", func(b *placement.Balancer) {
			b.BackoffUntil(start, "i-00", start.Add(period))
			b.BackoffUntil(start.Add(time.Second), "i-00", start.Add(5*time.Second))
		}, 4 * time.Second, nil, placement.Refuse{RetryAfter: time.Second, Reason: placement.BackingOff}},
		{"end in the past", func(b *placement.Balancer) { b.BackoffUntil(start, "i-00", start) }, 0, nil, placement.Assign{}},
		{"backoff of years", func(b *placement.Balancer) { b.BackoffUntil(start, "i-00", start.Add(10000*time.Hour)) }, 0, nil,
			placement.Refuse{RetryAfter: placement.MaxBackoff, Reason: placement.BackingOff}},
		{"backoff of an unknown server", func(b *placement.Balancer) { b.BackoffUntil(start, "i-99", start.Add(period)) }, 0, nil, placement.Assign{}},
		{"backoff of an earlier lifetime", func(b *placement.Balancer) {
			b.BackoffUntil(start, "i-00", start.Add(period))
			b.SetServers(start, []catalog.Server{{ID: "i-00@7", Service: "s", Hall: "h", Capacity: 6}}, engine)
		}, 0, nil, placement.Assign{}},
		{"all servers leave", func(b *placement.Balancer) {
			b.BackoffUntil(start, "i-00", start.Add(period))
			b.MarkLeaving("i-00")
		}, 2900 * time.Millisecond, nil, placement.NoServer{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBalancer(1)
			test.setup(b)
			a := shortRequest(1)
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

// TestOtherServersServeDuringBackoff: a server that does not back off gets all requests, even
// if it was ejected as unreachable.
func TestOtherServersServeDuringBackoff(t *testing.T) {
	b := newBalancer(3)
	b.BackoffUntil(start, "i-00", start.Add(time.Minute))
	b.BackoffUntil(start, "i-01", start.Add(time.Minute))
	b.RecordEnd(start, "i-02", false, placement.Unreachable)
	for key := range uint64(50) {
		server, d := sendOwn(b, start.Add(100*time.Millisecond), key)
		require.Equal(t, "i-02", server, "%v", d)
	}
}

// TestSlowStartAfterBackoff: after a backoff each server gets few requests until it is seen to
// accept work, then more in steps.
func TestSlowStartAfterBackoff(t *testing.T) {
	const period = time.Second
	end := start.Add(period)
	for _, servers := range []int{1, 10} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			b := newBalancer(servers)
			for i := range servers {
				b.BackoffUntil(start, fmt.Sprintf("i-%02d", i), end)
			}
			assigned := func(now time.Time) int {
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
			require.Zero(t, assigned(end.Add(-time.Millisecond)))
			require.Equal(t, 2*servers, assigned(end), "of all waiting requests")
			require.Zero(t, assigned(end.Add(50*time.Millisecond)))
			require.Equal(t, 4*servers, assigned(end.Add(100*time.Millisecond)), "none was rejected")
			for i := range servers {
				b.RecordAccepting(end.Add(150*time.Millisecond), fmt.Sprintf("i-%02d", i))
			}
			require.Equal(t, 8*servers, assigned(end.Add(150*time.Millisecond)), "they are seen to accept work")
		})
	}
}

// TestRejectionsAfterBackoff: a server that keeps rejecting requests after its backoff gets
// few.
func TestRejectionsAfterBackoff(t *testing.T) {
	b := newBalancer(1)
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
	require.LessOrEqual(t, sent, 10, "one attempt per step")
	require.GreaterOrEqual(t, sent, 9, "otherwise its recovery would go unnoticed")
}

// TestNoCopyFromBackingOffServer: nothing is copied from a server that backs off.
func TestNoCopyFromBackingOffServer(t *testing.T) {
	b := placement.NewBalancer(placement.DefaultPolicy())
	copies := func(string) *catalog.Engine {
		return &catalog.Engine{Slots: 64, KVTokens: 500000, BytesPerToken: 1000, LinkMbps: 100000}
	}
	b.SetServers(start, servers(2), copies)
	first := place(b, start, longRequest(7)).(placement.Assign)
	later := start.Add(time.Second)
	a := longRequest(7)
	a.Exclude = []string{first.Server.ID}
	b.BackoffUntil(later, first.Server.ID, later.Add(time.Minute))
	require.Empty(t, b.Place(later, longRequest(7)).(placement.Assign).CopyFrom)
	b.SetServers(later, servers(2), copies)
	b.MarkLeaving(first.Server.ID)
	afterBackoff := later.Add(2 * time.Minute)
	require.Equal(t, first.Server.Address, b.Place(afterBackoff, longRequest(7)).(placement.Assign).CopyFrom, "a leaving server may be copied from")
}
