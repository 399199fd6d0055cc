// Package event splits a stream of server-sent events into complete events and
// preserves their bytes.
package event

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/magnoliausher/magnoliausher/memory"
)

// MaxBytes limits the size of one event. The largest events carry a few kilobytes,
// and 200 events of this size fit the memory of the smallest instances.
const MaxBytes = 256 << 10

// Errors of a stream whose bytes are not usable.
var (
	// ErrTooLong is returned for an event over MaxBytes.
	ErrTooLong = errors.New("event exceeds the maximum size")
	// ErrIdle is returned when no event arrived within the idle timeout.
	ErrIdle = errors.New("no event within the idle timeout")
)

// Event is one event, including the blank line that terminates it.
type Event struct {
	Raw []byte
	ID  string // empty if the event has none

	data      []byte // values of the data lines, joined by line feeds
	dataLines int
}

// Data returns the values of the event's data lines, joined by line feeds, and whether
// it has any such line. The data of an event with one empty data line is empty.
func (e *Event) Data() (data []byte, ok bool) { return e.data, e.dataLines > 0 }

// Empty reports whether the event has neither an ID nor a data line, like a comment
// that a server sends to keep a connection open. Such an event is no progress.
func (e *Event) Empty() bool { return e.ID == "" && e.dataLines == 0 }

// Follows reports whether an event with the given ID may come after the one with
// lastID. IDs of a stream are increasing numbers; an ID that is not a number, or is
// missing, is accepted.
func Follows(lastID, id string) bool {
	last, err := strconv.ParseUint(lastID, 10, 64)
	if err != nil {
		return true
	}
	next, err := strconv.ParseUint(id, 10, 64)
	return err != nil || next > last
}

// Reader reads events from a stream.
type Reader struct {
	lines       *bufio.Reader
	idleTimeout time.Duration
	timer       *time.Timer   // closes the body when it expires; nil without an idle timeout
	expired     atomic.Bool   // the timer has closed the body
	share       *memory.Share // for the event being read; nil if it is not accounted
}

// readBufferSize holds several events of a few hundred bytes.
const readBufferSize = 4 << 10

// NewReader returns a Reader for the body of a stream.
func NewReader(body io.Reader) *Reader {
	return &Reader{lines: bufio.NewReaderSize(body, readBufferSize)}
}

// NewIdleTimeoutReader returns a Reader that closes the body and returns ErrIdle if
// no complete event arrives within idleTimeout. Empty events and single bytes do not
// restart the timeout. Call Stop to disable it.
func NewIdleTimeoutReader(body io.ReadCloser, idleTimeout time.Duration) *Reader {
	r := NewReader(body)
	r.idleTimeout = idleTimeout
	r.timer = time.AfterFunc(idleTimeout, func() {
		r.expired.Store(true)
		_ = body.Close() // makes the pending read fail
	})
	return r
}

// Account makes the reader take the memory of an event from a share of a budget, which
// Stop releases. Next returns memory.ErrExhausted if there is none.
func (r *Reader) Account(share *memory.Share) { r.share = share }

// Stop disables the idle timeout and releases the memory.
func (r *Reader) Stop() {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.share.Release()
}

// Next returns the next complete event. At the end of the stream it returns
// io.EOF, with any bytes after the last complete event in Raw. On any other
// error, a partial event is discarded.
func (r *Reader) Next() (Event, error) {
	e, err := r.readEvent()
	switch {
	case r.timer == nil:
	case err == nil && !e.Empty():
		r.timer.Reset(r.idleTimeout)
	case err != nil && err != io.EOF && r.expired.Load():
		err = ErrIdle
	}
	return e, err
}

func (r *Reader) readEvent() (Event, error) {
	var e Event
	blank := true // only blank lines so far, which are part of the next event
	for {
		start := len(e.Raw)
		err := bufio.ErrBufferFull
		for err == bufio.ErrBufferFull {
			var part []byte
			part, err = r.lines.ReadSlice('\n')
			e.Raw = append(e.Raw, part...)
			if len(e.Raw) > MaxBytes {
				return Event{}, ErrTooLong
			}
			if err := r.share.Resize(2 * len(e.Raw)); err != nil { // the bytes and the data in them
				return Event{}, err
			}
		}
		if err != nil {
			if err == io.EOF {
				return e, io.EOF
			}
			return Event{}, err
		}
		line := trimLineEnd(e.Raw[start:])
		if len(line) == 0 {
			if blank {
				continue
			}
			return e, nil
		}
		blank = false
		e.parseField(line)
	}
}

// trimLineEnd removes one LF or CRLF.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

func (e *Event) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.ID = string(value)
	case "data":
		if e.dataLines > 0 {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
		e.dataLines++
	}
}
