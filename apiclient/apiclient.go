// Package apiclient sends requests to the HTTP APIs of an entry. The clients of
// the batch and operator APIs use it.
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

// Limits of response bodies and of the attempts per request.
const (
	maxErrorBytes    = 8 << 20 // enough for all findings
	maxResponseBytes = 64 << 20
	maxTries         = 5
)

// Client calls one entry, or several behind a load balancer.
type Client struct {
	BaseURL string // e.g. http://10.0.0.1:8080
	Key     string // API key of the caller
	HTTP    *http.Client
}

// StatusError is a response with an error status.
type StatusError struct {
	Status   int             `json:"-"`
	Code     string          `json:"code"`
	Message  string          `json:"message"`
	Executed string          `json:"executed"`
	Findings finding.List    `json:"findings"`
	Details  json.RawMessage `json:"details"` // the format depends on the code
}

// Error returns the code and message, then one finding per line.
func (e *StatusError) Error() string {
	lines := []string{fmt.Sprintf("%s: %s", e.Code, e.Message)}
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// NewRequest returns a request with the caller's key.
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

// Send sends a request once. The response has status 200, and its body must be
// closed. The error for any other status is a StatusError.
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

// Do sends a request once and decodes the JSON response.
func (c *Client) Do(req *http.Request, response any) error {
	resp, err := c.Send(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return trace.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(response))
}

// Call sends a request that may be repeated. It retries after status 429 or 5xx
// and after errors without a status, up to maxTries attempts. A key that is not
// empty is sent as Idempotency-Key, and a body that is not nil with the content
// type.
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
		response := new(T)
		err = c.Do(req, response)
		if isPermanent(err) {
			return nil, backoff.Permanent(err)
		}
		if err != nil {
			return nil, err
		}
		return response, nil
	}, backoff.WithMaxTries(maxTries))
}

// isPermanent reports whether a retry would get the same response.
func isPermanent(err error) bool {
	var statusErr *StatusError
	return errors.As(err, &statusErr) &&
		statusErr.Status < http.StatusInternalServerError && statusErr.Status != http.StatusTooManyRequests
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
