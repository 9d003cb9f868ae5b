package placement

import (
	"cmp"
	"slices"
	"time"
)

// option is a server with what it would cost to send the request there.
type option struct {
	server    *server
	from      *server       // takes cached parts of the prompt from this one; nil: from none
	added     int           // tokens of the prompt that its cache does not hold yet
	work      time.Duration // to read what is neither cached nor copied, at the usual pace
	waiting   time.Duration // until the server begins to read, copies and crowding included
	reading   time.Duration // for its own prompt
	reread    int           // tokens of shared parts that are read here although another server may hold them
	predicted time.Duration // until the first event
	cost      time.Duration // to compare options by
}

// option weighs a server; from is the one that holds most of the prompt.
func (b *Balancer) option(now time.Time, a *Request, s *server, from holder) option {
	held, missing := s.cache.prompt(a)
	o := option{server: s, added: a.PromptTokens - held}
	copied, copying := 0, time.Duration(0)
	if from.server != nil && from.server != s && from.tokens-held >= b.policy.LeastCopy {
		o.from = from.server
		copied = from.tokens - held
		copying = b.copying(copied, s, from.server)
	}
	o.work = b.policy.reading(o.added-copied, a.PromptTokens)
	crowd := b.crowding(s)
	o.waiting = max(s.busyUntil.Sub(now), 0) + copying + crowd
	o.reading = s.atPace(now, o.work)
	o.predicted = o.waiting + o.reading + s.speed.first()
	o.cost = b.delayCost(a, o.predicted-crowd) + crowd + b.sideCosts(now, a, s)
	o.cost += scale(copying, b.policy.CopyCost)
	// Reading a shared part once more delays whoever comes after as well.
	o.reread = max(missing-copied, 0)
	o.cost += scale(s.atPace(now, b.policy.reading(o.reread, o.reread)), b.policy.RereadCost)
	return o
}

// sideCosts weighs what has nothing to do with the time to the first event.
func (b *Balancer) sideCosts(now time.Time, a *Request, s *server) time.Duration {
	cost := scale(b.policy.FailureCost, s.failureRate(now))
	cost += time.Duration(rank(a.TieBreak, s.hash) % uint64(b.policy.Spread))
	switch {
	case b.regions[s.Hall] != b.regions[a.Hall]:
		cost += b.policy.OtherRegion
	case s.Hall != a.Hall:
		cost += b.policy.OtherHallDelay
	}
	return cost
}

// crowding is the delay expected of a server that runs nearly as many requests as it can.
func (b *Balancer) crowding(s *server) time.Duration {
	over := s.running + s.others - s.engine.Slots + b.policy.SpareSlots
	return time.Duration(max(over, 0)) * b.policy.SlotCost
}

// best returns the cheapest of the servers that may serve the request: those that may
// read its shared part, or all once one of them holds most of it, since copies cost little.
func (b *Balancer) best(now time.Time, a *Request, open []*server) option {
	from := b.fullest(now, a)
	candidates := b.homes(now, a, open)
	if _, shared := sharedPart(a); from.server != nil && float64(from.tokens) >= b.policy.HeldShare*float64(shared) {
		candidates = open
	}
	options := make([]option, 0, len(candidates))
	for _, s := range candidates {
		options = append(options, b.option(now, a, s, from))
	}
	return slices.MinFunc(options, func(x, y option) int { return cmp.Compare(x.cost, y.cost) })
}

// idle returns the cheapest server that has nothing to read and would have to read hardly
// any shared part again for the request: one beyond its account's share then delays
// nobody, and no cache is filled with what others hold. ok is false if there is none.
func (b *Balancer) idle(now time.Time, a *Request, open []*server) (best option, ok bool) {
	for _, s := range open {
		if s.busyUntil.After(now) || !b.places(a, s) {
			continue
		}
		if _, missing := s.cache.prompt(a); missing > b.policy.SpareReread {
			continue
		}
		o := b.option(now, a, s, holder{})
		if o.waiting > 0 || o.predicted > b.limit(a) {
			continue
		}
		if !ok || o.cost < best.cost {
			best, ok = o, true
		}
	}
	return best, ok
}

