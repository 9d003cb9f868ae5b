package router

import (
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

	"github.com/go-chi/chi/v5"

	"opalbridge.dev/config"
	"opalbridge.dev/wire/wirepb"
)

// completionRequest holds the fields of a model request that the router reads.
type completionRequest struct {
	Model               string `json:"model"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

func parseModel(q *Request, c *config.Document) *requestError {
	var m completionRequest
	if err := json.Unmarshal(q.Content, &m); err != nil {
		return &requestError{status: http.StatusBadRequest, code: "malformed_json", field: "body", message: "the body is not valid JSON: " + err.Error()}
	}
	if m.Model == "" {
		return &requestError{status: http.StatusBadRequest, code: "missing_field", field: "model", message: "the field model is missing"}
	}
	p := c.Pool(m.Model)
	if p == nil || p.Kind != config.Model {
		return &requestError{status: http.StatusNotFound, code: "model_not_found", field: "model", message: fmt.Sprintf("there is no model %q", m.Model)}
	}
	if m.MaxTokens < 0 || m.MaxCompletionTokens < 0 {
		return &requestError{status: http.StatusBadRequest, code: "invalid_field", field: "max_tokens", message: "max_tokens must not be negative"}
	}
	q.Pool = m.Model
	q.Estimate = estimateCost(len(q.Content), max(m.MaxTokens, m.MaxCompletionTokens), c.Limits.WithDefaults())
	q.Prefix = prefixHash(q.Content)
	return nil
}

// estimateCost estimates the cost in weighted tokens from the length of the body and
// the caller's token limit.
func estimateCost(bytes, maxTokens int, l config.Limits) float64 {
	const bytesPerToken, thousand, maxOutputTokens = 4, 1000, 1 << 20
	if maxTokens == 0 {
		maxTokens = defaultOutputTokens
	}
	input := float64(bytes) / bytesPerToken * float64(l.InputWeight) / thousand
	output := math.Min(float64(maxTokens), maxOutputTokens) * float64(l.OutputWeight) / thousand
	return math.Max(1, input+output)
}

var prefixSeed = maphash.MakeSeed()

func prefixHash(content []byte) uint64 {
	return maphash.Bytes(prefixSeed, content[:min(len(content), prefixBytes)])
}

func parseService(q *Request, h *http.Request, c *config.Document) *requestError {
	return parseServiceNamed(q, h, c, chi.URLParam(h, "service"))
}

func parseServiceNamed(q *Request, h *http.Request, c *config.Document, name string) *requestError {
	p := c.Pool(name)
	if p == nil || p.Kind != config.Service {
		return &requestError{status: http.StatusNotFound, code: "service_not_found", field: "service", message: fmt.Sprintf("there is no service %q", name)}
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
		q.Repeatable = isSafeMethod(h.Method)
	}
	return nil
}

func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// parse parses the parts common to all requests. The request it returns has an ID
// even if there is an error.
func (r *Router) parse(h *http.Request) (*Request, *requestError) {
	q := &Request{ID: "req-" + strings.ToLower(rand.Text()), Method: h.Method, Path: h.URL.Path, Repeatable: true}
	c := r.holder.Current()
	if r.draining.Load() {
		return q, &requestError{status: http.StatusServiceUnavailable, code: "stopping", message: "this router is stopping", retryAfter: time.Second}
	}
	if c.Revision == 0 {
		return q, &requestError{status: http.StatusServiceUnavailable, code: "not_ready", message: "this router has no configuration yet", retryAfter: time.Second}
	}
	a, e := authenticate(c, h)
	if e != nil {
		return q, e
	}
	limits := c.Limits.WithDefaults()
	q.Account, q.AccountID = a.Name, a.ID
	q.MaxWaiting = int(limits.MaxWaiting)
	if a.MaxWaiting > 0 {
		q.MaxWaiting = int(a.MaxWaiting)
	}
	if e := parseOptionHeaders(q, h.Header); e != nil {
		return q, e
	}
	if q.Headers, e = forwardedHeaders(h.Header); e != nil {
		return q, e
	}
	return q, readBody(q, h, int64(limits.MaxBodyBytes))
}

func authenticate(c *config.Document, h *http.Request) (*config.Account, *requestError) {
	scheme, key, _ := strings.Cut(h.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, &requestError{status: http.StatusUnauthorized, code: "missing_key", field: "Authorization", message: "the header Authorization must hold Bearer and the account's key"}
	}
	a := c.Authenticate(key, time.Now())
	switch {
	case a == nil:
		return nil, &requestError{status: http.StatusUnauthorized, code: "wrong_key", field: "Authorization", message: "this key belongs to no account"}
	case a.Disabled:
		return nil, &requestError{status: http.StatusForbidden, code: "account_disabled", field: "Authorization", message: "the account is disabled"}
	}
	return a, nil
}

func parseOptionHeaders(q *Request, h http.Header) *requestError {
	options := []struct {
		header string
		set    func(bool)
	}{
		{UrgentHeader, func(v bool) { q.Urgent = v }},
		{NotRepeatableHeader, func(v bool) { q.Repeatable = !v }},
	}
	for _, m := range options {
		text := h.Get(m.header)
		if text == "" {
			continue
		}
		v, err := strconv.ParseBool(text)
		if err != nil {
			return &requestError{status: http.StatusBadRequest, code: "invalid_header", field: m.header, message: fmt.Sprintf("the header %s must be true or false, not %q", m.header, text)}
		}
		m.set(v)
	}
	q.IdempotencyKey = h.Get(KeyHeader)
	if len(q.IdempotencyKey) > maxKeyBytes || len(h.Values(KeyHeader)) > 1 {
		return &requestError{status: http.StatusBadRequest, code: "invalid_header", field: KeyHeader, message: fmt.Sprintf("the header %s must stand once, with at most %d bytes", KeyHeader, maxKeyBytes)}
	}
	return parseDeadline(q, h.Get(DeadlineHeader))
}

func parseDeadline(q *Request, text string) *requestError {
	budget := defaultDeadline
	if text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms > maxDeadline.Milliseconds() {
			return &requestError{status: http.StatusBadRequest, code: "invalid_header", field: DeadlineHeader, message: fmt.Sprintf("the header %s must be a whole number of milliseconds up to %d", DeadlineHeader, maxDeadline.Milliseconds())}
		}
		budget = time.Duration(ms) * time.Millisecond
	}
	if budget <= deadlineReserve {
		return &requestError{status: http.StatusGatewayTimeout, code: "deadline_passed", field: DeadlineHeader, message: "the deadline has passed already"}
	}
	q.Deadline = time.Now().Add(budget)
	return nil
}

// droppedHeaders are the headers that the router does not forward.
var droppedHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Host": true, "Content-Length": true, "Accept-Encoding": true,
	"Traceparent": true, "Tracestate": true, KeyHeader: true, "X-Request-Id": true, "X-Priority": true,
}

func forwardedHeaders(h http.Header) ([]*wirepb.Header, *requestError) {
	var list []*wirepb.Header
	size := 0
	hopByHop := map[string]bool{}
	for _, v := range h.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			hopByHop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range h {
		if droppedHeaders[name] || hopByHop[name] || strings.HasPrefix(name, "Opalbridge-") {
			continue
		}
		for _, v := range values {
			size += len(name) + len(v)
			list = append(list, &wirepb.Header{Name: name, Value: v})
		}
	}
	if size > maxHeaderBytes {
		return nil, &requestError{status: http.StatusRequestHeaderFieldsTooLarge, code: "headers_too_large", field: "headers", message: fmt.Sprintf("the headers have %d bytes, more than %d", size, maxHeaderBytes)}
	}
	return list, nil
}

func readBody(q *Request, h *http.Request, maxBytes int64) *requestError {
	tooLarge := &requestError{status: http.StatusRequestEntityTooLarge, code: "body_too_large", field: "body", message: fmt.Sprintf("the body is larger than %d bytes", maxBytes)}
	if h.ContentLength > maxBytes {
		return tooLarge
	}
	if t := h.Header.Get("Content-Type"); t != "" {
		if _, _, err := mime.ParseMediaType(t); err != nil {
			return &requestError{status: http.StatusBadRequest, code: "invalid_header", field: "Content-Type", message: "the header Content-Type cannot be read: " + err.Error()}
		}
	}
	content, err := io.ReadAll(io.LimitReader(h.Body, maxBytes+1))
	if err != nil {
		return &requestError{status: http.StatusBadRequest, code: "body_cut", field: "body", message: "the body broke off: " + err.Error()}
	}
	if int64(len(content)) > maxBytes {
		return tooLarge
	}
	q.Content = content
	return nil
}
