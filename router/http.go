package router

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"hash/maphash"
	"io"
	"math"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"go.opentelemetry.io/otel/propagation"

	"opalbridge.dev/attempt"
	"opalbridge.dev/config"
	"opalbridge.dev/wire/wirepb"
)

// Headers that callers set and get.
const (
	UrgentHeader        = "Opalbridge-Urgent"         // true: before the account's other requests
	NotRepeatableHeader = "Opalbridge-Not-Repeatable" // true: at most once; false: may be tried again
	DeadlineHeader      = "Opalbridge-Deadline-Ms"    // milliseconds the caller waits for the whole answer
	KeyHeader           = "Idempotency-Key"
	RequestHeader       = "Opalbridge-Request-Id"
	OutcomeHeader       = "Opalbridge-Outcome" // not-run, ran or unknown
	shouldRetryHeader   = "X-Should-Retry"     // understood by published clients
)

const (
	defaultDeadline = 10 * time.Minute
	longestDeadline = time.Hour
	longestKey      = 255
	longestHeaders  = 32 << 10 // bytes of all headers that are passed on
	prefixBytes     = 512
	// hintTokens is the expected answer length when the caller sets no limit.
	hintTokens = 256
)

// Handler returns the callers' API.
func (r *Router) Handler() http.Handler {
	m := chi.NewRouter()
	m.Post("/v1/chat/completions", r.serveModel)
	m.Post("/v1/completions", r.serveModel)
	m.Get("/v1/models", r.serveModels)
	m.HandleFunc("/services/{service}", r.serveService)
	m.HandleFunc("/services/{service}/*", r.serveService)
	m.Get("/ready", r.serveReady)
	m.Get("/live", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "live\n") })
	m.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeFault(w, "", &fault{status: http.StatusNotFound, code: "no_such_path", message: "there is nothing at this path"})
	})
	m.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		writeFault(w, "", &fault{status: http.StatusMethodNotAllowed, code: "method_not_allowed", message: "this path does not take this method"})
	})
	return m
}

// fault is a request that was refused before anything was decided about it.
type fault struct {
	status  int
	code    string
	field   string
	message string
	retry   time.Duration
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready, why := r.Ready()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, why+"\n")
}

