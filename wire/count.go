package wire

import "sync"

// ControlByteCounter sums the bytes of control messages over all connections, closed
// ones included. The zero value is ready to use. It is safe for concurrent use.
type ControlByteCounter struct {
	mutex       sync.Mutex
	closedBytes uint64
	peers       map[*Peer]bool
}

// Add starts counting the bytes of a connection.
func (c *ControlByteCounter) Add(p *Peer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.peers == nil {
		c.peers = map[*Peer]bool{}
	}
	c.peers[p] = true
}

// Remove drops a closed connection and keeps its bytes in the total.
func (c *ControlByteCounter) Remove(p *Peer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	sent, received := p.ControlBytes()
	c.closedBytes += sent + received
	delete(c.peers, p)
}

// Total returns the number of bytes of control messages sent and received so far.
func (c *ControlByteCounter) Total() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n := c.closedBytes
	for p := range c.peers {
		sent, received := p.ControlBytes()
		n += sent + received
	}
	return n
}
