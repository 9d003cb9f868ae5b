package wire

import "sync"

// ControlByteCounter adds up the control bytes of connections, ended ones included. Its
// zero value is ready; it is safe for use by several goroutines.
type ControlByteCounter struct {
	mutex sync.Mutex
	past  uint64
	peers map[*Peer]bool
}

// Add counts a connection from now on.
func (c *ControlByteCounter) Add(p *Peer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.peers == nil {
		c.peers = map[*Peer]bool{}
	}
	c.peers[p] = true
}

// Remove keeps what a connection that has ended has counted.
func (c *ControlByteCounter) Remove(p *Peer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	sent, received := p.ControlBytes()
	c.past += sent + received
	delete(c.peers, p)
}

// Total returns the bytes of control traffic sent and received so far.
func (c *ControlByteCounter) Total() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n := c.past
	for p := range c.peers {
		sent, received := p.ControlBytes()
		n += sent + received
	}
	return n
}
