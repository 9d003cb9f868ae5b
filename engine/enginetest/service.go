package enginetest

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"opalbridge.dev/engine"
)

// ServiceFaults are faults to inject into a Service.
type ServiceFaults struct {
	ExtraLatency  time.Duration // added to the latency of every call
	DropResponses int           // number of calls that run but whose responses are lost
}

// Service is a fake of a plain service, such as a booking service. It counts the
// executions of each request.
type Service struct {
	Latency time.Duration // of a call; 0 means 5 ms

	mutex  sync.Mutex
	runs   map[string]int
	faults ServiceFaults
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = f
}

// Runs returns the number of executions of each request, by request ID.
func (s *Service) Runs() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		_ = json.NewEncoder(w).Encode(engine.Load{})
		return
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(engine.RequestHeader)
	faults, lost := s.run(id)
	latency := s.Latency
	if latency == 0 {
		latency = 5 * time.Millisecond
	}
	if !sleep(r.Context(), latency+faults.ExtraLatency) {
		return
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"request": id, "method": r.Method, "path": r.URL.RequestURI(), "received": len(content),
	})
}

// run counts an execution. It reports true if the response is to be lost.
func (s *Service) run(id string) (f ServiceFaults, lost bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.runs == nil {
		s.runs = map[string]int{}
	}
	s.runs[id]++
	lost = s.faults.DropResponses > 0
	if lost {
		s.faults.DropResponses--
	}
	return s.faults, lost
}
