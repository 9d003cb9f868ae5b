package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"

	"opalbridge.dev/platform/platformtest"
)

// This file holds the faults of servers and other writers that send what is no part of the protocol.

// garbledMemoryMB is the memory of a gateway, the least that a host of a sheet has.
const garbledMemoryMB = 144

// garbles are the parts of answers in whose place servers send something else. Bytes that come within or
// after an answer that names the request and has a seal are left out: they are the server's own, and not
// what the callers expect.
var garbles = []platformtest.Garble{
	platformtest.GarbleHead, platformtest.GarbleField, platformtest.GarbleFields, platformtest.GarbleInterim, platformtest.GarbleText,
	platformtest.GarbleChunkLine, platformtest.GarbleChunks, platformtest.GarbleTrailer,
	platformtest.GarbleSeal, platformtest.GarbleForeign,
}

// incompleteEntries lack a field each that every server writes, or have one of another type.
var incompleteEntries = [][]byte{
	[]byte(`{"service":"s","addr":"127.0.0.1:9","zone":"z","capacity":64,"state":"ready","cold_left_ms":0,"call_seq":0}`),
	[]byte(`{"service":"s","addr":"127.0.0.1:9","zone":"z","version":"v1","state":"ready","cold_left_ms":0,"call_seq":0}`),
	[]byte(`{"service":"s","addr":"127.0.0.1:9","zone":"z","version":"v1","capacity":64,"state":"ready","call_seq":0}`),
	[]byte(`{"service":"s","addr":"127.0.0.1:9","zone":"z","version":"v1","capacity":64,"state":"ready","cold_left_ms":0}`),
	[]byte(`{"service":"s","addr":"127.0.0.1:9","zone":"z","version":"v1","capacity":64,"state":"ready","cold_left_ms":0,"call_seq":0,"born":"7"}`),
}

// garbleFaults are kept apart from baseFaults so that a seed without them draws the same faults as before.
var garbleFaults = []fault{
	{"server sends bytes that are no answer", func(r *Run, random *rand.Rand) func() {
		g := garbles[random.IntN(len(garbles))]
		return r.randomServer(random).behave(func(b *platformtest.Behaviour) { b.Garble = g })
	}},
	{"server answers gateways' calls with bytes that are no answer", func(r *Run, random *rand.Rand) func() {
		g := garbles[random.IntN(len(garbles))]
		return r.randomServer(random).behave(func(b *platformtest.Behaviour) { b.GarbleCalls = g })
	}},
	{"entries lack fields", func(r *Run, random *rand.Rand) func() {
		n := random.IntN(len(incompleteEntries))
		key := fmt.Sprintf("servers/incomplete-%d", n)
		r.put(key, incompleteEntries[n])
		return func() { r.remove(key) }
	}},
}

// checkMemory checks that no gateway has had more memory than it may, since it started last.
func (r *Run) checkMemory() {
	if !r.options.Garbles {
		return
	}
	for _, p := range r.gateways {
		peak, err := p.peakMemoryMB()
		if err != nil || peak >= garbledMemoryMB {
			r.recorder.violationf("gateway %s: %d MB of %d, error %v", p.name, peak, garbledMemoryMB, err)
		}
	}
}

// peakMemoryMB returns the most resident memory that the process has had.
func (p *process) peakMemoryMB() (int, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		var kB int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kB); n == 1 {
			return kB >> 10, nil
		}
	}
	return 0, fmt.Errorf("soak: no memory in the status of %s", p.name)
}
