package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
)

// TestCacheQueryTargets: a starting gateway queries a bounded number of servers, those of its hall
// first, and gateways query different ones of the others.
func TestCacheQueryTargets(t *testing.T) {
	list := func(n int) []catalog.Server {
		var servers []catalog.Server
		for i := range n {
			servers = append(servers, catalog.Server{ID: fmt.Sprintf("i-%04d", i), Hall: fmt.Sprintf("hall-%d", i%10)})
		}
		return servers
	}
	require.Equal(t, list(maxCacheQueries), cacheQueryTargets(list(maxCacheQueries), "hall-3", "g1"), "all servers of a small fleet")
	first, second := cacheQueryTargets(list(300), "hall-3", "g1"), cacheQueryTargets(list(300), "hall-3", "g2")
	require.Len(t, first, maxCacheQueries)
	for _, s := range first[:30] {
		require.Equal(t, "hall-3", s.Hall)
	}
	common := 0
	for _, s := range first[30:] {
		for _, other := range second[30:] {
			if s.ID == other.ID {
				common++
			}
		}
	}
	require.Less(t, common, 15, "each queries 34 out of 270")
}
