// Package client calls the batch API of an entry: files, batches and results.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/finding"
	"github.com/magnoliausher/magnoliausher/job"
)

// Client calls one entry or the load balancer before several.
type Client struct {
	BaseURL string // e.g. http://10.0.0.1:8080
	Key     string // of the caller
	HTTP    *http.Client
}

// maxTries bounds the sends of a request that may be repeated.
const maxTries = 5

// pollInterval is the default interval of Wait.
const pollInterval = 5 * time.Second

// maxErrorBytes bounds the part of an error's body that is read; it holds all findings.
const maxErrorBytes = 8 << 20

// Error is an answer with an error status.
type Error struct {
	Status   int
	Code     string       `json:"code"`
	Message  string       `json:"message"`
	Findings finding.List `json:"findings"`
}

// Error gives code, message and one finding per line.
func (e *Error) Error() string {
	lines := []string{fmt.Sprintf("%s: %s", e.Code, e.Message)}
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Upload streams a file. It is sent once, because the body cannot be read again.
func (c *Client) Upload(ctx context.Context, name string, body io.Reader) (*job.FileObject, error) {
	r, w := io.Pipe()
	form := multipart.NewWriter(w)
	go func() { _ = w.CloseWithError(writeForm(form, name, body)) }()
	defer r.Close()
	req, err := c.request(ctx, http.MethodPost, "/v1/files", r)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", form.FormDataContentType())
	var f job.FileObject
	return &f, c.do(req, &f)
}

func writeForm(form *multipart.Writer, name string, body io.Reader) error {
	if err := form.WriteField("purpose", "batch"); err != nil {
		return err
	}
	part, err := form.CreateFormFile("file", name)
	if err != nil {
		return err
	}
	if _, err := io.Copy(part, body); err != nil {
		return err
	}
	return form.Close()
}

// Create makes a batch. With an empty key it makes one up, so that its own
// repeated sends get the same batch.
func (c *Client) Create(ctx context.Context, create job.CreateRequest, key string) (*job.BatchObject, error) {
	if key == "" {
		key = uuid.NewString()
	}
	body, err := json.Marshal(create)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return call[job.BatchObject](ctx, c, http.MethodPost, "/v1/batches", body, key)
}

// Get returns a batch.
func (c *Client) Get(ctx context.Context, id string) (*job.BatchObject, error) {
	return call[job.BatchObject](ctx, c, http.MethodGet, "/v1/batches/"+url.PathEscape(id), nil, "")
}

// List returns a page of batches, the newest first, after a batch id that may be empty.
func (c *Client) List(ctx context.Context, after string, limit int) (*job.ListObject, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if after != "" {
		query.Set("after", after)
	}
	return call[job.ListObject](ctx, c, http.MethodGet, "/v1/batches?"+query.Encode(), nil, "")
}

// Cancel ends a batch and returns its final state, which is another one when the
// batch had ended before.
func (c *Client) Cancel(ctx context.Context, id string) (*job.BatchObject, error) {
	return call[job.BatchObject](ctx, c, http.MethodPost, "/v1/batches/"+url.PathEscape(id)+"/cancel", nil, "")
}

// File returns what is known of a file.
func (c *Client) File(ctx context.Context, id string) (*job.FileObject, error) {
	return call[job.FileObject](ctx, c, http.MethodGet, "/v1/files/"+url.PathEscape(id), nil, "")
}

// Wait polls until the batch has ended; an interval of 0 means 5 s. seen gets
// every state read and may be nil.
func (c *Client) Wait(ctx context.Context, id string, interval time.Duration, seen func(*job.BatchObject)) (*job.BatchObject, error) {
	if interval <= 0 {
		interval = pollInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		b, err := c.Get(ctx, id)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if seen != nil {
			seen(b)
		}
		if b.Status.Final() {
			return b, nil
		}
		select {
		case <-ctx.Done():
			return b, trace.Wrap(ctx.Err())
		case <-tick.C:
		}
	}
}

// Download copies a file's content. An answer that breaks off is an error;
// the bytes are the same on every call, so the caller starts again.
func (c *Client) Download(ctx context.Context, fileID string, w io.Writer) error {
	req, err := c.request(ctx, http.MethodGet, "/v1/files/"+url.PathEscape(fileID)+"/content", nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readError(resp)
	}
	_, err = io.Copy(w, resp.Body)
	return trace.Wrap(err)
}

// call sends a request that may be repeated until it gets an answer.
func call[T any](ctx context.Context, c *Client, method, path string, body []byte, key string) (*T, error) {
	return backoff.Retry(ctx, func() (*T, error) {
		req, err := c.request(ctx, method, path, bytes.NewReader(body))
		if err != nil {
			return nil, backoff.Permanent(err)
		}
		if body != nil {
			req.Header.Set("Content-Type", "application/json")
		}
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		v := new(T)
		err = c.do(req, v)
		var answer *Error
		if errors.As(err, &answer) && answer.Status < http.StatusInternalServerError &&
			answer.Status != http.StatusTooManyRequests {
			return nil, backoff.Permanent(err)
		}
		if err != nil {
			return nil, err
		}
		return v, nil
	}, backoff.WithMaxTries(maxTries))
}

func (c *Client) request(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.BaseURL, "/")+path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	return req, nil
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func (c *Client) do(req *http.Request, v any) error {
	resp, err := c.client().Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readError(resp)
	}
	return trace.Wrap(json.NewDecoder(resp.Body).Decode(v))
}

func readError(resp *http.Response) error {
	var body struct {
		Error Error `json:"error"`
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err == nil {
		err = json.Unmarshal(raw, &body)
	}
	if err != nil || body.Error.Code == "" {
		body.Error = Error{Code: "http_status", Message: resp.Status}
	}
	body.Error.Status = resp.StatusCode
	return &body.Error
}