// holder is a server with how much of a prompt its cache holds.
type holder struct {
	server *server // nil: none that a copy would be worth it
	tokens int
}

// fullest returns the server that holds most of a prompt, if others can take it from
// there. One that leaves may serve as well, and one that was tried may not.
func (b *Balancer) fullest(now time.Time, a *Request) holder {
	var best holder
	for _, s := range b.services[a.Service] {
		if !s.engine.SupportsCacheCopy() || now.Before(s.resting) || now.Before(s.pause.until) || !b.allowed(a, s) || slices.Contains(a.Exclude, s.ID) {
			continue
		}
		held := s.cache.ready(now, a)
		if held >= b.policy.LeastCopy && held > best.tokens {
			best = holder{server: s, tokens: held}
		}
	}
	return best
}

// copying returns the time in which a server takes so many tokens from another one.
func (b *Balancer) copying(tokens int, to, from *server) time.Duration {
	bytes := float64(tokens) * float64(from.engine.BytesPerToken)
	bytesPerMS := from.engine.LinkMbps * 1e6 / 8 / 1e3
	d := time.Duration(bytes / bytesPerMS * float64(time.Millisecond))
	if to.Hall != from.Hall {
		d *= 2
	}
	return d + b.policy.CopySetup
}

// delayCost weighs the time to the first event: it matters the more the nearer it comes
// to the objective, so that reuse goes first while there is time.
func (b *Balancer) delayCost(a *Request, predicted time.Duration) time.Duration {
	limit := b.limit(a)
	if limit <= 0 || predicted >= limit {
		return predicted
	}
	early := b.policy.EarlyWeight
	return scale(predicted, early+(1-early)*float64(predicted)/float64(limit))
}

// homes returns the servers that may read the request's shared part: the first few
// in an order that every gateway finds alike and that hardly changes when servers
// come and go. A part that is small may go anywhere.
func (b *Balancer) homes(now time.Time, a *Request, open []*server) []*server {
	key, tokens := sharedPart(a)
	if tokens < b.policy.FreeTokens || len(open) <= b.policy.Homes {
		return open
	}
	return highest(key, open, b.policy.Homes)
}

// highest returns the servers that rank highest for a part, in one pass.
func highest(key uint64, open []*server, count int) []*server {
	found := make([]*server, 0, count+1)
	ranks := make([]uint64, 0, count+1)
	for _, s := range open {
		r := rank(key, s.hash)
		at, _ := slices.BinarySearchFunc(ranks, r, func(x, y uint64) int { return cmp.Compare(y, x) })
		if at == count {
			continue
		}
		ranks = slices.Insert(ranks, at, r)
		found = slices.Insert(found, at, s)
		ranks, found = ranks[:min(len(ranks), count)], found[:min(len(found), count)]
	}
	return found
}

// sharedPart returns the last part that other requests may have too, with the tokens
// of the whole shared beginning.
func sharedPart(a *Request) (hash uint64, tokens int) {
	if len(a.Parts) < 2 {
		return 0, 0
	}
	for _, p := range a.Parts[:len(a.Parts)-1] {
		hash = p.Hash
		tokens += p.Tokens
	}
	return hash, tokens
}

// RendezvousOrder returns servers in an order for a key that all find alike.
func RendezvousOrder(key uint64, ids []string) []string {
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(x, y string) int { return cmp.Compare(rank(key, hashID(y)), rank(key, hashID(x))) })
	return ranked
}

func hashes(parts []Part) []uint64 {
	list := make([]uint64, len(parts))
	for i, p := range parts {
		list[i] = p.Hash
	}
	return list
}

// rank orders servers, by the hashes of their IDs, for a part (rendezvous hashing).
func rank(key, server uint64) uint64 {
	h := (key ^ 0x9e3779b97f4a7c15 ^ server) * 0x100000001b3
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// hashID is the hash of a server's ID (FNV-1a).
func hashID(id string) uint64 {
	h := uint64(0xcbf29ce484222325)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 0x100000001b3
	}
	return h
}
