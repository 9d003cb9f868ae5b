// Package continuation decides which running requests move to another backend server and which are
// backed up to one, and from where a request goes on after its server has left or crashed.
//
// # Usage
//
//	d := continuation.NewPlanner(continuation.DefaultLimits())
//	target := d.Backup(now, run, servers)  // before the request is sent
//	step := d.Leaving(now, run, servers)   // when its server announces that it leaves
//
// The package does no locking and no I/O and does not read the clock. A Planner must be used by one
// goroutine only.
package continuation
