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

// clientObjects implements Objects on a Client.
type clientObjects Client

func (o *clientObjects) client() *Client { return (*Client)(o) }

// errNoProgress is the cancel cause of a transfer without a byte for the client's timeout.
var errNoProgress = errors.New("no progress within the timeout")

// Put implements Objects. It returns an error of body itself without
// ErrUnavailable; the object is not written then.
func (o *clientObjects) Put(ctx context.Context, key string, body io.Reader) error {
	c := o.client()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	progress := newProgressTimer(c.timeout, cancel)
	defer progress.stop()
	source := &sourceReader{body: body, progress: progress}
	req, err := c.newRequest(ctx, http.MethodPut, PathObject, url.Values{ParamKey: {key}}, source)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if source.sourceError() != nil {
			return fmt.Errorf("read object body: %w", source.sourceError())
		}
		return o.transportError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return statusError(resp)
	}
	return nil
}

// Get implements Objects. The reader returns ErrUnavailable if the body is incomplete.
func (o *clientObjects) Get(ctx context.Context, key string) (io.ReadCloser, error) {
	c := o.client()
	ctx, cancel := context.WithCancelCause(ctx)
	progress := newProgressTimer(c.timeout, cancel)
	stop := func() {
		progress.stop()
		cancel(nil)
	}
	req, err := c.newRequest(ctx, http.MethodGet, PathObject, url.Values{ParamKey: {key}}, nil)
	if err != nil {
		stop()
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		err = o.transportError(ctx, err)
		stop()
		return nil, err
	}
	if resp.StatusCode/100 != 2 {
		defer stop()
		defer resp.Body.Close()
		return nil, statusError(resp)
	}
	return &objectReader{body: resp.Body, progress: progress, stop: stop}, nil
}

// Delete implements Objects.
func (o *clientObjects) Delete(ctx context.Context, key string) error {
	return o.client().call(ctx, http.MethodDelete, PathObject, url.Values{ParamKey: {key}}, nil, nil)
}

// List implements Objects.
func (o *clientObjects) List(ctx context.Context, prefix, after string, limit int) ([]ObjectInfo, error) {
	var body ObjectsBody
	err := o.client().call(ctx, http.MethodGet, PathObjects, rangeQuery(prefix, after, limit), nil, &body)
	return body.Objects, err
}

func (o *clientObjects) transportError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errNoProgress) {
		o.http.CloseIdleConnections()
		err = errNoProgress
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// progressTimer cancels a transfer unless it is reset or stopped within the timeout.
type progressTimer struct {
	timeout time.Duration
	timer   *time.Timer
}

func newProgressTimer(timeout time.Duration, cancel context.CancelCauseFunc) *progressTimer {
	return &progressTimer{
		timeout: timeout,
		timer:   time.AfterFunc(timeout, func() { cancel(errNoProgress) }),
	}
}

func (p *progressTimer) reset() { p.timer.Reset(p.timeout) }
func (p *progressTimer) stop()  { p.timer.Stop() }

// objectReader reads an object's body under a progress timeout.
type objectReader struct {
	body     io.ReadCloser
	progress *progressTimer
	stop     func()
}

func (r *objectReader) Read(p []byte) (int, error) {
	r.progress.reset()
	n, err := r.body.Read(p)
	r.progress.stop() // the time between two reads does not count as a stall of the platform
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
