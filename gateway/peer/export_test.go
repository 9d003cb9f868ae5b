package peer

// Silence ends the node as a loss of power does: it neither says nor hears anything more.
func (n *Node) Silence() { n.conn.Close() }
