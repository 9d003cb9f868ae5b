package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/platform"
	"opalbridge.dev/platform/platformtest"
)

// Load of TestGatewayKeepsWithinMemory.
const (
	smallestMemoryMB = 144
	garbledCallers   = 300 // at once, of each garbling service
	garbledFor       = 6 * time.Second
	bodyCallers      = 40 // at once, with bodies of bodyBytes to a server that reads none of them
	bodyBytes        = 4_000_000
	unreadFor        = 5 * time.Second // longer than the deadline of a request
)

// garbledConfiguration has a route and a service for each part of an answer, one for long bodies, and
// one that is sound.
func garbledConfiguration() string {
	var routes, services []string
	add := func(name, kind string, attempts int) {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"h","prefix":"/%s/","kind":%q,"timeout_ms":4000,"goal_ms":800,"service":%q,"max_attempts":%d}`, name, name, kind, name, attempts))
		services = append(services, fmt.Sprintf(`{"name":%q,"max_conns":1000}`, name))
	}
	for _, g := range platformtest.Garbles {
		add(string(g), "non_idempotent", 1)
	}
	add("events", "streaming", 1)
	add("bodies", "non_idempotent", 1)
	add("sound", "non_idempotent", 1)
	return fmt.Sprintf(`{"version":1,"routes":[%s],"services":[%s],"limits":{"max_body_bytes":4194304,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k1"]},{"name":"t2","api_keys":["k2"]}]}`,
		strings.Join(routes, ","), strings.Join(services, ","))
}

// memoryFleet is a gateway process, with servers in this one.
type memoryFleet struct {
	entries *platformtest.Store
	front   string
	sound   *platformtest.Server
	gateway *process
	metrics string
}

func (f *memoryFleet) addServer(t *testing.T, service string, h http.Handler) {
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	entry := &platformtest.Server{ID: "i-" + service, Service: service, Hall: "a", Slots: 1000}
	f.entries.Put(platform.ServersPrefix+entry.ID, entry.Entry(strings.TrimPrefix(s.URL, "http://"), "ready"))
}

func startMemoryFleet(t *testing.T) *memoryFleet {
	f := &memoryFleet{entries: &platformtest.Store{}, front: freeAddress(t), metrics: freeAddress(t)}
	store := httptest.NewServer(f.entries)
	t.Cleanup(store.Close)
	f.entries.Put(platform.ConfigurationKey, []byte(garbledConfiguration()))
	for _, g := range append(platformtest.Garbles, "events") {
		server := &platformtest.Server{ID: "i-" + string(g), Service: string(g)}
		garble := g
		if g == "events" {
			garble = platformtest.GarbleEvent
		}
		server.Set(platformtest.Behaviour{Garble: garble, GarbleCalls: garble})
		f.addServer(t, string(g), server)
	}
	f.addServer(t, "bodies", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(unreadFor) }))
	f.sound = &platformtest.Server{ID: "i-sound", Service: "sound"}
	f.sound.Set(platformtest.Behaviour{Body: "done"})
	f.addServer(t, "sound", f.sound)
	ready := freeAddress(t)
	file := t.TempDir() + "/gateway.yaml"
	text := fmt.Sprintf("name: g\nhall: a\nfront_address: %s\nready_address: %s\npeer_address: %s\nadmin_address: %s\nstore_address: %s\nmemory_mb: %d\nstop_timeout: 1s\nlog_level: error\n",
		f.front, ready, freeAddress(t), f.metrics, strings.TrimPrefix(store.URL, "http://"), smallestMemoryMB)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	var out *bufio.Reader
	f.gateway, out = startBuilt(t, "gateway", "--settings", file)
	go func() { _, _ = io.Copy(io.Discard, out) }() // ends with the process
	require.Eventually(t, func() bool {
		r, err := http.Get("http://" + ready + platform.ReadyPath)
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusOK
	}, 10*time.Second, 20*time.Millisecond)
	return f
}

// startBuilt starts the program as operators build it: the race detector takes several times the memory.
func startBuilt(t *testing.T, args ...string) (*process, *bufio.Reader) {
	program := t.TempDir() + "/opalbridge"
	built, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, "%s", built)
	return startProgram(t, program, args...)
}

// send sends a request and returns the status of its answer, or 0, and the beginning of the body.
func (f *memoryFleet) send(client *http.Client, id, key, path string, body io.Reader) (status int, text string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.front+path, body)
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "h"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Deadline-Ms", "4000")
	answer, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	b, err := io.ReadAll(io.LimitReader(answer.Body, 1000))
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(b)
}

// peakMemoryMB returns the most resident memory that a process has had.
func (p *process) peakMemoryMB(t *testing.T) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	require.NoError(t, err, "the process runs")
	for line := range strings.Lines(string(status)) {
		var kB int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kB); n == 1 {
			return kB >> 10
		}
	}
	require.Fail(t, "no memory in the process's status")
	return 0
}

// TestGatewayKeepsWithinMemory guards against a gateway that holds what others send until its platform
// ends it: many endless answers at once, in each part of an answer, and long bodies of one account to a
// server that does not read them. Sound requests of another account are served meanwhile.
func TestGatewayKeepsWithinMemory(t *testing.T) {
	f := startMemoryFleet(t)
	stop := make(chan struct{})
	var ids, sound, served atomic.Int64
	var refusals sync.Map // outcomes of the sound requests that were not served, by ID
	var callers sync.WaitGroup
	call := func(count int, key, path string, body func() io.Reader, interval time.Duration) {
		for range count {
			callers.Go(func() {
				client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableCompression: true}}
				defer client.CloseIdleConnections()
				for {
					select {
					case <-stop:
						return
					case <-time.After(interval):
					}
					id := fmt.Sprintf("a%d", ids.Add(1))
					status, answer := f.send(client, id, key, path, body())
					if path == "/sound/x" {
						sound.Add(1)
						if status == http.StatusOK {
							served.Add(1)
						} else {
							refusals.Store(id, fmt.Sprint(status, " ", answer))
						}
					}
				}
			})
		}
	}
	short := func() io.Reader { return strings.NewReader("hello") }
	for _, g := range append(platformtest.Garbles, "events") {
		call(garbledCallers/len(platformtest.Garbles), "k1", "/"+string(g)+"/x", short, 20*time.Millisecond)
	}
	long := make([]byte, bodyBytes)
	call(bodyCallers, "k1", "/bodies/x", func() io.Reader { return bytes.NewReader(long) }, 100*time.Millisecond)
	call(4, "k2", "/sound/x", func() io.Reader { return strings.NewReader(strings.Repeat("x", 100_000)) }, 20*time.Millisecond)
	time.Sleep(garbledFor)
	close(stop)
	callers.Wait()
	peak := f.gateway.peakMemoryMB(t)
	t.Logf("figure peak %d MB of %d; %d of %d sound requests served", peak, smallestMemoryMB, served.Load(), sound.Load())
	require.Less(t, peak, smallestMemoryMB)
	refusals.Range(func(_, outcome any) bool {
		// A gateway that refuses closes the connection, also while the caller still writes its body: then
		// the caller sees no answer (status 0).
		require.Regexp(t, "^503 gateway short of|^0 ", outcome, "a sound request is served, or refused")
		return true
	})
	for _, run := range f.sound.Runs() {
		_, refused := refusals.Load(run.ID)
		require.False(t, refused, "request %s was not served, and has run", run.ID)
	}
	require.Positive(t, served.Load())
}
