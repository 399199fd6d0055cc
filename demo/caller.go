package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/standin/engine"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// caller sends online requests and checks every answer against the text that
// the stand-in engine makes of the prompt.
type caller struct {
	client    *http.Client
	addresses []string // of entries, used in turn
	key       string

	mu        sync.Mutex
	next      int
	ok        int
	failed    int
	failures  []string // of the first few
	firstMS   []float64
	gapsMS    []float64
	inFlight  sync.WaitGroup
	maxInList int
}

const failuresKept = 5

func newCaller(addresses []string, key string) *caller {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 1000
	return &caller{client: &http.Client{Transport: transport}, addresses: addresses, key: key, maxInList: failuresKept}
}

func (c *caller) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.addresses[c.next%len(c.addresses)]
}

// start sends one streamed chat in the background.
func (c *caller) start(ctx context.Context, model, prompt string, tokens int) {
	c.inFlight.Add(1)
	go func() {
		defer c.inFlight.Done()
		c.record(c.chat(ctx, model, prompt, tokens))
	}()
}

func (c *caller) record(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.ok++
		return
	}
	c.failed++
	if len(c.failures) < c.maxInList {
		c.failures = append(c.failures, err.Error())
	}
}

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream,omitempty"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func newChatRequest(model, prompt string, tokens int) chatRequest {
	return chatRequest{Model: model, MaxTokens: tokens, Messages: []chatMessage{{Role: "user", Content: prompt}}}
}

type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

func (c *caller) chat(ctx context.Context, model, prompt string, tokens int) error {
	request := newChatRequest(model, prompt, tokens)
	request.Stream = true
	body, err := json.Marshal(request)
	if err != nil {
		return trace.Wrap(err)
	}
	sent := time.Now()
	resp, err := c.post(ctx, c.address(), "/v1/chat/completions", "", body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return trace.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	}
	text, err := c.readStream(resp.Body, sent)
	if err != nil {
		return err
	}
	want, err := expectedText(body)
	if err != nil {
		return err
	}
	if text != want {
		return trace.Errorf("answer of %d bytes differs from the expected %d bytes", len(text), len(want))
	}
	return nil
}

// expectedText is what the stand-in engine generates for a request's body.
func expectedText(body []byte) (string, error) {
	p, err := upstream.ParsePrompt(body)
	if err != nil {
		return "", trace.Wrap(err)
	}
	return engine.ExpectedText(p.Text, 0, p.MaxTokens), nil
}

func (c *caller) post(ctx context.Context, address, path, idempotencyKey string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := c.client.Do(req)
	return resp, trace.Wrap(err)
}

// readStream joins the text of a stream; a stream without [DONE] is not whole.
func (c *caller) readStream(r io.Reader, sent time.Time) (string, error) {
	var text strings.Builder
	last := sent
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var chunk chatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", trace.Wrap(err)
		}
		if chunk.Error != nil {
			return "", trace.Errorf("error event: %s", chunk.Error.Message)
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		c.measure(now.Sub(last), text.Len() == 0)
		last = now
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	return "", trace.Errorf("stream ended without [DONE]: %v", lines.Err())
}

func (c *caller) measure(d time.Duration, first bool) {
	ms := float64(d.Microseconds()) / 1000
	c.mu.Lock()
	defer c.mu.Unlock()
	if first {
		c.firstMS = append(c.firstMS, ms)
	} else {
		c.gapsMS = append(c.gapsMS, ms)
	}
}

// counts returns the requests so far.
func (c *caller) counts() (ok, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ok, c.failed
}

// percentile returns the p-th of values in ms, 0 without any.
func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// once sends a call that must not be repeated twice with the same key, to two
// entries, and checks that it ran once and that both answers are the same.
func (c *caller) once(ctx context.Context, path, key string, executions func(body []byte) int) error {
	body := []byte(fmt.Sprintf(`{"order":%q}`, key))
	var answers [2][]byte
	for i := range answers {
		resp, err := c.post(ctx, c.address(), path, key, body)
		if err != nil {
			return err
		}
		answers[i], err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return trace.Wrap(err)
		}
		if resp.StatusCode != http.StatusOK {
			return trace.Errorf("%s: status %d: %s", path, resp.StatusCode, bytes.TrimSpace(answers[i]))
		}
	}
	if n := executions(body); n != 1 {
		return trace.Errorf("%s ran %d times", path, n)
	}
	if !bytes.Equal(answers[0], answers[1]) {
		return trace.Errorf("%s: the resend got another answer", path)
	}
	return nil
}
