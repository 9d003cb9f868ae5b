package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
)

// smallCache is an engine whose memory holds two long prompts.
func smallCache(string) *catalog.Engine {
	return &catalog.Engine{Slots: 64, KVTokens: 40000, BytesPerToken: 163840, LinkMbps: 550000}
}

// TestLeastRecentlyUsedGivesWay: what a cache holds depends on what came after, not on
// how long ago it was.
func TestLeastRecentlyUsedGivesWay(t *testing.T) {
	tests := []struct {
		name  string
		after []uint64      // requests that come after the first one
		wait  time.Duration // until the last one
		held  bool
	}{
		{"at once", nil, time.Second, true},
		{"an hour later", nil, time.Hour, true},
		{"one more since", []uint64{1}, time.Second, true},
		{"many more since", []uint64{1, 2, 3, 4}, time.Second, false},
		{"many more, but used between", []uint64{1, 7, 2, 7, 3, 7}, time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := placement.NewBalancer(placement.DefaultPolicy())
			b.SetServers(start, servers(1), smallCache)
			now := start
			cold := put(b, now, long(7)).(placement.Assign).Load.Work
			for _, key := range test.after {
				now = now.Add(time.Second)
				put(b, now, long(key))
			}
			b.PruneCaches()
			work := b.Place(now.Add(test.wait), long(7)).(placement.Assign).Load.Work
			require.Equal(t, test.held, work < cold/2)
		})
	}
}

// TestUnreadPartsAreNoSource: a part can't be copied before it has been read.
func TestUnreadPartsAreNoSource(t *testing.T) {
	b := placement.NewBalancer(placement.DefaultPolicy())
	b.SetServers(start, servers(9), copying)
	first := put(b, start, long(7)).(placement.Assign)
	patient := func() *placement.Request {
		a := long(7)
		a.Objective = 0
		return a
	}
	b.RecordSent(start, placement.Load{Server: first.Server.ID, Work: 3 * time.Second}, false)
	soon := b.Place(start.Add(100*time.Millisecond), patient()).(placement.Assign)
	require.Empty(t, soon.CopyFrom)
	later := b.Place(start.Add(time.Second), patient()).(placement.Assign)
	require.Equal(t, first.Server.Address, later.CopyFrom)
}

// TestHolds: what a server told of its cache counts, until other prompts take its place.
func TestHolds(t *testing.T) {
	b := engines(1)
	a := long(7)
	cold := b.Place(start, a).(placement.Assign).Load.Work
	b.RecordCached(start, "i-00", []uint64{a.Parts[0].Hash})
	b.RecordCached(start, "i-99", []uint64{a.Parts[0].Hash}) // has gone meanwhile
	require.Less(t, b.Place(start, a).(placement.Assign).Load.Work, cold/2)
	for i := range uint64(40) {
		put(b, start.Add(time.Duration(i)*time.Second), long(1000+i))
	}
	require.Equal(t, cold, b.Place(start.Add(time.Minute), a).(placement.Assign).Load.Work)
}
