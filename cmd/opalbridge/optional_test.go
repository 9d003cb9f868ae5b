package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/platform"
	"opalbridge.dev/platform/platformtest"
)

// optionalConfiguration is what a configuration says of a service and its routes.
type optionalConfiguration struct {
	objective int    // ms
	gap       int    // ms, the longest pause of streams
	engine    string // of the service, in JSON; empty: it is a plain service
	rate      int    // tokens per second
}

func (c optionalConfiguration) document() []byte {
	runtime := ""
	if c.engine != "" {
		runtime = `,"runtime":` + c.engine
	}
	return fmt.Appendf(nil, `{"version":1,"routes":[
 {"name":"stream","host":"h","prefix":"/stream/","kind":"streaming","timeout_ms":10000,"goal_ms":%d,"gap_aim_ms":%d,"service":"s","max_attempts":1},
 {"name":"once","host":"h","prefix":"/once/","kind":"non_idempotent","timeout_ms":5000,"goal_ms":%d,"service":"s","max_attempts":1}],
 "services":[{"name":"s","max_conns":100%s}],"limits":{"idle_timeout_ms":15000,"tokens_per_s":%d},
 "tenants":[{"name":"t1","api_keys":["k1"]}]}`, c.objective, c.gap, c.objective, runtime, c.rate)
}

// optionalFleet is a gateway process beside a store and servers of this process.
type optionalFleet struct {
	t         *testing.T
	store     *platformtest.Store
	network   platformtest.Network
	servers   []*platformtest.Server
	addresses []string
	front     string
	admin     string
	rate      int // tokens per second of the configuration
}

// startOptionalFleet starts a gateway with some lines of settings. slots are those of each server; 0: it
// has enough of them.
func startOptionalFleet(t *testing.T, servers, slots int, c optionalConfiguration, lines string) *optionalFleet {
	f := &optionalFleet{t: t, store: &platformtest.Store{}, front: freeAddress(t), admin: freeAddress(t), rate: c.rate}
	store := httptest.NewServer(f.store)
	t.Cleanup(store.Close)
	f.store.Put(platform.ConfigurationKey, c.document())
	for i := range servers {
		s := &platformtest.Server{ID: fmt.Sprintf("i-%d", i), Service: "s", Hall: "hall-1", Slots: slots}
		s.Set(platformtest.Behaviour{Events: 60, EventInterval: 15 * time.Millisecond, StreamPaths: []string{"/stream/"}, ServiceTime: 50 * time.Millisecond})
		h := httptest.NewServer(s)
		t.Cleanup(h.Close)
		f.servers, f.addresses = append(f.servers, s), append(f.addresses, strings.TrimPrefix(h.URL, "http://"))
		f.network.Add(f.addresses[i], s)
		f.announce(i, "ready")
	}
	ready := freeAddress(t)
	file := filepath.Join(t.TempDir(), "gateway.yaml")
	text := fmt.Sprintf("name: gateway-1\nhall: hall-1\nfront_address: %s\nready_address: %s\npeer_address: %s\nadmin_address: %s\nstore_address: %s\nlog_level: error\n%s",
		f.front, ready, freeAddress(t), f.admin, strings.TrimPrefix(store.URL, "http://"), lines)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	startProcess(t, "gateway", "--settings", file)
	require.Eventually(t, func() bool {
		answer, err := http.Get("http://" + ready + platform.ReadyPath)
		if err != nil {
			return false
		}
		answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	}, time.Minute, 20*time.Millisecond)
	return f
}

func (f *optionalFleet) announce(server int, state string) {
	f.store.Put(platform.ServersPrefix+f.servers[server].ID, f.servers[server].Entry(f.addresses[server], state))
}

// send sends a request and returns what it was answered. While the gateway is short of processor time,
// it sends again.
func (f *optionalFleet) send(path, id string, promptTokens, outputTokens int) (status int, body string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.front+path, strings.NewReader("hello"))
	require.NoError(f.t, err)
	r.Host, r.GetBody = "h", nil
	platform.SetCallerHeaders(r.Header, id, "k1", 9*time.Second)
	platform.SetTokenHeader(r.Header, promptTokens, outputTokens)
	answer, err := http.DefaultClient.Do(r)
	require.NoError(f.t, err)
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	require.NoError(f.t, err)
	if strings.Contains(string(content), "short of processor") {
		time.Sleep(150 * time.Millisecond)
		return f.send(path, id+"-", promptTokens, outputTokens)
	}
	return answer.StatusCode, string(content)
}

// sendMany sends requests at once and returns how many were refused for a reason; all others must have
// been served or refused.
func (f *optionalFleet) sendMany(n int, path string, promptTokens int, reason string) int {
	var wait sync.WaitGroup
	var mutex sync.Mutex
	refused := 0
	for i := range n {
		wait.Go(func() {
			status, body := f.send(path, fmt.Sprintf("m%d", i), promptTokens, 1)
			mutex.Lock()
			defer mutex.Unlock()
			if status == http.StatusServiceUnavailable && strings.Contains(body, reason) {
				refused++
			}
		})
	}
	wait.Wait()
	return refused
}

