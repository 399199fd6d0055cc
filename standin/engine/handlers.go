package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/upstream"

	"github.com/cespare/xxhash/v2"
)

// Paths of the engine's HTTP interface besides the OpenAI-compatible ones.
const (
	PathCancel      = "/engine/cancel"
	PathLoad        = "/engine/load"
	PathCacheEvents = "/engine/cache_events"
	PathExport      = "/engine/kv/export"
	PathImport      = "/engine/kv/import"
	PathOrders      = "/engine/orders"
	PathHealth      = "/healthz"
)

const (
	pathChat         = "/v1/chat/completions"
	pathCompletions  = "/v1/completions"
	maxBodyBytes     = 8 << 20
	requestIDHeader  = "X-Request-Id"
	invalidRequest   = "invalid_request_error"
	finishLength     = "length"
	finishStop       = "stop"
	contentTypeJSON  = "application/json"
	contentTypeEvent = "text/event-stream"
)

func (s *Server) routes() {
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST "+pathChat, s.complete)
	s.mux.HandleFunc("POST "+pathCompletions, s.complete)
	s.mux.HandleFunc("POST "+PathCancel, s.handleCancel)
	s.mux.HandleFunc("GET "+PathLoad, s.handleLoad)
	s.mux.HandleFunc("GET "+PathCacheEvents, s.handleCacheEvents)
	s.mux.HandleFunc("POST "+PathExport, s.handleExport)
	s.mux.HandleFunc("POST "+PathImport, s.handleImport)
	s.mux.HandleFunc("POST "+PathOrders, s.handleOrder)
	s.mux.HandleFunc("GET "+PathHealth, s.handleHealth)
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	// net/http detects a closed connection only after the body has been read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "body_unreadable", err.Error())
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.waitWhileHung(r.Context(), s.faultsOf(r.Context()))
	s.mux.ServeHTTP(w, r)
}

// job is the state of one completion request that its handlers share.
type job struct {
	request *request
	prompt  upstream.Prompt
	hash    uint32 // prompt hash, from which the output is derived
	chat    bool
	faults  connFaults
}

// complete serves /v1/chat/completions and /v1/completions.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	faults := s.faultsOf(r.Context())
	body, err := io.ReadAll(r.Body)
	if err != nil { // serveHTTP has already buffered the body
		panic(err)
	}
	prompt, err := upstream.ParsePrompt(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "body_invalid", err.Error())
		return
	}
	if reason := checkResume(prompt); reason != "" {
		writeError(w, http.StatusBadRequest, "resume_invalid", reason)
		return
	}
	id := r.Header.Get(requestIDHeader)
	if id == "" {
		id = string(attempt.NewID())
	}
	req, err := s.submit(s.sequence(id, prompt), prompt.Text)
	switch {
	case errors.Is(err, ErrDuplicate):
		writeError(w, http.StatusConflict, "request_id_in_use", err.Error())
		return
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, "loading", err.Error())
		return
	}
	defer s.release(req)
	w.Header().Set(requestIDHeader, id)
	j := &job{request: req, prompt: prompt, hash: promptHash(prompt.Text), chat: r.URL.Path == pathChat, faults: faults}
	if prompt.Stream {
		s.streamCompletion(w, r, j)
		return
	}
	s.sendCompletion(w, r, j)
}

// checkResume rejects a resume text that is not the output of the prompt, which
// means that the sender mixed up two requests or lost tokens. It returns the
// reason, or an empty string.
func checkResume(p upstream.Prompt) string {
	if p.Resume.Tokens >= p.MaxTokens {
		return "resume.tokens leaves nothing to generate"
	}
	if p.Resume.Text != ExpectedText(p.Text, 0, p.Resume.Tokens) {
		return "resume.text is not the output of this prompt up to resume.tokens"
	}
	return ""
}

// sequence converts a request to a Sequence. A resumed attempt processes the
// output of the earlier attempts as part of its prompt.
func (s *Server) sequence(id string, p upstream.Prompt) Sequence {
	return Sequence{
		ID:           id,
		PromptTokens: p.Tokens + p.Resume.Tokens,
		OutputTokens: s.totalOutputTokens(p) - p.Resume.Tokens,
		Prefix:       p.Prefix,
		PrefixTokens: p.PrefixTokens,
		Context:      xxhash.Sum64String(p.Text),
	}
}

// totalOutputTokens returns the output length over all attempts.
func (s *Server) totalOutputTokens(p upstream.Prompt) int {
	if n := s.cfg.NaturalTokens; n > 0 && n < p.MaxTokens {
		return max(n, p.Resume.Tokens+1)
	}
	return p.MaxTokens
}

func (s *Server) finishReason(p upstream.Prompt) string {
	if s.totalOutputTokens(p) < p.MaxTokens {
		return finishStop
	}
	return finishLength
}

// waitForTokens blocks until the request has more than seen tokens, has finished
// or was cancelled, or until the keep-alive interval has passed, and returns the
// number of generated tokens. It aborts the handler when the client disconnects.
func (s *Server) waitForTokens(r *http.Request, j *job, seen int) (generated int, last, cancelled bool) {
	timer := time.NewTimer(s.cfg.KeepAlive)
	defer timer.Stop()
	for {
		generated, last, cancelled = s.outcome(j.request)
		if generated > seen || last || cancelled {
			break
		}
		select {
		case <-j.request.progress:
			continue
		case <-timer.C:
		case <-j.faults.crashed:
		case <-j.faults.hung:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		break
	}
	s.waitWhileHung(r.Context(), j.faults)
	return generated, last, cancelled
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	var in CancelRequest
	if !readJSON(w, r, &in) {
		return
	}
	writeJSON(w, http.StatusOK, CancelResponse{Cancelled: s.cancel(in.ID)})
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := LoadReport{Load: s.model.Load(s.virtualTimeLocked()), State: s.state}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (s *Server) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "after_invalid", "after is not a number")
		return
	}
	s.mu.Lock()
	events, next, complete := s.model.CacheEvents(s.virtualTimeLocked(), after)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, CacheEvents{Events: events, Next: next, Complete: complete})
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	health := Health{BootID: s.bootID, Ready: !s.state.Loading}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, health)
}

func (s *Server) handleExport(w http.ResponseWriter, r *http.Request) {
	var in ExportRequest
	if !readJSON(w, r, &in) {
		return
	}
	s.mu.Lock()
	kv, ok := s.model.Export(in.ID)
	s.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "sequence_unknown", "no such sequence has generated a token")
		return
	}
	s.waitForTransfer(r, kv.Tokens)
	writeJSON(w, http.StatusOK, kv)
}

func (s *Server) handleImport(w http.ResponseWriter, r *http.Request) {
	var kv KVCache
	if !readJSON(w, r, &kv) {
		return
	}
	s.waitForTransfer(r, kv.Tokens)
	s.mu.Lock()
	s.model.Import(s.virtualTimeLocked(), kv)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}

// waitForTransfer waits for the duration of a KV cache export or import.
func (s *Server) waitForTransfer(r *http.Request, tokens int) {
	faults := s.faultsOf(r.Context())
	timer := time.NewTimer(time.Duration(float64(TransferTime(tokens)) / s.cfg.Speed))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-faults.crashed:
	case <-r.Context().Done():
	}
	s.waitWhileHung(r.Context(), faults)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(r.Body).Decode(into)
	if err != nil {
		writeError(w, http.StatusBadRequest, "body_invalid", err.Error())
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the client may have disconnected
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	apierror.Write(w, &apierror.Error{Status: status, Type: invalidRequest, Code: code, Message: message, Executed: attempt.ExecutedNo})
}
