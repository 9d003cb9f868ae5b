package main

import (
	"bytes"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/platform"
	"opalbridge.dev/platform/platformtest"
)

// Signals of TestHangups.
const (
	hangupCount    = 200
	hangupInterval = 500 * time.Microsecond
)

// hangupFleet is a store and a server, for a gateway that gets signals.
type hangupFleet struct {
	front, ready, settings string
	store                  *platformtest.Store
	earlier                *httptest.Server // where the settings have the store at the start
}

func newHangupFleet(t *testing.T) hangupFleet {
	store := &platformtest.Store{}
	h := httptest.NewServer(store)
	t.Cleanup(h.Close)
	s := &platformtest.Server{ID: "i-0", Service: "s", Hall: "hall-1"}
	backend := httptest.NewServer(s)
	t.Cleanup(backend.Close)
	store.Put(platform.ConfigurationKey, optionalConfiguration{objective: 1000}.document())
	store.Put(platform.ServersPrefix+s.ID, s.Entry(strings.TrimPrefix(backend.URL, "http://"), "ready"))
	f := hangupFleet{freeAddress(t), freeAddress(t), filepath.Join(t.TempDir(), "gateway.yaml"), store, h}
	text := fmt.Sprintf("name: gateway-1\nhall: hall-1\nfront_address: %s\nready_address: %s\npeer_address: %s\nstore_address: %s\nstop_timeout: 1s\n",
		f.front, f.ready, freeAddress(t), strings.TrimPrefix(h.URL, "http://"))
	require.NoError(t, os.WriteFile(f.settings, []byte(text), 0o600))
	return f
}

// hangupGateway is a gateway process that gets signals.
type hangupGateway struct {
	process *os.Process
	output  strings.Builder // complete once it has ended
	ended   chan struct{}   // closed when it has ended
	err     error           // how it ended
}

// start starts the gateway.
func (f hangupFleet) start(t *testing.T) *hangupGateway {
	self, err := os.Executable()
	require.NoError(t, err)
	g := &hangupGateway{ended: make(chan struct{})}
	c := exec.Command(self, "gateway", "--settings", f.settings)
	c.Env = append(os.Environ(), runAsProgramEnv+"=1")
	c.Stdout, c.Stderr = &g.output, &g.output
	require.NoError(t, c.Start())
	g.process = c.Process
	go func() {
		g.err = c.Wait()
		close(g.ended)
	}()
	t.Cleanup(func() {
		_ = g.process.Kill() // it may have exited
		<-g.ended
	})
	return g
}

// requireRunning requires that no signal has ended the process.
func (g *hangupGateway) requireRunning(t *testing.T) {
	select {
	case <-g.ended:
		require.Fail(t, "the gateway has ended", "%v: %s", g.err, g.output.String())
	default:
	}
}

// hangUp sends SIGHUPs while the process runs, up to a number of them.
func (g *hangupGateway) hangUp(count int) {
	for range count {
		select {
		case <-g.ended:
			return
		case <-time.After(hangupInterval):
			_ = g.process.Signal(syscall.SIGHUP) // it may have exited
		}
	}
}

func (f hangupFleet) isReady() bool {
	answer, err := http.Get("http://" + f.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// statusMask matches the signals that a process ignores or catches.
var statusMask = regexp.MustCompile(`(?m)^Sig(?:Ign|Cgt):\s+([0-9a-f]+)$`)

// setsHangup reports whether the process has replaced the default action of SIGHUP. Until it has loaded the C
// library, its masks may still be those of this process.
func setsHangup(pid int) bool {
	maps, err := os.ReadFile(fmt.Sprintf("/proc/%d/maps", pid))
	if err != nil || !bytes.Contains(maps, []byte("libc.so")) {
		return false
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	for _, m := range statusMask.FindAllSubmatch(status, -1) {
		mask, err := strconv.ParseUint(string(m[1]), 16, 64)
		if err == nil && mask&1 != 0 {
			return true
		}
	}
	return false
}

// TestHangups guards against a gateway that SIGHUP ends while it starts or stops.
func TestHangups(t *testing.T) {
	for n := range 5 {
		t.Run(fmt.Sprintf("start %d", n), func(t *testing.T) {
			f := newHangupFleet(t)
			g, began := f.start(t), time.Now()
			require.Eventually(t, func() bool { return setsHangup(g.process.Pid) }, time.Second, 20*time.Microsecond)
			t.Logf("SIGHUP had its default action for at most %s", time.Since(began))
			g.hangUp(hangupCount)
			for !f.isReady() && time.Since(began) < 20*time.Second {
				g.requireRunning(t)
				time.Sleep(5 * time.Millisecond)
			}
			f.requireServing(t)

			require.NoError(t, g.process.Signal(syscall.SIGTERM))
			g.hangUp(math.MaxInt)
			require.NoError(t, g.err, "a SIGHUP during the stop has ended it")
			require.Contains(t, g.output.String(), `"event":"stopped"`)
		})
	}
}

// requireServing requires that the gateway serves a request.
func (f hangupFleet) requireServing(t *testing.T) {
	require.Equal(t, http.StatusOK, f.send(t))
}

// send sends a request and returns the status of its answer.
func (f hangupFleet) send(t *testing.T) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.front+"/once/x", strings.NewReader("hello"))
	require.NoError(t, err)
	r.Host = "h"
	platform.SetCallerHeaders(r.Header, "after-hangups", "k1", 3*time.Second)
	answer, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	answer.Body.Close()
	return answer.StatusCode
}

// TestStoreMoves guards against a gateway that lets a key in that was taken away after its store had got
// another address in the settings (CONFIG).
func TestStoreMoves(t *testing.T) {
	const configApply = 2 * time.Second // config_apply_ms of the sites
	f := newHangupFleet(t)
	moved := httptest.NewServer(f.store)
	defer moved.Close()
	g := f.start(t)
	require.Eventually(t, f.isReady, 20*time.Second, 20*time.Millisecond)
	f.requireServing(t)

	text, err := os.ReadFile(f.settings)
	require.NoError(t, err)
	earlier := string(text)
	change := func(text string) {
		require.NoError(t, os.WriteFile(f.settings, []byte(text), 0o600))
		require.NoError(t, g.process.Signal(syscall.SIGHUP))
		time.Sleep(500 * time.Millisecond)
	}
	change("no settings")
	f.requireServing(t)
	change(strings.Replace(earlier, f.earlier.Listener.Addr().String(), moved.Listener.Addr().String(), 1) + "repeat_ratio: 0.05\n")
	f.earlier.CloseClientConnections()
	f.earlier.Close()
	c := optionalConfiguration{objective: 1000}.document()
	f.store.Put(platform.ConfigurationKey, bytes.Replace(bytes.Replace(c, []byte(`"k1"`), []byte(`"k2"`), 1), []byte(`"version":1`), []byte(`"version":2`), 1))
	time.Sleep(configApply)
	status := f.send(t)

	require.NoError(t, g.process.Signal(syscall.SIGTERM))
	<-g.ended
	require.Equal(t, http.StatusUnauthorized, status, g.output.String())
	require.Regexp(t, `"event":"reload".*"key":"repeat_ratio".*takes effect at the next start`, g.output.String())
	require.Regexp(t, `"event":"reload".*"key":"store_address".*new address`, g.output.String())
	require.Regexp(t, `"event":"reload".*settings file is invalid`, g.output.String())
}
