package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/peer/peerpb"
	"opalbridge.dev/gateway/warmup"
)

// TestClaimRankingFollowsDemand checks that a gateway with much demand and few running
// requests holds a share of the cold servers that matches its demand.
//
// Only the holder of a cold server sends requests there. When gateways ranked by running
// requests alone, a gateway whose own servers were gone or full had few running and held 0
// of 28 cold servers. It refused 264 requests a second while others sent theirs to the cold
// servers, and for six seconds its account got a third of what others got.
func TestClaimRankingFollowsDemand(t *testing.T) {
	now := time.Now()
	d := newTestDispatcher(t, now, 1)
	d.settings.Address = "10.0.0.1"
	for range 300 { // most of them refused
		d.handle(now, requestArrived{service: "s", account: "a", tokens: 6000})
	}
	d.updateShares(now)
	for n := range 5 {
		from := fmt.Sprintf("10.0.1.%d", n)
		running := map[uint64]int{}
		for server := range uint64(10) {
			running[server] = 3
		}
		d.applyUpdate(now, peer.Update{From: from, Alive: true, Full: true, Running: running, HasDemands: true, Demands: []*peerpb.Demand{{Account: "b", Asked: 200_000}}})
	}
	first := 0
	const servers = 400
	for n := range servers {
		rank := d.claimRanking()
		if rank(warmup.Server{Claim: warmup.Claim{Server: fmt.Sprint("i-", n)}}) == 0 {
			first++
		}
	}
	// The demand at this gateway is 1.8 of 2.8 million tokens, with no running requests.
	require.Greater(t, first, servers/4)
	require.Less(t, first, servers*3/4)
	t.Logf("figure cold-servers-held-by-the-starved %.0f %%", 100*float64(first)/servers)
}
