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
const rewriteWindow = 2 * time.Second

// put writes as operators and servers do.
func (r *Run) put(key string, value []byte) {
	r.writeMutex.Lock()
	defer r.writeMutex.Unlock()
	r.written[key] = value
	r.store.Put(key, value)
}

// remove removes as operators and servers do.
func (r *Run) remove(key string) {
	r.writeMutex.Lock()
	defer r.writeMutex.Unlock()
	delete(r.written, key)
	r.store.Remove(key)
}

// writeAgain puts one key right that differs from what operators and servers have written.
func (r *Run) rewrite(key string) {
	r.writeMutex.Lock()
	defer r.writeMutex.Unlock()
	value, there := r.written[key]
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
func (r *Run) restoreCopy(c platformtest.Copy, random *rand.Rand) {
	r.writeMutex.Lock()
	r.store.Return(c)
	keys := map[string]bool{}
	for key := range r.written {
		keys[key] = true
	}
	r.writeMutex.Unlock()
	for _, key := range r.store.Keys() {
		if strings.HasPrefix(key, platform.ServersPrefix) || strings.HasPrefix(key, platform.OperatorsPrefix) {
			keys[key] = true
		}
	}
	for key := range keys {
		time.AfterFunc(time.Duration(random.Int64N(int64(rewriteWindow))), func() { r.rewrite(key) })
	}
}

// away lets the store be away for a moment and come back from a copy that is as old as the
// trouble lasts.
func (r *Run) outageAndRestore(random *rand.Rand, times int) (undo func()) {
	older, seed := r.store.Copy(), random.Uint64()
	return func() {
		random := rand.New(rand.NewPCG(r.options.Seed, seed))
		for range times {
			r.store.SetFaults(platformtest.Faults{Down: true})
			time.Sleep(minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration/2))))
			r.restoreCopy(older, random)
			r.store.SetFaults(platformtest.Faults{})
		}
	}
}

// returning are the troubles of a store that comes back from a copy. They stand apart, so that a
// seed without them plays what it always did.
var restoreFaults = []fault{
	{"store comes back from a copy", func(r *Run, random *rand.Rand) func() { return r.outageAndRestore(random, 1) }},
	{"store comes back twice", func(r *Run, random *rand.Rand) func() { return r.outageAndRestore(random, 2) }},
	{"store comes back without a word", func(r *Run, random *rand.Rand) func() {
		older, seed := r.store.Copy(), random.Uint64()
		return func() { r.restoreCopy(older, rand.New(rand.NewPCG(r.options.Seed, seed))) }
	}},
	{"store comes back after a server said that it leaves", func(r *Run, random *rand.Rand) func() {
		s, undo := r.randomServer(random), r.outageAndRestore(random, 1)
		r.announce(s, "draining")
		return func() {
			undo()
			time.Sleep(rewriteWindow)
			r.announce(s, "ready")
		}
	}},
	{"store comes back after a configuration", func(r *Run, random *rand.Rand) func() {
		undo := r.outageAndRestore(random, 1)
		r.configure()
		return undo
	}},
	{"store comes back as a gateway starts", func(r *Run, random *rand.Rand) func() {
		undo, p := r.outageAndRestore(random, 1), r.randomGateway(random)
		p.kill()
		return func() {
			undo()
			r.restartGateway(p)
		}
	}},
}