// begin begins a long stream and returns once it runs. The channel brings its complete body.
func (f *optionalFleet) begin(id string) (server int, body <-chan string) {
	done := make(chan string, 1)
	go func() {
		_, text := f.send("/stream/x", id, 1000, 100_000)
		done <- text
	}()
	server = -1
	require.Eventually(f.t, func() bool {
		for i, s := range f.servers {
			if slices.ContainsFunc(s.Runs(), func(r platformtest.Run) bool { return strings.Trim(r.ID, "-") == id }) && s.Made() >= 3 {
				server = i
			}
		}
		return server >= 0
	}, 5*time.Second, time.Millisecond)
	return server, done
}

// runs returns all runs of the servers.
func (f *optionalFleet) runs() []platformtest.Run {
	var list []platformtest.Run
	for _, s := range f.servers {
		list = append(list, s.Runs()...)
	}
	return list
}

// hasMetric reports whether a line of the metrics page matches a pattern.
func (f *optionalFleet) hasMetric(pattern string) bool {
	answer, err := http.Get("http://" + f.admin + "/metrics")
	require.NoError(f.t, err)
	defer answer.Body.Close()
	page, err := io.ReadAll(answer.Body)
	require.NoError(f.t, err)
	return regexp.MustCompile("(?m)^" + pattern).Match(page)
}

// The following functions call for an optional part and report whether it did something.

// queuesForSlots has more requests come at once than two slots can answer within the objective.
func (f *optionalFleet) queuesForSlots() bool {
	f.send("/once/x", "first", 1, 1) // from which the gateway learns the answer time
	return f.sendMany(30, "/once/x", 1, "no free slot in time") > 0
}

func (f *optionalFleet) movesStreams() bool {
	server, body := f.begin("long")
	f.announce(server, "draining")
	require.Equal(f.t, 60, strings.Count(<-body, "data: "))
	return slices.ContainsFunc(f.runs(), func(r platformtest.Run) bool { return r.From != "" })
}

// backsUpStreams has a server be gone without notice, which makes backups worth their cost.
func (f *optionalFleet) backsUpStreams() bool {
	f.store.Remove(platform.ServersPrefix + f.servers[0].ID)
	require.Eventually(f.t, func() bool { return f.hasMetric(`opalbridge_gateway_servers\S* 2$`) }, 5*time.Second, 10*time.Millisecond)
	_, body := f.begin("long")
	require.Equal(f.t, 60, strings.Count(<-body, "data: "))
	return slices.ContainsFunc(f.runs(), func(r platformtest.Run) bool { return r.Backup != "" })
}

// predictsPauses has a prompt be sent to the only server, whose prefill makes a running stream late.
func (f *optionalFleet) predictsPauses() bool {
	_, body := f.begin("long")
	status, text := f.send("/stream/x", "large", 40_000, 10)
	require.Equal(f.t, http.StatusOK, status, text)
	<-body
	return f.hasMetric(`opalbridge_gateway_pauses_predicted\S* [1-9]`)
}

// exceedsMemory has a prompt be sent to the only server although it does not fit into its memory.
func (f *optionalFleet) exceedsMemory() bool {
	status, text := f.send("/stream/x", "large", 60_000, 10)
	require.Equal(f.t, http.StatusOK, status, text)
	require.True(f.t, f.hasMetric(`opalbridge_gateway_pauses_avoided\S* 0$`))
	require.True(f.t, f.hasMetric(`opalbridge_gateway_memory_avoided\S* 0$`))
	return f.hasMetric(`opalbridge_gateway_memory_exceeded\S* 1$`)
}

// decidesOnSurplus has an account be over its share while its requests queue at the only server.
func (f *optionalFleet) decidesOnSurplus() bool {
	status, text := f.send("/stream/x", "first", 20_000, 1)
	require.Equal(f.t, http.StatusOK, status, text)
	time.Sleep(600 * time.Millisecond) // in which shares are computed
	reason := "account over its share"
	if f.rate == 0 {
		reason = "" // any
	}
	require.Positive(f.t, f.sendMany(10, "/stream/x", 20_000, reason))
	return f.hasMetric(`opalbridge_gateway_refusals\S*surplus="[^"]`)
}

