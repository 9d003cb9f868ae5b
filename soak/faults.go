package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"opalbridge.dev/platform/platformtest"
)

// fault is one kind of fault; inject begins it and returns a function that ends it.
type fault struct {
	name   string
	inject func(r *Run, random *rand.Rand) (undo func())
}

func (r *Run) randomGateway(random *rand.Rand) *process {
	return r.gateways[random.IntN(len(r.gateways))]
}

func (r *Run) randomServer(random *rand.Rand) *backend {
	all := slices.Concat(r.servers, r.plain)
	return all[random.IntN(len(all))]
}

// behaviourFault returns a fault that changes the behaviour of a random server.
func behaviourFault(change func(b *platformtest.Behaviour)) func(*Run, *rand.Rand) func() {
	return func(r *Run, random *rand.Rand) func() {
		s := r.randomServer(random)
		return s.behave(change)
	}
}

// behave changes the behaviour of a server.
func (b *backend) behave(change func(*platformtest.Behaviour)) (undo func()) {
	changed := b.healthy
	change(&changed)
	b.Set(changed)
	return func() { b.Set(b.healthy) }
}

// linkFault returns a fault of the link between a random gateway and the store, or between all
// gateways and a random server.
func linkFault(l Link, store bool) func(*Run, *rand.Rand) func() {
	return func(r *Run, random *rand.Rand) func() {
		if store {
			p := r.randomGateway(random).proxy
			p.Set(l)
			return func() { p.Set(Link{}) }
		}
		s := r.randomServer(random)
		endFault := r.recorder.recordLinkFault(s.ID)
		s.proxy.Set(l)
		return func() {
			s.proxy.Set(Link{})
			endFault()
		}
	}
}

// storeFault returns a fault of the store itself.
func storeFault(f platformtest.Faults) func(*Run, *rand.Rand) func() {
	return func(r *Run, _ *rand.Rand) func() {
		r.store.SetFaults(f)
		return func() { r.store.SetFaults(platformtest.Faults{}) }
	}
}

const slowLink = 150 * time.Millisecond

// leavingFault has a server announce by its entry that it leaves, and return.
var leavingFault = fault{"server leaves and returns", func(r *Run, random *rand.Rand) func() {
	s := r.randomServer(random)
	r.announce(s, "draining")
	return func() { r.announce(s, "ready") }
}}

