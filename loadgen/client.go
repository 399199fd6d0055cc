// Package loadgen sends requests to gateways as callers do, checks each response
// against the text that the simulated engines generate, and counts the outcomes.
package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/standin/engine"
	"github.com/magnoliausher/magnoliausher/upstream"
)

var (
	// ErrWrongAnswer is returned if the response looks complete but is not the
	// expected one.
	ErrWrongAnswer = errors.New("wrong answer")
	// ErrIncompleteAnswer is returned if the connection failed or the response
	// ended early, which the caller can detect.
	ErrIncompleteAnswer = errors.New("incomplete answer")
)

// RefusedError is a failure that the server reported, by an HTTP status or by an
// error event in a stream.
type RefusedError struct {
	Status   int
	Executed string // value of the header X-Request-Executed
	Body     string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("status %d, executed %q: %s", e.Status, e.Executed, e.Body)
}

// Client sends requests with the API key of a caller.
type Client struct {
	Key  string
	HTTP *http.Client // nil means http.DefaultClient
}

// ChatRequest is the body of a chat completion.
type ChatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream,omitempty"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []ChatMessage `json:"messages"`
}

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// NewChatRequest returns a request with one user message for the given number of
// tokens.
func NewChatRequest(model, prompt string, tokens int) ChatRequest {
	return ChatRequest{Model: model, MaxTokens: tokens, Messages: []ChatMessage{{Role: "user", Content: prompt}}}
}

// ExpectedText returns the text that a simulated engine generates for a request
// body.
func ExpectedText(body []byte) (string, error) {
	p, err := upstream.ParsePrompt(body)
	if err != nil {
		return "", trace.Wrap(err)
	}
	return engine.ExpectedText(p.Text, 0, p.MaxTokens), nil
}

// Post sends a request body to a gateway. Errors wrap ErrIncompleteAnswer, except
// for a malformed address. If idempotencyKey is empty, no Idempotency-Key header
// is sent.
func (c *Client) Post(ctx context.Context, address, path, idempotencyKey string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrIncompleteAnswer, err)
	}
	return resp, nil
}

// LatencyObserver is called with the time to the first token, and then with the
// time between tokens.
type LatencyObserver func(first bool, d time.Duration)

// Chat sends one streaming chat request and checks the complete response. It
// returns nil for the expected response, else a RefusedError,
// ErrIncompleteAnswer or ErrWrongAnswer. observe may be nil.
func (c *Client) Chat(ctx context.Context, address string, request ChatRequest, observe LatencyObserver) error {
	request.Stream = true
	body, err := json.Marshal(request)
	if err != nil {
		return trace.Wrap(err)
	}
	want, err := ExpectedText(body)
	if err != nil {
		return err
	}
	sent := time.Now()
	resp, err := c.Post(ctx, address, "/v1/chat/completions", "", body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	return checkStream(resp.Body, want, sent, observe)
}

func readRefusal(resp *http.Response) error {
	text, _ := io.ReadAll(resp.Body) // the status is enough without the body
	return &RefusedError{
		Status: resp.StatusCode, Executed: resp.Header.Get(apierror.ExecutedHeader), Body: string(bytes.TrimSpace(text)),
	}
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// checkStream checks the text of a stream. A stream without [DONE] is incomplete.
func checkStream(r io.Reader, want string, last time.Time, observe LatencyObserver) error {
	var text strings.Builder
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if text.String() != want {
				return fmt.Errorf("%w: %q", ErrWrongAnswer, text.String())
			}
			return nil
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return fmt.Errorf("%w: %w", ErrWrongAnswer, err)
		}
		if c.Error != nil {
			return &RefusedError{Status: http.StatusOK, Body: c.Error.Message}
		}
		if len(c.Choices) == 0 || c.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		if observe != nil {
			observe(text.Len() == 0, now.Sub(last))
		}
		last = now
		text.WriteString(c.Choices[0].Delta.Content)
	}
	return ErrIncompleteAnswer
}
