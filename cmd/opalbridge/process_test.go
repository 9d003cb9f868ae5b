package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/config"
	"opalbridge.dev/kv"
	"opalbridge.dev/operator"
	"opalbridge.dev/platform/platformtest"
)

// runAsProgramEnv is the environment variable that makes the test binary run as opalbridge.
const runAsProgramEnv = "OPALBRIDGE_RUN_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is a process of the fleet.
type process struct{ command *exec.Cmd }

func startProcess(t *testing.T, args ...string) (p *process, out *bufio.Reader) {
	self, err := os.Executable()
	require.NoError(t, err)
	return startProgram(t, self, args...)
}

func startProgram(t *testing.T, program string, args ...string) (p *process, out *bufio.Reader) {
	c := exec.Command(program, args...)
	c.Env = append(os.Environ(), runAsProgramEnv+"=1")
	var complaint bytes.Buffer // what it writes to its standard error; read after Wait
	c.Stderr = &complaint
	pipe, err := c.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, c.Start())
	p = &process{command: c}
	t.Cleanup(func() {
		_ = c.Process.Kill()
		err := c.Wait()
		if t.Failed() {
			t.Logf("%s: %v: %s", strings.Join(args, " "), err, complaint.String())
		}
	})
	return p, bufio.NewReader(pipe)
}

func startStandin(t *testing.T, args ...string) (url string) {
	_, out := startProcess(t, append([]string{"standin"}, args...)...)
	line, err := out.ReadString('\n')
	require.NoError(t, err)
	return strings.TrimSpace(strings.TrimPrefix(line, "ready: "))
}

// freeAddress returns a loopback address that no connection takes before a process listens on it.
func freeAddress(t *testing.T) string {
	port, err := platformtest.FreePort()
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// TestFreeAddressesStayFree guards against processes of tests that ended at their start, because another
// test's connection had taken the port that they were given.
func TestFreeAddressesStayFree(t *testing.T) {
	var addresses []string
	for range 100 {
		addresses = append(addresses, freeAddress(t))
	}
	for range 1000 { // the system chooses these ports, as it does for connections
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { l.Close() })
	}
	for _, a := range addresses {
		l, err := net.Listen("tcp4", a)
		require.NoError(t, err)
		require.NoError(t, l.Close())
	}
}

// processFleet is a fleet of separate processes.
type processFleet struct {
	platform string
	key      string
	callers  []string
	routers  []*process
	agents   []*process
	settings []string // of the agents
}

func listHost(t *testing.T, url string, h kv.Host) {
	store, err := openKV(url, zerolog.Nop())
	require.NoError(t, err)
	require.NoError(t, store.SetHost(context.Background(), h))
}

func startProcessFleet(t *testing.T) *processFleet {
	f := &processFleet{platform: startStandin(t, "platform"), key: operator.NewKey()}
	kvStore, err := openKV(f.platform, zerolog.Nop())
	require.NoError(t, err)
	store := config.Store{KV: kvStore}
	o := store.Propose(context.Background(), 0, func(d *config.Document) error {
		operator.AddAccount(d, config.Account{Name: "quito", Share: 1}, f.key)
		d.Pools = []config.Pool{{Name: devModel, Kind: config.Model}}
		for i := range 2 {
			d.Servers = append(d.Servers, config.Server{Name: fmt.Sprintf("model-%d", i), Hall: "hall-1", Pools: []string{devModel}})
		}
		return nil
	})
	require.IsType(t, config.Accepted{}, o)
	for i := range 2 {
		name := fmt.Sprintf("model-%d", i)
		address := freeAddress(t)
		file := filepath.Join(t.TempDir(), "agent.yaml")
		text := fmt.Sprintf("name: %s\nhall: hall-1\npeer_address: %s\nserver_url: %s\nlog_level: error\n", name, address, startStandin(t, "model"))
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		p, _ := startProcess(t, "agent", "--settings", file)
		f.agents, f.settings = append(f.agents, p), append(f.settings, file)
		listHost(t, f.platform, kv.Host{Name: name, Role: kv.Agent, Hall: "hall-1", Address: address})
	}
	for i := range 2 {
		f.startRouter(t, fmt.Sprintf("router-%d", i))
	}
	for i := range f.callers {
		f.waitReady(t, i)
	}
	return f
}

func (f *processFleet) startRouter(t *testing.T, name string) {
	callers, peers := freeAddress(t), freeAddress(t)
	file := filepath.Join(t.TempDir(), "router.yaml")
	text := fmt.Sprintf("name: %s\nhall: hall-1\ncaller_address: %s\npeer_address: %s\nplatform_url: %s\noperator_token_hash: %s\nlog_level: error\n",
		name, callers, peers, f.platform, config.HashKey("token"))
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	listHost(t, f.platform, kv.Host{Name: name, Role: kv.Router, Hall: "hall-1", Address: peers})
	p, _ := startProcess(t, "router", "--settings", file)
	f.routers, f.callers = append(f.routers, p), append(f.callers, "http://"+callers)
}

func (f *processFleet) waitReady(t *testing.T, router int) {
	require.Eventually(t, func() bool {
		answer, err := http.Get(f.callers[router] + "/ready")
		if err != nil {
			return false
		}
		answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	}, time.Minute, 20*time.Millisecond)
}

func (f *processFleet) client(router int) openai.Client {
	return openai.NewClient(option.WithBaseURL(f.callers[router]+"/v1"), option.WithAPIKey(f.key), option.WithMaxRetries(0))
}

// TestSeparateProcesses runs the fleet as separate processes and checks that requests are
// served after an agent is killed, and that a router that is stopped in the middle of an
// answer completes it.
func TestSeparateProcesses(t *testing.T) {
	f := startProcessFleet(t)
	require.Equal(t, wantText(5), streamText(t, f.client(0), chat("one", 5)))

	require.NoError(t, f.agents[0].command.Process.Kill())
	_ = f.agents[0].command.Wait()
	for i := range 10 {
		require.Equal(t, wantText(3), streamText(t, f.client(i%2), chat("after a kill", 3)), "request %d", i)
	}

	c := f.client(0)
	s := c.Chat.Completions.NewStreaming(context.Background(), chat("long", 100))
	require.True(t, s.Next())
	require.NoError(t, f.routers[0].command.Process.Signal(syscall.SIGTERM))
	text := s.Current().Choices[0].Delta.Content
	for s.Next() {
		if choices := s.Current().Choices; len(choices) > 0 {
			text += choices[0].Delta.Content
		}
	}
	require.NoError(t, s.Err())
	require.Equal(t, wantText(100), text, "a planned stop cut off a request in flight")
	require.NoError(t, f.routers[0].command.Wait())
	require.Equal(t, wantText(3), streamText(t, f.client(1), chat("at the other", 3)))
}
