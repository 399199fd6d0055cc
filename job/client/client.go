// Package client calls the batch API of an entry: files, batches and results.
package client

import (
	"context"
	"encoding/json"
	"io"
	"mime/multipart"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/apiclient"
	"github.com/magnoliausher/magnoliausher/job"
)

// Client calls the batch API of one entry or of a load balancer.
type Client struct {
	BaseURL string // e.g. http://10.0.0.1:8080
	Key     string // of the caller
	HTTP    *http.Client
}

// Error is a response with an error status.
type Error = apiclient.StatusError

// pollInterval is the default interval of Wait.
const pollInterval = 5 * time.Second

// Upload streams a file. It is not retried, because the body cannot be read again.
func (c *Client) Upload(ctx context.Context, name string, body io.Reader) (*job.FileObject, error) {
	r, w := io.Pipe()
	form := multipart.NewWriter(w)
	go func() { _ = w.CloseWithError(writeForm(form, name, body)) }()
	defer r.Close()
	req, err := c.api().NewRequest(ctx, http.MethodPost, "/v1/files", r)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", form.FormDataContentType())
	var f job.FileObject
	return &f, c.api().Do(req, &f)
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

// Create creates a batch. With an empty key it generates one, so that its retries
// get the same batch.
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

// List returns a page of batches, newest first, starting after the batch with id
// after, which may be empty.
func (c *Client) List(ctx context.Context, after string, limit int) (*job.ListObject, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if after != "" {
		query.Set("after", after)
	}
	return call[job.ListObject](ctx, c, http.MethodGet, "/v1/batches?"+query.Encode(), nil, "")
}

// Cancel cancels a batch and returns its final state, which is not cancelled if the
// batch ended first.
func (c *Client) Cancel(ctx context.Context, id string) (*job.BatchObject, error) {
	return call[job.BatchObject](ctx, c, http.MethodPost, "/v1/batches/"+url.PathEscape(id)+"/cancel", nil, "")
}

// File returns the description of a file.
func (c *Client) File(ctx context.Context, id string) (*job.FileObject, error) {
	return call[job.FileObject](ctx, c, http.MethodGet, "/v1/files/"+url.PathEscape(id), nil, "")
}

// Wait polls until the batch has ended. An interval of 0 means 5 s. seen is called
// with every state read and may be nil.
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

// Download copies a file's content. A truncated response is an error; the content is
// the same on every call, so the caller may start again.
func (c *Client) Download(ctx context.Context, fileID string, w io.Writer) error {
	req, err := c.api().NewRequest(ctx, http.MethodGet, "/v1/files/"+url.PathEscape(fileID)+"/content", nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.api().Send(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(w, resp.Body)
	return trace.Wrap(err)
}

// call sends a request and retries it until it gets a response.
func call[T any](ctx context.Context, c *Client, method, path string, body []byte, key string) (*T, error) {
	return apiclient.Call[T](ctx, c.api(), method, path, "application/json", body, key)
}

func (c *Client) api() *apiclient.Client {
	return &apiclient.Client{BaseURL: c.BaseURL, Key: c.Key, HTTP: c.HTTP}
}
