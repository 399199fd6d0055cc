// Package loadgen sends requests to entries as callers do, checks every answer
// against the text that the stand-in engines generate, and counts the outcomes.
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
	// ErrWrongAnswer: the answer looks whole but is not the right one.
	ErrWrongAnswer = errors.New("wrong answer")
	// ErrIncompleteAnswer: the answer broke off, and its caller can see that.
	ErrIncompleteAnswer = errors.New("answer broken off")
)

// RefusedError is a failure that the caller was told of, by a status or by an
// error event of a stream.
type RefusedError struct {
	Status   int
	Executed string // of the header X-Request-Executed
	Body     string
}

// Error gives all parts.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("status %d, executed %q: %s", e.Status, e.Executed, e.Body)
}

// Client sends requests with a caller's key.
type Client struct {
	Key  string
	HTTP *http.Client // nil for the default one
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

// NewChatRequest asks for a number of tokens with one user message.
func NewChatRequest(model, prompt string, tokens int) ChatRequest {
	return ChatRequest{Model: model, MaxTokens: tokens, Messages: []ChatMessage{{Role: "user", Content: prompt}}}
}

// ExpectedText is what a stand-in engine generates for a request's body.
func ExpectedText(body []byte) (string, error) {
	p, err := upstream.ParsePrompt(body)
	if err != nil {
		return "", trace.Wrap(err)
	}
	return engine.ExpectedText(p.Text, 0, p.MaxTokens), nil
}

// Post sends a body to an entry. An error is ErrBroken, except for a malformed
// address. An empty key sends no Idempotency-Key.
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

// LatencyObserver gets the time to the first token, or between two tokens.
type LatencyObserver func(first bool, d time.Duration)

// Chat sends one streamed chat and checks the whole answer. The error is nil
// for the right answer, else a RefusedError, ErrBroken or ErrWrong. observe may
// be nil.
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
		return refused(resp)
	}
	return readStream(resp.Body, want, sent, observe)
}

func refused(resp *http.Response) error {
	text, _ := io.ReadAll(resp.Body) // the status says enough without it
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

// readStream checks the text of a stream; without [DONE] it is not whole.
func readStream(r io.Reader, want string, last time.Time, observe LatencyObserver) error {
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
