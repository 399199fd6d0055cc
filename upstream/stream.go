package upstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// EngineError is an error event with which the engine ended a stream.
type EngineError struct {
	Code    string
	Message string
}

// Error returns the code and the message.
func (e *EngineError) Error() string { return "engine ended the stream: " + e.Code + ": " + e.Message }

type streamEvent struct {
	Choices []streamChoice `json:"choices"`
	Usage   *streamUsage   `json:"usage"`
	Tokens  int            `json:"tokens"` // output tokens in this event; 1 if absent
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

// errorCode returns the error code in the body of a StatusError, or "".
func errorCode(err error) string {
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

// tokenStream reads the events of a completion. It uses only the first choice.
type tokenStream struct {
	body   io.Closer
	events *eventReader
	usage  Usage
	err    error // first error, returned by all later calls of Next
	closed atomic.Bool
	// watchdog runs while Next waits for output, since comments, blank lines and
	// single bytes are no progress. May be nil.
	watchdog *watchdog
}

var _ TokenStream = (*tokenStream)(nil)

func newTokenStream(body io.ReadCloser, deliveredTokens int) *tokenStream {
	return &tokenStream{body: body, events: newEventReader(body), usage: Usage{OutputTokens: deliveredTokens}}
}

// Next returns the next piece of text, or io.EOF after a complete response. Other
// errors are ErrTruncated, ErrCrashed, ErrProgressTimeout, ErrEventTooLong, an
// EngineError or the cause of the cancellation of the context.
func (s *tokenStream) Next() (Delta, error) {
	if s.watchdog != nil {
		s.watchdog.start()
		defer s.watchdog.stop()
	}
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
		return Delta{}, fmt.Errorf("%w: stream ended without %s", ErrTruncated, endOfStream)
	}
	if err != nil {
		return Delta{}, err
	}
	if string(data) == endOfStream {
		if s.usage.FinishReason == "" {
			return Delta{}, fmt.Errorf("%w: stream ended without finish_reason", ErrTruncated)
		}
		return Delta{}, io.EOF
	}
	var event streamEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return Delta{}, fmt.Errorf("%w: invalid JSON in event: %w", ErrTruncated, err)
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

// Close closes the connection, which cancels the completion at the engine. It may
// be called concurrently with Next.
func (s *tokenStream) Close() error {
	s.closed.Store(true)
	return s.body.Close()
}
