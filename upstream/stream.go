package upstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// EngineError is an error event of a stream: the engine ended the completion.
type EngineError struct {
	Code    string
	Message string
}

// Error gives code and message.
func (e *EngineError) Error() string { return "engine ended the stream: " + e.Code + ": " + e.Message }

type streamEvent struct {
	Choices []streamChoice `json:"choices"`
	Usage   *streamUsage   `json:"usage"`
	Tokens  int            `json:"tokens"` // output tokens in this event; absent means one
	Error   *streamError   `json:"error"`
}

type streamChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	Delta        delta  `json:"delta"`
	FinishReason string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type streamUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

type streamError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// code returns the error code in the body of a StatusError, or "".
func code(err error) string {
	var status *StatusError
	if !errors.As(err, &status) {
		return ""
	}
	var body struct {
		Error streamError `json:"error"`
	}
	if json.Unmarshal(status.Body, &body) != nil {
		return ""
	}
	return body.Error.Code
}

const endOfStream = "[DONE]"

// tokenStream reads a completion's events. Only the first choice is used.
type tokenStream struct {
	body   io.Closer
	events *eventReader
	usage  Usage
	err    error // sticky
	closed atomic.Bool
}

var _ TokenStream = (*tokenStream)(nil)

func newTokenStream(body io.ReadCloser, delivered int) *tokenStream {
	return &tokenStream{body: body, events: newEventReader(body), usage: Usage{OutputTokens: delivered}}
}

// Next returns the next text. After io.EOF the answer is whole. Other errors are
// ErrTruncated, ErrCrashed, ErrProgressTimeout, an EngineError or the cause of the end of
// the context.
func (s *tokenStream) Next() (Delta, error) {
	for s.err == nil {
		if s.closed.Load() {
			return Delta{}, errClosed
		}
		var d Delta
		d, s.err = s.read()
		if d.Tokens > 0 {
			return d, nil
		}
	}
	return Delta{}, s.err
}

// read returns the delta of one event, which may be empty.
func (s *tokenStream) read() (Delta, error) {
	data, err := s.events.next()
	if err == io.EOF {
		return Delta{}, fmt.Errorf("%w: stream without %s", ErrTruncated, endOfStream)
	}
	if err != nil {
		return Delta{}, err
	}
	if string(data) == endOfStream {
		if s.usage.FinishReason == "" {
			return Delta{}, fmt.Errorf("%w: stream without finish_reason", ErrTruncated)
		}
		return Delta{}, io.EOF
	}
	var event streamEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return Delta{}, fmt.Errorf("%w: event is not JSON: %w", ErrTruncated, err)
	}
	return s.apply(&event)
}

func (s *tokenStream) apply(event *streamEvent) (Delta, error) {
	if event.Error != nil {
		return Delta{}, &EngineError{Code: event.Error.Code, Message: event.Error.Message}
	}
	var d Delta
	for _, choice := range event.Choices {
		if choice.Index != 0 {
			continue
		}
		d.Text += choice.Delta.Content + choice.Text
		if choice.FinishReason != "" {
			s.usage.FinishReason = choice.FinishReason
		}
	}
	if d.Text != "" || event.Tokens > 0 {
		d.Tokens = max(event.Tokens, 1)
		s.usage.OutputTokens += d.Tokens
	}
	if event.Usage != nil {
		s.usage.PromptTokens = event.Usage.PromptTokens
		s.usage.OutputTokens = event.Usage.CompletionTokens
	}
	return d, nil
}

// Usage is valid after Next returned io.EOF.
func (s *tokenStream) Usage() Usage { return s.usage }

// Close closes the connection, which cancels the completion at the engine. It
// may be called while Next waits.
func (s *tokenStream) Close() error {
	s.closed.Store(true)
	return s.body.Close()
}
