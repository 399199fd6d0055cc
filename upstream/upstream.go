// Package upstream talks to the processes that do the work: model engines with
// an OpenAI-style HTTP interface, and plain HTTP services.
package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Errors of calls to an upstream, possibly wrapped.
var (
	// ErrNotSent: no byte of the request can have reached the upstream.
	ErrNotSent = errors.New("request not sent to the upstream")
	// ErrCrashed: the upstream ended while the request was in progress.
	ErrCrashed = errors.New("upstream crashed")
	// ErrProgressTimeout: the upstream made no progress within the timeout.
	ErrProgressTimeout = errors.New("upstream made no progress")
	// ErrTruncated: the answer ended before it was whole.
	ErrTruncated = errors.New("answer truncated")
	// ErrFenced: the upstream refused an order with an old fencing number.
	ErrFenced = errors.New("fencing number is old")
)

// GenerateRequest asks an engine for a completion. The body is the caller's
// JSON; the client forces streaming and adds the resume fields.
type GenerateRequest struct {
	AttemptID       string
	Path            string // /v1/chat/completions or /v1/completions
	Body            []byte
	DeliveredText   string // output of earlier attempts, to resume after
	DeliveredTokens int
}

// Delta is generated text. Tokens is at least 1.
type Delta struct {
	Text   string
	Tokens int
}

// Usage is known when a stream has ended whole.
type Usage struct {
	FinishReason string // stop or length
	PromptTokens int
	OutputTokens int // all attempts together
}

// TokenStream is one running completion. Close cancels it at the engine if it
// has not ended.
type TokenStream interface {
	// Next returns the next text, or io.EOF after a whole answer.
	Next() (Delta, error)
	// Usage is valid after Next returned io.EOF.
	Usage() Usage
	Close() error
}

// Load is an engine's own, lagging report.
type Load struct {
	Slots              int
	Active             int
	Waiting            int
	PromptTokensQueued int
	Loading            bool      // a model is loading; new completions are refused
	ReceivedAt         time.Time // arrival of the report
}

// CacheEvent says that a prompt prefix entered or left the engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"` // without gaps at the engine; events may be missing here
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

// OrderKind is what an order asks of an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order changes what an engine serves.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	Fencing uint64    `json:"fencing"` // engines that check refuse a lower one than seen
}

// Engine is a model engine.
type Engine interface {
	// Generate starts a completion. ErrNotSent and a StatusError mean that the
	// engine did no work for it.
	Generate(ctx context.Context, req GenerateRequest) (TokenStream, error)
	Load(ctx context.Context) (Load, error)
	// State returns what the engine serves.
	State(ctx context.Context) (EngineState, error)
	// CacheEvents returns the events after a sequence number. complete is set
	// when the list is the whole content of the cache instead.
	CacheEvents(ctx context.Context, after uint64) (events []CacheEvent, complete bool, err error)
	// Order sends an order; ErrFenced when the engine refuses its number.
	Order(ctx context.Context, order Order) error
	// Healthy returns the engine's boot id, which changes when it restarts.
	Healthy(ctx context.Context) (bootID string, err error)
}

// PlainService is a plain HTTP service.
type PlainService interface {
	// Call sends one request. The response body reports ErrTruncated when it ends early.
	Call(ctx context.Context, method, path string, header http.Header, body io.Reader) (*http.Response, error)
	Healthy(ctx context.Context) error
}

// StatusError is an answer with an error status, with at most 64 KiB of its body.
type StatusError struct {
	Status int
	Body   []byte
}

// Error gives the status and its text.
func (e *StatusError) Error() string {
	return "upstream answered " + http.StatusText(e.Status)
}
