// Package duty starts the goroutines of a process, one for each long-running task,
// and lets their owner wait until all have ended.
//
// # Usage
//
//	g := duty.NewGroup()
//	g.Go(ctx, "report", a.report)
//	g.Wait(ctx) // returns once ctx is done and all have ended
//
// Panics are not recovered: a violated invariant ends the process.
package duty

import (
	"context"
	"sync/atomic"
)

// endedBuffer is the capacity of Group.ended. A goroutine that ends while it is full
// blocks until Wait, which does nothing else, receives from it.
const endedBuffer = 256

// Group is a set of goroutines with one owner.
type Group struct {
	running atomic.Int64
	ended   chan string
}

// NewGroup returns an empty group.
func NewGroup() *Group { return &Group{ended: make(chan string, endedBuffer)} }

// Go runs f in a new goroutine of the group. Once Wait has been called, only the
// group's own goroutines may call Go.
func (g *Group) Go(ctx context.Context, name string, f func(context.Context)) {
	g.running.Add(1)
	go func() {
		f(ctx)
		g.ended <- name
	}()
}

// Running returns the number of goroutines whose end Wait has not yet received.
func (g *Group) Running() int { return int(g.running.Load()) }

// Wait blocks until ctx is done and all goroutines have ended.
func (g *Group) Wait(ctx context.Context) {
	done := ctx.Done()
	for done != nil || g.running.Load() > 0 {
		select {
		case <-g.ended:
			g.running.Add(-1)
		case <-done:
			done = nil
		}
	}
}
