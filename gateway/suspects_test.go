package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/quarantine"
	"opalbridge.dev/gateway/suspect"
)

// isQuarantined reports whether a gateway quarantines a request.
func isQuarantined(g *Gateway, key quarantine.Key) bool {
	return g.suspects.Bars(suspect.Subjects{Request: key})
}

// transferView hands the view of one gateway over to another one.
func transferView(t *testing.T, now time.Time, from, to *Gateway, change func(d *viewDocument)) {
	t.Helper()
	raw, err := from.encodedView(now, to.viewQuery())
	require.NoError(t, err)
	var d viewDocument
	require.NoError(t, json.Unmarshal(raw, &d))
	change(&d)
	p := d.peerView(now)
	p.from = "x"
	p.snapshot.Configuration = from.view.Load().Configuration
	to.storeWatcher.applyPeerView(now, p)
}

func unchanged(*viewDocument) {}

// TestSuspectsInPeerView: a gateway learns of quarantined requests from a peer's view, full or
// partial, and keeps them when a peer's version knows of no suspects.
func TestSuspectsInPeerView(t *testing.T) {
	now := time.Now()
	first := sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Revision: 3, Suspects: map[quarantine.Key]quarantine.StoredRecord{{1}: {Servers: []string{"a", "b", "c"}}}}}
	from, to := newIdleGateway(t), newIdleGateway(t)
	from.storeWatcher.applyResult(now, first)
	transferView(t, now, from, to, unchanged)
	require.True(t, isQuarantined(to, quarantine.Key{1}), "full view")
	from.storeWatcher.applyResult(now, sourceResult{since: 3, revision: 5, changes: []Change{
		SuspectChanged{Key: quarantine.Key{2}, Record: quarantine.StoredRecord{Servers: []string{"a", "b", "d"}, Simultaneous: true, Trials: 1}}, SuspectRemoved{Key: quarantine.Key{1}},
	}})
	transferView(t, now, from, to, func(d *viewDocument) { require.True(t, d.Partial) })
	require.True(t, isQuarantined(to, quarantine.Key{2}))
	require.Equal(t, from.view.Load().Suspects, to.view.Load().Suspects, "including ambiguous suspects")
	require.False(t, isQuarantined(to, quarantine.Key{1}), "the suspect was removed")
	from.storeWatcher.applyResult(now, sourceResult{since: 5, revision: 7, changes: []Change{ServerChanged{Server: readyServer("i-1")}}})
	transferView(t, now, from, to, func(d *viewDocument) {
		*d = viewDocument{Servers: d.Servers, Revision: d.Revision}
	})
	require.Equal(t, []string{"i-1"}, to.serverIDs())
	require.True(t, isQuarantined(to, quarantine.Key{2}))
}