func (r *Router) serveModels(w http.ResponseWriter, q *http.Request) {
	c := r.holder.Current()
	if _, f := authenticate(c, q); f != nil {
		writeFault(w, "", f)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	models := []model{}
	for _, p := range c.Pools {
		if p.Kind == config.Model {
			models = append(models, model{ID: p.Name, Object: "model", OwnedBy: "opalbridge"})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": models})
}

// completion is what the router reads of a model request.
type completion struct {
	Model     string `json:"model"`
	MaxTokens int    `json:"max_tokens"`
	MaxNew    int    `json:"max_completion_tokens"`
}

func (r *Router) serveModel(w http.ResponseWriter, h *http.Request) {
	q, f := r.parse(h)
	if f == nil {
		f = parseModel(q, r.holder.Current())
	}
	if f != nil {
		writeFault(w, q.ID, f)
		return
	}
	r.answer(w, h, q)
}

func parseModel(q *Request, c *config.Document) *fault {
	var m completion
	if err := json.Unmarshal(q.Content, &m); err != nil {
		return &fault{status: http.StatusBadRequest, code: "malformed_json", field: "body", message: "the body is not valid JSON: " + err.Error()}
	}
	if m.Model == "" {
		return &fault{status: http.StatusBadRequest, code: "missing_field", field: "model", message: "the field model is missing"}
	}
	p := c.Pool(m.Model)
	if p == nil || p.Kind != config.Model {
		return &fault{status: http.StatusNotFound, code: "model_not_found", field: "model", message: fmt.Sprintf("there is no model %q", m.Model)}
	}
	if m.MaxTokens < 0 || m.MaxNew < 0 {
		return &fault{status: http.StatusBadRequest, code: "invalid_field", field: "max_tokens", message: "max_tokens must not be negative"}
	}
	q.Pool = m.Model
	q.Estimate = estimate(len(q.Content), max(m.MaxTokens, m.MaxNew), c.Limits.WithDefaults())
	q.Prefix = prefixOf(q.Content)
	return nil
}

// estimate guesses a cost from a body's length and the caller's own limit.
func estimate(bytes, mostTokens int, l config.Limits) float64 {
	const bytesPerToken, thousand, longest = 4, 1000, 1 << 20
	if mostTokens == 0 {
		mostTokens = hintTokens
	}
	input := float64(bytes) / bytesPerToken * float64(l.InputWeight) / thousand
	output := math.Min(float64(mostTokens), longest) * float64(l.OutputWeight) / thousand
	return math.Max(1, input+output)
}

var prefixSeed = maphash.MakeSeed()

func prefixOf(content []byte) uint64 {
	return maphash.Bytes(prefixSeed, content[:min(len(content), prefixBytes)])
}

func (r *Router) serveService(w http.ResponseWriter, h *http.Request) {
	q, f := r.parse(h)
	if f == nil {
		f = parseService(q, h, r.holder.Current())
	}
	if f != nil {
		writeFault(w, q.ID, f)
		return
	}
	r.answer(w, h, q)
}

func parseService(q *Request, h *http.Request, c *config.Document) *fault {
	return parseServiceNamed(q, h, c, chi.URLParam(h, "service"))
}

func parseServiceNamed(q *Request, h *http.Request, c *config.Document, name string) *fault {
	p := c.Pool(name)
	if p == nil || p.Kind != config.Service {
		return &fault{status: http.StatusNotFound, code: "service_not_found", field: "service", message: fmt.Sprintf("there is no service %q", name)}
	}
	q.Pool = name
	q.Path = strings.TrimPrefix(h.URL.EscapedPath(), "/services/"+name)
	if q.Path == "" {
		q.Path = "/"
	}
	if h.URL.RawQuery != "" {
		q.Path += "?" + h.URL.RawQuery
	}
	q.Estimate = float64(c.Limits.WithDefaults().CallCost)
	if h.Header.Get(NotRepeatableHeader) == "" {
		q.Repeatable = safeMethod(h.Method)
	}
	return nil
}

func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// parse reads what all requests have in common. The request it returns has an id
// even when there is a fault.
func (r *Router) parse(h *http.Request) (*Request, *fault) {
	q := &Request{ID: "req-" + strings.ToLower(rand.Text()), Method: h.Method, Path: h.URL.Path, Repeatable: true}
	c := r.holder.Current()
	if r.draining.Load() {
		return q, &fault{status: http.StatusServiceUnavailable, code: "stopping", message: "this router is stopping", retry: time.Second}
	}
	if c.Revision == 0 {
		return q, &fault{status: http.StatusServiceUnavailable, code: "not_ready", message: "this router has no configuration yet", retry: time.Second}
	}
	a, f := authenticate(c, h)
	if f != nil {
		return q, f
	}
	limits := c.Limits.WithDefaults()
	q.Account, q.AccountID = a.Name, a.ID
	q.MaxWaiting = int(limits.MaxWaiting)
	if a.MaxWaiting > 0 {
		q.MaxWaiting = int(a.MaxWaiting)
	}
	if f := parseMarks(q, h.Header); f != nil {
		return q, f
	}
	if q.Headers, f = passedOn(h.Header); f != nil {
		return q, f
	}
	return q, readBody(q, h, int64(limits.MaxBodyBytes))
}

func authenticate(c *config.Document, h *http.Request) (*config.Account, *fault) {
	scheme, key, _ := strings.Cut(h.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, &fault{status: http.StatusUnauthorized, code: "missing_key", field: "Authorization", message: "the header Authorization must hold Bearer and the account's key"}
	}
	a := c.Authenticate(key, time.Now())
	switch {
	case a == nil:
		return nil, &fault{status: http.StatusUnauthorized, code: "wrong_key", field: "Authorization", message: "this key belongs to no account"}
	case a.Disabled:
		return nil, &fault{status: http.StatusForbidden, code: "account_disabled", field: "Authorization", message: "the account is disabled"}
	}
	return a, nil
}

func parseMarks(q *Request, h http.Header) *fault {
	marks := []struct {
		header string
		set    func(bool)
	}{
		{UrgentHeader, func(v bool) { q.Urgent = v }},
		{NotRepeatableHeader, func(v bool) { q.Repeatable = !v }},
	}
	for _, m := range marks {
		text := h.Get(m.header)
		if text == "" {
			continue
		}
		v, err := strconv.ParseBool(text)
		if err != nil {
			return &fault{status: http.StatusBadRequest, code: "invalid_header", field: m.header, message: fmt.Sprintf("the header %s must be true or false, not %q", m.header, text)}
		}
		m.set(v)
	}
	q.Key = h.Get(KeyHeader)
	if len(q.Key) > longestKey || len(h.Values(KeyHeader)) > 1 {
		return &fault{status: http.StatusBadRequest, code: "invalid_header", field: KeyHeader, message: fmt.Sprintf("the header %s must stand once, with at most %d bytes", KeyHeader, longestKey)}
	}
	return parseDeadline(q, h.Get(DeadlineHeader))
}

func parseDeadline(q *Request, text string) *fault {
	budget := defaultDeadline
	if text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms > longestDeadline.Milliseconds() {
			return &fault{status: http.StatusBadRequest, code: "invalid_header", field: DeadlineHeader, message: fmt.Sprintf("the header %s must be a whole number of milliseconds up to %d", DeadlineHeader, longestDeadline.Milliseconds())}
		}
		budget = time.Duration(ms) * time.Millisecond
	}
	if budget <= deadlineReserve {
		return &fault{status: http.StatusGatewayTimeout, code: "deadline_passed", field: DeadlineHeader, message: "the deadline has passed already"}
	}
	q.Deadline = time.Now().Add(budget)
	return nil
}

// notPassedOn are the headers that end at the router.
var notPassedOn = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Host": true, "Content-Length": true, "Accept-Encoding": true,
	"Traceparent": true, "Tracestate": true, KeyHeader: true, "X-Request-Id": true, "X-Priority": true,
}

func passedOn(h http.Header) ([]*wirepb.Header, *fault) {
	var list []*wirepb.Header
	size := 0
	dropped := map[string]bool{}
	for _, v := range h.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range h {
		if notPassedOn[name] || dropped[name] || strings.HasPrefix(name, "Opalbridge-") {
			continue
		}
		for _, v := range values {
			size += len(name) + len(v)
			list = append(list, &wirepb.Header{Name: name, Value: v})
		}
	}
	if size > longestHeaders {
		return nil, &fault{status: http.StatusRequestHeaderFieldsTooLarge, code: "headers_too_large", field: "headers", message: fmt.Sprintf("the headers have %d bytes, more than %d", size, longestHeaders)}
	}
	return list, nil
}

func readBody(q *Request, h *http.Request, most int64) *fault {
	tooLarge := &fault{status: http.StatusRequestEntityTooLarge, code: "body_too_large", field: "body", message: fmt.Sprintf("the body is larger than %d bytes", most)}
	if h.ContentLength > most {
		return tooLarge
	}
	if t := h.Header.Get("Content-Type"); t != "" {
		if _, _, err := mime.ParseMediaType(t); err != nil {
			return &fault{status: http.StatusBadRequest, code: "invalid_header", field: "Content-Type", message: "the header Content-Type cannot be read: " + err.Error()}
		}
	}
	content, err := io.ReadAll(io.LimitReader(h.Body, most+1))
	if err != nil {
		return &fault{status: http.StatusBadRequest, code: "body_cut", field: "body", message: "the body broke off: " + err.Error()}
	}
	if int64(len(content)) > most {
		return tooLarge
	}
	q.Content = content
	return nil
}

// answer runs a request and writes its answer or refusal.
func (r *Router) answer(w http.ResponseWriter, h *http.Request, q *Request) {
	ctx := propagation.TraceContext{}.Extract(h.Context(), propagation.HeaderCarrier(h.Header))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(h.Context(), func() { cancel(errCallerLeft) })
	defer stop()
	s := &httpSink{writer: w, control: http.NewResponseController(w), request: q.ID}
	o := r.Serve(ctx, q, s)
	if ran, ok := o.(attempt.Ran); ok && ran.Complete {
		return
	}
	if s.begun {
		// The caller has part of the answer: the connection must look broken.
		panic(http.ErrAbortHandler)
	}
	writeOutcome(w, q, o)
}

// httpSink passes an answer on over HTTP, each piece as it comes.
type httpSink struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	request string
	begun   bool
}

