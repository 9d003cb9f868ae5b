package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/platform"
	"opalbridge.dev/platform/platformtest"
)

// TestKilledGatewayCutsAnswers checks that a caller of HTTP/1.0, for whom the end of the connection is that of the
// answer, can tell that a gateway was killed within it.
func TestKilledGatewayCutsAnswers(t *testing.T) {
	entries := &platformtest.Store{}
	entries.Put(platform.ConfigurationKey, []byte(`{"version":1,"routes":[{"name":"stream","host":"h","prefix":"/stream/","kind":"streaming","timeout_ms":20000,"goal_ms":8000,"service":"s","max_attempts":1}],
 "services":[{"name":"s","max_conns":100}],"limits":{"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k1"]}]}`))
	store := httptest.NewServer(entries)
	t.Cleanup(store.Close)
	server := &platformtest.Server{ID: "i-0", Service: "s", Hall: "a"}
	server.Set(platformtest.Behaviour{Events: 500, EventInterval: 20 * time.Millisecond})
	h := httptest.NewServer(server)
	t.Cleanup(func() {
		h.CloseClientConnections()
		h.Close()
	})
	entries.Put(platform.ServersPrefix+server.ID, server.Entry(strings.TrimPrefix(h.URL, "http://"), "ready"))
	front, ready, file := freeAddress(t), freeAddress(t), t.TempDir()+"/gateway.yaml"
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, "name: g\nhall: a\nfront_address: %s\nready_address: %s\npeer_address: %s\nadmin_address: %s\nstore_address: %s\nlog_level: error\n",
		front, ready, freeAddress(t), freeAddress(t), strings.TrimPrefix(store.URL, "http://")), 0o600))
	gateway, out := startProcess(t, "gateway", "--settings", file)
	go func() { _, _ = io.Copy(io.Discard, out) }() // ends with the process
	require.Eventually(t, func() bool {
		r, err := http.Get("http://" + ready + platform.ReadyPath)
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusOK
	}, 30*time.Second, 20*time.Millisecond)

	requireCutByKill(t, gateway, front, "GET /stream/x HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer k1\r\nDeadline-Ms: 15000\r\nAttempt-Id: a\r\n\r\n")
}

// TestKilledRouterCutsAnswers checks the same of a router, with a connection that has been used before.
func TestKilledRouterCutsAnswers(t *testing.T) {
	f := startProcessFleet(t)
	content := body(500, true)
	requireCutByKill(t, f.routers[0], strings.TrimPrefix(f.callers[0], "http://"), fmt.Sprintf(
		"GET /ready HTTP/1.0\r\nConnection: keep-alive\r\n\r\nPOST /v1/chat/completions HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		f.key, len(content), content))
}

// requireCutByKill sends requests at once, kills the process within its answer to the last one, and checks that this
// answer does not look complete.
func requireCutByKill(t *testing.T, p *process, address, requests string) {
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(c, requests)
	require.NoError(t, err)
	reader := bufio.NewReader(c)
	var answer *http.Response
	for range strings.Count(requests, " HTTP/1.0\r\n") {
		answer, err = http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.StatusCode)
		if answer.ContentLength >= 0 {
			_, err = io.Copy(io.Discard, answer.Body)
			require.NoError(t, err)
		}
	}
	_, err = io.ReadFull(answer.Body, make([]byte, 100))
	require.NoError(t, err)
	require.NoError(t, p.command.Process.Kill())
	rest, err := io.ReadAll(answer.Body)
	require.Error(t, err, "%d more bytes look like the rest of the answer", len(rest))
}
