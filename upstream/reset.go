package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// resetConn returns the error of a connection that was reset to its reader too. The
// kernel reports it once: if a pending write gets it, a read returns io.EOF, and a
// response that only the end of the connection ends looks whole.
type resetConn struct {
	net.Conn
	writing  sync.Mutex // held during a write
	writeErr error      // first error of a write
}

// ReportResets returns a connection whose reads return io.EOF only if the other side
// ended it regularly. A pending write ends when the other side has ended its response.
func ReportResets(conn net.Conn) net.Conn { return &resetConn{Conn: conn} }

func (c *resetConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

func (c *resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		if writeErr := c.endWriting(); writeErr != nil {
			err = writeErr
		}
	}
	return n, err
}

// endWriting waits for a pending write and returns the error with which it, or an
// earlier one, ended, unless that comes after a regular end of the other side.
func (c *resetConn) endWriting() error {
	_ = c.SetWriteDeadline(time.Now()) // fails only on a closed connection, on which no write is pending
	c.writing.Lock()
	defer c.writing.Unlock()
	if errors.Is(c.writeErr, syscall.EPIPE) || errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return nil
	}
	return c.writeErr
}
