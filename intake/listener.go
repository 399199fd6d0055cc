package intake

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/pause"
)

const (
	// connectionBytes is the memory for a connection: the buffers and the goroutines of
	// net/http, freeHeadBytes and freeBytes.
	connectionBytes = 40 << 10
	// connectionPercent and headPercent are the parts of a process's memory for
	// connections and for long heads.
	connectionPercent = 25
	headPercent       = 6
	// fileDescriptors of a process are kept for files.
	fileDescriptors = 200
	// expiryInterval is how often connections are checked for their time limits.
	expiryInterval = time.Second
	// logInterval is the least time between two log lines about closed connections.
	logInterval = time.Second
)

// ConnectionLimits limit the connections of a listener. A limit of 0 is none.
type ConnectionLimits struct {
	Connections int
	HeadBytes   int64 // memory for long heads of requests
}

// NewConnectionLimits returns the limits of a listener that gets a percentage of the
// descriptors of a process. Its memory is in proportion, and a listener with half of the
// descriptors gets connectionPercent of it for connections. Limits of 0 are none.
func NewConnectionLimits(maxDescriptors, memoryMB, percent int) ConnectionLimits {
	var l ConnectionLimits
	if maxDescriptors > 0 {
		l.Connections = max((maxDescriptors-fileDescriptors)*percent/100, 1)
	}
	if memoryMB > 0 {
		memory := int64(memoryMB) << 20 * int64(percent) / 50
		byMemory := max(int(memory*connectionPercent/100/connectionBytes), 1)
		if l.Connections == 0 || byMemory < l.Connections {
			l.Connections = byMemory
		}
		l.HeadBytes = memory * headPercent / 100
	}
	return l
}

// Connections limits the connections of a server.
type Connections struct {
	name  string // of the listener, in logs and metrics
	log   zerolog.Logger
	mu    sync.Mutex
	table *table
	// responses limit what callers do not take; nil for no limit.
	responses *responses
	// headLimit returns the most bytes of header fields, 0 for none; nil if heads are not limited.
	headLimit func() int
	calls     bool // connections carry calls of other instances, several at once
	// timeLimits returns the limits of Expire; nil before it.
	timeLimits atomic.Pointer[func() (head, idle time.Duration)]

	closed     map[string]int // since the last log line, by reason
	lastLogged time.Time
}

// NewConnections applies limits to the connections of one server.
func NewConnections(name string, limits ConnectionLimits, log zerolog.Logger) *Connections {
	return &Connections{name: name, log: log, table: newTable(limits), closed: make(map[string]int)}
}

// LimitResponses limits what is kept of responses, and how long for. It must be called
// before Listen.
func (c *Connections) LimitResponses(limits ResponseLimits) { c.responses = newResponses(limits) }

// LimitHeads limits the header fields of requests to what limit returns, and the whole head
// to the same or maxHeadBytes, whichever is more. A limit of 0 is none beside maxHeadBytes.
// It must be called before Install, which then raises the server's own limit.
func (c *Connections) LimitHeads(limit func() int) { c.headLimit = limit }

// Reasons for closing connections.
const (
	reasonConnections = "too_many_connections"
	reasonHeads       = "heads_too_large"
	reasonTimeout     = "timeout"
	reasonNotReading  = "not_reading"
)

// Outcomes of requests whose connections were closed by decision of the table.
const (
	outcomeServed  = "served"  // the connection goes on
	outcomeRefused = "refused" // there is no room for the connection
	outcomeAborted = "aborted" // neither answered nor refused
)

// Install sets the hooks of a server whose listener Listen returns. The server's handler
// and ConnState must be set before.
func (c *Connections) Install(server *http.Server) {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	if c.headLimit != nil {
		server.MaxHeaderBytes = serverHeadBytes
	}
	next, handler := server.ConnState, server.Handler
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if conn, ok := conn.(*connection); ok && state == http.StateIdle {
			conn.enter(phaseIdle)
		}
		if next != nil {
			next(conn, state)
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connOf(r)
		if !conn.enter(phaseBusy) {
			c.recordRequest(r, outcomeAborted)
			panic(http.ErrAbortHandler) // the client could not be told what the request did
		}
		conn.bodyUnread.Store(r.ContentLength != 0)
		conn.serve(handler, w, r)
		if conn.bodyUnread.Load() {
			conn.enter(phaseBody) // the server reads some of the rest
		}
	})
}

