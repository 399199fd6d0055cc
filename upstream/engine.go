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

// CodeFenced is the error code with which an engine refuses an order with an
// old fencing number, with status 409.
const CodeFenced = "fencing_number_old"

// maxAnswerBytes bounds the answers to control calls. A complete list of cache
// events is the largest one.
const maxAnswerBytes = 16 << 20

// EngineConfig describes the client of a model engine.
type EngineConfig struct {
	BaseURL         string        // without a final slash
	ProgressTimeout time.Duration // longest wait without a byte; 0 means DefaultProgressTimeout
	DialTimeout     time.Duration // 0 means DefaultDialTimeout
	Dial            DialFunc      // nil dials TCP
}

// EngineClient is the HTTP client of a model engine. Each call has a connection
// of its own, so that streams do not wait for each other.
type EngineClient struct {
	cfg       EngineConfig
	transport *http.Transport
}

var _ Engine = (*EngineClient)(nil)

// NewEngineClient returns a client; it does not connect.
func NewEngineClient(cfg EngineConfig) *EngineClient {
	cfg.BaseURL = strings.TrimSuffix(cfg.BaseURL, "/")
	setTimeouts(&cfg.ProgressTimeout, &cfg.DialTimeout)
	return &EngineClient{cfg: cfg, transport: newTransport(cfg.Dial, cfg.DialTimeout)}
}

// Generate starts a completion and returns when the engine has accepted it. Its
// errors are those of Call of PlainClient, ErrBadBody joined with ErrNotSent,
// and a StatusError.
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
	return newTokenStream(resp.Body, req.DeliveredTokens), nil
}

// streamingBody is the caller's body with streaming, usage and resume fields set.
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
	delete(fields, "resume") // of the caller; only the system resumes
	if req.DeliveredTokens > 0 {
		resume, err := json.Marshal(Resume{Text: req.DeliveredText, Tokens: req.DeliveredTokens})
		if err != nil {
			return nil, err
		}
		fields["resume"] = resume
	}
	return json.Marshal(fields)
}

// send performs one call and returns a 2xx answer, or an error.
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
	resp.Body = &answerBody{body: resp.Body, x: x, truncated: ErrCrashed}
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

// callJSON sends in, unless it is nil, and reads the answer into out, unless it is nil.
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
	defer func() { _ = resp.Body.Close() }() // the answer has been read
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return fmt.Errorf("answer of %s: %w", path, err)
	}
	return nil
}

type loadAnswer struct {
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

// Load returns the engine's own load report.
func (c *EngineClient) Load(ctx context.Context) (Load, error) {
	var answer loadAnswer
	if err := c.callJSON(ctx, http.MethodGet, "/engine/load", nil, &answer); err != nil {
		return Load{}, err
	}
	return Load{
		Slots:              answer.Slots,
		Active:             answer.Active,
		Waiting:            answer.Waiting,
		PromptTokensQueued: answer.PromptTokensQueued,
		Loading:            answer.State.Loading,
		ReceivedAt:         time.Now(),
	}, nil
}

// State returns what the engine serves.
func (c *EngineClient) State(ctx context.Context) (EngineState, error) {
	var answer loadAnswer
	err := c.callJSON(ctx, http.MethodGet, "/engine/load", nil, &answer)
	return answer.State, err
}

type cacheAnswer struct {
	Events   []CacheEvent `json:"events"`
	Complete bool         `json:"complete"`
}

// CacheEvents returns the events after a sequence number. With 0, or a number
// that the engine no longer knows or that is of an earlier boot, it returns the
// complete list. A reader that finds a gap in the numbers asks with 0.
func (c *EngineClient) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, bool, error) {
	var answer cacheAnswer
	path := "/engine/cache_events?after=" + strconv.FormatUint(after, 10)
	if err := c.callJSON(ctx, http.MethodGet, path, nil, &answer); err != nil {
		return nil, false, err
	}
	return answer.Events, answer.Complete, nil
}

// Order sends an order. ErrFenced means that the engine refused its fencing
// number; other refusals are a StatusError.
func (c *EngineClient) Order(ctx context.Context, order Order) error {
	err := c.callJSON(ctx, http.MethodPost, "/engine/orders", order, nil)
	if code(err) == CodeFenced {
		return fmt.Errorf("%w: %d", ErrFenced, order.Fencing)
	}
	return err
}

// Healthy returns the engine's boot id.
func (c *EngineClient) Healthy(ctx context.Context) (string, error) {
	var answer struct {
		BootID string `json:"boot_id"`
	}
	err := c.callJSON(ctx, http.MethodGet, defaultHealthPath, nil, &answer)
	return answer.BootID, err
}

// attemptBody names an attempt in a control call.
type attemptBody struct {
	ID string `json:"id"`
}

// Cancel ends an attempt at the engine by its id and reports whether it was in
// progress. It works when the attempt's own connection has gone silent.
func (c *EngineClient) Cancel(ctx context.Context, attemptID string) (bool, error) {
	in := attemptBody{ID: attemptID}
	var answer struct {
		Cancelled bool `json:"cancelled"`
	}
	err := c.callJSON(ctx, http.MethodPost, "/engine/cancel", in, &answer)
	return answer.Cancelled, err
}

// KV is the exported key-value cache of a running completion, as the engine
// that imports it expects it.
type KV json.RawMessage

// ExportKV returns the key-value cache of an attempt that has generated a token.
// It should be called before the attempt is cancelled.
func (c *EngineClient) ExportKV(ctx context.Context, attemptID string) (KV, error) {
	in := attemptBody{ID: attemptID}
	var kv json.RawMessage
	if err := c.callJSON(ctx, http.MethodPost, "/engine/kv/export", in, &kv); err != nil {
		return nil, err
	}
	return KV(kv), nil
}

// ImportKV gives a key-value cache to the engine, which uses it for the next
// completion of the same prompt.
func (c *EngineClient) ImportKV(ctx context.Context, kv KV) error {
	return c.callJSON(ctx, http.MethodPost, "/engine/kv/import", json.RawMessage(kv), nil)
}
