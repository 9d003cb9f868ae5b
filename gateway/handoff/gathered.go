package handoff

import (
	"encoding/binary"
	"net"
)

// gathered is a link's connection. A session writes the head and the body of a frame one
// after the other; here they go out together, which halves the writes.
type gathered struct {
	net.Conn
	head []byte // of a frame whose body is to come; the session writes from one goroutine
}

// The head of a frame of yamux: version, type, flags (2), stream (4), length (4).
const (
	frameHead   = 12
	typeAt      = 1
	lengthAt    = 8
	typeOfBytes = 0
)

// Write implements net.Conn.
func (g *gathered) Write(b []byte) (int, error) {
	if len(g.head) > 0 {
		buffers := net.Buffers{g.head, b}
		sum, err := buffers.WriteTo(g.Conn)
		g.head = nil
		return max(int(sum)-frameHead, 0), err
	}
	if len(b) == frameHead && b[typeAt] == typeOfBytes && binary.BigEndian.Uint32(b[lengthAt:]) > 0 {
		g.head = append(g.head, b...)
		return len(b), nil
	}
	return g.Conn.Write(b)
}
