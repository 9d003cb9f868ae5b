package soak

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"time"

	"opalbridge.dev/platform"
	"opalbridge.dev/platform/platformtest"
)

// This file generates restores of the store from an older copy, in addition to all other faults.
// What gateways wrote since the copy is lost; operators and servers rewrite their entries.

// rewriteWindow is the time within which operators and servers rewrite what a copy lacks.
const rewriteWindow = 2 * time.Second

// put writes a key as an operator or server does.
func (r *Run) put(key string, value []byte) {
	r.writeMutex.Lock()
	defer r.writeMutex.Unlock()
	r.written[key] = value
	r.store.Put(key, value)
}

// remove removes a key as an operator or server does.
func (r *Run) remove(key string) {
	r.writeMutex.Lock()
	defer r.writeMutex.Unlock()
	delete(r.written, key)
	r.store.Remove(key)
}

// rewrite restores one key to what operators and servers have last written.
func (r *Run) rewrite(key string) {
	r.writeMutex.Lock()
	defer r.writeMutex.Unlock()
	value, exists := r.written[key]
	current, stored := r.store.Get(key)
	switch {
	case exists && (!stored || !bytes.Equal(value, current)):
		r.store.Put(key, value)
	case !exists && stored:
		r.store.Remove(key)
	}
}

// restoreCopy restores the store from a copy and has operators and servers rewrite their
// entries, each key after a random delay of its own.
func (r *Run) restoreCopy(c platformtest.Backup, random *rand.Rand) {
	r.writeMutex.Lock()
	r.store.Restore(c)
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

// outageAndRestore copies the store now. Its undo takes the store down for a short time and
// restores it from the copy, the given number of times.
func (r *Run) outageAndRestore(random *rand.Rand, times int) (undo func()) {
	older, seed := r.store.Backup(), random.Uint64()
	return func() {
		random := rand.New(rand.NewPCG(r.options.Seed, seed))
		for range times {
			r.store.SetFaults(platformtest.Faults{Unavailable: true})
			time.Sleep(minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration/2))))
			r.restoreCopy(older, random)
			r.store.SetFaults(platformtest.Faults{})
		}
	}
}

// restoreFaults are the faults of a store that is restored from a copy. They are kept apart from
// baseFaults so that a seed without them draws the same faults as before.
var restoreFaults = []fault{
	{"store is restored from a copy", func(r *Run, random *rand.Rand) func() { return r.outageAndRestore(random, 1) }},
	{"store is restored from a copy twice", func(r *Run, random *rand.Rand) func() { return r.outageAndRestore(random, 2) }},
	{"store is restored without an outage", func(r *Run, random *rand.Rand) func() {
		older, seed := r.store.Backup(), random.Uint64()
		return func() { r.restoreCopy(older, rand.New(rand.NewPCG(r.options.Seed, seed))) }
	}},
	{"store is restored after a server announced that it leaves", func(r *Run, random *rand.Rand) func() {
		s, undo := r.randomServer(random), r.outageAndRestore(random, 1)
		r.announce(s, "draining")
		return func() {
			undo()
			time.Sleep(rewriteWindow)
			r.announce(s, "ready")
		}
	}},
	{"store is restored after a configuration was written", func(r *Run, random *rand.Rand) func() {
		undo := r.outageAndRestore(random, 1)
		r.configure()
		return undo
	}},
	{"store is restored as a gateway starts", func(r *Run, random *rand.Rand) func() {
		undo, p := r.outageAndRestore(random, 1), r.randomGateway(random)
		p.kill()
		return func() {
			undo()
			r.restartGateway(p)
		}
	}},
}
