// Package bubbletest runs tests in virtual time, several in one process.
//
// # Usage
//
//	bubbletest.Run(t, func(t *testing.T) { … })
//
// It is synctest.Test for code that uses yamux, which keeps timers in a pool for
// the whole process. A timer of one bubble must not be used in another, so the
// pool is emptied first.
package bubbletest

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Run runs f in a bubble with its own clock, which moves only when all its
// goroutines wait. Tests that use it must not run in parallel.
func Run(t *testing.T, f func(*testing.T)) {
	t.Helper()
	// A pool's elements survive one collection and not two.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}
