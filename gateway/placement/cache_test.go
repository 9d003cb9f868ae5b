package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
)

// smallCache returns an engine whose memory holds two long prompts.
func smallCache(string) *catalog.Engine {
	return &catalog.Engine{Slots: 64, KVTokens: 40000, BytesPerToken: 163840, LinkMbps: 550000}
}

// TestLeastRecentlyUsedEviction: what a cache retains depends on what was added since, not on
// the time passed.
func TestLeastRecentlyUsedEviction(t *testing.T) {
	tests := []struct {
		name  string
		after []uint64      // requests after the first one
		wait  time.Duration // before the last one
		held  bool
	}{
		{"at once", nil, time.Second, true},
		{"an hour later", nil, time.Hour, true},
		{"one other request since", []uint64{1}, time.Second, true},
		{"many others since", []uint64{1, 2, 3, 4}, time.Second, false},
		{"many others, but used in between", []uint64{1, 7, 2, 7, 3, 7}, time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := placement.NewBalancer(placement.DefaultPolicy())
			b.SetServers(start, servers(1), smallCache)
			now := start
			cold := place(b, now, longRequest(7)).(placement.Assign).Load.Work
			for _, key := range test.after {
				now = now.Add(time.Second)
				place(b, now, longRequest(key))
			}
			b.PruneCaches()
			work := b.Place(now.Add(test.wait), longRequest(7)).(placement.Assign).Load.Work
			require.Equal(t, test.held, work < cold/2)
		})
	}
}

// TestNoCopyBeforePrefill: a part cannot be copied before its prefill has ended.
func TestNoCopyBeforePrefill(t *testing.T) {
	b := placement.NewBalancer(placement.DefaultPolicy())
	b.SetServers(start, servers(9), copyEngine)
	first := place(b, start, longRequest(7)).(placement.Assign)
	patient := func() *placement.Request {
		a := longRequest(7)
		a.Objective = 0
		return a
	}
	b.RecordSent(start, placement.Load{Server: first.Server.ID, Work: 3 * time.Second}, false)
	soon := b.Place(start.Add(100*time.Millisecond), patient()).(placement.Assign)
	require.Empty(t, soon.CopyFrom)
	later := b.Place(start.Add(time.Second), patient()).(placement.Assign)
	require.Equal(t, first.Server.Address, later.CopyFrom)
}

// TestReportedParts: parts that a server reports count as cached until other prompts evict
// them.
func TestReportedParts(t *testing.T) {
	b := newBalancer(1)
	a := longRequest(7)
	cold := b.Place(start, a).(placement.Assign).Load.Work
	b.RecordCached(start, "i-00", []uint64{a.Parts[0].Hash})
	b.RecordCached(start, "i-99", []uint64{a.Parts[0].Hash}) // the server has gone in the meantime
	require.Less(t, b.Place(start, a).(placement.Assign).Load.Work, cold/2)
	for i := range uint64(40) {
		place(b, start.Add(time.Duration(i)*time.Second), longRequest(1000+i))
	}
	require.Equal(t, cold, b.Place(start.Add(time.Minute), a).(placement.Assign).Load.Work)
}
