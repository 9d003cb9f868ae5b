package router

import (
	"cmp"
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"opalbridge.dev/explain"
	"opalbridge.dev/kv"
)

const (
	// maxListReadsPerSecond bounds the reads of the live list by all routers
	// together.
	maxListReadsPerSecond = 200
	minListReadInterval   = 2 * time.Second
	// dutyReplicas is how many routers of a hall perform a shared duty at once.
	dutyReplicas = 2
)

// members polls the platform's list of live hosts. The list lags and may be wrong,
// so only connections and the assignment of shared duties depend on it: an error
// costs accuracy or bandwidth, never correctness.
type members struct {
	router     *Router
	mutex      sync.Mutex
	hosts      []kv.Host
	changeCh   chan struct{}
	unreadable bool
}

func (m *members) run(ctx context.Context) {
	for {
		m.read(ctx)
		if !sleep(ctx, m.interval()) {
			return
		}
	}
}

// interval grows with the number of routers, so that the total rate of reads stays
// bounded.
func (m *members) interval() time.Duration {
	routers := len(m.routers())
	d := max(minListReadInterval, time.Duration(routers)*time.Second/maxListReadsPerSecond)
	return d/2 + rand.N(d)
}

func (m *members) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, minListReadInterval)
	defer cancel()
	hosts, err := m.router.options.Directory.Hosts(ctx)
	if err != nil {
		m.recordFailure(err)
		return
	}
	slices.SortFunc(hosts, func(a, b kv.Host) int { return cmp.Compare(a.Name, b.Name) })
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.unreadable {
		m.unreadable = false
		m.router.record(explain.Event{Kind: explain.Repair, Text: "the platform's live list is readable again"})
	}
	if slices.Equal(hosts, m.hosts) {
		return
	}
	m.hosts = hosts
	if m.changeCh != nil {
		close(m.changeCh)
		m.changeCh = nil
	}
}

// recordFailure reports the start of an outage. The last list stays in use.
func (m *members) recordFailure(err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.unreadable {
		return
	}
	m.unreadable = true
	m.router.record(explain.Event{Kind: explain.Degrade, Text: "the platform's live list cannot be read: " + err.Error()})
	m.router.options.Log.Warn().Err(err).Msg("failed to read live list")
}

// degraded reports whether the latest read of the list failed.
func (m *members) degraded() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.unreadable
}

// changed returns a channel that is closed at the next change of the list.
func (m *members) changed() <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.changeCh == nil {
		m.changeCh = make(chan struct{})
	}
	return m.changeCh
}

func (m *members) list(keep func(kv.Host) bool) []kv.Host {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var list []kv.Host
	for _, h := range m.hosts {
		if keep(h) {
			list = append(list, h)
		}
	}
	return list
}

func (m *members) routers() []kv.Host {
	return m.list(func(h kv.Host) bool { return h.Role == kv.Router && !h.Leaving })
}

// aggregators returns the routers that aggregate a hall's counters, by the current
// list.
func (m *members) aggregators(hall string) []kv.Host {
	return highestByHash("summing/"+hall, m.routersIn(hall), dutyReplicas)
}

func (m *members) routersIn(hall string) []kv.Host {
	return m.list(func(h kv.Host) bool {
		return h.Role == kv.Router && !h.Leaving && h.Hall == hall
	})
}

// aggregationHall returns the hall whose routers aggregate the counters of agents
// in the given hall: the same, or for a hall without routers another one, chosen by
// rendezvous hashing.
func (m *members) aggregationHall(hall string) string {
	halls := m.routerHalls()
	if len(halls) == 0 || slices.Contains(halls, hall) {
		return hall
	}
	return slices.MaxFunc(halls, func(a, b string) int {
		return cmp.Compare(rendezvous(hall, a), rendezvous(hall, b))
	})
}

// routerHalls returns the halls that have a router, sorted.
func (m *members) routerHalls() []string {
	var halls []string
	for _, h := range m.routers() {
		if !slices.Contains(halls, h.Hall) {
			halls = append(halls, h.Hall)
		}
	}
	slices.Sort(halls)
	return halls
}

// holdsDuty reports whether this router performs one of its hall's shared duties. A
// router that knows no list performs all of them.
func (m *members) holdsDuty(duty string) bool {
	all := m.routersIn(m.router.options.Hall)
	if len(all) == 0 {
		return true
	}
	selected := highestByHash(duty+"/"+m.router.options.Hall, all, dutyReplicas)
	return slices.ContainsFunc(selected, func(h kv.Host) bool { return h.Name == m.router.options.Name })
}

// desiredAgents returns the agents this router connects to: of each pool a subset
// of the configured degree, and all agents whose counters it aggregates.
func (m *members) desiredAgents() []kv.Host {
	all := m.list(func(h kv.Host) bool { return h.Role == kv.Agent })
	degree := m.router.options.Degree
	if degree == 0 || len(all) <= degree {
		return all
	}
	desired := map[string]kv.Host{}
	for _, hosts := range m.byPool(all) {
		for _, h := range highestByHash(m.router.options.Name, hosts, degree) {
			desired[h.Name] = h
		}
	}
	if m.router.aggregator.isActive() {
		for _, h := range all {
			if m.aggregationHall(h.Hall) == m.router.options.Hall {
				desired[h.Name] = h
			}
		}
	}
	list := make([]kv.Host, 0, len(desired))
	for _, h := range desired {
		list = append(list, h)
	}
	return list
}

func (m *members) byPool(agents []kv.Host) map[string][]kv.Host {
	pools := map[string][]kv.Host{}
	c := m.router.holder.Current()
	for _, h := range agents {
		if s := c.Server(h.Name); s != nil {
			for _, p := range s.Pools {
				pools[p] = append(pools[p], h)
			}
		}
	}
	return pools
}

// highestByHash returns the n hosts with the highest rendezvous hash for a key.
func highestByHash(key string, hosts []kv.Host, n int) []kv.Host {
	type ranked struct {
		hash uint64
		host kv.Host
	}
	list := make([]ranked, len(hosts))
	for i, h := range hosts {
		list[i] = ranked{hash: rendezvous(key, h.Name), host: h}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if c := cmp.Compare(b.hash, a.hash); c != 0 {
			return c
		}
		return cmp.Compare(a.host.Name, b.host.Name)
	})
	var selected []kv.Host
	for _, r := range list[:min(n, len(list))] {
		selected = append(selected, r.host)
	}
	return selected
}

// rendezvous returns the rendezvous hash of a key and a name; the name with the
// highest hash owns the key.
func rendezvous(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	// FNV-1a mixes the last bytes poorly, so finalize its result as MurmurHash3 does.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