var baseFaults = []fault{
	{"gateway pauses", func(r *Run, random *rand.Rand) func() {
		p := r.randomGateway(random)
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"gateway is killed", func(r *Run, random *rand.Rand) func() {
		p := r.randomGateway(random)
		p.kill()
		return func() { r.restartGateway(p) }
	}},
	{"gateway is stopped", func(r *Run, random *rand.Rand) func() {
		p := r.randomGateway(random)
		p.signal(syscall.SIGTERM)
		return func() {
			p.kill()
			r.restartGateway(p)
		}
	}},
	{"settings are read again", func(r *Run, random *rand.Rand) func() {
		r.randomGateway(random).signal(syscall.SIGHUP)
		return func() {}
	}},
	{"configuration changes", func(r *Run, _ *rand.Rand) func() {
		r.configure()
		return func() {}
	}},
	leavingFault,
	{"server's entry lapses", func(r *Run, random *rand.Rand) func() {
		s := r.randomServer(random)
		r.remove("servers/" + s.ID)
		return func() { r.announce(s, "ready") }
	}},
	{"server's connections are reset", func(r *Run, random *rand.Rand) func() {
		r.resetServer(r.randomServer(random))
		return func() {}
	}},
	{"store's connections are reset", func(r *Run, random *rand.Rand) func() {
		r.randomGateway(random).proxy.Reset()
		return func() {}
	}},
	{"server's open connections go silent", func(r *Run, random *rand.Rand) func() {
		return r.silence(r.randomServer(random), true, true)
	}},
	{"server's open connections go silent one way", func(r *Run, random *rand.Rand) func() {
		return r.silence(r.randomServer(random), false, true)
	}},
	{"store's open connections go silent", func(r *Run, random *rand.Rand) func() {
		r.randomGateway(random).proxy.Silence(true, true)
		return func() {}
	}},
	{"link to a server is slow", linkFault(Link{Delay: slowLink}, false)},
	{"link to a server is silent", linkFault(Link{SilentTo: true, SilentFrom: true}, false)},
	{"link to a server is cut one way", linkFault(Link{SilentFrom: true}, false)},
	{"link to the store is slow", linkFault(Link{Delay: slowLink}, true)},
	{"link to the store is silent", linkFault(Link{SilentTo: true, SilentFrom: true}, true)},
	{"link to the store is cut one way", linkFault(Link{SilentTo: true}, true)},
	{"store is down", storeFault(platformtest.Faults{Unavailable: true})},
	{"store is silent", storeFault(platformtest.Faults{Hang: true})},
	{"store is slow", storeFault(platformtest.Faults{Delay: slowLink})},
	{"store forgets its history", storeFault(platformtest.Faults{Compacted: true})},
	{"server fails", behaviourFault(func(b *platformtest.Behaviour) { b.Status = 500 })},
	{"server breaks off", behaviourFault(func(b *platformtest.Behaviour) { b.Reset = true })},
	{"server cuts streams", behaviourFault(func(b *platformtest.Behaviour) { b.CutAfter = 3 })},
	{"server is full", behaviourFault(func(b *platformtest.Behaviour) { b.Reject = true })},
	{"server does not answer", behaviourFault(func(b *platformtest.Behaviour) { b.Hang = true })},
	{"server is slow", behaviourFault(func(b *platformtest.Behaviour) { b.ServiceTime = 400 * time.Millisecond })},
}

// droppedLinger is the time after which a server learns that its connections have broken.
const droppedLinger = time.Second

// backupFaults are the faults of servers that crash, and of connections that break while their server
// works on, in which case no stream may go on elsewhere. They are kept apart from baseFaults so that a
// seed without them draws the same faults as before.
var backupFaults = []fault{
	{"server crashes", crashOnce},
	{"server crashes", crashOnce},
	{"server's connections break and it works on", func(r *Run, random *rand.Rand) func() {
		s := r.randomServer(random)
		endFault := r.recorder.recordLinkFault(s.ID)
		s.proxy.Drop(droppedLinger)
		return endFault
	}},
}

// cutFaults are the faults of watches that are cut, and of servers that leave meanwhile. They are kept
// apart from baseFaults so that a seed without them draws the same faults as before.
var cutFaults = []fault{
	{"store cuts watches at once", storeFault(platformtest.Faults{CutWatches: 50 * time.Millisecond})},
	{"store cuts watches", storeFault(platformtest.Faults{CutWatches: 300 * time.Millisecond})},
	{"store cuts watches and is slow", storeFault(platformtest.Faults{CutWatches: 300 * time.Millisecond, Delay: slowLink})},
	leavingFault,
	leavingFault,
}

// crashOnce has a server refuse connections, lose its runs, and start again.
func crashOnce(r *Run, random *rand.Rand) (undo func()) {
	r.crashServer(r.randomServer(random), "")
	return func() {}
}

// resetServer resets the connections to a server.
func (r *Run) resetServer(s *backend) {
	r.recorder.recordLinkFault(s.ID)()
	s.proxy.Reset()
}

// silence withholds the traffic of the open connections to a server permanently. Answers on them
// are lost until the last of their requests reaches its deadline.
func (r *Run) silence(s *backend, to, from bool) (undo func()) {
	endFault := r.recorder.recordLinkFault(s.ID)
	time.AfterFunc(callerDeadline, endFault)
	s.proxy.Silence(to, from)
	return func() {}
}

func (r *Run) restartGateway(p *process) {
	if err := p.start(); err != nil {
		r.recorder.violationf("gateway %s failed to restart: %v", p.name, err)
	}
}

// restartFaults are the faults of servers that restart and of entries of other writers. They are
// kept apart from baseFaults so that a seed without them draws the same faults as before.
var restartFaults = []fault{
	{"server starts again at once", func(r *Run, random *rand.Rand) func() {
		r.crashAndRestart(r.randomServer(random), randomStartTime(random))
		return func() {}
	}},
	{"server starts again twice", func(r *Run, random *rand.Rand) func() {
		s, second := r.randomServer(random), randomStartTime(random)
		r.crashAndRestart(s, randomStartTime(random))
		return func() { r.crashAndRestart(s, second) }
	}},
	{"server starts again after its entry lapsed", func(r *Run, random *rand.Rand) func() {
		s, born := r.randomServer(random), randomStartTime(random)
		s.proxy.Reset()
		r.remove("servers/" + s.ID)
		return func() { r.crashAndRestart(s, born) }
	}},
	{"server starts again while the store is down", func(r *Run, random *rand.Rand) func() {
		r.store.SetFaults(platformtest.Faults{Unavailable: true})
		r.crashAndRestart(r.randomServer(random), randomStartTime(random))
		return func() { r.store.SetFaults(platformtest.Faults{}) }
	}},
	{"server's entry is malformed", func(r *Run, random *rand.Rand) func() {
		s := r.randomServer(random)
		r.put("servers/"+s.ID, malformedEntries[random.IntN(len(malformedEntries))])
		return func() { r.announce(s, "ready") }
	}},
	{"others write entries", func(r *Run, random *rand.Rand) func() {
		for i := range malformedEntries {
			r.put(fmt.Sprintf("servers/other-%d", i), malformedEntries[i])
		}
		removed := fmt.Sprintf("servers/other-%d", random.IntN(len(malformedEntries)))
		return func() { r.remove(removed) }
	}},
}

// malformedEntries are entries that no server writes.
var malformedEntries = [][]byte{
	nil,
	[]byte("\xff\x00"),
	[]byte(`{"service":"s","zone":"z","version":"v1","capacity":64,"state":"ready","cold_left_ms":0,"call_seq":0}`),
	[]byte(`{"service":"s","addr":"nowhere","zone":"z","version":"v1","capacity":64,"state":"ready","cold_left_ms":0,"call_seq":0}`),
	[]byte(`{"service":"s","addr":"127.0.0.1:9","zone":"z","version":"v1","capacity":-1,"state":"ready","cold_left_ms":0,"call_seq":0}`),
	[]byte(`{"service":["s"],"addr":7,"zone":null,"capacity":"64","state":{},"born":"x"}`),
	[]byte(`{"service":"s","addr":"127.0.0.1:9","zone":"z","version":"v1","capacity":64,"state":"asleep","cold_left_ms":0,"call_seq":0}`),
}

// randomStartTime draws the start time of a server, in milliseconds. The clock of its host may
// have been set back by up to an hour.
func randomStartTime(random *rand.Rand) int64 {
	const hour = 3_600_000
	return time.Now().UnixMilli() - random.Int64N(hour)
}

// crashAndRestart crashes a server and restarts it with the same ID.
func (r *Run) crashAndRestart(s *backend, born int64) {
	s.proxy.Reset()
	s.StopRuns() // a process that has ended works on nothing
	s.Restart(born)
	r.announce(s, "ready")
}
