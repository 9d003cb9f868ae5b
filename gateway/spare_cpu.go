package gateway

import (
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// This file measures the CPU time that the gateway does not use. Other gateways hand connections off to it
// accordingly (offload.go).

const (
	// The measured load follows a change by half in this time. It is the interval of beacons: a load that
	// lasts for less is over when others hear of it.
	spareHalfLife = 250 * time.Millisecond
	// Minimum time between beacons that are sent because the gateway has become short of CPU time.
	shortReportInterval = 250 * time.Millisecond
)

// spareCPU measures the CPU time that the process does not use. Samples are taken by one goroutine.
type spareCPU struct {
	milliCPU   int                  // thousandths of a core that the process may use
	calledFor  func() bool          // whether connections of other halls are taken
	used       func() time.Duration // CPU time that the process has used since its start
	at         time.Time            // of the latest sample; zero: there was none
	usedBefore time.Duration        // at the latest sample
	load       float64              // thousandths of a core in use, smoothed
	short      bool                 // the process was short of CPU time at the latest sample
	reportedAt time.Time            // when that was reported at once
	spare      atomic.Int64         // thousandths of a core
	tells      atomic.Bool          // it is told, since connections of other halls are or were taken
}

// newSpareCPU returns the measurement, or nil if the settings keep connections in their hall.
func newSpareCPU(g *Gateway) *spareCPU {
	if g.options.Dispatcher.Features.Offload == Off {
		return nil
	}
	return &spareCPU{milliCPU: g.options.MilliCPU, calledFor: g.offloadsToOtherHalls, used: processCPUTime}
}

// processCPUTime returns the CPU time that the process has used.
func processCPUTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0 // not reached: the arguments are valid
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// sample takes a sample. It reports whether the other gateways are to be told at once, as the process has become
// short of CPU time. s may be nil.
func (s *spareCPU) sample(now time.Time, short bool) (reportSoon bool) {
	if s == nil {
		return false
	}
	used := s.used()
	if passed := now.Sub(s.at); !s.at.IsZero() && passed > 0 {
		load := 1000 * float64(used-s.usedBefore) / float64(passed)
		kept := math.Exp2(-float64(passed) / float64(spareHalfLife))
		s.load = load + (s.load-load)*kept
	}
	s.at, s.usedBefore = now, used
	spare := 0
	if s.calledFor() {
		s.tells.Store(true)
		spare = max(s.milliCPU-int(math.Ceil(s.load)), 0)
	}
	s.spare.Store(int64(spare))
	became := short && !s.short
	s.short = short
	if !became || !s.tells.Load() || now.Sub(s.reportedAt) < shortReportInterval {
		return false
	}
	s.reportedAt = now
	return true
}

// told returns the spare CPU, in thousandths of a core, and whether other gateways are told it. s may be nil.
func (s *spareCPU) told() (spare int, tells bool) {
	if s == nil || !s.tells.Load() {
		return 0, false
	}
	return int(s.spare.Load()), true
}
