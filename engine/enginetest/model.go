// Package enginetest provides fake backend servers: a model engine with continuous
// batching and a plain service that counts its executions.
//
// # Usage
//
//	m := enginetest.NewModel(enginetest.ModelOptions{Models: []string{"small"}, Slots: 8})
//	http.Serve(listener, m)
//
// Both are http.Handlers. They simulate timing, queueing, usage and failures, not the
// content of responses. They are for tests and the dev command.
package enginetest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/maphash"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"opalbridge.dev/engine"
)

// ModelOptions configures a Model. Zero values select the defaults given below.
type ModelOptions struct {
	Models           []string
	Slots            int           // maximum batch size, in requests; 8
	PrefillPerToken  time.Duration // time for each input token that is not cached; 20 µs
	DecodeStep       time.Duration // time for one token in a batch of one; 10 ms
	DecodePerRequest time.Duration // added to DecodeStep for each further request; 1 ms
	CachedPrefixes   int           // capacity of the prefix cache; 64
	MaxLoadAge       time.Duration // maximum age of a load report; 1 s
	DefaultTokens    int           // response length if the caller sets no limit; 32
	Burst            int           // tokens generated and flushed at once; 1
	LabelHeader      string        // header whose value labels token counts; empty for none
	TagTokens        bool          // tokens contain their request's ID
}

func (o ModelOptions) withDefaults() ModelOptions {
	if o.Slots == 0 {
		o.Slots = 8
	}
	if o.PrefillPerToken == 0 {
		o.PrefillPerToken = 20 * time.Microsecond
	}
	if o.DecodeStep == 0 {
		o.DecodeStep = 10 * time.Millisecond
	}
	if o.DecodePerRequest == 0 {
		o.DecodePerRequest = time.Millisecond
	}
	if o.CachedPrefixes == 0 {
		o.CachedPrefixes = 64
	}
	if o.MaxLoadAge == 0 {
		o.MaxLoadAge = time.Second
	}
	if o.Burst == 0 {
		o.Burst = 1
	}
	if o.DefaultTokens == 0 {
		o.DefaultTokens = 32
	}
	return o
}

// ModelFaults are faults to inject into a Model.
type ModelFaults struct {
	ReturnErrors bool    // every call gets status 500
	Hang         bool    // calls are accepted and never answered
	AbortAfter   int     // connections break after so many tokens; 0 for never
	Slowdown     float64 // factor on the decode time; 0 means 1
}

// Model is a fake of a model engine.
type Model struct {
	options       ModelOptions
	mutex         sync.Mutex
	running       int
	waiting       int
	cache         []uint64 // hashes of cached prefixes, most recently used last
	runs          map[string]int
	tokens        int
	tokensByLabel map[string]TokenCounts
	busy          time.Duration // total time of requests in the batch
	faults        ModelFaults
	report        engine.Load
	reportedAt    time.Time
	urgentQueue   []chan struct{} // urgent calls that wait for a slot
	queue         []chan struct{} // other calls that wait for a slot
}

// NewModel returns a fake model engine.
func NewModel(o ModelOptions) *Model {
	o = o.withDefaults()
	return &Model{options: o, runs: map[string]int{}}
}

// SetFaults replaces the injected faults.
func (m *Model) SetFaults(f ModelFaults) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.faults = f
}

// Runs returns the number of executions of each request, by request ID.
func (m *Model) Runs() map[string]int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	runs := make(map[string]int, len(m.runs))
	for id, n := range m.runs {
		runs[id] = n
	}
	return runs
}

// Busy returns the total time that requests spent in the batch, and the number of
// generated tokens.
func (m *Model) Busy() (time.Duration, int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.busy, m.tokens
}

// TokenCounts are the tokens processed for the requests with one label.
type TokenCounts struct{ Input, Cached, Output int } // tokens

// TokensByLabel returns the token counts so far, by value of LabelHeader.
func (m *Model) TokensByLabel() map[string]TokenCounts {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return maps.Clone(m.tokensByLabel)
}

