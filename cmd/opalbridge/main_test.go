package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/config"
)

// startDev starts the fleet of the dev command on real loopback connections and stops it at
// the end of the test.
func startDev(t testing.TB) *devFleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &devFleet{ctx: ctx, log: zerolog.Nop()}
	require.NoError(t, f.start("127.0.0.1:0"))
	require.NoError(t, f.waitReady(context.Background()))
	t.Cleanup(func() { f.stop(cancel) })
	return f
}

func (f *devFleet) client(router, account int) openai.Client {
	return openai.NewClient(option.WithBaseURL(f.callers[router]+"/v1"), option.WithAPIKey(f.keys[account]), option.WithMaxRetries(0))
}

func chat(prompt string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     devModel,
		MaxTokens: openai.Int(tokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

// wantText returns the simulated model's answer of the given length.
func wantText(tokens int) string {
	var b strings.Builder
	for i := range tokens {
		fmt.Fprintf(&b, "t%d ", i)
	}
	return b.String()
}

func streamText(t testing.TB, c openai.Client, p openai.ChatCompletionNewParams) string {
	s := c.Chat.Completions.NewStreaming(context.Background(), p)
	var text strings.Builder
	for s.Next() {
		if choices := s.Current().Choices; len(choices) > 0 {
			text.WriteString(choices[0].Delta.Content)
		}
	}
	require.NoError(t, s.Err())
	return text.String()
}

// TestPublishedClient sends requests with a published client library.
func TestPublishedClient(t *testing.T) {
	f := startDev(t)
	c := f.client(0, 0)

	models, err := c.Models.List(context.Background())
	require.NoError(t, err)
	require.Equal(t, devModel, models.Data[0].ID)

	completion, err := c.Chat.Completions.New(context.Background(), chat("hello", 5))
	require.NoError(t, err)
	require.Equal(t, wantText(5), completion.Choices[0].Message.Content)
	require.Equal(t, int64(5), completion.Usage.CompletionTokens)

	require.Equal(t, wantText(7), streamText(t, c, chat("hello", 7)))
	const longPrompt = 120_000
	require.Equal(t, wantText(3), streamText(t, c, chat(strings.Repeat("pressure ", longPrompt/9), 3)))
}

// TestConcurrentCallers checks that each of 200 concurrent callers at two routers gets its
// own answer.
func TestConcurrentCallers(t *testing.T) {
	f := startDev(t)
	var callers sync.WaitGroup
	answers := make([]string, 200)
	for i := range answers {
		callers.Go(func() {
			answers[i] = streamText(t, f.client(i%2, i/2%2), chat(fmt.Sprint("caller ", i), int64(1+i%9)))
		})
	}
	callers.Wait()
	for i, a := range answers {
		require.Equal(t, wantText(1+i%9), a, "caller %d", i)
	}
}

// send sends a raw request to the first router and returns the response and the error object
// of its body.
func (f *devFleet) send(t testing.TB, method, path, body string, headers map[string]string) (*http.Response, map[string]any) {
	r, err := http.NewRequest(method, f.callers[0]+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+f.keys[0])
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	answer, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer answer.Body.Close()
	var m struct{ Error map[string]any }
	_ = json.NewDecoder(answer.Body).Decode(&m)
	return answer, m.Error
}

// TestBadInput checks that each invalid request is refused with an error that names its
// field and is marked as not run, and that the fleet keeps serving.
func TestBadInput(t *testing.T) {
	f := startDev(t)
	const path = "/v1/chat/completions"
	good := `{"model":"small","max_tokens":2,"messages":[]}`
	tests := []struct {
		name, method, path, body string
		headers                  map[string]string
		status                   int
		code, field              string
	}{
		{"wrong key", "POST", path, good, map[string]string{"Authorization": "Bearer nobody"}, 401, "wrong_key", "Authorization"},
		{"no key", "POST", path, good, map[string]string{"Authorization": "Basic x"}, 401, "missing_key", "Authorization"},
		{"unknown model", "POST", path, `{"model":"huge"}`, nil, 404, "model_not_found", "model"},
		{"no model", "POST", path, `{}`, nil, 400, "missing_field", "model"},
		{"malformed JSON", "POST", path, `{"model":`, nil, 400, "malformed_json", "body"},
		{"not an object", "POST", path, `[1]`, nil, 400, "malformed_json", "body"},
		{"negative limit", "POST", path, `{"model":"small","max_tokens":-1}`, nil, 400, "invalid_field", "max_tokens"},
		{"body too large", "POST", path, strings.Repeat(" ", 5<<20), nil, 413, "body_too_large", "body"},
		{"deadline past", "POST", path, good, map[string]string{"Opalbridge-Deadline-Ms": "0"}, 504, "deadline_passed", "Opalbridge-Deadline-Ms"},
		{"deadline not a number", "POST", path, good, map[string]string{"Opalbridge-Deadline-Ms": "soon"}, 400, "invalid_header", "Opalbridge-Deadline-Ms"},
		{"mark not a bool", "POST", path, good, map[string]string{"Opalbridge-Urgent": "very"}, 400, "invalid_header", "Opalbridge-Urgent"},
		{"key too long", "POST", path, good, map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, 400, "invalid_header", "Idempotency-Key"},
		{"headers too long", "POST", path, good, map[string]string{"X-Long": strings.Repeat("h", 40<<10)}, 431, "headers_too_large", "headers"},
		{"unknown service", "POST", "/services/none/x", "", nil, 404, "service_not_found", "service"},
		{"model as a service", "POST", "/services/small/x", "", nil, 404, "service_not_found", "service"},
		{"unknown path", "GET", "/v2", "", nil, 404, "no_such_path", ""},
		{"wrong method", "GET", path, "", nil, 405, "method_not_allowed", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answer, apiError := f.send(t, test.method, test.path, test.body, test.headers)
			require.Equal(t, test.status, answer.StatusCode)
			require.Equal(t, test.code, apiError["code"])
			require.Equal(t, test.field, apiError["param"])
			require.Equal(t, "not-run", answer.Header.Get("Opalbridge-Outcome"))
		})
	}
	require.Equal(t, wantText(2), streamText(t, f.client(0, 0), chat("still there", 2)))
}

// TestRequestSmuggling sends malformed requests that try to hide a second request, and a
// request that sets a header that only the router may set.
func TestRequestSmuggling(t *testing.T) {
	f := startDev(t)
	for _, raw := range []string{
		"POST /services/booking/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n",
		"POST /services/booking/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1\r\nContent-Length: 9\r\n\r\nabcdefghi",
		"POST /services/booking/x HTTP/1.1\r\nHost: x\r\nAuthorization : Bearer %s\r\nContent-Length: 0\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.callers[0], "http://"))
		require.NoError(t, err)
		fmt.Fprintf(conn, raw, f.keys[0])
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		first := make([]byte, 64)
		n, _ := io.ReadAtLeast(conn, first, 12)
		answer := string(first[:n])
		conn.Close()
		require.NotContains(t, answer, "hidden")
		require.True(t, strings.HasPrefix(answer, "HTTP/1.1 400") || strings.HasPrefix(answer, "HTTP/1.1 200"), answer)
	}
	answer, _ := f.send(t, "POST", "/services/booking/x", "", map[string]string{"X-Request-Id": "mine"})
	require.NotEqual(t, "mine", answer.Header.Get("Opalbridge-Request-Id"))
}

// TestCallerDisconnectStopsWork checks that the slot of a request is released when its
// caller disconnects in the middle of the answer.
func TestCallerDisconnectStopsWork(t *testing.T) {
	f := startDev(t)
	ctx, disconnect := context.WithCancel(context.Background())
	c := f.client(0, 0)
	s := c.Chat.Completions.NewStreaming(ctx, chat("a long story", 100_000))
	require.True(t, s.Next())
	disconnect()
	require.Eventually(t, func() bool {
		running := 0
		for _, a := range f.agents {
			running += a.Running()
		}
		return running == 0
	}, 10*time.Second, 10*time.Millisecond)
}

// ctl runs an operators' command against the second router.
func (f *devFleet) ctl(t testing.TB, args ...string) error {
	c := rootCommand()
	var out bytes.Buffer
	c.Writer = &out
	err := c.Run(context.Background(), append([]string{"opalbridge", "ctl", "--router", f.callers[1], "--token", f.token}, args...))
	t.Logf("ctl %v: %s", args, out.String())
	return err
}

// TestOperatorCommands runs every operators' call through the command line.
func TestOperatorCommands(t *testing.T) {
	f := startDev(t)
	for _, line := range []string{
		"configuration", "status", "--output json status",
		"account create --share 3 loja", "account update --share 4 --max-waiting 9 loja", "account rotate-key loja", "account update --disabled loja",
		"pool put --kind service stock", "server put --hall hall-1 --pool stock stock-1", "server put --hall hall-1 --pool stock --leaving stock-1",
		"server delete stock-1", "pool delete stock", "limits put --urgent-credit 5000", "explain --account quito",
	} {
		err := f.ctl(t, strings.Fields(line)...)
		require.NoError(t, err, line)
	}
	failures := []struct {
		line string
		code int
	}{
		{"--expect 1 account update --share 4 loja", exitConflict},
		{"account update --share 4 nobody", exitUsage},
		{"account create --share 1 loja", exitUsage},
		{"account create --share 1 Bad_Name!", exitUsage},
		{"pool put --kind odd stock", exitUsage},
		{"account update --share 0 loja", exitUsage},
		{"--output yaml status", exitUsage},
		{"explain", exitUsage},
		{"--token wrong status", exitFailure},
	}
	for _, test := range failures {
		err := f.ctl(t, strings.Fields(test.line)...)
		require.Error(t, err, test.line)
		require.Equal(t, test.code, exitCode(err), test.line)
	}
}

// TestExplainFromOtherRouter checks that a router explains a request that another router
// served, with the events and spans of all nodes involved.
func TestExplainFromOtherRouter(t *testing.T) {
	f := startDev(t)
	answer, _ := f.send(t, "POST", "/services/booking/bays/4", `{"bay":4}`, map[string]string{"Opalbridge-Not-Repeatable": "true"})
	require.Equal(t, http.StatusOK, answer.StatusCode)
	id := answer.Header.Get("Opalbridge-Request-Id")
	// The outcome is recorded after the whole answer has been sent, so events may still be
	// missing at first.
	want := []string{"router-1 arrive", "router-1 choose", "booking-1 admit", "booking-1 outcome", "router-1 outcome"}
	require.EventuallyWithT(t, func(c *assert.CollectT) {
		events, unreached := f.routers[1].router.Explain(context.Background(), id, "")
		require.Empty(c, unreached)
		var kinds []string
		for _, e := range events {
			kinds = append(kinds, e.Node+" "+string(e.Kind))
		}
		if len(kinds) > 1 && kinds[1] == "router-1 wait" {
			kinds = slices.Delete(kinds, 1, 2) // no agent was free at once
		}
		require.Equal(c, want, kinds)
	}, 5*time.Second, 10*time.Millisecond)
	// A span is recorded when it ends, which is after the outcome.
	require.EventuallyWithT(t, func(c *assert.CollectT) {
		trace := f.trace(c, id)
		for _, hop := range []string{"router.request", "router.wait", "router.dispatch", "agent.admit", "agent.serve", "engine.call"} {
			require.Contains(c, trace, `"`+hop+`"`)
		}
	}, 5*time.Second, 10*time.Millisecond)
}

// trace returns the spans of a request as the administration's address shows them.
func (f *devFleet) trace(t require.TestingT, id string) string {
	spans, err := http.Get(f.admin + "/traces/" + id)
	require.NoError(t, err)
	defer spans.Body.Close()
	text, err := io.ReadAll(spans.Body)
	require.NoError(t, err)
	return string(text)
}

// TestDisableAccount checks that disabling an account takes effect in a running fleet.
func TestDisableAccount(t *testing.T) {
	f := startDev(t)
	err := f.ctl(t, "account", "update", "--disabled", "quito")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		answer, _ := f.send(t, "GET", "/v1/models", "", nil)
		return answer.StatusCode == http.StatusForbidden
	}, 10*time.Second, 20*time.Millisecond)
	store := config.Store{KV: f.store}
	d, _, err := store.Load(context.Background())
	require.NoError(t, err)
	require.True(t, d.Account("quito").Disabled)
}
