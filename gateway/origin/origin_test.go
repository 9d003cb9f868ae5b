package origin_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/origin"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRegistry(t *testing.T) {
	a, b := origin.AttemptOf("t1", "a"), origin.AttemptOf("t1", "b")
	v1, v2, v3 := origin.VersionOf("s", "v1"), origin.VersionOf("s", "v2"), origin.VersionOf("s", "v3")
	report := func(a origin.Attempt, v origin.Version, seconds int) origin.Origin {
		return origin.Origin{Attempt: a, Version: v, Expires: start.Add(time.Duration(seconds) * time.Second)}
	}
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	tests := []struct {
		name    string
		reports []origin.Origin
		now     time.Time
		want    origin.Finding
	}{
		{"nothing reported", nil, start, origin.Unknown{}},
		{"reported", []origin.Origin{report(a, v1, 9)}, start, origin.Known{Version: v1, Expires: at(9)}},
		{"another attempt", []origin.Origin{report(b, v1, 9)}, start, origin.Unknown{}},
		{"repeated", []origin.Origin{report(a, v1, 9), report(a, v1, 5)}, start, origin.Known{Version: v1, Expires: at(9)}},
		{"extended", []origin.Origin{report(a, v1, 5), report(a, v1, 9)}, at(6), origin.Known{Version: v1, Expires: at(9)}},
		{"expired", []origin.Origin{report(a, v1, 9)}, at(9), origin.Unknown{}},
		{"expired when reported", []origin.Origin{report(a, v1, 0)}, start, origin.Unknown{}},
		{"two versions", []origin.Origin{report(a, v1, 9), report(a, v2, 9)}, start, origin.Ambiguous{Versions: [2]origin.Version{v1, v2}, Expires: at(9)}},
		{"two versions, one again", []origin.Origin{report(a, v1, 9), report(a, v2, 9), report(a, v1, 9)}, start, origin.Ambiguous{Versions: [2]origin.Version{v1, v2}, Expires: at(9)}},
		{"three versions", []origin.Origin{report(a, v1, 9), report(a, v2, 9), report(a, v3, 9)}, start, origin.Ambiguous{Versions: [2]origin.Version{v1, v2}, Expires: at(9)}},
		{"unknown version", []origin.Origin{report(a, 0, 9)}, start, origin.Unknown{}},
		{"unknown version after a known one", []origin.Origin{report(a, v1, 9), report(a, 0, 9)}, start, origin.Known{Version: v1, Expires: at(9)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := origin.NewRegistry()
			for _, o := range test.reports {
				r.Add(start, o)
			}
			require.Equal(t, test.want, r.Find(test.now, a))
		})
	}
}

func TestRegistryIsBounded(t *testing.T) {
	r := origin.NewRegistry()
	v := origin.VersionOf("s", "v1")
	attempt := func(i int) origin.Attempt { return origin.AttemptOf("", fmt.Sprint(i)) }
	for i := range origin.MaxOrigins + 10 {
		r.Add(start, origin.Origin{Attempt: attempt(i), Version: v, Expires: start.Add(time.Minute)})
	}
	require.Equal(t, origin.MaxOrigins, r.Len())
	require.Equal(t, origin.Unknown{}, r.Find(start, attempt(9)), "the first ones are forgotten")
	require.IsType(t, origin.Known{}, r.Find(start, attempt(10)))
	later := start.Add(time.Hour)
	r.Add(later, origin.Origin{Attempt: attempt(0), Version: v, Expires: later.Add(time.Minute)})
	require.Equal(t, 1, r.Len(), "what has expired is forgotten")
}

// TestIdentities checks what is kept apart.
func TestIdentities(t *testing.T) {
	attempts := []origin.Attempt{
		origin.AttemptOf("t1", "a"), origin.AttemptOf("t2", "a"), origin.AttemptOf("t1", "A"), origin.AttemptOf("", "t1a"), origin.AttemptOf("t1a", ""),
	}
	require.Len(t, slices.Compact(slices.Sorted(slices.Values(attempts))), len(attempts))
	versions := []origin.Version{
		origin.VersionOf("s", "v1"), origin.VersionOf("s", "v1 "), origin.VersionOf("s", "V1"), origin.VersionOf("sv", "1"), origin.VersionOf("s2", "v1"),
	}
	require.Len(t, slices.Compact(slices.Sorted(slices.Values(versions))), len(versions))
	require.Zero(t, origin.VersionOf("s", ""))
}

