package intake

import (
	"net"
	"syscall"
	"time"
)

// end ends a connection that the table has dropped. One that is read for a request is not
// closed but interrupted: a read that ends with a time-out has taken nothing, so that no
// request is lost that the server has read. The server closes the connection then.
func (c *connection) end() {
	c.owner.mu.Lock()
	interrupt := c.entry.leaving && c.entry.phase.awaitsRequest() && !c.owner.calls
	if interrupt {
		c.interrupt()
	}
	resumed := !c.entry.closed
	c.owner.mu.Unlock()
	if !interrupt && !resumed {
		_ = c.Conn.Close() // the server closes it, too
	}
}

// answerable reports whether a request can be refused whose connection was dropped.
func (c *connection) answerable() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.entry.leaving && c.entry.phase != phaseFresh && c.entry.phase.awaitsRequest()
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
