package daemon

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// backlogTimeout is how long a listener that stops goes on accepting. Accepting what
// is in the backlog takes far less.
const backlogTimeout = 20 * time.Millisecond

// drainingListener accepts what is in its backlog before it is closed. The kernel
// resets the connections that wait there when a listening socket is closed, and their
// callers' requests with them.
type drainingListener struct {
	net.Listener
	closeOnce sync.Once
	drained   chan struct{} // closed at the end of backlogTimeout
	closed    chan struct{}
}

func newDrainingListener(l net.Listener) *drainingListener {
	return &drainingListener{Listener: l, drained: make(chan struct{}), closed: make(chan struct{})}
}

// finish accepts for backlogTimeout more and then no longer. Close should follow at
// once, since connections that arrive in between are reset.
func (l *drainingListener) finish() error {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return trace.BadParameter("a listener of type %T has no deadline", l.Listener)
	}
	if err := tcp.SetDeadline(time.Now().Add(backlogTimeout)); err != nil {
		return trace.Wrap(err)
	}
	select {
	case <-l.drained:
	case <-l.closed:
	}
	return nil
}

// Accept implements net.Listener. After finish it blocks until Close instead of
// returning a timeout, since a server that is not shutting down would retry.
func (l *drainingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	close(l.drained)
	<-l.closed
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *drainingListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
