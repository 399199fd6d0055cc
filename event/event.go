// Package event splits a stream of server-sent events into complete events and
// preserves their bytes.
package event

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"
)

// MaxBytes limits the size of one event. The largest events carry a few kilobytes.
const MaxBytes = 1 << 20

// ErrTooLong is returned for an event over MaxBytes.
var ErrTooLong = errors.New("event exceeds the maximum size")

// Event is one event, including the blank line that terminates it.
type Event struct {
	Raw  []byte
	ID   string // empty if the event has none
	Data []byte // data lines joined by line feeds; nil if the event has none
}

// Reader reads events from a stream.
type Reader struct {
	lines       *bufio.Reader
	idleTimeout time.Duration
	timer       *time.Timer // closes the body when it expires; nil without an idle timeout
}

// readBufferSize holds several events of a few hundred bytes.
const readBufferSize = 4 << 10

// NewReader returns a Reader for the body of a stream.
func NewReader(body io.Reader) *Reader {
	return &Reader{lines: bufio.NewReaderSize(body, readBufferSize)}
}

// NewIdleTimeoutReader returns a Reader that closes the body if no complete event
// arrives within idleTimeout. Call Stop to disable the timeout.
func NewIdleTimeoutReader(body io.ReadCloser, idleTimeout time.Duration) *Reader {
	r := NewReader(body)
	r.idleTimeout = idleTimeout
	r.timer = time.AfterFunc(idleTimeout, func() { _ = body.Close() }) // makes the pending read fail
	return r
}

// Stop disables the idle timeout.
func (r *Reader) Stop() {
	if r.timer != nil {
		r.timer.Stop()
	}
}

// Next returns the next complete event. At the end of the stream it returns
// io.EOF, with any bytes after the last complete event in Raw. On any other
// error, a partial event is discarded.
func (r *Reader) Next() (Event, error) {
	e, err := r.readEvent()
	if err == nil && r.timer != nil {
		r.timer.Reset(r.idleTimeout)
	}
	return e, err
}

func (r *Reader) readEvent() (Event, error) {
	var e Event
	for {
		line, err := r.lines.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		if len(e.Raw) > MaxBytes {
			return Event{}, ErrTooLong
		}
		if err == bufio.ErrBufferFull {
			line = bytes.Clone(line) // the next read overwrites the buffer
			var rest []byte
			rest, err = r.lines.ReadBytes('\n')
			e.Raw = append(e.Raw, rest...)
			line = append(line, rest...)
		}
		if err != nil {
			if err == io.EOF {
				return e, io.EOF
			}
			return Event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if len(bytes.TrimSpace(e.Raw)) == 0 {
				continue // extra blank lines between events are part of the next event
			}
			return e, nil
		}
		e.parseField(line)
	}
}

func (e *Event) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.ID = string(value)
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
	}
}
