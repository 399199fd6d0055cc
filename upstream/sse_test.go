package upstream

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against events that are split or merged, and against a truncated event that
// is returned as complete.
func TestEventReader(t *testing.T) {
	cases := []struct {
		name, input string
		want        []string
		err         error
	}{
		{"LF and CRLF", "data: a\n\ndata:b\r\n\r\n", []string{"a", "b"}, io.EOF},
		{"several data lines", "data: a\ndata: b\n\n", []string{"a\nb"}, io.EOF},
		{"comments and other fields", ": wait\n\nid: 7\nevent: x\ndata: a\nretry: 1\n\n", []string{"a"}, io.EOF},
		{"empty data", "data:\n\n", []string{""}, io.EOF},
		{"truncated before the empty line", "data: a\n\ndata: b\n", []string{"a"}, io.EOF},
		{"truncated within a line", "data: a\n\ndata: b", []string{"a"}, io.EOF},
		{"line longer than the buffer", "data: " + strings.Repeat("y", 3*lineBufferBytes) + "\n\n", []string{strings.Repeat("y", 3*lineBufferBytes)}, io.EOF},
		{"line too long", "data: " + strings.Repeat("y", maxEventBytes+1) + "\n\n", nil, ErrEventTooLong},
		{"event too long", strings.Repeat("data: "+strings.Repeat("y", lineBufferBytes)+"\n", maxEventBytes/lineBufferBytes+1) + "\n", nil, ErrEventTooLong},
	}
	for _, c := range cases {
		for _, r := range []io.Reader{strings.NewReader(c.input), iotest.OneByteReader(strings.NewReader(c.input))} {
			got, err := readEvents(newEventReader(r))
			if !slices.Equal(got, c.want) || !errors.Is(err, c.err) {
				t.Errorf("%s: got %.60q, %v", c.name, got, err)
			}
		}
	}
}

func readEvents(r *eventReader) ([]string, error) {
	var events []string
	for {
		data, err := r.next()
		if err != nil {
			return events, err
		}
		events = append(events, string(data))
	}
}

// Guards against input that makes the reader panic or exceed its limit, results that
// depend on how the bytes arrive, and streams that count as complete without [DONE].
func FuzzTokenStream(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"text\":\"x\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte(": wait\r\n\r\ndata: {\"usage\":{\"completion_tokens\":3},\"tokens\":2}\r\n\r\n"))
	f.Add([]byte("data: {\"error\":{\"code\":\"cancelled\"}}\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		complete, completeErr := readEvents(newEventReader(bytes.NewReader(input)))
		bytewise, bytewiseErr := readEvents(newEventReader(iotest.OneByteReader(bytes.NewReader(input))))
		if !slices.Equal(complete, bytewise) || !errors.Is(completeErr, bytewiseErr) {
			t.Errorf("all at once %q, %v; byte by byte %q, %v", complete, completeErr, bytewise, bytewiseErr)
		}
		s := newTokenStream(io.NopCloser(bytes.NewReader(input)), 0)
		for {
			d, err := s.Next()
			if err == io.EOF && !slices.Contains(complete, endOfStream) {
				t.Error("stream counts as complete without [DONE]")
			}
			if err != nil {
				return
			}
			if d.Tokens < 1 {
				t.Errorf("delta %+v", d)
			}
		}
	})
}
