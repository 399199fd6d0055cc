package network

import (
	"context"
	"errors"
	"net"
	"sync"
)

// Pipe connects clients to one server through in-memory connections, so that they
// can run in a synctest bubble.
type Pipe struct {
	mu       sync.Mutex
	listener *pipeListener
}

var errRefused = errors.New("connection refused")

// Dial connects to the current listener.
func (n *Pipe) Dial(context.Context, string, string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listener
	n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	local, remote := net.Pipe()
	select {
	case l.conns <- remote:
		return local, nil
	case <-l.closed:
		return nil, errRefused
	}
}

// Listen creates a listener, which replaces the current one.
func (n *Pipe) Listen(context.Context) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener = &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	return n.listener, nil
}

type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
