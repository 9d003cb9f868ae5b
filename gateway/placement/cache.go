package placement

import "time"

// cache is what is believed of a server's cache of prompts, in which the least recently
// used parts give way. A part is held until as many tokens have come after its last use
// as the cache holds.
type cache struct {
	size  int // tokens; 0: nothing is kept
	taken int // tokens that came so far
	parts map[uint64]part
}

// part is a cached piece of a prompt.
type part struct {
	used  int       // cache.taken at its last use
	ready time.Time // when it will have been read
}

// use notes a request's parts, which will be held once they are read, and the tokens
// that it adds.
func (c *cache) use(parts []uint64, tokens int, ready time.Time) {
	c.taken += tokens
	for _, h := range parts {
		p, known := c.parts[h]
		if !known || !c.holds(p) {
			p.ready = ready
		}
		p.used = c.taken
		c.parts[h] = p
	}
}

// hold notes parts that are held. When they were used last is not known, so they count
// as half-way to giving way.
func (c *cache) hold(parts []uint64, now time.Time) {
	for _, h := range parts {
		if _, known := c.parts[h]; !known {
			c.parts[h] = part{used: c.taken - c.size/2, ready: now}
		}
	}
}

func (c *cache) holds(p part) bool { return c.taken-p.used < c.size }

// prompt returns how many tokens of a request's prompt the cache holds or will hold when
// the server comes to it, and how many tokens of shared parts it would have to read.
func (c *cache) prompt(a *Request) (held, missing int) {
	broken := false
	for i, p := range a.Parts {
		known, found := c.parts[p.Hash]
		if !broken && found && c.holds(known) {
			held += p.Tokens
			continue
		}
		broken = true // a part counts only if all before it are held
		if i < len(a.Parts)-1 {
			missing += p.Tokens
		}
	}
	return min(held, a.PromptTokens), missing
}

// ready returns how many tokens of a request's prompt can be copied from the cache now.
func (c *cache) ready(now time.Time, a *Request) int {
	held := 0
	for _, p := range a.Parts {
		known, found := c.parts[p.Hash]
		if !found || !c.holds(known) || now.Before(known.ready) {
			break
		}
		held += p.Tokens
	}
	return min(held, a.PromptTokens)
}

// forget drops the parts that are held no more.
func (c *cache) forget() {
	for h, p := range c.parts {
		if !c.holds(p) {
			delete(c.parts, h)
		}
	}
}
