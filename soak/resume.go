package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"opalbridge.dev/platform"
)

// This file generates servers of several software versions side by side, and callers that take up
// broken streams at any gateway, in addition to all other faults. No stream may hold events of two
// versions; and once the faults are over, nearly all streams that can go on do.

const (
	versionsPath = "/versions/"
	// resumingCallers is the number of callers that take up streams.
	resumingCallers = 6
	// maxResumes is the number of times that a caller takes a stream up.
	maxResumes = 4
	// Of checkedStreams streams that are taken up after the faults, minResumed go on.
	checkedStreams = 20
	minResumed     = 18
)

// versionOf returns the version of a server by its number.
func versionOf(i int, several bool) string {
	if !several {
		return "v1"
	}
	return fmt.Sprintf("v%d", 1+i%2)
}

// resumedStream is a stream as its caller sees it over all tries.
type resumedStream struct {
	id       string // of the try that brought its first event
	last     int    // ID of the last event
	versions map[string]bool
	status   int    // of the latest try; 0: no answer
	refusal  string // its body, if it has no events
}

// runResumingCaller reads streams and takes them up when they break, until ctx ends.
func (r *Run) runResumingCaller(ctx context.Context, caller int) {
	defer r.callers.Done()
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(caller)+900))
	for n := 0; ctx.Err() == nil; n++ {
		s := &resumedStream{versions: map[string]bool{}}
		for try := 0; try <= maxResumes && s.last < streamEvents; try++ {
			limit := streamEvents
			if random.IntN(2) == 0 {
				limit = 1 + random.IntN(3) // the caller's connection breaks
			}
			r.readStream(s, r.gateways[random.IntN(len(r.gateways))], fmt.Sprintf("v%d-%d-%d", caller, n, try), limit)
			if s.last == 0 || random.IntN(4) == 0 {
				time.Sleep(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
			}
		}
		r.checkStream(s)
	}
}

// checkStream checks that a stream holds events of one version.
func (r *Run) checkStream(s *resumedStream) {
	if len(s.versions) > 1 {
		r.recorder.violationf("stream %s holds events of %v", s.id, slices.Sorted(maps.Keys(s.versions)))
	}
}

// readStream begins a stream, or takes it up, at a gateway, reads up to limit events and closes
// the connection.
func (r *Run) readStream(s *resumedStream, p *process, id string, limit int) {
	s.status, s.refusal = 0, ""
	r.recorder.mutex.Lock()
	r.recorder.sent[id] = "versions"
	r.recorder.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.front+versionsPath, strings.NewReader(defaultBody))
	if err != nil {
		return
	}
	request.GetBody = nil // the transport must not retry by itself
	request.Host = "h"
	platform.SetCallerHeaders(request.Header, id, "steady", callerDeadline)
	request.Header.Set(gatewayMark, p.epoch())
	request.Header.Set(sentMark, time.Now().Format(time.RFC3339Nano))
	if s.last > 0 {
		platform.SetResumeHeaders(request.Header, s.id, strconv.Itoa(s.last))
	}
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	if s.status = response.StatusCode; s.status != http.StatusOK {
		body, _ := io.ReadAll(response.Body) // told only if the check fails
		s.refusal = string(body)
		return
	}
	lines := bufio.NewScanner(response.Body)
	for read := 0; read < limit && lines.Scan(); {
		version, ok := s.event(lines.Text())
		if !ok {
			continue
		}
		if s.last == 0 {
			s.id = id
		}
		s.versions[version] = true
		s.last++
		read++
	}
}

// readAdmittedStream reads like readStream. While the gateway is short of processor time it sends again.
func (r *Run) readAdmittedStream(s *resumedStream, p *process, id string, limit int) {
	for began := time.Now(); ; time.Sleep(refusedPause) {
		r.readStream(s, p, fmt.Sprintf("%s-%d", id, time.Since(began).Milliseconds()), limit)
		if !isOverloaded(s.status, s.refusal) || time.Since(began) > maxOverload {
			return
		}
	}
}

// event returns the version that an event's data names; ok is false for other lines.
func (s *resumedStream) event(line string) (version string, ok bool) {
	data, ok := strings.CutPrefix(line, "data: piece ")
	if !ok {
		return "", false
	}
	return data[strings.LastIndexByte(data, ' ')+1:], true
}

// checkResumption checks, after the faults, that streams that can go on do.
func (r *Run) checkResumption() {
	for _, b := range r.retired {
		r.remove(platform.ServersPrefix + b.ID) // another fault's end may have written it again
	}
	time.Sleep(configPropagation)
	resumed, began := 0, 0
	var others []string // latest answers of the streams that did not go on
	for i := range checkedStreams {
		s := &resumedStream{versions: map[string]bool{}}
		r.readAdmittedStream(s, r.gateways[i%len(r.gateways)], fmt.Sprintf("after-%d", i), 2)
		if s.last > 0 {
			began++
			r.readAdmittedStream(s, r.gateways[(i+1)%len(r.gateways)], fmt.Sprintf("after-%d-again", i), streamEvents)
		}
		if s.last == streamEvents {
			resumed++
		} else {
			others = append(others, fmt.Sprintf("%d after event %d: %q", s.status, s.last, s.refusal))
		}
		r.checkStream(s)
	}
	if resumed < minResumed {
		r.recorder.violationf("%d of %d streams were begun after the faults, and %d went on at another gateway; others: %v", began, checkedStreams, resumed, others)
	}
}

// versionFaults are the faults of servers of several versions. They are kept apart from baseFaults
// so that a seed without them draws the same faults as before.
var versionFaults = []fault{
	{"server is replaced by one of another version", func(r *Run, random *rand.Rand) func() {
		return r.replaceServer(random.IntN(len(r.servers)), fmt.Sprintf("v%d", 1+random.IntN(3)))
	}},
	{"server without a word is replaced by one of another version", func(r *Run, random *rand.Rand) func() {
		i := random.IntN(len(r.servers))
		r.servers[i].proxy.Reset()
		r.remove(platform.ServersPrefix + r.servers[i].ID)
		return r.replaceServer(i, fmt.Sprintf("v%d", 1+random.IntN(3)))
	}},
	{"server starts again at another version before its entry tells", func(r *Run, random *rand.Rand) func() {
		s, born, version := r.randomServer(random), randomStartTime(random), fmt.Sprintf("v%d", 1+random.IntN(3))
		s.proxy.Reset()
		s.RestartAs(born, version)
		s.proxy.Reset() // also what the lifetime before has accepted since
		return func() { r.announce(s, "ready") }
	}},
	{"gateways are killed at once", func(r *Run, random *rand.Rand) func() {
		killed := slices.Clone(r.gateways)
		if random.IntN(2) == 0 {
			killed = killed[:len(killed)-1]
		}
		for _, p := range killed {
			p.kill()
		}
		return func() {
			for _, p := range killed {
				r.restartGateway(p)
			}
		}
	}},
}

// replaceServer starts a server of a version, and has the one at index i leave. Its undo ends that
// one.
func (r *Run) replaceServer(i int, version string) (undo func()) {
	old := r.servers[i]
	b, err := r.addServer(len(r.servers)+len(r.retired), version)
	if err != nil {
		r.recorder.violationf("server failed to start: %v", err)
		return func() {}
	}
	r.servers[i] = b
	r.retired = append(r.retired, old)
	r.announce(old, "draining")
	return func() {
		r.remove(platform.ServersPrefix + old.ID)
		old.proxy.Close()
	}
}
