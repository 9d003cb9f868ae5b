// Package duty starts the goroutines of a process, one for each duty, and lets
// their owner hear when each has ended.
//
// # Usage
//
//	g := duty.NewGroup()
//	g.Go(ctx, "report", a.report)
//	g.Collect(ctx) // reads the ends until ctx is done and all have ended
//
// A duty that panics takes the process down: only broken invariants do that.
package duty

import (
	"context"
	"sync/atomic"
)

// endedBuffer bounds the ends not yet read; a goroutine that ends when it is full
// waits for the owner, which does nothing but read.
const endedBuffer = 256

// Group is a set of goroutines with one owner.
type Group struct {
	running atomic.Int64
	ended   chan string
}

// NewGroup returns an empty group.
func NewGroup() *Group { return &Group{ended: make(chan string, endedBuffer)} }

// Go runs f in its own goroutine, which ends when f returns and then reports its
// name. After Collect has begun, only the group's own goroutines may call it.
func (g *Group) Go(ctx context.Context, name string, f func(context.Context)) {
	g.running.Add(1)
	go func() {
		f(ctx)
		g.ended <- name
	}()
}

// Running returns how many goroutines have not been seen to end.
func (g *Group) Running() int { return int(g.running.Load()) }

// Wait reads the ends of goroutines until ctx is done and all have ended.
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
