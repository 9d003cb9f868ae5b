package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/platform"
	"opalbridge.dev/platform/platformtest"
)

// withdrawalFleet is a fleet of gateways, each a process.
type withdrawalFleet struct {
	gateways []*process
	fronts   []string // addresses for callers
	health   []string // addresses of health checks
	metrics  []string
	logs     []chan string // each gateway's log, once it has ended
}

// gatewayHost is a host of a gateway.
type gatewayHost struct {
	hall string
	cpu  float64
}

// startWithdrawalFleet starts a hall of one small and three larger gateways.
func startWithdrawalFleet(t *testing.T, setting string) *withdrawalFleet {
	return startGatewayFleet(t, []gatewayHost{{"a", 0.144}, {"a", 0.8}, {"a", 0.8}, {"a", 0.8}}, "withdraw: "+setting+"\n")
}

func startGatewayFleet(t *testing.T, hosts []gatewayHost, settings string) *withdrawalFleet {
	entries := &platformtest.Store{}
	store := httptest.NewServer(entries)
	t.Cleanup(store.Close)
	server := &platformtest.Server{ID: "i-0", Service: "s", Hall: "a"}
	s := httptest.NewServer(server)
	t.Cleanup(s.Close)
	entries.Put(platform.ServersPrefix+server.ID, server.Entry(strings.TrimPrefix(s.URL, "http://"), "ready"))
	entries.Put(platform.ConfigurationKey, []byte(`{"version":1,"routes":[
 {"name":"stream","host":"h","prefix":"/","kind":"streaming","timeout_ms":3000,"goal_ms":800,"service":"s","max_attempts":1}],
 "services":[{"name":"s","max_conns":100}],"limits":{"max_body_bytes":1000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1"],"priority":1}]}`))
	port, err := platformtest.FreePort()
	require.NoError(t, err)
	f := &withdrawalFleet{}
	for i, h := range hosts {
		front, health, metrics := freeAddress(t), freeAddress(t), freeAddress(t)
		file := filepath.Join(t.TempDir(), "gateway.yaml")
		text := fmt.Sprintf("name: g-%d\nhall: %s\nfront_address: %s\nready_address: %s\npeer_address: 127.0.0.%d:%d\nadmin_address: %s\nstore_address: %s\nseeds: 127.0.0.1,127.0.0.2\nprocessor: %g\nstop_timeout: 1s\n%s",
			i, h.hall, front, health, i+1, port, metrics, strings.TrimPrefix(store.URL, "http://"), h.cpu, settings)
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		p, out := startProcess(t, "gateway", "--settings", file)
		lines := make(chan string, 1)
		go func() {
			b, _ := io.ReadAll(out) // the pipe is closed when the process has been waited for
			lines <- string(b)
		}()
		f.gateways, f.fronts, f.health, f.metrics, f.logs = append(f.gateways, p), append(f.fronts, front), append(f.health, health), append(f.metrics, metrics), append(f.logs, lines)
	}
	began := time.Now()
	for statuses := f.statuses(); slices.ContainsFunc(statuses, func(s int) bool { return s != http.StatusOK }); statuses = f.statuses() {
		require.Less(t, time.Since(began), 30*time.Second, "statuses of the gateways' health checks: %v", statuses)
		time.Sleep(20 * time.Millisecond)
	}
	return f
}

// statuses answers the health check of each gateway.
func (f *withdrawalFleet) statuses() (list []int) {
	for i := range f.gateways {
		list = append(list, f.status(i))
	}
	return list
}

// status answers a health check, or 0.
func (f *withdrawalFleet) status(gateway int) int {
	c := http.Client{Timeout: 2 * time.Second}
	r, err := c.Get("http://" + f.health[gateway] + platform.ReadyPath)
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}

// metricsPage returns a gateway's metrics.
func (f *withdrawalFleet) metricsPage(t *testing.T, gateway int) string {
	r, err := http.Get("http://" + f.metrics[gateway] + "/metrics")
	require.NoError(t, err)
	defer r.Body.Close()
	page, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	return string(page)
}

// overload leaves a gateway little CPU time until stop is closed, and reports its end on done.
func (f *withdrawalFleet) overload(gateway int, stop <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	p := f.gateways[gateway].command.Process
	for {
		// Its timers are over 250 ms late, above which it admits nothing.
		_ = p.Signal(syscall.SIGSTOP)
		time.Sleep(300 * time.Millisecond)
		_ = p.Signal(syscall.SIGCONT)
		select {
		case <-stop:
			return
		case <-time.After(60 * time.Millisecond):
		}
	}
}

// TestOverloadedGatewayWithdraws checks by the load balancer's health checks that a gateway without CPU
// time withdraws from its hall, that the others stay ready, and that an operator can see why.
func TestOverloadedGatewayWithdraws(t *testing.T) {
	f := startWithdrawalFleet(t, "on")
	stop, done := make(chan struct{}), make(chan struct{})
	go f.overload(0, stop, done)
	require.Eventually(t, func() bool { return f.status(0) == http.StatusServiceUnavailable }, 30*time.Second, 100*time.Millisecond)
	close(stop)
	<-done
	for i := 1; i < len(f.gateways); i++ {
		require.Equal(t, http.StatusOK, f.status(i), "gateway %d", i)
	}
	time.Sleep(time.Second)
	require.Equal(t, http.StatusServiceUnavailable, f.status(0), "it stays withdrawn for a minute")
	require.Regexp(t, `(?m)^opalbridge_gateway_withdrawn(\{.*\})? 1$`, f.metricsPage(t, 0))
	for i := 1; i < len(f.gateways); i++ { // planned stops: the hall has too few ready gateways left
		require.NoError(t, f.gateways[i].command.Process.Signal(syscall.SIGTERM))
	}
	require.Eventually(t, func() bool { return f.status(0) == http.StatusOK }, 10*time.Second, 20*time.Millisecond)
	require.NoError(t, f.gateways[0].command.Process.Signal(syscall.SIGTERM))
	lines := <-f.logs[0]
	require.Regexp(t, `"event":"gateway.withdrawn".*"reason":"too few connections admitted"`, lines)
	require.Regexp(t, `"event":"gateway.returned".*"reason":"(too few gateways of the hall are ready|no other gateway of the hall is heard of)"`, lines)
}

// TestWithdrawOffStaysReady checks that an overloaded gateway whose settings leave withdrawing off
// stays ready.
func TestWithdrawOffStaysReady(t *testing.T) {
	f := startWithdrawalFleet(t, "off")
	stop, done := make(chan struct{}), make(chan struct{})
	go f.overload(0, stop, done)
	for range 20 {
		time.Sleep(200 * time.Millisecond)
		require.NotEqual(t, http.StatusServiceUnavailable, f.status(0))
	}
	close(stop)
	<-done
	require.Equal(t, http.StatusOK, f.status(0))
}
