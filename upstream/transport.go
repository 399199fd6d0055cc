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

// Default timeouts of the clients.
const (
	DefaultProgressTimeout = 5 * time.Second
	DefaultDialTimeout     = time.Second
)

// Size limits of responses.
const (
	maxErrorBodyBytes = 64 << 10 // body kept in a StatusError
	maxHeaderBytes    = 256 << 10
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// writeTrackingConn records whether anything was written to the connection, and
// calls the write guard of its request before the first write.
type writeTrackingConn struct {
	net.Conn
	guard func() error
	wrote atomic.Bool
}

func (c *writeTrackingConn) Write(b []byte) (int, error) {
	if c.guard != nil && !c.wrote.Load() {
		if err := c.guard(); err != nil {
			return 0, err
		}
	}
	c.wrote.Store(true)
	return c.Conn.Write(b)
}

type writeGuardKey struct{}

// withWriteGuard makes the client call guard just before it writes the first byte
// of the request. If guard returns an error, the request is not sent.
func withWriteGuard(ctx context.Context, guard func() error) context.Context {
	return context.WithValue(ctx, writeGuardKey{}, guard)
}

// newTransport returns a transport that opens a new connection for each request.
// Requests therefore do not block each other, net/http never retries a request
// (which it does only on reused connections), and a connection that the upstream
// closed while idle is not mistaken for a crash.
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
			guard, _ := ctx.Value(writeGuardKey{}).(func() error)
			return &writeTrackingConn{Conn: ReportResets(conn), guard: guard}, nil
		},
	}
}

// errClosed means that the response body was closed by its reader.
var errClosed = errors.New("response body is closed")

// exchange is one request and its response. Its watchdog cancels it if the
// upstream makes no progress for the progress timeout while the client waits for it.
type exchange struct {
	callerCtx context.Context
	ctx       context.Context
	cancel    context.CancelCauseFunc
	watchdog  *watchdog
	conn      atomic.Pointer[writeTrackingConn]
}

func newExchange(callerCtx context.Context, timeout time.Duration) *exchange {
	x := &exchange{callerCtx: callerCtx}
	ctx, cancel := context.WithCancelCause(callerCtx)
	x.cancel = cancel
	x.watchdog = &watchdog{timeout: timeout, onExpire: func() { cancel(ErrProgressTimeout) }}
	x.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*writeTrackingConn); ok {
			x.conn.Store(conn)
		}
	}})
	return x
}

// do sends the request and waits for the response header. If it returns an error,
// the exchange has ended.
func (x *exchange) do(transport *http.Transport, req *http.Request) (*http.Response, error) {
	if req.Body != nil {
		req.Body = &uploadBody{ReadCloser: req.Body, watchdog: x.watchdog}
	}
	req.GetBody = nil // keeps net/http from resending a body that may have been sent
	x.watchdog.start()
	resp, err := transport.RoundTrip(req)
	x.watchdog.stop()
	if err != nil {
		err = x.classify(err)
		x.cancel(err)
		return nil, err
	}
	return resp, nil
}

// classify maps a connection error to an error of this package or to the cause of
// the caller's cancellation.
func (x *exchange) classify(err error) error {
	conn := x.conn.Load()
	cause := context.Cause(x.ctx)
	switch {
	case conn == nil || !conn.wrote.Load():
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	case x.callerCtx.Err() != nil:
		return context.Cause(x.callerCtx)
	case errors.Is(cause, ErrProgressTimeout):
		return fmt.Errorf("%w within %s", ErrProgressTimeout, x.watchdog.timeout)
	case errors.Is(cause, errClosed):
		return errClosed
	default:
		return fmt.Errorf("%w: %w", ErrCrashed, err)
	}
}

// watchdog expires when the client has waited for the upstream for longer than the
// timeout. It is suspended while the client itself waits for more of a request body.
type watchdog struct {
	timeout  time.Duration
	onExpire func()

	mu        sync.Mutex
	timer     *time.Timer
	deadline  time.Time
	waiting   bool
	uploading bool
}

// start starts a wait, or restarts the timeout of the current one.
func (d *watchdog) start() {
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

// setUploading suspends the watchdog while the request body is being read.
func (d *watchdog) setUploading(reading bool) {
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
		d.timer = time.AfterFunc(d.timeout, d.onTimer)
	default:
		d.deadline = time.Now().Add(d.timeout)
		d.timer.Reset(d.timeout)
	}
}

// onTimer expires the watchdog, unless the wait ended or was restarted while the
// timer fired.
func (d *watchdog) onTimer() {
	d.mu.Lock()
	due := d.waiting && !d.uploading && !time.Now().Before(d.deadline)
	d.mu.Unlock()
	if due {
		d.onExpire()
	}
}

// uploadBody suspends the watchdog during reads of the request body, so that a
// slow sender does not count as an unresponsive upstream.
type uploadBody struct {
	io.ReadCloser
	watchdog *watchdog
}

func (b *uploadBody) Read(p []byte) (int, error) {
	b.watchdog.setUploading(true)
	defer b.watchdog.setUploading(false)
	return b.ReadCloser.Read(p)
}

// responseBody is a response body with a watchdog that runs only during Read, so
// that a slow reader does not count as an unresponsive upstream.
type responseBody struct {
	body          io.ReadCloser
	exchange      *exchange
	truncationErr error // error for a body that ends before its declared length
	manual        bool  // the reader of the body starts and stops the watchdog
	mustBegin     bool  // a body that ends before its first byte is truncated
}

func (b *responseBody) Read(p []byte) (int, error) {
	if !b.manual {
		b.exchange.watchdog.start()
		defer b.exchange.watchdog.stop()
	}
	n, err := b.body.Read(p)
	if n > 0 {
		b.mustBegin = false
	}
	switch {
	case err == io.EOF && b.mustBegin:
		return 0, fmt.Errorf("%w: the response ended after its header", b.truncationErr)
	case err == nil || err == io.EOF:
		return n, err
	case errors.Is(err, io.ErrUnexpectedEOF) && b.exchange.ctx.Err() == nil:
		return n, fmt.Errorf("%w: %w", b.truncationErr, err)
	default:
		return n, b.exchange.classify(err)
	}
}

// Close ends the exchange and aborts a response that has not ended.
func (b *responseBody) Close() error {
	b.exchange.watchdog.stop()
	b.exchange.cancel(errClosed)
	return b.body.Close()
}

// statusError returns a StatusError for an error response and closes its body.
func statusError(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }() // as much of the body as is kept has been read
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	return &StatusError{Status: resp.StatusCode, Body: body}
}
