package peer_test

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/peer"
)

var fleetSizes = flag.String("fleet-sizes", "10,30", "numbers of nodes in TestCrashReachesAll")

// crashSpread is the time in which all nodes of a fleet must learn of a crash.
const crashSpread = 100 * time.Millisecond

// TestCrashReachesAll checks that the parts of a crash reach all nodes soon, without a store, and
// measures what that costs.
func TestCrashReachesAll(t *testing.T) {
	for _, text := range strings.Split(*fleetSizes, ",") {
		size, err := strconv.Atoi(text)
		require.NoError(t, err)
		t.Run(text, func(t *testing.T) {
			members := joinHalls(t, 5, size/5)
			var times []time.Duration
			for n := range 5 {
				times = append(times, spreadCrash(t, members, n))
				time.Sleep(time.Second) // it is sent again meanwhile
			}
			slices.Sort(times)
			t.Logf("figure crash-spread-%d %d ms in the median, %d ms at most of five", size, times[2].Milliseconds(), times[4].Milliseconds())
			require.Less(t, times[2], crashSpread)
		})
	}
}

// spreadCrash publishes a crash at a node and returns how long it takes to reach all others.
func spreadCrash(t *testing.T, members []*member, n int) time.Duration {
	t.Helper()
	c := peer.Crash{Server: fmt.Sprintf("i-%d@5", n), At: time.Now(), Parts: []peer.Part{{Key: peer.Key{byte(n)}, Request: peer.Key{1}, Account: "a"}}}
	began := time.Now()
	members[n].node.PublishCrash(c)
	for i, m := range members {
		if i == n {
			continue
		}
		eventually(t, fmt.Sprintf("node %d learns of it", i), func() bool { return m.knowsCrash(c.Server) })
	}
	return time.Since(began)
}

func (m *member) knowsCrash(server string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.ContainsFunc(m.crashes, func(c peer.Crash) bool { return c.Server == server && len(c.Parts) == 1 })
}
