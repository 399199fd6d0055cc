package daemon

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// gracefulConn is a connection of a gracefulServer. http.Server counts it as idle until it
// has parsed the head of a request, and closes idle connections when it stops. Such a close
// ends the reading instead, so that no request is lost that has been read.
type gracefulConn struct {
	*net.TCPConn
	server *gracefulServer

	mu           sync.Mutex
	readDeadline time.Time
	active       bool // a request is in progress, as http.Server sees it
	reading      bool
	unparsed     bool // the last read got bytes, which http.Server may not have parsed
	ending       bool // no more is read unless there is a request
}

// gracefulConnOf returns the connection below what listeners have wrapped around it; nil if
// there is none.
func gracefulConnOf(conn net.Conn) *gracefulConn {
	for {
		if c, ok := conn.(*gracefulConn); ok {
			return c
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
}

// Read implements net.Conn.
func (c *gracefulConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.ending {
		c.mu.Unlock()
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	}
	c.reading, c.unparsed = true, false
	c.mu.Unlock()
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	c.reading, c.unparsed = false, n > 0
	c.mu.Unlock()
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *gracefulConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.ending {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn. The first call on a connection that may have a request only
// ends the reading; track closes it, or the server when it has answered.
func (c *gracefulConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.server.stopping.Load() || c.active || c.ending || !c.reading && !c.unparsed {
		return c.TCPConn.Close()
	}
	c.ending = true
	c.server.ending.Add(1)
	return c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// track follows the state of the connection.
func (c *gracefulConn) track(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = state == http.StateActive
	if c.ending && (state == http.StateActive || state == http.StateClosed) {
		c.ending = false
		_ = c.TCPConn.SetReadDeadline(c.readDeadline) // fails only on a closed connection
		c.server.ending.Add(-1)
	}
	if state == http.StateClosed {
		_ = c.TCPConn.Close() // usually closed before
	}
}
