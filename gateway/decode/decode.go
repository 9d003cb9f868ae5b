// Package decode models how a backend server generates the events of its streams: how long the
// interval between two events is while the server only decodes and while it also processes
// prompts, how fast the server lastingly is, and how much cache memory its requests hold.
//
// # Usage
//
//	m := decode.NewModel()
//	m.RecordInterval(now, decode.Interval{Server: id, Service: service, Length: d, Prefilling: true})
//	pause := m.Pause(now, id, service, busyPeriod)
//
// The package does no locking and no I/O and does not read the clock. A Model must be used by one
// goroutine only.
package decode

import "time"

// Interval is an observed interval between two events of a stream.
type Interval struct {
	Server     string // lifetime ID
	Service    string
	Length     time.Duration
	Prefilling bool // the server had prompts to process during the whole interval; otherwise it had none
}

// Model estimates the intervals between the events of streams, by server.
type Model struct{}

// NewModel returns a Model without observations.
func NewModel() *Model { return &Model{} }

// RecordInterval records an observed interval.
func (m *Model) RecordInterval(now time.Time, i Interval) {}

// Pause predicts the longest interval between two events of the streams on a server that
// processes prompts without a break for the given time. It is 0 while nothing is known.
func (m *Model) Pause(now time.Time, server, service string, busy time.Duration) time.Duration {
	return 0
}
