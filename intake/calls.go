package intake

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

const (
	// callBytes is the memory for a call of another instance beside its body: its stream,
	// the goroutine and the buffers of its handler, and a usual head.
	callBytes = 16 << 10
	// maxCallHead is the limit of a call's head, in which HTTP/2 counts 32 bytes for each
	// field beside its text. Heads of instances have less than 1 KB.
	maxCallHead = 8 << 10
	// callWindowPercent is the part of a process's memory for bytes of calls that no handler
	// has read. A connection has at least minCallWindow of it.
	callWindowPercent = 10
	minCallWindow     = 64 << 10
	// envelopeBytes precede each message of a stream: flags and the length.
	envelopeBytes = 5
)

// InstallCalls sets the hooks of an HTTP/2 server for other instances, whose listener Listen
// returns. Connections with a call in progress are never closed for others. The bytes that
// handlers have not read are limited if memoryMB is not 0.
func (c *Connections) InstallCalls(server *http.Server, memoryMB int) {
	c.calls, c.table.freshFirst = true, true
	if c.table.limits == (ConnectionLimits{}) {
		return
	}
	if memoryMB > 0 {
		server.MaxHeaderBytes = maxCallHead
		window := int(min(int64(memoryMB)<<20*callWindowPercent/100/int64(max(c.table.limits.Connections, 1)), math.MaxInt32))
		h := *server.HTTP2
		h.MaxReceiveBufferPerConnection = min(h.MaxReceiveBufferPerConnection, max(window, minCallWindow))
		h.MaxReceiveBufferPerStream = min(h.MaxReceiveBufferPerStream, h.MaxReceiveBufferPerConnection/2) // one unread call does not hold up the others
		server.HTTP2 = &h
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if secure, ok := conn.(*tls.Conn); ok {
			conn = secure.NetConn()
		}
		return context.WithValue(ctx, callConnKey{}, conn)
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(callConnKey{}).(*connection)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		conn.beginCall()
		defer conn.endCall()
		handler.ServeHTTP(w, r)
	})
}

type callConnKey struct{}

func (c *connection) beginCall() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.inProgress++
	c.owner.table.enter(&c.entry, phaseBusy, time.Now())
}

func (c *connection) endCall() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.inProgress--; c.inProgress == 0 {
		c.owner.table.enter(&c.entry, phaseIdle, time.Now())
	}
}

// MaxCalls returns how many calls at once a process serves that may use memoryMB.
func MaxCalls(memoryMB int) int { return memoryMB << 20 * smallPercent / 100 / callBytes }

// CallHandler returns a handler for calls of other instances, for next. Each call takes
// callBytes and what its head takes beyond that, and each byte of its first message as often
// as copies says, until it has been answered; bytes of a later message count until the
// message is whole. Messages that are read and slow are dropped if others need the memory.
// Refusals are logged to log, one in each logInterval.
func (b *Budget) CallHandler(next http.Handler, copies int, limit int64, log zerolog.Logger) http.Handler {
	if b == nil {
		return next
	}
	log = log.Sample(&zerolog.BurstSampler{Burst: 1, Period: logInterval})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		held := max(headBytes(r.Header), callBytes)
		call := &callBody{ReadCloser: r.Body, budget: b, request: r, copies: int64(copies), limit: limit, fixed: held, log: log,
			framed: strings.HasPrefix(r.Header.Get("Content-Type"), "application/connect+") || strings.HasPrefix(r.Header.Get("Content-Type"), "application/grpc")}
		call.share = &Share{budget: b, body: body{reading: r.ContentLength != 0, extra: held, began: now, last: now, mark: now}}
		call.share.body.interrupt = func() { interruptRead(w) }
		defer call.share.Release()
		if err := call.share.Resize(held); err != nil {
			logRefusal(log, r, held, err)
			w.Header().Set("Connection", "close") // ends the connection after its other calls
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		counted := *r
		counted.Body = call
		next.ServeHTTP(w, &counted)
	})
}

// headBytes estimates the memory that the head of a call takes.
func headBytes(header http.Header) int64 {
	n := 0
	for name, values := range header {
		n += fieldBytes + len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}

// callBody counts the messages of a call.
type callBody struct {
	io.ReadCloser
	budget  *Budget
	request *http.Request
	copies  int64
	limit   int64
	fixed   int64 // held until the call has been answered
	framed  bool  // messages are preceded by their lengths; else the body is one message
	share   *Share
	log     zerolog.Logger
	failure error // after which nothing is read

	envelope [envelopeBytes]byte
	prefix   int   // bytes of the envelope
	missing  int64 // bytes of the message
	received int64 // bytes of the message
	later    bool  // the first message is whole
}

// Read implements io.Reader.
func (c *callBody) Read(p []byte) (int, error) {
	if c.failure != nil {
		return 0, c.failure
	}
	n, err := c.ReadCloser.Read(p)
	if limitErr := c.account(p[:n]); limitErr != nil {
		c.failure = limitErr
		logRefusal(c.log, c.request, c.received, limitErr)
		return 0, limitErr
	}
	if err != nil {
		c.setReading(false)
	}
	return n, err
}

// account counts what was read.
func (c *callBody) account(p []byte) error {
	for len(p) > 0 {
		n := len(p)
		if c.framed {
			if c.prefix < envelopeBytes {
				if c.prefix == 0 && c.later {
					c.setReading(true)
				}
				part := copy(c.envelope[c.prefix:], p)
				c.prefix += part
				p = p[part:]
				if c.prefix == envelopeBytes {
					c.missing = int64(binary.BigEndian.Uint32(c.envelope[1:]))
				}
				n = 0
			}
			n = int(min(int64(len(p)), c.missing))
			c.missing -= int64(n)
		}
		p = p[n:]
		if err := c.hold(n); err != nil {
			return err
		}
		if c.framed && c.prefix == envelopeBytes && c.missing == 0 {
			if err := c.endMessage(); err != nil {
				return err
			}
		}
	}
	return nil
}

// hold takes the memory for n more bytes of a message.
func (c *callBody) hold(n int) error {
	c.received += int64(n)
	if c.received > c.limit {
		return ErrTooLarge
	}
	c.budget.mu.Lock()
	c.share.body.progress(n, time.Now())
	c.share.body.extra = c.fixed + c.received*(c.copies-1)
	c.budget.mu.Unlock()
	return c.share.Resize(c.fixed + c.received*c.copies)
}

// endMessage ends a message of a stream.
func (c *callBody) endMessage() error {
	c.setReading(false)
	if !c.later {
		c.later = true
		c.fixed += c.received * c.copies
	}
	c.prefix, c.received = 0, 0
	return c.share.Resize(c.fixed)
}

func (c *callBody) setReading(reading bool) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	b := &c.share.body
	b.reading = reading
	if now := time.Now(); reading {
		b.began, b.received = now, 0
		b.resume(now)
	}
}
