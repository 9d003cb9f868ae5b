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

// answer runs a request and writes its answer or refusal.
func (r *Router) answer(w http.ResponseWriter, h *http.Request, q *Request) {
	ctx := propagation.TraceContext{}.Extract(h.Context(), propagation.HeaderCarrier(h.Header))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(h.Context(), func() { cancel(errCallerLeft) })
	defer stop()
	s := &httpSink{writer: w, control: http.NewResponseController(w), request: q.ID}
	o := r.Serve(ctx, q, s)
	if ran, ok := o.(attempt.Executed); ok && ran.Complete {
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
