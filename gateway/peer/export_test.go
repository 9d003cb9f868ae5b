package peer

// CloseConn stops the node as a power failure does: it neither sends nor receives any more.
func (n *Node) CloseConn() { n.conn.Close() }
