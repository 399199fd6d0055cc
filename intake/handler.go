package intake

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"
)

// Handler returns a handler whose requests have bodies of up to limit bytes, for next,
// which reads bodies whole. Each byte counts as often as copies says, until the request has
// been answered. Refusals are logged to log, one in each logInterval.
func (b *Budget) Handler(next http.Handler, copies int, limit int64, log zerolog.Logger) http.Handler {
	if b == nil {
		return next
	}
	log = log.Sample(&zerolog.BurstSampler{Burst: 1, Period: logInterval})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > limit {
			logRefusal(log, r, r.ContentLength, ErrTooLarge)
			Close(w, r)
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		body := &countedBody{ReadCloser: r.Body, budget: b, writer: w, request: r, copies: int64(copies), limit: limit, log: log}
		defer func() { body.share.Release() }()
		// The server looks at the original request when the handler returns.
		counted := *r
		counted.Body = body
		next.ServeHTTP(w, &counted)
		if body.received > 0 && !body.ended {
			interruptRead(w) // the server would wait for the rest
		}
	})
}

func logRefusal(log zerolog.Logger, r *http.Request, bytes int64, reason error) {
	log.Warn().Str("method", r.Method).Str("path", r.URL.Path).Str("remote", r.RemoteAddr).Int64("bytes", bytes).AnErr("reason", reason).
		Msg("refused a request body to stay within limits")
}

// countedBody takes a share of a budget for the bytes that are read.
type countedBody struct {
	io.ReadCloser
	budget   *Budget
	writer   http.ResponseWriter
	request  *http.Request
	copies   int64
	limit    int64
	received int64
	share    *Share
	ended    bool
	log      zerolog.Logger
	logged   bool
}

// Read implements io.Reader.
func (c *countedBody) Read(p []byte) (int, error) {
	if c.received == 0 {
		connOf(c.request).beginBody() // the read fails if the connection was closed
	}
	n, err := c.ReadCloser.Read(p)
	c.received += int64(n)
	limitErr := c.account(n)
	switch {
	case limitErr != nil:
		c.refuse(limitErr)
		return 0, limitErr
	case errors.Is(err, io.EOF):
		if !c.ended && !c.complete() {
			c.refuse(ErrDropped)
			return 0, ErrDropped
		}
		c.ended = true
	case err != nil && c.isDropped():
		c.refuse(ErrDropped)
	case err != nil:
		Close(c.writer, c.request)
	}
	return n, err
}

// refuse closes the connection after the answer.
func (c *countedBody) refuse(reason error) {
	if !c.logged { // a body may be read again after an error
		c.logged = true
		logRefusal(c.log, c.request, c.received, reason)
	}
	Close(c.writer, c.request)
}

func (c *countedBody) isDropped() bool {
	if c.share == nil {
		return connOf(c.request).isDropped()
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.share.body.dropped || connOf(c.request).isDropped()
}

// account takes the share for n more bytes.
func (c *countedBody) account(n int) error {
	if c.received > c.limit {
		return ErrTooLarge
	}
	if c.received <= freeBytes {
		return nil
	}
	now := time.Now()
	if c.share == nil {
		c.share = &Share{budget: c.budget, body: body{reading: true, began: now, last: now, mark: now,
			interrupt: func() { interruptRead(c.writer) }}}
	}
	c.budget.mu.Lock()
	c.share.body.progress(n, now)
	c.budget.mu.Unlock()
	c.share.body.extra = c.received * (c.copies - 1)
	return c.share.Resize(c.received * c.copies)
}

// complete ends the reading. It returns false if the body was dropped.
func (c *countedBody) complete() bool {
	if !connOf(c.request).endBody() {
		return false
	}
	if c.share == nil {
		return true
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.budget.ledger.complete(&c.share.body)
}
