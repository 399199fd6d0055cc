package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// CodeFenced is the error code of an engine's 409 response to an order with a
// stale fencing number.
const CodeFenced = "fencing_number_old"

// maxResponseBytes limits the responses to control calls. The largest is a
// complete list of cache events.
const maxResponseBytes = 16 << 20

// EngineConfig configures an EngineClient.
type EngineConfig struct {
	BaseURL         string        // a trailing slash is ignored
	ProgressTimeout time.Duration // maximum time without output of a completion, or without a byte of another response; 0 means DefaultProgressTimeout
	DialTimeout     time.Duration // 0 means DefaultDialTimeout
	Dial            DialFunc      // nil dials TCP
}

// EngineClient is the HTTP client of a model engine. Each call uses a separate
// connection, so that streams do not block each other.
type EngineClient struct {
	cfg       EngineConfig
	transport *http.Transport
}

var _ Engine = (*EngineClient)(nil)

// NewEngineClient returns a client. It does not open a connection.
func NewEngineClient(cfg EngineConfig) *EngineClient {
	cfg.BaseURL = strings.TrimSuffix(cfg.BaseURL, "/")
	setTimeouts(&cfg.ProgressTimeout, &cfg.DialTimeout)
	return &EngineClient{cfg: cfg, transport: newTransport(cfg.Dial, cfg.DialTimeout)}
}

// Generate starts a completion and returns when the engine has accepted it. It
// returns the errors of PlainClient.Call, ErrBadBody joined with ErrNotSent, or a
// StatusError.
func (c *EngineClient) Generate(ctx context.Context, req GenerateRequest) (TokenStream, error) {
	body, err := streamingBody(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	header := http.Header{"X-Request-Id": {req.AttemptID}, "Accept": {"text/event-stream"}}
	resp, err := c.send(ctx, http.MethodPost, req.Path, header, body)
	if err != nil {
		return nil, err
	}
	stream := newTokenStream(resp.Body, req.DeliveredTokens)
	if body, ok := resp.Body.(*responseBody); ok {
		body.manual, stream.watchdog = true, body.exchange.watchdog
	}
	return stream, nil
}

// streamingBody returns the caller's body with the streaming, usage and resume
// fields set.
func streamingBody(req GenerateRequest) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(req.Body, &fields); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadBody, err)
	}
	if fields == nil {
		return nil, ErrBadBody
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	delete(fields, "resume") // callers may not set it
	if req.DeliveredTokens > 0 {
		resume, err := json.Marshal(Resume{Text: req.DeliveredText, Tokens: req.DeliveredTokens})
		if err != nil {
			return nil, err
		}
		fields["resume"] = resume
	}
	return json.Marshal(fields)
}

// send performs one call and returns a 2xx response or an error.
func (c *EngineClient) send(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	x := newExchange(ctx, c.cfg.ProgressTimeout)
	req, err := http.NewRequestWithContext(x.ctx, method, c.cfg.BaseURL+path, bodyReader(body))
	if err != nil {
		x.cancel(err)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := x.do(c.transport, req)
	if err != nil {
		return nil, err
	}
	resp.Body = &responseBody{body: resp.Body, exchange: x, truncationErr: ErrCrashed}
	if resp.StatusCode/100 != 2 {
		return nil, statusError(resp)
	}
	return resp, nil
}

func bodyReader(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return bytes.NewReader(body)
}

// callJSON sends in as JSON and decodes the response into out. Either may be nil.
func (c *EngineClient) callJSON(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	resp, err := c.send(ctx, method, path, nil, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // the response has been read
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode response of %s: %w", path, err)
	}
	return nil
}

type loadResponse struct {
	Slots              int         `json:"slots"`
	Active             int         `json:"active"`
	Waiting            int         `json:"waiting"`
	PromptTokensQueued int         `json:"prompt_tokens_queued"`
	State              EngineState `json:"state"`
}

// EngineState is what an engine serves.
type EngineState struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
	Loading bool   `json:"loading"` // a model is loading; new completions are refused
}

// Load returns the load that the engine reports.
func (c *EngineClient) Load(ctx context.Context) (Load, error) {
	var response loadResponse
	if err := c.callJSON(ctx, http.MethodGet, "/engine/load", nil, &response); err != nil {
		return Load{}, err
	}
	return Load{
		Slots:              response.Slots,
		Active:             response.Active,
		Waiting:            response.Waiting,
		PromptTokensQueued: response.PromptTokensQueued,
		Loading:            response.State.Loading,
		ReceivedAt:         time.Now(),
	}, nil
}

// State returns what the engine serves.
func (c *EngineClient) State(ctx context.Context) (EngineState, error) {
	var response loadResponse
	err := c.callJSON(ctx, http.MethodGet, "/engine/load", nil, &response)
	return response.State, err
}

type cacheEventsResponse struct {
	Events   []CacheEvent `json:"events"`
	Complete bool         `json:"complete"`
}

// CacheEvents returns the events after a sequence number. It returns the complete
// list if the number is 0, is no longer known to the engine or belongs to an
// earlier boot. A caller that detects a gap in the numbers should pass 0.
func (c *EngineClient) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, bool, error) {
	var response cacheEventsResponse
	path := "/engine/cache_events?after=" + strconv.FormatUint(after, 10)
	if err := c.callJSON(ctx, http.MethodGet, path, nil, &response); err != nil {
		return nil, false, err
	}
	return response.Events, response.Complete, nil
}

// Order sends an order. It returns ErrFenced if the engine refuses the fencing
// number, and a StatusError for other refusals.
func (c *EngineClient) Order(ctx context.Context, order Order) error {
	err := c.callJSON(ctx, http.MethodPost, "/engine/orders", order, nil)
	if errorCode(err) == CodeFenced {
		return fmt.Errorf("%w: %d", ErrFenced, order.Fencing)
	}
	return err
}

// Healthy checks the engine's health and returns its boot ID.
func (c *EngineClient) Healthy(ctx context.Context) (string, error) {
	var response struct {
		BootID string `json:"boot_id"`
	}
	err := c.callJSON(ctx, http.MethodGet, defaultHealthPath, nil, &response)
	return response.BootID, err
}

// attemptRequest is the body of control calls that refer to an attempt.
type attemptRequest struct {
	ID string `json:"id"`
}

// Cancel cancels an attempt at the engine by its ID and reports whether it was in
// progress. It works even if the attempt's own connection has stalled.
func (c *EngineClient) Cancel(ctx context.Context, attemptID string) (bool, error) {
	in := attemptRequest{ID: attemptID}
	var response struct {
		Cancelled bool `json:"cancelled"`
	}
	err := c.callJSON(ctx, http.MethodPost, "/engine/cancel", in, &response)
	return response.Cancelled, err
}

// KV is the exported key-value cache of a running completion, in the engines'
// export and import format.
type KV json.RawMessage

// ExportKV returns the key-value cache of an attempt that has generated at least
// one token. It should be called before the attempt is cancelled.
func (c *EngineClient) ExportKV(ctx context.Context, attemptID string) (KV, error) {
	in := attemptRequest{ID: attemptID}
	var kv json.RawMessage
	if err := c.callJSON(ctx, http.MethodPost, "/engine/kv/export", in, &kv); err != nil {
		return nil, err
	}
	return KV(kv), nil
}

// ImportKV loads a key-value cache into the engine, which uses it for the next
// completion of the same prompt.
func (c *EngineClient) ImportKV(ctx context.Context, kv KV) error {
	return c.callJSON(ctx, http.MethodPost, "/engine/kv/import", json.RawMessage(kv), nil)
}