// Listen returns a listener whose connections are limited.
func (c *Connections) Listen(l net.Listener) net.Listener {
	if c.calls && c.table.limits == (ConnectionLimits{}) {
		return l
	}
	return &listener{l, c}
}

// Expire closes connections that wait for a head or are idle for longer than the limits
// give, until ctx ends.
func (c *Connections) Expire(ctx context.Context, limits func() (head, idle time.Duration)) {
	c.timeLimits.Store(&limits)
	for last := time.Now(); pause.For(ctx, expiryInterval); {
		now := time.Now()
		late := now.Sub(last) >= 2*expiryInterval
		last = now
		if late {
			continue // the process was not scheduled; what has arrived meanwhile is read first
		}
		head, idle := limits()
		c.expire(head, idle, now)
	}
}

// lock locks the table, which gets the time limits in force.
func (c *Connections) lock() {
	limits := c.timeLimits.Load()
	if limits == nil {
		c.mu.Lock()
		return
	}
	head, idle := (*limits)()
	c.mu.Lock()
	c.table.setTimeLimits(head, idle)
}

func (c *Connections) expire(head, idle time.Duration, now time.Time) {
	c.mu.Lock()
	expired := c.table.expire(head, idle, now)
	c.mu.Unlock()
	for _, e := range expired {
		c.close(e, reasonTimeout)
	}
}

// close closes a connection that the table has dropped.
func (c *Connections) close(e *entry, reason string) {
	if e == nil {
		return
	}
	e.close()
	metric.ConnectionClosed(c.name, reason)
	if reason != reasonTimeout { // that is as usual as a close by net/http itself
		c.logClosed(reason)
	}
}

// recordDisconnected records that a connection was closed whose caller does not read.
func (c *Connections) recordDisconnected() {
	metric.ConnectionClosed(c.name, reasonNotReading)
	c.logClosed(reasonNotReading)
}

// recordRequest records what became of a request whose connection was closed.
func (c *Connections) recordRequest(r *http.Request, outcome string) {
	metric.RequestOfClosedConnection(c.name, outcome)
	c.log.Warn().Str("listener", c.name).Str("remote", r.RemoteAddr).Str("target", r.RequestURI).Str("outcome", outcome).
		Msg("read a request of a connection that had been closed to stay within limits")
}

func (c *Connections) logClosed(reason string) {
	if closed, size := c.recordClosed(reason, time.Now()); closed != nil {
		c.log.Warn().Str("listener", c.name).Int("connections", size).Interface("closed", closed).
			Msg("closed connections of clients to stay within limits")
	}
}

// recordClosed counts a closed connection. It returns what to log, nil for nothing: a
// write to the log may block, and must not hold up the other connections.
func (c *Connections) recordClosed(reason string, now time.Time) (closed map[string]int, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed[reason]++
	if now.Sub(c.lastLogged) < logInterval {
		return nil, 0
	}
	c.lastLogged = now
	closed = c.closed
	c.closed = make(map[string]int)
	return closed, c.table.size
}

type listener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: conn, owner: l.connections}
		c.inHead.Store(!l.connections.calls)
		c.entry.close = c.end
		c.limitResponses()
		l.connections.lock()
		victim := l.connections.table.add(&c.entry, time.Now())
		l.connections.mu.Unlock()
		l.connections.close(victim, reasonConnections)
		if victim != &c.entry {
			return c, nil
		}
	}
}

// connection is a connection that a table counts.
type connection struct {
	net.Conn
	owner  *Connections
	entry  entry       // guarded by owner.mu
	inHead atomic.Bool // a head is read or waited for
	inBody atomic.Bool
	// inProgress is the number of calls of other instances; guarded by owner.mu.
	inProgress int
	// bodyUnread means that a request has a body which its handler has not read.
	bodyUnread atomic.Bool
	out        *outbox // nil if responses are not limited
	head       headCounter
	// headBytes is the estimated memory of the head so far. Only the goroutine that reads
	// the head uses it.
	headBytes int64

	deadline     sync.Mutex
	readDeadline time.Time // as set by the server
	interrupted  bool      // reads fail, except for what has arrived of a head
}

// limitResponses makes writes to the connection subject to the limits of its listener.
func (c *connection) limitResponses() {
	if c.owner.responses == nil {
		return
	}
	c.out = &outbox{}
	c.out.init(c.owner.responses, c.Conn, c.disconnect)
}

