package handoff

import (
	"encoding/binary"
	"net"
)

// coalescingConn is the connection of a link. A yamux session writes the header and the body of
// a frame separately; coalescingConn sends them in one write, which halves the system calls.
type coalescingConn struct {
	net.Conn
	pendingHeader []byte // of a frame whose body follows; the session writes from one goroutine
}

// The header of a yamux frame: version, type, flags (2), stream (4), length (4).
const (
	frameHeaderSize   = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
	frameTypeData     = 0
)

// Write implements net.Conn.
func (c *coalescingConn) Write(b []byte) (int, error) {
	if len(c.pendingHeader) > 0 {
		buffers := net.Buffers{c.pendingHeader, b}
		n, err := buffers.WriteTo(c.Conn)
		c.pendingHeader = nil
		return max(int(n)-frameHeaderSize, 0), err
	}
	if len(b) == frameHeaderSize && b[frameTypeOffset] == frameTypeData && binary.BigEndian.Uint32(b[frameLengthOffset:]) > 0 {
		c.pendingHeader = append(c.pendingHeader, b...)
		return len(b), nil
	}
	return c.Conn.Write(b)
}
