package storage

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// clientObjects is the object store side of Client.
type clientObjects Client

func (o *clientObjects) client() *Client { return (*Client)(o) }

// errNoProgress cancels a transfer that moved no byte for the client's timeout.
var errNoProgress = errors.New("no progress within the timeout")

// Put streams body to the object. An error of body itself is returned as it
// is; the object is then not written.
func (o *clientObjects) Put(ctx context.Context, key string, body io.Reader) error {
	c := o.client()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newProgressWatch(c.timeout, cancel)
	defer watch.stop()
	source := &sourceReader{body: body, watch: watch}
	req, err := c.request(ctx, http.MethodPut, PathObject, url.Values{ParamKey: {key}}, source)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if source.failed() != nil {
			return fmt.Errorf("read object body: %w", source.failed())
		}
		return o.broken(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return statusError(resp)
	}
	return nil
}

// Get opens an object. Its reader reports ErrUnavailable when the body ends early.
func (o *clientObjects) Get(ctx context.Context, key string) (io.ReadCloser, error) {
	c := o.client()
	ctx, cancel := context.WithCancelCause(ctx)
	watch := newProgressWatch(c.timeout, cancel)
	stop := func() {
		watch.stop()
		cancel(nil)
	}
	req, err := c.request(ctx, http.MethodGet, PathObject, url.Values{ParamKey: {key}}, nil)
	if err != nil {
		stop()
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		err = o.broken(ctx, err)
		stop()
		return nil, err
	}
	if resp.StatusCode/100 != 2 {
		defer stop()
		defer resp.Body.Close()
		return nil, statusError(resp)
	}
	return &objectReader{body: resp.Body, watch: watch, stop: stop}, nil
}

// Delete removes an object.
func (o *clientObjects) Delete(ctx context.Context, key string) error {
	return o.client().call(ctx, http.MethodDelete, PathObject, url.Values{ParamKey: {key}}, nil, nil)
}

// List returns objects in key order.
func (o *clientObjects) List(ctx context.Context, prefix, after string, limit int) ([]ObjectInfo, error) {
	var body ObjectsBody
	err := o.client().call(ctx, http.MethodGet, PathObjects, rangeQuery(prefix, after, limit), nil, &body)
	return body.Objects, err
}

func (o *clientObjects) broken(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errNoProgress) {
		o.http.CloseIdleConnections()
		err = errNoProgress
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// progressWatch cancels a transfer when it is not reset within the timeout.
type progressWatch struct {
	timeout time.Duration
	timer   *time.Timer
}

func newProgressWatch(timeout time.Duration, cancel context.CancelCauseFunc) *progressWatch {
	return &progressWatch{
		timeout: timeout,
		timer:   time.AfterFunc(timeout, func() { cancel(errNoProgress) }),
	}
}

func (w *progressWatch) reset() { w.timer.Reset(w.timeout) }
func (w *progressWatch) stop()  { w.timer.Stop() }

// objectReader reads an object's body.
type objectReader struct {
	body  io.ReadCloser
	watch *progressWatch
	stop  func()
}

func (r *objectReader) Read(p []byte) (int, error) {
	r.watch.reset()
	n, err := r.body.Read(p)
	r.watch.stop() // the time between two reads is the reader's own
	if err != nil && err != io.EOF {
		err = fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return n, err
}

func (r *objectReader) Close() error {
	err := r.body.Close()
	r.stop()
	return err
}
