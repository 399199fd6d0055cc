package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/pause"
)

// backlogTimeout is how long a listener that stops waits for one more connection.
// Accepting one that is in the backlog takes far less.
const backlogTimeout = 50 * time.Millisecond

// backlogLimit is how long a listener that stops waits for connections, however often
// they come. Load balancers have left by then. After it only those are accepted that are
// in the backlog: the next one within backlogGap.
const (
	backlogLimit = 500 * time.Millisecond
	backlogGap   = 5 * time.Millisecond
)

// newConnectionTimeout is how long a connection without a request is waited for at
// shutdown. Callers send at once; some connections are never used.
const newConnectionTimeout = time.Second

// quiescencePollInterval is how often a server that stops looks for requests.
const quiescencePollInterval = 5 * time.Millisecond

// gracefulServer is an http.Server that answers each request on a connection that it
// accepted. http.Server.Shutdown alone does not: it closes a connection whose request
// it reads after the call began, or has read without parsing it, and the kernel resets those
// that wait to be accepted.
type gracefulServer struct {
	*http.Server
	mu          sync.Mutex
	listener    *drainingListener
	connections map[net.Conn]connectionState // not idle
	stopping    atomic.Bool
	ending      atomic.Int64 // connections that may have a request and are not read any more
}

type connectionState struct {
	http.ConnState
	since time.Time
}

func newGracefulServer(server *http.Server) *gracefulServer {
	g := &gracefulServer{Server: server, connections: make(map[net.Conn]connectionState)}
	server.ConnState = g.track
	return g
}

// track implements the ConnState hook of http.Server.
func (g *gracefulServer) track(conn net.Conn, state http.ConnState) {
	if c := gracefulConnOf(conn); c != nil {
		defer c.track(state) // after an active one has been recorded
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		g.connections[conn] = connectionState{state, time.Now()}
	} else {
		delete(g.connections, conn)
	}
}

// listen returns the listener to serve on.
func (g *gracefulServer) listen(l net.Listener) net.Listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listener = &drainingListener{Listener: l, server: g, drained: make(chan struct{}), closed: make(chan struct{})}
	return g.listener
}

// quiescent reports whether no request is in progress or about to arrive.
func (g *gracefulServer) quiescent(now time.Time) bool {
	if g.ending.Load() > 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.connections {
		if c.ConnState == http.StateActive || now.Sub(c.since) < newConnectionTimeout {
			return false
		}
	}
	return true
}

// stop accepts what waits to be accepted, closes idle connections, and ends when all
// requests are answered or ctx ends.
func (g *gracefulServer) stop(ctx context.Context) error {
	g.mu.Lock()
	listener := g.listener
	g.mu.Unlock()
	if listener != nil {
		if err := listener.finish(); err != nil {
			return trace.Wrap(err)
		}
	}
	g.stopping.Store(true)
	g.SetKeepAlivesEnabled(false)
	g.awaitQuiescence(ctx)
	err := g.Shutdown(ctx)
	g.awaitQuiescence(ctx) // it does not wait for connections that it has closed
	return trace.Wrap(err)
}

func (g *gracefulServer) awaitQuiescence(ctx context.Context) {
	for !g.quiescent(time.Now()) && pause.For(ctx, quiescencePollInterval) {
	}
}

// drainingListener accepts what is in its backlog before it is closed.
type drainingListener struct {
	net.Listener
	server    *gracefulServer
	until     atomic.Pointer[time.Time] // of accepting; nil before finish
	closeOnce sync.Once
	drained   chan struct{} // closed when the backlog is empty
	closed    chan struct{}
}

// finish accepts until no connection has arrived for backlogTimeout, or after backlogLimit
// for backlogGap, then closes the socket. A server goes on to wait in Accept until Close.
func (l *drainingListener) finish() error {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return trace.BadParameter("a listener of type %T has no deadline", l.Listener)
	}
	until := time.Now().Add(backlogLimit)
	l.until.Store(&until)
	if err := tcp.SetDeadline(time.Now()); err != nil { // wakes Accept
		return trace.Wrap(err)
	}
	select {
	case <-l.drained:
	case <-l.closed:
	}
	return trace.Wrap(tcp.Close())
}

// Accept implements net.Listener.
func (l *drainingListener) Accept() (net.Conn, error) {
	conn, err := l.accept()
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &gracefulConn{TCPConn: tcp, server: l.server}, err
	}
	return conn, err
}

func (l *drainingListener) accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	// An expired deadline keeps Accept from looking at the backlog. The deadline is
	// set anew for each connection, however long the process was not scheduled.
	now, wait := time.Now(), backlogTimeout
	if until := l.until.Load(); until != nil && now.After(*until) {
		wait = backlogGap
	}
	if tcp, ok := l.Listener.(*net.TCPListener); ok && tcp.SetDeadline(now.Add(wait)) == nil {
		conn, err = l.Listener.Accept()
		if expired := tcp.SetDeadline(time.Now()); err == nil && expired == nil {
			return conn, nil
		}
	}
	close(l.drained)
	<-l.closed
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *drainingListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	err := l.Listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil // closed by finish
	}
	return err
}
