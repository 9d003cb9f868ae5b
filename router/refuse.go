package router

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"opalbridge.dev/attempt"
)

// requestError is an error response.
type requestError struct {
	status     int
	code       string
	field      string
	message    string
	retryAfter time.Duration
}

func writeOutcome(w http.ResponseWriter, q *Request, o attempt.Outcome) {
	e := &requestError{}
	name, reason := describe(o)
	e.message = reason
	switch o := o.(type) {
	case attempt.NotExecuted:
		e.status, e.code = statusForCause(o.Cause)
		e.retryAfter = max(o.RetryAfter, time.Second)
	case attempt.Executed:
		e.status, e.code = http.StatusBadGateway, "answer_cut"
	case attempt.Unknown:
		e.status, e.code = http.StatusBadGateway, "outcome_unknown"
	}
	writeError(w, q.ID, name, e)
}

// statusForCause returns the HTTP status and error code of a cause.
func statusForCause(c attempt.Cause) (status int, code string) {
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

// writeRequestError answers a request that was rejected before it was dispatched.
func writeRequestError(w http.ResponseWriter, request string, e *requestError) {
	writeError(w, request, "not-run", e)
}

func writeError(w http.ResponseWriter, request, outcome string, e *requestError) {
	h := w.Header()
	if request != "" {
		h.Set(RequestHeader, request)
	}
	h.Set(OutcomeHeader, outcome)
	h.Set(shouldRetryHeader, strconv.FormatBool(e.retryAfter > 0 && outcome == "not-run"))
	body := map[string]any{
		"message": e.message, "type": errorType(e.status), "code": e.code, "param": e.field,
		"outcome": outcome, "request_id": request,
	}
	if e.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
		body["retry_after_ms"] = e.retryAfter.Milliseconds()
	}
	writeJSON(w, e.status, map[string]any{"error": body})
}

func errorType(status int) string {
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