// TestOptionalParts: in a gateway process, each optional part works where its setting and the
// configuration call for it. Where the setting is off, or left out, or the configuration does not call
// for the part, requests are served as without it.
func TestOptionalParts(t *testing.T) {
	const figures = `"capacity":64,"kv_tokens":500000,"token_kv_bytes":163840,"link_mbps":550000`
	plain := optionalConfiguration{objective: 300}
	short, engine := plain, plain
	short.objective = 120
	engine.engine = `{` + figures + `,"stride":6}`
	moves := optionalConfiguration{objective: 800, engine: `{` + figures + `,"stride":1,"moves":true}`}
	backups := optionalConfiguration{objective: 800, engine: `{` + figures + `,"stride":1,"backups":true}`}
	neither := optionalConfiguration{objective: 800, engine: `{` + figures + `,"stride":1}`}
	pauses := optionalConfiguration{objective: 5000, gap: 500, engine: `{` + figures + `,"stride":6}`}
	noGap, fewTokens, littleMemory := pauses, pauses, pauses
	littleMemory.engine = `{"capacity":64,"kv_tokens":50000,"stride":6}`
	noGap.gap = 0
	fewTokens.engine = `{` + figures + `,"stride":3}`
	shares := optionalConfiguration{objective: 800, gap: 500, engine: `{` + figures + `,"stride":6}`, rate: 100}
	noPauses, shortStreams, noRate := shares, shares, shares
	noRate.rate = 0
	noPauses.engine = fewTokens.engine
	shortStreams.objective = 440
	tests := []struct {
		part          string
		settings      string
		name          string
		configuration optionalConfiguration
		servers       int
		slots         int
		works         func(*optionalFleet) bool
		want          bool
	}{
		{"plain_queue", "plain_queue: slots", "called for", plain, 1, 2, (*optionalFleet).queuesForSlots, true},
		{"plain_queue", "plain_queue: auto", "called for", plain, 1, 2, (*optionalFleet).queuesForSlots, true},
		{"plain_queue", "plain_queue: none", "called for", plain, 1, 2, (*optionalFleet).queuesForSlots, false},
		{"plain_queue", "", "called for", plain, 1, 2, (*optionalFleet).queuesForSlots, false},
		{"plain_queue", "plain_queue: auto", "short objective", short, 1, 2, (*optionalFleet).queuesForSlots, false},
		{"plain_queue", "plain_queue: slots", "engines", engine, 1, 2, (*optionalFleet).queuesForSlots, false},
		{"stream_moves", "stream_moves: on", "called for", moves, 3, 0, (*optionalFleet).movesStreams, true},
		{"stream_moves", "stream_moves: off", "called for", moves, 3, 0, (*optionalFleet).movesStreams, false},
		{"stream_moves", "", "called for", moves, 3, 0, (*optionalFleet).movesStreams, false},
		{"stream_moves", "stream_moves: on", "engines do not move", neither, 3, 0, (*optionalFleet).movesStreams, false},
		{"stream_backups", "stream_backups: on", "called for", backups, 3, 0, (*optionalFleet).backsUpStreams, true},
		{"stream_backups", "stream_backups: off", "called for", backups, 3, 0, (*optionalFleet).backsUpStreams, false},
		{"stream_backups", "", "called for", backups, 3, 0, (*optionalFleet).backsUpStreams, false},
		{"stream_backups", "stream_backups: on", "engines do not back up", neither, 3, 0, (*optionalFleet).backsUpStreams, false},
		{"pauses", "pauses: avoid", "called for", pauses, 1, 0, (*optionalFleet).predictsPauses, true},
		{"pauses", "pauses: ignore", "called for", pauses, 1, 0, (*optionalFleet).predictsPauses, false},
		{"pauses", "", "called for", pauses, 1, 0, (*optionalFleet).predictsPauses, false},
		{"pauses", "pauses: avoid", "no longest pause", noGap, 1, 0, (*optionalFleet).predictsPauses, false},
		{"pauses", "pauses: avoid", "few tokens in an event", fewTokens, 1, 0, (*optionalFleet).predictsPauses, false},
		{"pauses", "pauses: avoid", "little memory", littleMemory, 1, 0, (*optionalFleet).exceedsMemory, true},
		{"pauses", "pauses: ignore", "little memory", littleMemory, 1, 0, (*optionalFleet).exceedsMemory, false},
		{"surplus", "surplus: idle", "called for", shares, 1, 0, (*optionalFleet).decidesOnSurplus, true},
		{"surplus", "surplus: auto\npauses: avoid", "called for", shares, 1, 0, (*optionalFleet).decidesOnSurplus, true},
		{"surplus", "surplus: share", "called for", shares, 1, 0, (*optionalFleet).decidesOnSurplus, false},
		{"surplus", "", "called for", shares, 1, 0, (*optionalFleet).decidesOnSurplus, false},
		{"surplus", "surplus: idle", "no token rate", noRate, 1, 0, (*optionalFleet).decidesOnSurplus, false},
		{"surplus", "surplus: auto\npauses: ignore", "called for", shares, 1, 0, (*optionalFleet).decidesOnSurplus, false},
		{"surplus", "surplus: auto\npauses: avoid", "few tokens in an event", noPauses, 1, 0, (*optionalFleet).decidesOnSurplus, false},
		{"surplus", "surplus: auto\npauses: avoid", "short objective", shortStreams, 1, 0, (*optionalFleet).decidesOnSurplus, false},
	}
	for _, test := range tests {
		t.Run(strings.Join([]string{test.part, strings.ReplaceAll(test.settings, "\n", " "), test.name}, ","), func(t *testing.T) {
			f := startOptionalFleet(t, test.servers, test.slots, test.configuration, test.settings+"\n")
			require.Equal(t, test.want, test.works(f))
		})
	}
}