// Head implements Sink.
func (s *httpSink) Head(status int, headers []*wirepb.Header) {
	s.begun = true
	for _, h := range headers {
		if !notPassedOn[h.Name] || h.Name == "Content-Length" {
			s.writer.Header().Add(h.Name, h.Value)
		}
	}
	s.writer.Header().Set(RequestHeader, s.request)
	s.writer.Header().Set(OutcomeHeader, "ran")
	s.writer.WriteHeader(status)
}

// Write implements Sink.
func (s *httpSink) Write(chunk []byte) error {
	if _, err := s.writer.Write(chunk); err != nil {
		return errors.Wrap(err, "router: write answer")
	}
	return s.control.Flush()
}

func writeOutcome(w http.ResponseWriter, q *Request, o attempt.Outcome) {
	f := &fault{}
	name, reason := describe(o)
	f.message = reason
	switch o := o.(type) {
	case attempt.NotRun:
		f.status, f.code = statusOf(o.Cause)
		f.retry = max(o.RetryAfter, time.Second)
	case attempt.Ran:
		f.status, f.code = http.StatusBadGateway, "answer_cut"
	case attempt.Unknown:
		f.status, f.code = http.StatusBadGateway, "outcome_unknown"
	}
	write(w, q.ID, name, f)
}

// statusOf gives a cause its status and code.
func statusOf(c attempt.Cause) (status int, code string) {
	switch c {
	case attempt.TooMany:
		return http.StatusTooManyRequests, "too_many_waiting"
	case attempt.Deadline:
		return http.StatusGatewayTimeout, "deadline"
	case attempt.Untold:
		return http.StatusServiceUnavailable, "key_untold"
	default:
		return http.StatusServiceUnavailable, "not_run"
	}
}

// writeFault answers a request that was refused before it was dispatched.
func writeFault(w http.ResponseWriter, request string, f *fault) { write(w, request, "not-run", f) }

func write(w http.ResponseWriter, request, outcome string, f *fault) {
	h := w.Header()
	if request != "" {
		h.Set(RequestHeader, request)
	}
	h.Set(OutcomeHeader, outcome)
	h.Set(shouldRetryHeader, strconv.FormatBool(f.retry > 0 && outcome == "not-run"))
	body := map[string]any{
		"message": f.message, "type": typeOf(f.status), "code": f.code, "param": f.field,
		"outcome": outcome, "request_id": request,
	}
	if f.retry > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retry.Seconds()))))
		body["retry_after_ms"] = f.retry.Milliseconds()
	}
	writeJSON(w, f.status, map[string]any{"error": body})
}

func typeOf(status int) string {
	switch {
	case status == http.StatusUnauthorized || status == http.StatusForbidden:
		return "authentication_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
