package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of the clients.
const (
	DefaultProgressTimeout = 5 * time.Second
	DefaultDialTimeout     = time.Second
)

// Bounds of what is kept of an answer.
const (
	maxErrorBody   = 64 << 10 // of a StatusError
	maxHeaderBytes = 256 << 10
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// countedConn records whether a byte was handed to the connection, and asks the
// write guard of its request before the first one.
type countedConn struct {
	net.Conn
	guard func() error
	wrote atomic.Bool
}

func (c *countedConn) Write(b []byte) (int, error) {
	if c.guard != nil && !c.wrote.Load() {
		if err := c.guard(); err != nil {
			return 0, err
		}
	}
	c.wrote.Store(true)
	return c.Conn.Write(b)
}

type guardKey struct{}

// withWriteGuard makes the client ask guard just before it writes the first byte
// of the request; an error of guard keeps the request from being sent.
func withWriteGuard(ctx context.Context, guard func() error) context.Context {
	return context.WithValue(ctx, guardKey{}, guard)
}

// newTransport dials a connection of its own for each request. So requests do
// not wait for each other, net/http never sends a request a second time (it does
// so only on reused connections), and a connection that the upstream closed
// while idle is not mistaken for a crash.
func newTransport(dial DialFunc, dialTimeout time.Duration) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			guard, _ := ctx.Value(guardKey{}).(func() error)
			return &countedConn{Conn: conn, guard: guard}, nil
		},
	}
}

// errClosed: the reader of an answer closed it.
var errClosed = errors.New("answer is closed")

// exchange is one request and its response. Its watchdog cancels it when
// nothing moves for the progress timeout while somebody waits for the upstream.
type exchange struct {
	caller context.Context
	ctx    context.Context
	cancel context.CancelCauseFunc
	dog    *watchdog
	conn   atomic.Pointer[countedConn]
}

func newExchange(caller context.Context, timeout time.Duration) *exchange {
	x := &exchange{caller: caller}
	ctx, cancel := context.WithCancelCause(caller)
	x.cancel = cancel
	x.dog = &watchdog{timeout: timeout, expired: func() { cancel(ErrProgressTimeout) }}
	x.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*countedConn); ok {
			x.conn.Store(conn)
		}
	}})
	return x
}

// do sends the request and waits for the response's head. On an error the
// exchange has ended.
func (x *exchange) do(transport *http.Transport, req *http.Request) (*http.Response, error) {
	if req.Body != nil {
		req.Body = &uploadBody{ReadCloser: req.Body, dog: x.dog}
	}
	req.GetBody = nil // a body that may have been sent is not sent again
	x.dog.wait()
	resp, err := transport.RoundTrip(req)
	x.dog.stop()
	if err != nil {
		err = x.classify(err)
		x.cancel(err)
		return nil, err
	}
	return resp, nil
}

// classify gives an error of the connection its meaning.
func (x *exchange) classify(err error) error {
	conn := x.conn.Load()
	cause := context.Cause(x.ctx)
	switch {
	case conn == nil || !conn.wrote.Load():
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	case x.caller.Err() != nil:
		return context.Cause(x.caller)
	case errors.Is(cause, ErrProgressTimeout):
		return fmt.Errorf("%w within %s", ErrProgressTimeout, x.dog.timeout)
	case errors.Is(cause, errClosed):
		return errClosed
	default:
		return fmt.Errorf("%w: %w", ErrCrashed, err)
	}
}

// watchdog expires when the upstream is waited for longer than its timeout. It
// does not run while the client itself waits for the rest of a request body.
type watchdog struct {
	timeout time.Duration
	expired func()

	mu        sync.Mutex
	timer     *time.Timer
	deadline  time.Time
	waiting   bool
	uploading bool
}

// wait starts the time anew.
func (d *watchdog) wait() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting = true
	d.resetLocked()
}

// stop ends the wait.
func (d *watchdog) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting = false
	d.resetLocked()
}

// upload suspends the watchdog while the request body is read.
func (d *watchdog) upload(reading bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.uploading = reading
	d.resetLocked()
}

func (d *watchdog) resetLocked() {
	switch {
	case !d.waiting || d.uploading:
		if d.timer != nil {
			d.timer.Stop()
		}
	case d.timer == nil:
		d.deadline = time.Now().Add(d.timeout)
		d.timer = time.AfterFunc(d.timeout, d.fire)
	default:
		d.deadline = time.Now().Add(d.timeout)
		d.timer.Reset(d.timeout)
	}
}

// fire expires, unless the wait ended or began anew while the timer fired.
func (d *watchdog) fire() {
	d.mu.Lock()
	due := d.waiting && !d.uploading && !time.Now().Before(d.deadline)
	d.mu.Unlock()
	if due {
		d.expired()
	}
}

// uploadBody keeps a slow sender of the request body from counting as silence
// of the upstream.
type uploadBody struct {
	io.ReadCloser
	dog *watchdog
}

func (b *uploadBody) Read(p []byte) (int, error) {
	b.dog.upload(true)
	defer b.dog.upload(false)
	return b.ReadCloser.Read(p)
}

// answerBody is a response body under the watchdog, which runs only while Read
// waits for the upstream: a slow reader is not a silent upstream.
type answerBody struct {
	body      io.ReadCloser
	x         *exchange
	truncated error // what an end before the body's length means
}

func (b *answerBody) Read(p []byte) (int, error) {
	b.x.dog.wait()
	n, err := b.body.Read(p)
	b.x.dog.stop()
	switch {
	case err == nil || err == io.EOF:
		return n, err
	case errors.Is(err, io.ErrUnexpectedEOF) && b.x.ctx.Err() == nil:
		return n, fmt.Errorf("%w: %w", b.truncated, err)
	default:
		return n, b.x.classify(err)
	}
}

// Close ends the exchange; an answer that has not ended is broken off.
func (b *answerBody) Close() error {
	b.x.dog.stop()
	b.x.cancel(errClosed)
	return b.body.Close()
}

// statusError reads the body of an error answer and closes it.
func statusError(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }() // the answer has been read as far as it is used
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	return &StatusError{Status: resp.StatusCode, Body: body}
}
