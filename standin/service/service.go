// Package service simulates a plain HTTP service. It counts executions, so that
// tests can check how often a request was executed.
package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// AttemptHeader is the header with the attempt ID of a request.
const AttemptHeader = "X-Attempt-Id"

const maxBodyBytes = 8 << 20

// Fault is a kind of injected fault.
type Fault string

// Faults.
const (
	FaultNone      Fault = ""
	FaultSlow      Fault = "slow"      // waits before executing
	FaultSilent    Fault = "silent"    // executes, then keeps the connection open without a response
	FaultCrash     Fault = "crash"     // executes, then breaks the connection without a response
	FaultTruncated Fault = "truncated" // executes, then breaks the connection within the response
)

// Answer is the body of a response.
type Answer struct {
	AttemptID string `json:"attempt_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyHash  uint64 `json:"body_hash"`
	Execution int    `json:"execution"` // number of executions of this body, including this one
}

// Server is a simulated service. It is safe for concurrent use.
type Server struct {
	mu        sync.Mutex
	fault     Fault
	delay     time.Duration // delay of FaultSlow
	remaining int           // requests still affected by the fault; negative for all
	byAttempt map[string]int
	byBody    map[string]int
	total     int
}

// New returns a service without faults.
func New() *Server {
	return &Server{byAttempt: make(map[string]int), byBody: make(map[string]int)}
}

// SetFault injects a fault into the given number of next requests, or into all
// requests if the number is negative. The delay is used by FaultSlow only.
func (s *Server) SetFault(fault Fault, requests int, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.remaining = requests
	s.delay = delay
}

// ExecutionsByAttempt returns the number of executions of an attempt.
func (s *Server) ExecutionsByAttempt(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byAttempt[id]
}

// ExecutionsByBody returns the number of executions of requests with the body.
func (s *Server) ExecutionsByBody(body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byBody[string(body)]
}

// Executions returns the total number of executions.
func (s *Server) Executions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Handler serves GET /healthz and executes any other request.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n")) // the client may have disconnected
	})
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault, delay := s.takeFault()
	if fault == FaultSlow && !sleep(r.Context(), delay) {
		panic(http.ErrAbortHandler)
	}
	execution := s.execute(r.Header.Get(AttemptHeader), body)
	switch fault {
	case FaultSilent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case FaultCrash:
		panic(http.ErrAbortHandler)
	}
	answer, err := json.Marshal(Answer{
		AttemptID: r.Header.Get(AttemptHeader),
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		BodyHash:  xxhash.Sum64(body),
		Execution: execution,
	})
	if err != nil { // cannot fail: only strings and integers
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if fault == FaultTruncated {
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush() // ensures that the first half reaches the client
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer) // the client may have disconnected
}

// takeFault returns the fault for the next request.
func (s *Server) takeFault() (Fault, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remaining == 0 {
		return FaultNone, 0
	}
	if s.remaining > 0 {
		s.remaining--
	}
	return s.fault, s.delay
}

func (s *Server) execute(attemptID string, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.byBody[string(body)]++
	if attemptID != "" {
		s.byAttempt[attemptID]++
	}
	return s.byBody[string(body)]
}

// sleep waits for the duration and returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
