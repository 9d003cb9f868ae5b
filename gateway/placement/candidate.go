package placement

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a server with the predicted latency and the cost of sending the request there.
type candidate struct {
	server           *server
	copyFrom         *server       // source from which cached parts are copied; nil: none
	uncachedTokens   int           // prompt tokens that are not in its cache
	work             time.Duration // nominal prefill time of what is neither cached nor copied
	queueTime        time.Duration // until prefill begins, including copies and crowding
	prefillTime      time.Duration // prefill of this prompt
	sharedMissTokens int           // tokens of shared parts that are prefilled here although another server may have them
	predicted        time.Duration // time until the first event
	cost             time.Duration // orders candidates
	pause            time.Duration // longest pause of the streams there; 0: unknown
	lateShare        float64       // share of these streams that is late because of it
	pauseCost        time.Duration // of cost: what these streams lose
}

// evaluate returns the candidate for a server; from is the server of its version that caches most
// of the prompt.
func (b *Balancer) evaluate(now time.Time, req *Request, s *server, from cacheHolder) candidate {
	cached, missing := s.cache.match(req)
	c := candidate{server: s, uncachedTokens: req.PromptTokens - cached}
	copied, copying := 0, time.Duration(0)
	if from.server != nil && from.server != s && from.tokens-cached >= b.policy.MinCopyTokens {
		c.copyFrom = from.server
		copied = from.tokens - cached
		copying = b.copyTime(copied, s, from.server)
	}
	c.work = b.policy.prefillTime(c.uncachedTokens-copied, req.PromptTokens)
	crowding := b.crowdingDelay(s)
	c.queueTime = max(s.busyUntil.Sub(now), 0) + copying + crowding
	c.prefillTime = s.timeFor(now, c.work)
	c.predicted = c.queueTime + c.prefillTime + s.speed.firstEventTime()
	c.cost = b.delayCost(req, c.predicted-crowding) + crowding + b.secondaryCost(now, req, s)
	c.cost += scale(copying, b.policy.CopyWeight)
	// Recomputing a shared part also delays the requests behind this one.
	c.sharedMissTokens = max(missing-copied, 0)
	c.cost += scale(s.timeFor(now, b.policy.prefillTime(c.sharedMissTokens, c.sharedMissTokens)), b.policy.RecomputeWeight)
	c.pause, c.lateShare = s.pauseAfter(now, c.prefillTime)
	c.pauseCost = s.pauseCost(c.lateShare)
	c.cost += c.pauseCost
	return c
}

// secondaryCost returns the costs unrelated to load: recent failures, random jitter and the
// distance to the server.
func (b *Balancer) secondaryCost(now time.Time, req *Request, s *server) time.Duration {
	cost := scale(b.policy.FailureCost, s.failureRate(now))
	cost += time.Duration(rendezvousScore(req.TieBreak, s.idHash) % uint64(b.policy.CostJitter))
	switch {
	case b.regions[s.Hall] != b.regions[req.Hall]:
		cost += b.policy.CrossRegionDelay
	case s.Hall != req.Hall:
		cost += b.policy.CrossHallDelay
	}
	return cost
}

// crowdingDelay returns the delay expected of a server that runs nearly as many requests as
// it has slots. A server of whose slots nothing is known does not count as crowded.
func (b *Balancer) crowdingDelay(s *server) time.Duration {
	if !s.knowsSlots() {
		return 0
	}
	over := s.localRunning + s.remoteRunning - s.slots() + b.policy.SlotHeadroom
	return time.Duration(max(over, 0)) * b.policy.SlotDelay
}

// targets returns the servers that may prefill the request's shared prefix, or all servers once one
// of them caches most of it, since copies are cheap. It also returns the holders of the prompt.
func (b *Balancer) targets(now time.Time, req *Request, servers []*server) ([]*server, cacheHolders) {
	holders := b.cacheHolders(now, req)
	if _, shared := sharedPrefix(req); float64(holders.mostTokens()) >= b.policy.MinCachedFraction*float64(shared) && len(holders) > 0 {
		return servers, holders
	}
	return b.affinityServers(now, req, servers), holders
}

// cheapest returns the cheapest candidate among the targets of a request, and the server that it goes
// past because of pauses.
func (b *Balancer) cheapest(now time.Time, req *Request, servers []*server) (candidate, Avoided) {
	targets, holders := b.targets(now, req, servers)
	candidates := make([]candidate, 0, len(targets))
	for _, s := range targets {
		candidates = append(candidates, b.evaluate(now, req, s, holders[s.Version]))
	}
	return cheapestWithPauses(candidates)
}

// cheapestIdle returns the cheapest server that has no backlog and caches nearly all shared
// parts of the request. A request beyond its account's share delays no other request there,
// and no cache fills up with parts that other servers hold. ok is false if there is none.
func (b *Balancer) cheapestIdle(now time.Time, req *Request, servers []*server) (best candidate, ok bool) {
	for _, s := range servers {
		if s.busyUntil.After(now) || !b.hasSurplusSlots(req, s) {
			continue
		}
		if _, missing := s.cache.match(req); missing > b.policy.MaxSurplusMissTokens {
			continue
		}
		c := b.evaluate(now, req, s, cacheHolder{})
		if c.queueTime > 0 || c.predicted > b.latencyLimit(req) {
			continue
		}
		if !ok || c.cost < best.cost {
			best, ok = c, true
		}
	}
	return best, ok
}

