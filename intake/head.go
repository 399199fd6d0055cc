package intake

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"time"
)

const (
	// maxHeadBytes is the most that a head has if its listener limits heads: 64 KiB, and as
	// much as net/http allows beyond a limit.
	maxHeadBytes = 64<<10 + 4<<10
	// serverHeadBytes is the limit of the server, which must not be reached first.
	serverHeadBytes = 2 << 20
	// lingerTime is how long a connection stays open after a refusal of a head, so that a
	// reset does not overtake the answer. net/http waits as long.
	lingerTime = 500 * time.Millisecond
)

var errHeadTooLarge = errors.New("the head of the request exceeds the limit")

// headAnswer is the answer to a head over the limit, as net/http gives it.
const headAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
	"Connection: close\r\n\r\n431 Request Header Fields Too Large"

// headCounter counts the bytes of a head, which may be read in any pieces together with
// what follows it.
type headCounter struct {
	total  int
	fields int  // after the first line
	lines  int  // complete ones
	line   int  // bytes of the last line
	last   byte // of them
	ended  bool
}

// add counts what was read. It reports whether the head is within the limit that limit
// returns for its fields; 0 is none.
func (h *headCounter) add(p []byte, limit func() int) bool {
	if h.ended {
		return true
	}
	if h.total == 0 {
		p = bytes.TrimLeft(p, "\r\n") // net/http skips empty lines before a request
		if len(p) == 0 {
			return true
		}
		// Usual heads are read at once.
		if end := bytes.Index(p, []byte("\n\r\n")); end >= 0 && !bytes.Contains(p[:end+1], []byte("\n\n")) {
			h.total, h.ended = end+3, true
			h.fields = end + 3 - bytes.IndexByte(p, '\n') - 1
			return h.within(limit())
		}
	}
	for _, b := range p {
		h.total++
		if h.lines > 0 {
			h.fields++
		}
		if b != '\n' {
			h.line++
			h.last = b
			continue
		}
		if h.lines > 0 && (h.line == 0 || h.line == 1 && h.last == '\r') {
			h.ended = true
			break
		}
		h.lines++
		h.line = 0
	}
	return h.within(limit())
}

func (h *headCounter) within(limit int) bool {
	return h.total <= max(maxHeadBytes, limit) && (limit == 0 || h.fields <= limit)
}

// limitOfHeads returns the most that a head may have beside maxHeadBytes.
func (c *Connections) limitOfHeads() int {
	if c.headLimit == nil {
		return math.MaxInt // the server has its own limit
	}
	return c.headLimit()
}

// refuseHead answers a head over the limit. It returns the error with which the server ends
// the connection without an answer of its own.
func (c *connection) refuseHead() error {
	c.beginClosing()
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime)) // fails only on a closed connection
	_, _ = io.WriteString(c.Conn, headAnswer)          // the client may be gone
	_ = c.CloseWrite()                                 // as above
	time.Sleep(lingerTime)
	return &net.OpError{Op: "read", Net: "tcp", Err: errHeadTooLarge}
}
