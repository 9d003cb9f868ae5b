package soak

import (
	"slices"
	"time"
)

// This file generates accounts that ask for more than their shares of a token rate, in addition to all
// other faults. Whenever the fleet has settled, each account gets some of its requests served.

const (
	// surplusRate is the token rate that three accounts share. The one that stays within its share asks
	// for less than a third of it, the two others for several times as much.
	surplusRate = 3000
	// surplusPrompt is the number of prompt tokens of each request.
	surplusPrompt = 100
	// surplusSlots is the number of slots of a server. Callers take most of them, so that at times no
	// server counts as idle.
	surplusSlots = 2
)

// steadyKeys are the keys of the accounts that are in every version of the configuration.
var steadyKeys = map[string]string{"t1": "steady", "t2": "steady-t2", "t3": "steady-t3"}

// accountOf returns the account of a regular caller.
func (r *Run) accountOf(caller int) string {
	switch {
	case !r.options.Surplus || caller == 0:
		return "t1"
	case caller%2 == 0:
		return "t2"
	default:
		return "t3"
	}
}

// detailsBefore is the time before a check from which requests that were not served are told.
const detailsBefore = 2 * time.Second

// checkSurplus checks that each account has been served since a time.
func (r *Run) checkSurplus(from time.Time) {
	if !r.options.Surplus {
		return
	}
	r.recorder.mutex.Lock()
	served := map[string]int{}
	others := map[string][]string{} // by account
	for _, a := range slices.Concat(r.recorder.answers, r.recorder.unanswered) {
		switch {
		case a.served && a.at.After(from):
			served[a.account]++
		case a.at.After(from.Add(-detailsBefore)):
			others[a.account] = append(others[a.account], a.at.Format("05.000 ")+a.detail)
		}
	}
	r.recorder.mutex.Unlock()
	for account := range steadyKeys {
		if served[account] == 0 {
			r.recorder.violationf("account %s got no request served in %s without faults; served: %v; its other requests: %q", account, time.Since(from), served, others[account])
		}
	}
}
