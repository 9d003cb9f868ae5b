// Package explain keeps a bounded record of a node's decisions in memory, so that
// the fleet can say afterwards why a request went where it went.
//
// # Usage
//
//	l := explain.NewLog("router-1", 4096)
//	l.Add(explain.Event{Kind: explain.Grant, Request: id, Text: "…"})
//	events := l.Request(id)
//
// The oldest events are overwritten. The package stores text that operators read;
// it decides nothing.
package explain

import (
	"sync"
	"time"
)

// Kind tells what an event is about.
type Kind string

// The kinds of events.
const (
	Arrive  Kind = "arrive"
	Wait    Kind = "wait"
	Grant   Kind = "grant"
	Choose  Kind = "choose"
	Refuse  Kind = "refuse"
	Admit   Kind = "admit"
	Lose    Kind = "lose"
	Revoke  Kind = "revoke"
	Resume  Kind = "resume"
	Outcome Kind = "outcome"
	Repair  Kind = "repair"
	Degrade Kind = "degrade"
)

// Event is one recorded decision.
type Event struct {
	At       time.Time
	Node     string
	Kind     Kind
	Request  string
	Account  string
	Attempt  uint32
	Revision uint64
	Text     string
}

// Log is a ring of events. It is safe for use by several goroutines; a nil Log
// records nothing.
type Log struct {
	node   string
	mutex  sync.Mutex
	events []Event
	next   int
}

// NewLog returns a log of at most so many events.
func NewLog(node string, most int) *Log {
	return &Log{node: node, events: make([]Event, 0, most)}
}

// Add records an event, at the present time unless it has one.
func (l *Log) Add(e Event) {
	if l == nil {
		return
	}
	if e.At.IsZero() {
		e.At = time.Now()
	}
	e.Node = l.node
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.events) < cap(l.events) {
		l.events = append(l.events, e)
		return
	}
	if len(l.events) == 0 {
		return
	}
	l.events[l.next] = e
	l.next = (l.next + 1) % len(l.events)
}

// Request returns what is recorded of a request, oldest first.
func (l *Log) Request(id string) []Event {
	return l.find(func(e *Event) bool { return e.Request == id })
}

// Account returns what is recorded of an account, oldest first.
func (l *Log) Account(name string) []Event {
	return l.find(func(e *Event) bool { return e.Account == name })
}

// Repairs returns what degraded and what repaired itself, oldest first.
func (l *Log) Repairs() []Event {
	return l.find(func(e *Event) bool { return e.Kind == Repair || e.Kind == Degrade })
}

func (l *Log) find(match func(*Event) bool) []Event {
	if l == nil {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []Event
	for i := range l.events {
		e := &l.events[(l.next+i)%len(l.events)]
		if match(e) {
			found = append(found, *e)
		}
	}
	return found
}