// disconnect closes a connection that takes nothing of its response.
func (c *connection) disconnect() {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Conn.Close() // the server closes it, too
	c.owner.recordDisconnected()
}

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	if c.out == nil {
		return c.Conn.Write(p)
	}
	return c.out.write(p)
}

// serve handles a request.
func (c *connection) serve(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	if c == nil || c.out == nil {
		handler.ServeHTTP(w, r)
		return
	}
	c.out.begin()
	defer c.out.end()
	handler.ServeHTTP(w, r)
}

type connKey struct{}

// connOf returns the connection of a request; nil if it is not limited.
func connOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connKey{}).(*connection)
	return c
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.inHead.Load() {
		n, err = c.readArrived(p, err)
	}
	switch {
	case n == 0:
	case c.inHead.Load():
		if !c.head.add(p[:n], c.owner.limitOfHeads) {
			return 0, c.refuseHead()
		}
		switch c.readHead(p[:n]) {
		case headRefused:
			metric.RequestOfClosedConnection(c.owner.name, outcomeRefused)
			return 0, c.refuseDropped()
		case headAbandoned:
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: errDropped}
		}
	case c.inBody.Load():
		c.owner.mu.Lock()
		c.entry.received += int64(n)
		c.owner.mu.Unlock()
	}
	return n, err
}

// headOutcome is what becomes of a request after a read of its head.
type headOutcome int

const (
	headAccepted  headOutcome = iota
	headRefused               // the connection was dropped; the request must be answered
	headAbandoned             // the connection was dropped within the head
)

// readHead counts what the head of a request takes: its bytes in a buffer and in strings,
// and its fields. A connection whose head is complete is busy and no longer dropped.
func (c *connection) readHead(p []byte) headOutcome {
	first := c.headBytes == 0
	if end := bytes.Index(p, []byte("\r\n\r\n")); end >= 0 {
		p = p[:end+1] // what follows belongs to a body
	}
	c.headBytes += int64(2*len(p) + fieldBytes*bytes.Count(p, []byte("\n")))
	c.owner.lock()
	resumed := false
	if !c.owner.table.enter(&c.entry, phaseHead, time.Now()) && c.entry.leaving {
		if resumed = c.owner.table.restore(&c.entry, phaseHead, time.Now()); !resumed {
			c.owner.mu.Unlock()
			return c.droppedInHead(first)
		}
		c.resume()
	}
	victim := c.owner.table.holdHead(&c.entry, c.headBytes)
	if c.head.ended {
		c.inHead.Store(false)
		c.owner.table.enter(&c.entry, phaseBusy, time.Now())
	}
	c.owner.mu.Unlock()
	c.owner.close(victim, reasonHeads)
	if victim == &c.entry {
		return c.droppedInHead(false)
	}
	if resumed {
		metric.RequestOfClosedConnection(c.owner.name, outcomeServed)
	}
	return headAccepted
}

// droppedInHead returns what becomes of a request whose connection was dropped. The memory
// of a head that is not complete must be free at once.
func (c *connection) droppedInHead(first bool) headOutcome {
	if first || c.head.ended {
		return headRefused
	}
	return headAbandoned
}

// enter records the phase of the connection. It returns false if the connection was closed
// by decision of the table.
func (c *connection) enter(p phase) bool {
	if c == nil {
		return true
	}
	c.inHead.Store(p == phaseIdle)
	c.inBody.Store(p == phaseBody)
	if p == phaseIdle {
		c.headBytes = 0
		c.head = headCounter{}
	}
	c.owner.lock()
	defer c.owner.mu.Unlock()
	return c.owner.table.enter(&c.entry, p, time.Now())
}

// beginBody and endBody enclose the reading of a body. They return false if the connection
// was closed by decision of the table.
func (c *connection) beginBody() bool { return c.enter(phaseBody) }

func (c *connection) endBody() bool {
	if c == nil {
		return true
	}
	c.bodyUnread.Store(false)
	return c.enter(phaseBusy)
}

// beginClosing records that the connection is closed after an answer.
func (c *connection) beginClosing() {
	if c != nil {
		c.bodyUnread.Store(false)
		c.enter(phaseClosing)
	}
}

func (c *connection) isDropped() bool {
	if c == nil {
		return false
	}
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.entry.closed
}

// CloseWrite lets the server close its side first, so that an answer reaches a client that
// still sends.
func (c *connection) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// NetConn returns the connection below.
func (c *connection) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *connection) Close() error {
	c.owner.mu.Lock()
	c.owner.table.remove(&c.entry)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
