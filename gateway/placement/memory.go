package placement

// This file estimates the cache memory that running requests hold. A server whose memory is full
// keeps a request waiting or interrupts others, whatever slots it has.

// heldMeanStep is the weight of a request in the mean memory of a service's requests. Other
// gateways tell how many requests they have at a server, but not how much each holds.
const heldMeanStep = 0.02

// holdMemory records the memory that a request takes at its server.
func (s *server) holdMemory(l Load, local bool) {
	if !s.decoding.regarded() {
		return
	}
	held := l.CacheTokens
	if local {
		held = l.HeldTokens
		s.decoding.heldTokens += held
	}
	if held > 0 {
		s.speed.heldMean += heldMeanStep * (float64(held) - s.speed.heldMean)
	}
}

// ReleaseMemory records that a request of this gateway no longer holds the memory that its Load
// says.
func (b *Balancer) ReleaseMemory(server string, heldTokens int) {
	if s := b.servers[server]; s != nil {
		s.decoding.heldTokens = max(s.decoding.heldTokens-heldTokens, 0)
	}
}

// heldMemory returns the tokens that all requests at a server are estimated to hold.
func (s *server) heldMemory() int {
	return s.decoding.heldTokens + int(float64(s.remoteRunning)*s.speed.heldMean)
}

// heldOutput returns the tokens that the answer is expected to take.
func (req *Request) heldOutput() int {
	if req.ExpectedOutput > 0 {
		return req.ExpectedOutput
	}
	return max(req.OutputTokens, 0)
}

// fits reports whether a request fits into a server's memory beside what runs there.
func (s *server) fits(req *Request) bool {
	free := s.engine.KVTokens - s.heldMemory() - req.heldOutput()
	if free >= req.PromptTokens {
		return true
	}
	cached, _ := s.cache.match(req)
	return free >= req.PromptTokens-cached
}

// withMemory returns the servers into whose memory a request fits, or all of them if it fits
// nowhere or if memory is not regarded. full is how many it does not fit into.
func (b *Balancer) withMemory(req *Request, servers []*server) (fitting []*server, full int) {
	if !servers[0].decoding.regarded() || servers[0].engine.KVTokens <= 0 {
		return servers, 0
	}
	for _, s := range servers {
		if !s.fits(req) {
			full++
		}
	}
	if full == 0 || full == len(servers) {
		return servers, full
	}
	fitting = make([]*server, 0, len(servers)-full)
	for _, s := range servers {
		if s.fits(req) {
			fitting = append(fitting, s)
		}
	}
	return fitting, full
}
