package gateway

import "net"

// This file is a call's part in answers to callers of HTTP/1.0, which know no chunks: an answer of unknown length
// ends with its connection, so the end of the connection must not look the same if the answer is cut.

// endsWithConnection reports whether an answer of unknown length ends with the caller's connection.
func (c *call) endsWithConnection() bool { return !c.request.ProtoAtLeast(1, 1) }

// needsLength reports whether an answer must have a length: the gateway that forwards the connection closes it
// in the same way whatever the end of the answer.
func (c *call) needsLength() bool { return c.endsWithConnection() && isOffloaded(c.request.Context()) }

// resetUnlessComplete has the connection reset if it is closed before answerComplete, also by the end of
// this process.
func (c *call) resetUnlessComplete() { c.setReset(true) }

// answerComplete has the connection closed as usual.
func (c *call) answerComplete() { c.setReset(false) }

func (c *call) setReset(reset bool) {
	if !c.endsWithConnection() {
		return
	}
	if conn, ok := c.request.Context().Value(connKey{}).(*callerConn); ok {
		conn.setReset(reset)
	}
}

// setReset sets whether closing the connection resets it.
func (c *callerConn) setReset(reset bool) {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	seconds := -1 // the default: what was written is sent first
	if reset {
		seconds = 0
	}
	_ = t.SetLinger(seconds) // fails on a closed connection
}
