// Package enginetest has small stand-ins for backend servers: a model engine that
// batches continuously and a plain service that counts its executions.
//
// # Usage
//
//	m := enginetest.NewModel(enginetest.ModelOptions{Models: []string{"small"}, Slots: 8})
//	http.Serve(listener, m)
//
// Both are http.Handlers. They produce tokens that mean nothing; what they imitate
// is time, order, counting and failure. They are for tests and the dev command.
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

// ModelOptions set up a Model. Zero values mean the defaults named.
type ModelOptions struct {
	Models           []string
	Slots            int           // requests in the batch at most; 8
	PrefillPerToken  time.Duration // for each input token not in the cache; 20 µs
	DecodeStep       time.Duration // for one token of a batch of one; 10 ms
	DecodePerRequest time.Duration // more for each further request in the batch; 1 ms
	CachedPrefixes   int           // prompt beginnings the cache holds; 64
	MaxLoadAge       time.Duration // age of a load report; 1 s
	DefaultTokens    int           // answer length when the caller sets none; 32
	Burst            int           // tokens made and sent at once; 1
	LabelHeader      string        // requests are tallied by this header's value; empty: not
	TagTokens        bool          // tokens name their request
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

// ModelFaults tell a model how to misbehave.
type ModelFaults struct {
	ReturnErrors bool    // every call is answered with status 500
	Hang         bool    // calls are taken and never answered
	AbortAfter   int     // answers break off after so many tokens; 0: never
	Slowdown     float64 // decode takes so many times as long; 0: once
}

// Model is the stand-in for a model engine.
type Model struct {
	options     ModelOptions
	mutex       sync.Mutex
	running     int
	waiting     int
	cache       []uint64 // prompt beginnings, latest last
	runs        map[string]int
	tokens      int
	tally       map[string]TokenCounts
	busy        time.Duration // summed time of requests in the batch
	faults      ModelFaults
	report      engine.Load
	at          time.Time
	urgentQueue []chan struct{} // urgent calls that wait for a place
	queue       []chan struct{} // other calls that wait for a place
}

// NewModel returns a model engine's stand-in.
func NewModel(o ModelOptions) *Model {
	o = o.withDefaults()
	return &Model{options: o, runs: map[string]int{}}
}

// SetFaults replaces the faults.
func (m *Model) SetFaults(f ModelFaults) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.faults = f
}

// Runs returns how often each request was executed, by request id.
func (m *Model) Runs() map[string]int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	runs := make(map[string]int, len(m.runs))
	for id, n := range m.runs {
		runs[id] = n
	}
	return runs
}

// Busy returns the summed time that requests spent in the batch, and the tokens
// produced.
func (m *Model) Busy() (time.Duration, int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.busy, m.tokens
}

// TokenCounts is what a model did for the requests with one value of the tally header.
type TokenCounts struct{ Input, Cached, Output int } // tokens

// TokensByLabel returns what was done so far, by value of the tally header.
func (m *Model) TokensByLabel() map[string]TokenCounts {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return maps.Clone(m.tally)
}

func (m *Model) countTokens(r *http.Request, input, cached, output int) {
	if m.options.LabelHeader == "" {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.tally == nil {
		m.tally = map[string]TokenCounts{}
	}
	label := r.Header.Get(m.options.LabelHeader)
	t := m.tally[label]
	t.Input += input
	t.Cached += cached
	t.Output += output
	m.tally[label] = t
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

// load returns a report that is up to LoadLag old.
func (m *Model) load() engine.Load {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if now := time.Now(); now.Sub(m.at) >= m.options.MaxLoadAge {
		m.at = now
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
	// Actual is the answer's true length, which callers cannot know; load tools
	// set it so that max_tokens is but a hint.
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
	faults := m.begin(r.Header.Get(engine.RequestHeader))
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

func (m *Model) begin(request string) ModelFaults {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.runs[request]++
	return m.faults
}

// enter waits for a place in the batch; urgent calls go first.
func (m *Model) acquireSlot(ctx context.Context, urgent bool) bool {
	m.mutex.Lock()
	if m.running < m.options.Slots {
		m.running++
		m.mutex.Unlock()
		return true
	}
	turn := make(chan struct{})
	if urgent {
		m.urgentQueue = append(m.urgentQueue, turn)
	} else {
		m.queue = append(m.queue, turn)
	}
	m.waiting++
	m.mutex.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		return m.abandonSlot(turn)
	}
}

// giveUp takes a call out of the waiting line; one that was given its place at
// the same moment hands it on.
func (m *Model) abandonSlot(turn chan struct{}) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	same := func(c chan struct{}) bool { return c == turn }
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

// prefill returns the input tokens and how many of them were in the cache.
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

// step returns how long so many tokens take with the batch as it is.
func (m *Model) step(tokens int) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.tokens += tokens
	d := m.options.DecodeStep + time.Duration(m.running-1)*m.options.DecodePerRequest
	if m.faults.Slowdown > 0 {
		d = time.Duration(float64(d) * m.faults.Slowdown)
	}
	return d * time.Duration(tokens)
}

func (m *Model) generate(w http.ResponseWriter, r *http.Request, c *completion, content []byte, f ModelFaults) {
	input, cached := m.prefill(content)
	if !pause(r.Context(), time.Duration(input-cached)*m.options.PrefillPerToken) {
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
		if !pause(r.Context(), m.step(n)) {
			return
		}
		if f.AbortAfter > 0 && i+n > f.AbortAfter {
			panic(http.ErrAbortHandler)
		}
		m.countTokens(r, 0, 0, n)
		for j := range n {
			word := m.word(r, i+j)
			text = append(text, word...)
			if c.Stream {
				appendEvent(&events, r.URL.Path, c.Model, word, "")
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

func (m *Model) word(r *http.Request, i int) string {
	if m.options.TagTokens {
		return fmt.Sprintf("%s.%d ", r.Header.Get(engine.RequestHeader), i)
	}
	return fmt.Sprintf("t%d ", i)
}

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

func appendEvent(w *bytes.Buffer, path, model, word, finish string) {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if finish != "" {
		choice["finish_reason"] = finish
	}
	object := "text_completion"
	if path == "/v1/chat/completions" {
		object = "chat.completion.chunk"
		choice["delta"] = map[string]any{"content": word}
	} else {
		choice["text"] = word
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

// pause waits for d and reports false when ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
