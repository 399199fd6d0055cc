package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes bounds one line and one event of a stream.
const maxEventBytes = 1 << 20

// ErrEventTooLong: a line or an event of the stream exceeds 1 MiB.
var ErrEventTooLong = errors.New("event of the stream is too long")

// eventReader reads the data of server-sent events. Comments and other fields
// are skipped. Lines end with LF or CRLF.
type eventReader struct {
	lines *bufio.Reader
	data  []byte
}

const lineBuffer = 4 << 10

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, lineBuffer)}
}

// next returns the data of the next event, valid until the following call, or
// io.EOF. An event without its final empty line is dropped, as it may be cut off.
func (r *eventReader) next() ([]byte, error) {
	r.data = r.data[:0]
	found := false
	for {
		line, err := r.line()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if found {
				return r.data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if found {
			r.data = append(r.data, '\n')
		}
		found = true
		r.data = append(r.data, bytes.TrimPrefix(value, []byte(" "))...)
		if len(r.data) > maxEventBytes {
			return nil, fmt.Errorf("%w: more than %d bytes", ErrEventTooLong, maxEventBytes)
		}
	}
}

// line returns a line without its end, valid until the following call.
func (r *eventReader) line() ([]byte, error) {
	line, err := r.lines.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = r.longLine(line)
	}
	if err != nil {
		return nil, err // a last line without its end is dropped
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

// longLine reads the rest of a line that exceeds the buffer.
func (r *eventReader) longLine(start []byte) ([]byte, error) {
	line := append([]byte(nil), start...)
	for {
		part, err := r.lines.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxEventBytes {
			return nil, fmt.Errorf("%w: more than %d bytes", ErrEventTooLong, maxEventBytes)
		}
		if err != bufio.ErrBufferFull {
			return line, err
		}
	}
}