// cacheHolder is a server and how much of a prompt it caches.
type cacheHolder struct {
	server *server // nil: no server holds enough to be worth a copy
	tokens int
}

// cacheHolders are the servers that cache most of a prompt, by software version: versions need not
// understand each other's caches.
type cacheHolders map[string]cacheHolder

// mostTokens returns how much of the prompt the best of them caches.
func (h cacheHolders) mostTokens() int {
	most := 0
	for _, c := range h {
		most = max(most, c.tokens)
	}
	return most
}

// cacheHolders returns the servers that cache most of a prompt, of those that other servers can
// copy from. A leaving server qualifies; one that has already been tried does not.
func (b *Balancer) cacheHolders(now time.Time, req *Request) cacheHolders {
	var best cacheHolders
	for _, s := range b.services[req.Service] {
		if !s.engine.SupportsCacheCopy() || now.Before(s.ejectedUntil) || now.Before(s.backoff.until) || !b.inAllowedRegion(req, s) || slices.Contains(req.Exclude, s.ID) {
			continue
		}
		cached := s.cache.readyTokens(now, req)
		if cached < b.policy.MinCopyTokens || cached <= best[s.Version].tokens {
			continue
		}
		if best == nil {
			best = cacheHolders{}
		}
		best[s.Version] = cacheHolder{server: s, tokens: cached}
	}
	return best
}

// copyTime returns the time to copy so many tokens from one server's cache to another's.
func (b *Balancer) copyTime(tokens int, to, from *server) time.Duration {
	bytes := float64(tokens) * float64(from.engine.BytesPerToken)
	bytesPerMS := from.engine.LinkMbps * 1e6 / 8 / 1e3
	d := time.Duration(bytes / bytesPerMS * float64(time.Millisecond))
	if to.Hall != from.Hall {
		d *= 2
	}
	return d + b.policy.CopySetup
}

// delayCost weights the time to the first event by how close it comes to the objective, so
// that cache reuse takes precedence while there is time.
func (b *Balancer) delayCost(req *Request, predicted time.Duration) time.Duration {
	limit := b.latencyLimit(req)
	if limit <= 0 || predicted >= limit {
		return predicted
	}
	early := b.policy.MinDelayWeight
	return scale(predicted, early+(1-early)*float64(predicted)/float64(limit))
}

// affinityServers returns the servers that may prefill the request's shared prefix: the
// first few by rendezvous hashing, which is the same at every gateway and changes little
// when servers come and go. Requests with a short prefix may go to any server.
func (b *Balancer) affinityServers(now time.Time, req *Request, servers []*server) []*server {
	key, tokens := sharedPrefix(req)
	if tokens < b.policy.MinAffinityTokens || len(servers) <= b.policy.AffinityServers {
		return servers
	}
	return topRanked(key, servers, b.policy.AffinityServers)
}

// topRanked returns the count servers with the highest rendezvous scores for a key, in one
// pass.
func topRanked(key uint64, servers []*server, count int) []*server {
	top := make([]*server, 0, count+1)
	ranks := make([]uint64, 0, count+1)
	for _, s := range servers {
		r := rendezvousScore(key, s.idHash)
		at, _ := slices.BinarySearchFunc(ranks, r, func(x, y uint64) int { return cmp.Compare(y, x) })
		if at == count {
			continue
		}
		ranks = slices.Insert(ranks, at, r)
		top = slices.Insert(top, at, s)
		ranks, top = ranks[:min(len(ranks), count)], top[:min(len(top), count)]
	}
	return top
}

// sharedPrefix returns the hash of the last part that other requests may share, and the
// number of tokens of the whole shared prefix.
func sharedPrefix(req *Request) (hash uint64, tokens int) {
	if len(req.Parts) < 2 {
		return 0, 0
	}
	for _, p := range req.Parts[:len(req.Parts)-1] {
		hash = p.Hash
		tokens += p.Tokens
	}
	return hash, tokens
}

// RendezvousOrder returns servers in their rendezvous order for a key, which is the same at
// every gateway.
func RendezvousOrder(key uint64, ids []string) []string {
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(x, y string) int {
		return cmp.Compare(rendezvousScore(key, hashID(y)), rendezvousScore(key, hashID(x)))
	})
	return ranked
}

func partHashes(parts []Part) []uint64 {
	list := make([]uint64, len(parts))
	for i, p := range parts {
		list[i] = p.Hash
	}
	return list
}

// rendezvousScore returns the rendezvous hashing score of a server, given by the hash of its
// ID, for a key.
func rendezvousScore(key, server uint64) uint64 {
	h := (key ^ 0x9e3779b97f4a7c15 ^ server) * 0x100000001b3
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// hashID returns the hash of a server's ID (FNV-1a).
func hashID(id string) uint64 {
	h := uint64(0xcbf29ce484222325)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 0x100000001b3
	}
	return h
}
