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

// What users saw: for six seconds an account got a third of what others got, although all of
// them were refused in each second. A hall had been emptied and was taken back while the
// servers of another one started again, so 28 of 41 servers were cold. Each cold server gets
// only the requests of the gateway that holds it, and gateways with more requests in hand
// held more of them. The account's callers came to one gateway, whose servers were all gone
// or full: it had little in hand, held 0 of the 28, and refused 264 requests a second, while
// others served theirs on the cold ones.
//
// TestDrawIsEven: names that differ in their last signs are drawn apart. Without mixing the
// sum, a tenth of the range got 10 of these 1,000.
func TestDrawIsEven(t *testing.T) {
	const names, parts = 1000, 10
	var found [parts]int
	for n := range names {
		found[int(parts*unitHash(fmt.Sprint("10.0.0.1/i-", n)))]++
	}
	for part, n := range found {
		require.InDelta(t, names/parts, n, names/parts/2, "part %d", part)
	}
}

// TestHoldersHaveTheDemand: a gateway that is asked for much and can send little holds cold
// servers as its demand is of all demand.
func TestHoldersHaveTheDemand(t *testing.T) {
	now := time.Now()
	d := newTestDispatcher(t, now, 1)
	d.settings.Address = "10.0.0.1"
	for range 300 { // refused, most of them
		d.handle(now, requestArrived{service: "s", account: "a", tokens: 6000})
	}
	d.settle(now)
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
		rank := d.ranking()
		if rank(warmup.Server{Claim: warmup.Claim{Server: fmt.Sprint("i-", n)}}) == 0 {
			first++
		}
	}
	// 1.8 of 2.8 million tokens are asked of it, and nothing is in hand.
	require.Greater(t, first, servers/4)
	require.Less(t, first, servers*3/4)
	t.Logf("figure cold-servers-held-by-the-starved %.0f %%", 100*float64(first)/servers)
}
