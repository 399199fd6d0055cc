// Package apiclient sends requests to the HTTP interfaces of an entry, for the
// clients of batch and operators.
package apiclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/finding"
)

// Bounds of the parts of an answer that are read, and of the sends of a request.
const (
	maxErrorBytes  = 8 << 20 // holds all findings
	maxAnswerBytes = 64 << 20
	maxTries       = 5
)

// Client calls one entry or the load balancer before several.
type Client struct {
	BaseURL string // e.g. http://10.0.0.1:8080
	Key     string // of the caller
	HTTP    *http.Client
}

// StatusError is an answer with an error status.
type StatusError struct {
	Status   int             `json:"-"`
	Code     string          `json:"code"`
	Message  string          `json:"message"`
	Executed string          `json:"executed"`
	Findings finding.List    `json:"findings"`
	Details  json.RawMessage `json:"details"` // depends on the code
}

// Error gives code, message and one finding per line.
func (e *StatusError) Error() string {
	lines := []string{fmt.Sprintf("%s: %s", e.Code, e.Message)}
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// NewRequest prepares a request with the caller's key.
func (c *Client) NewRequest(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.BaseURL, "/")+path, body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	return req, nil
}

// Send sends a request once. The response has status 200 and its body must be
// closed; another status is a StatusError.
func (c *Client) Send(req *http.Request) (*http.Response, error) {
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, readError(resp)
	}
	return resp, nil
}

// Do sends a request once and decodes the JSON of its answer.
func (c *Client) Do(req *http.Request, answer any) error {
	resp, err := c.Send(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return trace.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(answer))
}

// Call sends a request that may be repeated, until it gets an answer that
// another try cannot better. A key goes into Idempotency-Key; a body that is not
// nil is sent with the content type.
func Call[T any](ctx context.Context, c *Client, method, path, contentType string, body []byte, key string) (*T, error) {
	return backoff.Retry(ctx, func() (*T, error) {
		req, err := c.NewRequest(ctx, method, path, bytes.NewReader(body))
		if err != nil {
			return nil, backoff.Permanent(err)
		}
		if body != nil {
			req.Header.Set("Content-Type", contentType)
		}
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		answer := new(T)
		err = c.Do(req, answer)
		if final(err) {
			return nil, backoff.Permanent(err)
		}
		if err != nil {
			return nil, err
		}
		return answer, nil
	}, backoff.WithMaxTries(maxTries))
}

// final reports whether another try would get the same answer.
func final(err error) bool {
	var refused *StatusError
	return errors.As(err, &refused) &&
		refused.Status < http.StatusInternalServerError && refused.Status != http.StatusTooManyRequests
}

func readError(resp *http.Response) error {
	var body struct {
		Error StatusError `json:"error"`
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err == nil {
		err = json.Unmarshal(raw, &body)
	}
	if err != nil || body.Error.Code == "" {
		body.Error = StatusError{Code: "http_status", Message: resp.Status}
	}
	body.Error.Status = resp.StatusCode
	return &body.Error
}
