// Package bubbletest runs tests in virtual time.
//
// # Usage
//
//	bubbletest.Run(t, func(t *testing.T) { … })
//
// It wraps synctest.Test for code that uses yamux, which keeps timers in a sync.Pool
// shared by the whole process. A timer of one bubble must not be used in another, so Run
// empties the pool first.
package bubbletest

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Run runs f in a bubble with its own clock, which advances only when all goroutines of the
// bubble are blocked. Tests that use Run must not run in parallel.
func Run(t *testing.T, f func(*testing.T)) {
	t.Helper()
	// Elements of a sync.Pool survive one garbage collection but not two.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}
