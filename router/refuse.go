package router

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"opalbridge.dev/attempt"
)

// fault is a request that was refused before anything was decided about it.
type fault struct {
	status  int
	code    string
	field   string
	message string
	retry   time.Duration
}

func writeOutcome(w http.ResponseWriter, q *Request, o attempt.Outcome) {
	f := &fault{}
	name, reason := describe(o)
	f.message = reason
	switch o := o.(type) {
	case attempt.NotExecuted:
		f.status, f.code = statusOf(o.Cause)
		f.retry = max(o.RetryAfter, time.Second)
	case attempt.Executed:
		f.status, f.code = http.StatusBadGateway, "answer_cut"
	case attempt.Unknown:
		f.status, f.code = http.StatusBadGateway, "outcome_unknown"
	}
	write(w, q.ID, name, f)
}

// statusOf gives a cause its status and code.
func statusOf(c attempt.Cause) (status int, code string) {
	switch c {
	case attempt.QueueFull:
		return http.StatusTooManyRequests, "too_many_waiting"
	case attempt.Deadline:
		return http.StatusGatewayTimeout, "deadline"
	case attempt.KeyIndeterminate:
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
