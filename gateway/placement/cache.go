package placement

import "time"

// prefixCache estimates the contents of a server's prompt cache, which evicts the least
// recently used parts. A part is retained until as many tokens have been added since its
// last use as the cache holds.
type prefixCache struct {
	capacity    int // in tokens; 0: nothing is cached
	totalTokens int // tokens added so far
	parts       map[uint64]cachedPart
}

// cachedPart is a cached part of a prompt.
type cachedPart struct {
	lastUse int       // totalTokens at its last use
	readyAt time.Time // when its prefill ends
}

// add records a request's parts, which are cached once their prefill ends at ready, and the
// number of tokens that the request adds.
func (c *prefixCache) add(parts []uint64, tokens int, ready time.Time) {
	c.totalTokens += tokens
	for _, h := range parts {
		p, known := c.parts[h]
		if !known || !c.retains(p) {
			p.readyAt = ready
		}
		p.lastUse = c.totalTokens
		c.parts[h] = p
	}
}

// addReported records parts that the server has reported. Their last use is unknown, so
// they count as halfway to eviction.
func (c *prefixCache) addReported(parts []uint64, now time.Time) {
	for _, h := range parts {
		if _, known := c.parts[h]; !known {
			c.parts[h] = cachedPart{lastUse: c.totalTokens - c.capacity/2, readyAt: now}
		}
	}
}

func (c *prefixCache) retains(p cachedPart) bool { return c.totalTokens-p.lastUse < c.capacity }

// match returns how many tokens of a request's prompt are cached or will be when the server
// begins to process it, and how many tokens of shared parts are not.
func (c *prefixCache) match(req *Request) (cached, missing int) {
	missed := false
	for i, p := range req.Parts {
		known, found := c.parts[p.Hash]
		if !missed && found && c.retains(known) {
			cached += p.Tokens
			continue
		}
		missed = true // a part counts only if all parts before it are cached
		if i < len(req.Parts)-1 {
			missing += p.Tokens
		}
	}
	return min(cached, req.PromptTokens), missing
}

// readyTokens returns how many tokens of a request's prompt can be copied from the cache now.
func (c *prefixCache) readyTokens(now time.Time, req *Request) int {
	cached := 0
	for _, p := range req.Parts {
		known, found := c.parts[p.Hash]
		if !found || !c.retains(known) || now.Before(known.readyAt) {
			break
		}
		cached += p.Tokens
	}
	return min(cached, req.PromptTokens)
}

// prune removes the parts that are no longer retained.
func (c *prefixCache) prune() {
	for h, p := range c.parts {
		if !c.retains(p) {
			delete(c.parts, h)
		}
	}
}
