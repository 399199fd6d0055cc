// Package event splits a server-sent event stream into whole events without
// changing a byte of them.
package event

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"
)

// MaxBytes bounds one event. The largest ones seen carry a few kilobytes.
const MaxBytes = 1 << 20

// ErrTooLong is returned for an event over MaxBytes.
var ErrTooLong = errors.New("event is too long")

// Event is one event with the blank line that ends it.
type Event struct {
	Raw  []byte
	ID   string // empty if the event has none
	Data []byte // data lines, joined by line feeds
}

// Reader reads events.
type Reader struct {
	lines   *bufio.Reader
	silence time.Duration
	timer   *time.Timer // closes the body; nil for no limit
}

// readBuffer holds several events of a few hundred bytes.
const readBuffer = 4 << 10

// NewReader returns a reader of a stream's body.
func NewReader(body io.Reader) *Reader {
	return &Reader{lines: bufio.NewReaderSize(body, readBuffer)}
}

// NewIdleTimeoutReader returns a reader that closes the body if no event comes for the
// time of silence. Stop ends the watch.
func NewIdleTimeoutReader(body io.ReadCloser, silence time.Duration) *Reader {
	r := NewReader(body)
	r.silence = silence
	r.timer = time.AfterFunc(silence, func() { _ = body.Close() }) // the reader finds out
	return r
}

// Stop ends the watch for silence.
func (r *Reader) Stop() {
	if r.timer != nil {
		r.timer.Stop()
	}
}

// Next returns the next whole event. At the end of the stream it returns
// io.EOF with whatever follows the last whole event in Raw. With any other
// error the rest is dropped.
func (r *Reader) Next() (Event, error) {
	e, err := r.next()
	if err == nil && r.timer != nil {
		r.timer.Reset(r.silence)
	}
	return e, err
}

func (r *Reader) next() (Event, error) {
	var e Event
	for {
		line, err := r.lines.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		if len(e.Raw) > MaxBytes {
			return Event{}, ErrTooLong
		}
		if err == bufio.ErrBufferFull {
			line = bytes.Clone(line) // the next read reuses the buffer
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
				continue // blank lines between events belong to the next one
			}
			return e, nil
		}
		e.field(line)
	}
}

func (e *Event) field(line []byte) {
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
