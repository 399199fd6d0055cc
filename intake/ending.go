package intake

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// end ends a connection that the table has dropped. One that waits for a head, or for the
// rest of one, is not closed but interrupted: a read that ends with a time-out has taken
// nothing, so that no request is lost that the server has read. The server closes the
// connection then.
func (c *connection) end() {
	c.owner.mu.Lock()
	interrupt := c.entry.leaving && (c.entry.phase.awaitsRequest() || c.entry.phase == phaseHead) && !c.owner.calls
	if interrupt {
		c.interrupt()
	}
	resumed := !c.entry.closed
	c.owner.mu.Unlock()
	if !interrupt && !resumed {
		_ = c.Conn.Close() // the server closes it, too
	}
}

// interrupt makes reads fail that find nothing.
func (c *connection) interrupt() {
	c.deadline.Lock()
	defer c.deadline.Unlock()
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// resume undoes interrupt.
func (c *connection) resume() {
	c.deadline.Lock()
	defer c.deadline.Unlock()
	if c.interrupted {
		c.interrupted = false
		_ = c.Conn.SetReadDeadline(c.readDeadline) // fails only on a closed connection
	}
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.deadline.Lock()
	defer c.deadline.Unlock()
	c.readDeadline = t
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// readArrived reads what had arrived before reads were interrupted: a deadline that has
// passed keeps Read from looking at the socket. It returns err if that is nothing.
func (c *connection) readArrived(p []byte, err error) (int, error) {
	c.deadline.Lock()
	defer c.deadline.Unlock()
	if !c.interrupted || !hasArrived(c.Conn) {
		return 0, err
	}
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	n, err := c.Conn.Read(p)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // as above
	return n, err
}

// hasArrived reports whether a read would find bytes, as far as that is known.
func hasArrived(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	return err == nil && unread(raw) > 0
}

// droppedAnswer is the answer to a request that was read after its connection was dropped.
const droppedAnswer = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\n" +
	"Retry-After: 1\r\nConnection: close\r\n\r\nService Unavailable\n"

// refuseDropped answers a request of a connection that was dropped, before its head is
// parsed. It returns the error with which the server ends the connection.
func (c *connection) refuseDropped() error {
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime))      // fails only on a closed connection
	_, _ = io.WriteString(c.Conn, droppedAnswer)            // the client may be gone
	_ = c.CloseWrite()                                      // as above
	if c.headBytes <= freeHeadBytes && hasArrived(c.Conn) { // longer heads must free their memory at once
		time.Sleep(lingerTime) // so that a reset does not overtake the answer
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: errDropped}
}

var errDropped = errors.New("the connection gave way to others")
