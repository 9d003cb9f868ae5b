package gateway

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/quarantine"
	"opalbridge.dev/gateway/suspect"
)

// recordingStore is a suspect.Store that records what is written.
type recordingStore struct {
	writes []quarantine.Key // saved and deleted suspects
	saved  map[quarantine.Key]suspect.Suspect
}

func (r *recordingStore) Save(_ context.Context, key quarantine.Key, s suspect.Suspect) error {
	r.writes = append(r.writes, key)
	r.saved[key] = s
	return nil
}

func (r *recordingStore) Delete(_ context.Context, key quarantine.Key) error {
	r.writes = append(r.writes, key)
	return nil
}

func (r *recordingStore) CountTrial(context.Context, quarantine.Key, int) (bool, error) {
	return false, nil
}

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
		store := &recordingStore{saved: map[quarantine.Key]suspect.Suspect{}}
		g.suspects.Store = store
		first := listResult(before-1, 1)
		first.snapshot.Suspects = map[quarantine.Key]quarantine.StoredRecord{quarantined: record(1), deleted: record(0), tried: record(2)}
		g.storeWatcher.applyResult(now, first)
		g.storeWatcher.applyResult(now, sourceResult{since: before - 1, revision: before, changes: []Change{SuspectRemoved{Key: deleted}}})
		restored := listResult(after, 1)
		restored.snapshot.Suspects = map[quarantine.Key]quarantine.StoredRecord{deleted: record(0), tried: record(1)}
		g.storeWatcher.applyResult(now, restored)
		require.True(t, isQuarantined(g, quarantined))
		require.False(t, isQuarantined(g, deleted))
		require.True(t, g.suspects.TrialDue(now.Add(time.Minute), suspect.Subjects{Request: quarantined}), "one trial is left")
		require.False(t, g.suspects.TrialDue(now.Add(time.Minute), suspect.Subjects{Request: tried}), "both trials are used")
		require.Equal(t, 2, g.suspects.Trials(tried))
		writes := func() []quarantine.Key {
			g.suspects.QueueDueRewrites(now.Add(suspect.RewriteJitter))
			require.True(t, g.suspects.Flush(t.Context()))
			slices.SortFunc(store.writes, func(a, b quarantine.Key) int { return slices.Compare(a[:], b[:]) })
			return store.writes
		}
		if !watches {
			require.Empty(t, writes(), "only the gateway that watches for the hall writes")
			continue
		}
		g.storeWatcher.applyResult(now, sourceResult{since: after, revision: after + 1, changes: []Change{SuspectChanged{Key: quarantined, Record: record(1)}}})
		require.Equal(t, []quarantine.Key{deleted, tried}, writes(), "a peer has written the third one")
		require.Len(t, store.saved, 1)
		require.Equal(t, 2, store.saved[tried].Trials)
		g.storeWatcher.expireMissing(now.Add(reconcilePeriod + time.Millisecond))
		require.True(t, isQuarantined(g, quarantined))
	}
}
