package enginetest

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"opalbridge.dev/engine"
)

// ServiceFaults tell a plain service how to misbehave.
type ServiceFaults struct {
	ExtraLatency  time.Duration // every call takes so long more
	DropResponses int           // so many calls run, and their answer is lost
}

// Service is the stand-in for a plain service, such as bookings. It counts the
// executions of each request.
type Service struct {
	Latency time.Duration // a call takes so long; 0: 5 ms

	mutex  sync.Mutex
	runs   map[string]int
	faults ServiceFaults
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = f
}

// Runs returns how often each request was executed, by request id.
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
	spend := s.Latency
	if spend == 0 {
		spend = 5 * time.Millisecond
	}
	if !pause(r.Context(), spend+faults.ExtraLatency) {
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
