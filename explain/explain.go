// Package explain keeps a bounded in-memory log of a node's decisions, so that operators
// can find out why a request was placed, refused or retried. It also reconstructs the
// history of requests from the log lines of gateways.
//
// # Usage
//
//	l := explain.NewLog("router-1", 4096)
//	l.Add(explain.Event{Kind: explain.Grant, Request: id, Text: "…"})
//	events := l.Request(id)
//
// The oldest events are overwritten. The events are for operators only; no decision
// depends on them.
package explain

import (
	"sync"
	"time"
)

// Kind classifies an event.
type Kind string

// Kinds of events.
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

// Log is a ring buffer of events. It is safe for concurrent use. A nil Log records
// nothing.
type Log struct {
	node   string
	mutex  sync.Mutex
	events []Event
	next   int
}

// NewLog returns a log that keeps the latest size events.
func NewLog(node string, size int) *Log {
	return &Log{node: node, events: make([]Event, 0, size)}
}

// Add records an event, with the current time if its time is zero.
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

// Request returns the events of a request, oldest first.
func (l *Log) Request(id string) []Event {
	return l.find(func(e *Event) bool { return e.Request == id })
}

// Account returns the events of an account, oldest first.
func (l *Log) Account(name string) []Event {
	return l.find(func(e *Event) bool { return e.Account == name })
}

// Repairs returns the events of kinds Degrade and Repair, oldest first.
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
