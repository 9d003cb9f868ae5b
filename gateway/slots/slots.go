// Package slots decides when a request to a plain backend server is sent, held at the gateway or
// refused, from the slots of the servers, what runs there and how long answers take.
//
// # Usage
//
//	m := slots.NewModel()
//	m.RecordAnswer(now, server, took)
//	switch d := m.Decide(now, request, servers).(type) {
//	case slots.Send:   // send it to d.Server
//	case slots.Wait:   // ask again soon
//	case slots.Refuse: // tell the caller to retry after d.RetryAfter
//	}
//
// The package does no locking and no I/O and does not read the clock. A Model must be used by one
// goroutine only.
package slots
