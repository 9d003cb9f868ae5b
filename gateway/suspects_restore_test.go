package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/quarantine"
)

// TestSuspectsAfterRestore: a suspect that the backup lacks stays quarantined and is written
// again once, with its trials; one that was deleted and is in the backup is deleted again.
func TestSuspectsAfterRestore(t *testing.T) {
	quarantined, deleted, tried := quarantine.Key{1}, quarantine.Key{2}, quarantine.Key{3}
	record := func(trials int) quarantine.StoredRecord {
		return quarantine.StoredRecord{Servers: []string{"a", "b", "c"}, Simultaneous: true, Trials: trials}
	}
	before, after := catalog.NewRevision(1, 90), catalog.NewRevision(2, 80)
	for _, watches := range []bool{true, false} {
		now := time.Now()
		g := newIdleGateway(t)
		g.watchesStore.Store(watches)
		g.suspects.store = &faultyStore{}
		first := listResult(before-1, 1)
		first.snapshot.Suspects = map[quarantine.Key]quarantine.StoredRecord{quarantined: record(1), deleted: record(0), tried: record(2)}
		g.storeWatcher.applyResult(now, first)
		g.storeWatcher.applyResult(now, sourceResult{since: before - 1, revision: before, changes: []Change{SuspectRemoved{Key: deleted}}})
		restored := listResult(after, 1)
		restored.snapshot.Suspects = map[quarantine.Key]quarantine.StoredRecord{deleted: record(0), tried: record(1)}
		g.storeWatcher.applyResult(now, restored)
		require.True(t, g.suspects.isQuarantined(quarantined))
		require.False(t, g.suspects.isQuarantined(deleted))
		require.Equal(t, 2, g.suspects.trials[tried].count)
		writes := func() []quarantine.Key {
			g.suspects.queueDueRewrites(now.Add(rewriteJitter))
			list := make([]quarantine.Key, 0, len(g.suspects.pendingWrites))
			for k := range g.suspects.pendingWrites {
				list = append(list, k)
			}
			slices.SortFunc(list, func(a, b quarantine.Key) int { return slices.Compare(a[:], b[:]) })
			return list
		}
		if !watches {
			require.Empty(t, writes(), "only the gateway that watches for the hall writes")
			continue
		}
		g.storeWatcher.applyResult(now, sourceResult{since: after, revision: after + 1, changes: []Change{SuspectChanged{Key: quarantined, Record: record(1)}}})
		require.Equal(t, []quarantine.Key{deleted, tried}, writes(), "a peer has written the third one")
		g.storeWatcher.expireMissing(now.Add(reconcilePeriod + time.Millisecond))
		require.True(t, g.suspects.isQuarantined(quarantined))
	}
}