// countTokens adds to the token counts of the request's label.
func (m *Model) countTokens(r *http.Request, input, cached, output int) {
	if m.options.LabelHeader == "" {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.tokensByLabel == nil {
		m.tokensByLabel = map[string]TokenCounts{}
	}
	label := r.Header.Get(m.options.LabelHeader)
	t := m.tokensByLabel[label]
	t.Input += input
	t.Cached += cached
	t.Output += output
	m.tokensByLabel[label] = t
}

// ServeHTTP implements http.Handler.
func (m *Model) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/chat/completions", "/v1/completions":
		m.serveCompletion(w, r)
	case "/load":
		_ = json.NewEncoder(w).Encode(m.load())
	default:
		http.NotFound(w, r)
	}
}

// load returns a report that is at most MaxLoadAge old.
func (m *Model) load() engine.Load {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if now := time.Now(); now.Sub(m.reportedAt) >= m.options.MaxLoadAge {
		m.reportedAt = now
		m.report = engine.Load{Running: m.running, Waiting: m.waiting, Slots: m.options.Slots}
	}
	return m.report
}

type completion struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	MaxNew    int             `json:"max_completion_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	Options   struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	// Actual is the actual length of the response, which real callers cannot know.
	// Load generators set it, and max_tokens is then only a hint.
	Actual int `json:"x_actual_tokens"`
}

func (m *Model) serveCompletion(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var c completion
	if err := json.Unmarshal(content, &c); err != nil || !slices.Contains(m.options.Models, c.Model) {
		http.Error(w, `{"error":{"message":"no such model","type":"invalid_request_error"}}`, http.StatusNotFound)
		return
	}
	faults := m.recordRun(r.Header.Get(engine.RequestHeader))
	switch {
	case faults.ReturnErrors:
		http.Error(w, `{"error":{"message":"broken","type":"server_error"}}`, http.StatusInternalServerError)
		return
	case faults.Hang:
		<-r.Context().Done()
		return
	}
	if !m.acquireSlot(r.Context(), r.Header.Get(engine.PriorityHeader) == "0") {
		return
	}
	start := time.Now()
	defer func() { m.releaseSlot(time.Since(start)) }()
	m.generate(w, r, &c, content, faults)
}

// recordRun counts an execution and returns the faults to inject.
func (m *Model) recordRun(request string) ModelFaults {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.runs[request]++
	return m.faults
}

// acquireSlot waits for a slot in the batch, urgent calls first. It reports false if
// ctx is done first.
func (m *Model) acquireSlot(ctx context.Context, urgent bool) bool {
	m.mutex.Lock()
	if m.running < m.options.Slots {
		m.running++
		m.mutex.Unlock()
		return true
	}
	ready := make(chan struct{})
	if urgent {
		m.urgentQueue = append(m.urgentQueue, ready)
	} else {
		m.queue = append(m.queue, ready)
	}
	m.waiting++
	m.mutex.Unlock()
	select {
	case <-ready:
		return true
	case <-ctx.Done():
		return m.abandonSlot(ready)
	}
}

// abandonSlot removes a call from the queue. If the call got its slot at the same
// time, it passes the slot on.
func (m *Model) abandonSlot(ready chan struct{}) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	same := func(c chan struct{}) bool { return c == ready }
	before := len(m.urgentQueue) + len(m.queue)
	m.urgentQueue = slices.DeleteFunc(m.urgentQueue, same)
	m.queue = slices.DeleteFunc(m.queue, same)
	if len(m.urgentQueue)+len(m.queue) < before {
		m.waiting--
		return false
	}
	m.passSlot()
	return false
}

func (m *Model) releaseSlot(spent time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.busy += spent
	m.passSlot()
}

// passSlot gives a slot to the next waiting call, urgent calls first, or frees it.
func (m *Model) passSlot() {
	var next chan struct{}
	switch {
	case len(m.urgentQueue) > 0:
		next, m.urgentQueue = m.urgentQueue[0], m.urgentQueue[1:]
	case len(m.queue) > 0:
		next, m.queue = m.queue[0], m.queue[1:]
	default:
		m.running--
		return
	}
	m.waiting--
	close(next)
}

var seed = maphash.MakeSeed()

const cachedPrefixBytes = 256

// prefill returns the number of input tokens and how many of them were cached.
func (m *Model) prefill(content []byte) (tokens, cached int) {
	tokens = len(content) / 4
	prefix := maphash.Bytes(seed, content[:min(len(content), cachedPrefixBytes)])
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if at := slices.Index(m.cache, prefix); at >= 0 {
		cached = tokens / 2
		m.cache = slices.Delete(m.cache, at, at+1)
	}
	m.cache = append(m.cache, prefix)
	if len(m.cache) > m.options.CachedPrefixes {
		m.cache = m.cache[1:]
	}
	return tokens, cached
}

// decodeTime returns the time to decode so many tokens at the current batch size.
func (m *Model) decodeTime(tokens int) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.tokens += tokens
	d := m.options.DecodeStep + time.Duration(m.running-1)*m.options.DecodePerRequest
	if m.faults.Slowdown > 0 {
		d = time.Duration(float64(d) * m.faults.Slowdown)
	}
	return d * time.Duration(tokens)
}

// generate runs prefill and decoding, and writes the response.
func (m *Model) generate(w http.ResponseWriter, r *http.Request, c *completion, content []byte, f ModelFaults) {
	input, cached := m.prefill(content)
	if !sleep(r.Context(), time.Duration(input-cached)*m.options.PrefillPerToken) {
		return
	}
	m.countTokens(r, input, cached, 0)
	length := m.length(c)
	if c.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	} else {
		w.Header().Set("Content-Type", "application/json")
	}
	text := []byte{}
	var events bytes.Buffer
	for i := 0; i < length; i += m.options.Burst {
		n := min(m.options.Burst, length-i)
		if !sleep(r.Context(), m.decodeTime(n)) {
			return
		}
		if f.AbortAfter > 0 && i+n > f.AbortAfter {
			panic(http.ErrAbortHandler)
		}
		m.countTokens(r, 0, 0, n)
		for j := range n {
			token := m.token(r, i+j)
			text = append(text, token...)
			if c.Stream {
				appendEvent(&events, r.URL.Path, c.Model, token, "")
			}
		}
		if c.Stream {
			_, _ = w.Write(events.Bytes())
			events.Reset()
			_ = http.NewResponseController(w).Flush()
		}
	}
	u := map[string]any{
		"prompt_tokens": input, "completion_tokens": length, "total_tokens": input + length,
		"prompt_tokens_details": map[string]any{"cached_tokens": cached},
	}
	if c.Stream {
		appendEvent(&events, r.URL.Path, c.Model, "", "stop")
		_, _ = w.Write(events.Bytes())
		if c.Options.IncludeUsage {
			last, _ := json.Marshal(map[string]any{"id": "x", "object": "chat.completion.chunk", "model": c.Model, "choices": []any{}, "usage": u})
			fmt.Fprintf(w, "data: %s\n\n", last)
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
		return
	}
	writeCompletion(w, r.URL.Path, c.Model, string(text), u)
}

func (m *Model) token(r *http.Request, i int) string {
	if m.options.TagTokens {
		return fmt.Sprintf("%s.%d ", r.Header.Get(engine.RequestHeader), i)
	}
	return fmt.Sprintf("t%d ", i)
}

// length returns the number of tokens to generate.
func (m *Model) length(c *completion) int {
	limit := max(c.MaxTokens, c.MaxNew)
	switch {
	case c.Actual > 0:
		return c.Actual
	case limit > 0:
		return limit
	default:
		return m.options.DefaultTokens
	}
}

func appendEvent(w *bytes.Buffer, path, model, token, finish string) {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if finish != "" {
		choice["finish_reason"] = finish
	}
	object := "text_completion"
	if path == "/v1/chat/completions" {
		object = "chat.completion.chunk"
		choice["delta"] = map[string]any{"content": token}
	} else {
		choice["text"] = token
	}
	b, _ := json.Marshal(map[string]any{"id": "x", "object": object, "created": 0, "model": model, "choices": []any{choice}})
	fmt.Fprintf(w, "data: %s\n\n", b)
}

func writeCompletion(w http.ResponseWriter, path, model, text string, u any) {
	choice := map[string]any{"index": 0, "finish_reason": "stop"}
	object := "text_completion"
	if path == "/v1/chat/completions" {
		object = "chat.completion"
		choice["message"] = map[string]any{"role": "assistant", "content": text}
	} else {
		choice["text"] = text
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"id": "x", "object": object, "created": 0, "model": model, "choices": []any{choice}, "usage": u})
}

// sleep waits for d. It reports false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
