package router

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"go.opentelemetry.io/otel/propagation"

	"opalbridge.dev/attempt"
	"opalbridge.dev/config"
	"opalbridge.dev/router/callers"
	"opalbridge.dev/wire/wirepb"
)

// Request and response headers.
const (
	UrgentHeader        = "Opalbridge-Urgent"         // true: ahead of the account's other requests
	NotRepeatableHeader = "Opalbridge-Not-Repeatable" // true: runs at most once; false: may be retried
	DeadlineHeader      = "Opalbridge-Deadline-Ms"    // milliseconds until the whole response must have arrived
	KeyHeader           = "Idempotency-Key"
	RequestHeader       = "Opalbridge-Request-Id"
	OutcomeHeader       = "Opalbridge-Outcome" // not-run, ran or unknown
	shouldRetryHeader   = "X-Should-Retry"     // honoured by published client libraries
)

const (
	defaultDeadline = 10 * time.Minute
	maxDeadline     = time.Hour
	maxKeyBytes     = 255
	maxHeaderBytes  = 32 << 10 // total of the forwarded headers
	prefixBytes     = 512      // of a prompt, hashed to find agents that have served it
	// defaultOutputTokens is the expected output when the caller sets no limit.
	defaultOutputTokens = 256
)

// Handler returns the HTTP API for callers.
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
		writeRequestError(w, "", &requestError{status: http.StatusNotFound, code: "no_such_path", message: "there is nothing at this path"})
	})
	m.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		writeRequestError(w, "", &requestError{status: http.StatusMethodNotAllowed, code: "method_not_allowed", message: "this path does not take this method"})
	})
	return m
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready, reason := r.Ready()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, reason+"\n")
}

func (r *Router) serveModels(w http.ResponseWriter, q *http.Request) {
	c := r.holder.Current()
	if _, e := authenticate(c, q); e != nil {
		writeRequestError(w, "", e)
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

func (r *Router) serveModel(w http.ResponseWriter, h *http.Request) {
	q, e := r.parse(h)
	if e == nil {
		e = parseModel(q, r.holder.Current())
	}
	if e != nil {
		writeRequestError(w, q.ID, e)
		return
	}
	r.respond(w, h, q)
}

func (r *Router) serveService(w http.ResponseWriter, h *http.Request) {
	q, e := r.parse(h)
	if e == nil {
		e = parseService(q, h, r.holder.Current())
	}
	if e != nil {
		writeRequestError(w, q.ID, e)
		return
	}
	r.respond(w, h, q)
}

// respond serves a request and writes its answer or error.
func (r *Router) respond(w http.ResponseWriter, h *http.Request, q *Request) {
	ctx := propagation.TraceContext{}.Extract(h.Context(), propagation.HeaderCarrier(h.Header))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(h.Context(), func() { cancel(errCallerLeft) })
	defer stop()
	s := &httpSink{writer: w, controller: http.NewResponseController(w), received: h, request: q.ID}
	o := r.Serve(ctx, q, s)
	if ran, ok := o.(attempt.Executed); ok && ran.Complete {
		s.setReset(false)
		return
	}
	if s.headWritten {
		// The caller has received part of the answer: abort the connection so that
		// the answer does not look complete.
		panic(http.ErrAbortHandler)
	}
	writeOutcome(w, q, o)
}

// httpSink writes an answer to an HTTP response and flushes every chunk.
type httpSink struct {
	writer      http.ResponseWriter
	controller  *http.ResponseController
	received    *http.Request
	request     string // its ID
	headWritten bool
}

// Head implements Sink.
func (s *httpSink) Head(status int, headers []*wirepb.Header) {
	s.headWritten = true
	s.setReset(true)
	for _, h := range headers {
		if !droppedHeaders[h.Name] || h.Name == "Content-Length" {
			s.writer.Header().Add(h.Name, h.Value)
		}
	}
	s.writer.Header().Set(RequestHeader, s.request)
	s.writer.Header().Set(OutcomeHeader, "ran")
	s.writer.WriteHeader(status)
}

// setReset sets whether closing the connection resets it. A caller of HTTP/1.0 knows no chunks: an answer without a
// length ends with the connection.
func (s *httpSink) setReset(reset bool) {
	if !s.received.ProtoAtLeast(1, 1) {
		callers.ResetOnClose(s.received, reset)
	}
}

// Write implements Sink.
func (s *httpSink) Write(chunk []byte) error {
	if _, err := s.writer.Write(chunk); err != nil {
		return errors.Wrap(err, "router: write answer")
	}
	return s.controller.Flush()
}
