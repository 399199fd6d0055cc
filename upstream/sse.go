package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes limits the size of a line and of an event in a stream. 200 of them fit
// the memory of the smallest instances.
const maxEventBytes = 256 << 10

// ErrEventTooLong means that a line or an event of a stream exceeds maxEventBytes.
var ErrEventTooLong = errors.New("stream event too long")

// eventReader reads the data fields of server-sent events. It skips comments and
// other fields. Lines end with LF or CRLF.
type eventReader struct {
	lines *bufio.Reader
	data  []byte
}

const lineBufferBytes = 4 << 10

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, lineBufferBytes)}
}

// next returns the data of the next event, valid until the next call, or io.EOF.
// It drops an event without its terminating empty line, which may be truncated.
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

// line returns a line without its line ending, valid until the next call.
func (r *eventReader) line() ([]byte, error) {
	line, err := r.lines.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = r.longLine(line)
	}
	if err != nil {
		return nil, err // an unterminated last line is dropped
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

// longLine reads the rest of a line that is longer than the buffer.
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
