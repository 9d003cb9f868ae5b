// Package surplus decides which requests beyond their account's fair share get capacity that is
// idle at the moment. Accounts with unmet demand that come first in order keep it for a moment; nobody is
// refused beside idle servers for the sake of demand that does not exist.
//
// # Usage
//
//	t := surplus.NewTable()
//	t.RecordUnmet(now, surplus.Demand{Account: account, Priority: p, ShareRatio: r, Tokens: n})
//	t.SetRemote(gateway, now, demands)
//	switch t.Decide(now, surplus.Request{…}, surplus.Server{…}) {
//	case surplus.Grant:  // send it
//	case surplus.Wait:   // ask again soon
//	case surplus.Refuse: // tell the caller to retry after t.RetryAfter(…)
//	}
//
// The package does no locking and no I/O and does not read the clock. A Table must be used by one
// goroutine only.
package surplus