func TestReplicas(t *testing.T) {
	gateways := make([]uint32, 50)
	for i := range gateways {
		gateways[i] = 0x0a010000 + uint32(i)
	}
	shuffled := slices.Clone(gateways)
	slices.Reverse(shuffled)
	count := map[uint32]int{}
	for i := range 2000 {
		a := origin.AttemptOf("t", fmt.Sprint(i))
		told := origin.Replicas(a, gateways, origin.ReplicaCount)
		require.Len(t, told, origin.ReplicaCount)
		require.Equal(t, told, origin.Replicas(a, shuffled, origin.ReplicaCount), "whatever the order of the gateways")
		asked := origin.Replicas(a, append([]uint32{1, 2}, slices.DeleteFunc(slices.Clone(gateways), func(g uint32) bool { return g == told[0] })...), origin.AskedCount)
		require.Subset(t, asked, told[1:], "one has gone, two have started")
		for _, g := range told {
			count[g]++
		}
	}
	for g, n := range count {
		require.InDelta(t, 2000*origin.ReplicaCount/50, n, 50, "gateway %x", g)
	}
	require.Len(t, origin.Replicas(1, gateways[:2], origin.ReplicaCount), 2)
	require.Empty(t, origin.Replicas(1, nil, origin.ReplicaCount))
}

func TestHistory(t *testing.T) {
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	v1, v2, none := origin.Serving{Service: "s", Version: "v1"}, origin.Serving{Service: "s", Version: "v2"}, origin.Serving{Service: "s"}
	other := origin.Serving{Service: "other", Version: "v9"}
	type seen struct {
		at       int
		servers  []origin.Serving
		complete bool
	}
	tests := []struct {
		name string
		seen []seen
		now  int
		want string // empty: not known
	}{
		{"one version for long enough", []seen{{0, []origin.Serving{v1, other}, true}, {10, []origin.Serving{v1}, true}}, 10, "v1"},
		{"not for long enough", []seen{{1, []origin.Serving{v1}, true}, {10, []origin.Serving{v1}, true}}, 10, ""},
		{"two versions", []seen{{0, []origin.Serving{v1}, true}, {10, []origin.Serving{v1, v2}, true}}, 10, ""},
		{"the other one gone", []seen{{0, []origin.Serving{v1, v2}, true}, {5, []origin.Serving{v2}, true}}, 9, ""},
		{"the other one gone long ago", []seen{{0, []origin.Serving{v1, v2}, true}, {11, []origin.Serving{v2}, true}}, 11, "v2"},
		{"no version", []seen{{0, []origin.Serving{none}, true}, {10, []origin.Serving{none}, true}}, 10, ""},
		{"one without a version", []seen{{0, []origin.Serving{v1, none}, true}, {10, []origin.Serving{v1}, true}}, 10, ""},
		{"servers may have been missed", []seen{{0, []origin.Serving{v1}, true}, {5, []origin.Serving{v1}, false}, {10, []origin.Serving{v1}, true}}, 10, ""},
		{"no server", []seen{{0, nil, true}}, 10, ""},
		{"nothing observed", nil, 10, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var h origin.History
			for _, s := range test.seen {
				h.Observe(at(s.at), s.servers, s.complete)
			}
			version, ok := h.Only(at(test.now), "s", 10*time.Second)
			require.Equal(t, test.want, version)
			require.Equal(t, test.want != "", ok)
		})
	}
}

// TestHistoryHandedOver checks what a gateway that has started knows from another one.
func TestHistoryHandedOver(t *testing.T) {
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	v1, v2 := origin.Serving{Service: "s", Version: "v1"}, origin.Serving{Service: "s", Version: "v2"}
	tests := []struct {
		name   string
		before []origin.Serving // that the other gateway saw before
		known  bool             // the other gateway knows all of it
		want   string
	}{
		{"one version", []origin.Serving{v1}, true, "v1"},
		{"another one before", []origin.Serving{v1, v2}, true, ""},
		{"the other one may have missed some", []origin.Serving{v1}, false, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var old, young origin.History
			old.Observe(at(0), test.before, true)
			old.Observe(at(14), []origin.Serving{v1}, test.known)
			young.Observe(at(15), []origin.Serving{v1}, true)
			young.Merge(at(15), old.Record(at(15)))
			young.Observe(at(16), []origin.Serving{v1}, true)
			version, ok := young.Only(at(16), "s", 16*time.Second)
			require.Equal(t, test.want, version)
			require.Equal(t, test.want != "", ok)
		})
	}
}

func BenchmarkAttemptOf(b *testing.B) {
	for b.Loop() {
		origin.AttemptOf("account", "7ae675e9acf8fa65")
	}
}

// BenchmarkReplicas measures the choice of replicas at fleet sizes.
func BenchmarkReplicas(b *testing.B) {
	for _, size := range []int{10, 30, 100, 300, 2400} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			gateways := make([]uint32, size)
			for i := range gateways {
				gateways[i] = 0x0a010000 + uint32(i)
			}
			for i := 0; b.Loop(); i++ {
				origin.Replicas(origin.Attempt(i*7919), gateways, origin.ReplicaCount)
			}
		})
	}
}
