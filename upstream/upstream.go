// Package upstream provides clients for upstreams: model engines with an
// OpenAI-compatible HTTP API, and plain HTTP services.
package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Errors returned by calls to an upstream, possibly wrapped.
var (
	// ErrNotSent means that no byte of the request can have reached the upstream.
	ErrNotSent = errors.New("request not sent to the upstream")
	// ErrCrashed means that the connection to the upstream broke while the request
	// was in progress.
	ErrCrashed = errors.New("upstream crashed")
	// ErrProgressTimeout means that the upstream made no progress within the timeout.
	ErrProgressTimeout = errors.New("upstream made no progress")
	// ErrTruncated means that the response ended before it was complete.
	ErrTruncated = errors.New("response truncated")
	// ErrFenced means that the upstream refused an order with a stale fencing number.
	ErrFenced = errors.New("stale fencing number")
)

// GenerateRequest requests a completion from an engine. The body is the caller's
// JSON; the client enables streaming and adds the resume fields.
type GenerateRequest struct {
	AttemptID       string
	Path            string // /v1/chat/completions or /v1/completions
	Body            []byte
	DeliveredText   string // output of earlier attempts, after which generation resumes
	DeliveredTokens int
}

// Delta is a piece of generated text. Tokens is at least 1.
type Delta struct {
	Text   string
	Tokens int
}

// Usage is available once a stream has completed.
type Usage struct {
	FinishReason string // stop or length
	PromptTokens int
	OutputTokens int // sum over all attempts
}

// TokenStream is the output of a running completion. Close cancels the completion
// at the engine if it has not ended.
type TokenStream interface {
	// Next returns the next piece of text, or io.EOF after a complete response.
	Next() (Delta, error)
	// Usage is valid after Next returned io.EOF.
	Usage() Usage
	Close() error
}

// Load is the load that an engine reports; it lags behind the actual load.
type Load struct {
	Slots              int
	Active             int
	Waiting            int
	PromptTokensQueued int
	Loading            bool      // a model is loading; new completions are refused
	ReceivedAt         time.Time // when the report arrived
}

// CacheEvent reports that a prompt prefix was added to the engine's cache or
// evicted from it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"` // consecutive at the engine; received events may have gaps
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

// OrderKind is the kind of change that an order requests.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order is a command that changes what an engine serves.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	Fencing uint64    `json:"fencing"` // engines that check it refuse a number lower than one already seen
}

// Engine is the client interface of a model engine.
type Engine interface {
	// Generate starts a completion. ErrNotSent, and a StatusError that is a refusal,
	// mean that the engine did not execute it.
	Generate(ctx context.Context, req GenerateRequest) (TokenStream, error)
	Load(ctx context.Context) (Load, error)
	// State returns what the engine serves.
	State(ctx context.Context) (EngineState, error)
	// CacheEvents returns the events after a sequence number. If complete is set,
	// the list is the full content of the cache instead.
	CacheEvents(ctx context.Context, after uint64) (events []CacheEvent, complete bool, err error)
	// Order sends an order. It returns ErrFenced if the engine refuses the order's
	// fencing number.
	Order(ctx context.Context, order Order) error
	// Healthy checks the engine's health and returns its boot ID, which changes
	// on each restart.
	Healthy(ctx context.Context) (bootID string, err error)
}

// PlainService is the client interface of a plain HTTP service.
type PlainService interface {
	// Call sends one request. Reading the response body returns ErrTruncated if it
	// ends early.
	Call(ctx context.Context, method, path string, header http.Header, body io.Reader) (*http.Response, error)
	Healthy(ctx context.Context) error
}

// StatusError is a response with an error status and up to 64 KiB of its body.
type StatusError struct {
	Status int
	Body   []byte
}

// Refusal reports whether the status says that the upstream did not execute the request.
// Server errors but 503 may come after it did.
func (e *StatusError) Refusal() bool {
	return e.Status < http.StatusInternalServerError || e.Status == http.StatusServiceUnavailable
}

// Error returns a message with the text of the status.
func (e *StatusError) Error() string {
	return "upstream returned " + http.StatusText(e.Status)
}
