package soak

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"time"

	"opalbridge.dev/platform"
	"opalbridge.dev/platform/platformtest"
)

// This file plays a store that comes back from a copy, beside all other troubles. What gateways
// wrote since the copy is lost; what operators and servers wrote they write again.

// writtenAgain is the time in which operators and servers write again what a copy lacks.
const writtenAgain = 2 * time.Second

// put writes as operators and servers do.
func (r *Run) put(key string, value []byte) {
	r.written.Lock()
	defer r.written.Unlock()
	r.truth[key] = value
	r.store.Put(key, value)
}

// remove removes as operators and servers do.
func (r *Run) remove(key string) {
	r.written.Lock()
	defer r.written.Unlock()
	delete(r.truth, key)
	r.store.Remove(key)
}

// writeAgain puts one key right that differs from what operators and servers have written.
func (r *Run) writeAgain(key string) {
	r.written.Lock()
	defer r.written.Unlock()
	value, there := r.truth[key]
	now, kept := r.store.Get(key)
	switch {
	case there && (!kept || !bytes.Equal(value, now)):
		r.store.Put(key, value)
	case !there && kept:
		r.store.Remove(key)
	}
}

// comeBack lets the store come back from a copy, and operators and servers write again, each
// key at a moment of its own.
func (r *Run) comeBack(c platformtest.Backup, random *rand.Rand) {
	r.written.Lock()
	r.store.Restore(c)
	keys := map[string]bool{}
	for key := range r.truth {
		keys[key] = true
	}
	r.written.Unlock()
	for _, key := range r.store.Keys() {
		if strings.HasPrefix(key, platform.ServersPrefix) || strings.HasPrefix(key, platform.OperatorsPrefix) {
			keys[key] = true
		}
	}
	for key := range keys {
		time.AfterFunc(time.Duration(random.Int64N(int64(writtenAgain))), func() { r.writeAgain(key) })
	}
}

// away lets the store be away for a moment and come back from a copy that is as old as the
// trouble lasts.
func (r *Run) away(random *rand.Rand, times int) (undo func()) {
	older, seed := r.store.Backup(), random.Uint64()
	return func() {
		random := rand.New(rand.NewPCG(r.options.Seed, seed))
		for range times {
			r.store.SetFaults(platformtest.Faults{Unavailable: true})
			time.Sleep(shortest + time.Duration(random.Int64N(int64(longest/2))))
			r.comeBack(older, random)
			r.store.SetFaults(platformtest.Faults{})
		}
	}
}

// returning are the troubles of a store that comes back from a copy. They stand apart, so that a
// seed without them plays what it always did.
var returning = []trouble{
	{"store comes back from a copy", func(r *Run, random *rand.Rand) func() { return r.away(random, 1) }},
	{"store comes back twice", func(r *Run, random *rand.Rand) func() { return r.away(random, 2) }},
	{"store comes back without a word", func(r *Run, random *rand.Rand) func() {
		older, seed := r.store.Backup(), random.Uint64()
		return func() { r.comeBack(older, rand.New(rand.NewPCG(r.options.Seed, seed))) }
	}},
	{"store comes back after a server said that it leaves", func(r *Run, random *rand.Rand) func() {
		s, undo := r.aServer(random), r.away(random, 1)
		r.announce(s, "draining")
		return func() {
			undo()
			time.Sleep(writtenAgain)
			r.announce(s, "ready")
		}
	}},
	{"store comes back after a configuration", func(r *Run, random *rand.Rand) func() {
		undo := r.away(random, 1)
		r.configure()
		return undo
	}},
	{"store comes back as a gateway starts", func(r *Run, random *rand.Rand) func() {
		undo, p := r.away(random, 1), r.aGateway(random)
		p.kill()
		return func() {
			undo()
			r.restart(p)
		}
	}},
}
