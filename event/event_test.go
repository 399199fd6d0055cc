package event

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against events that are split, merged or altered, however the network
// fragments the stream.
func TestReader(t *testing.T) {
	long := strings.Repeat("x", 3*readBufferSize)
	text := "id: 1\ndata: a\ndata: b\n\n" + "weight-versions: 3\nid:2\ndata:c\n\n" + "id: 3\r\ndata: " + long + "\r\n\r\n" + ": tail"
	for name, body := range map[string]io.Reader{
		"whole": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text))} {
		r := NewReader(body)
		var raw strings.Builder
		want := []struct{ id, data string }{{"1", "a\nb"}, {"2", "c"}, {"3", long}}
		for i, w := range want {
			e, err := r.Next()
			if err != nil || e.ID != w.id || string(e.Data) != w.data {
				t.Fatalf("%s: event %d: id %q, %d bytes of data, %v", name, i, e.ID, len(e.Data), err)
			}
			raw.Write(e.Raw)
		}
		e, err := r.Next()
		if err != io.EOF || string(e.Raw) != ": tail" {
			t.Fatalf("%s: end: %q, %v", name, e.Raw, err)
		}
		if raw.String()+string(e.Raw) != text {
			t.Errorf("%s: the bytes changed", name)
		}
	}
}

// Guards against a partial event that is returned when the stream fails.
func TestReaderDropsHalfAnEvent(t *testing.T) {
	errReset := errors.New("reset")
	r := NewReader(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), iotest.ErrReader(errReset)))
	if _, err := r.Next(); err != nil {
		t.Fatal(err)
	}
	if e, err := r.Next(); !errors.Is(err, errReset) || len(e.Raw) != 0 {
		t.Errorf("got %q, %v", e.Raw, err)
	}
}

// Guards against unbounded memory use by an event that never ends.
func TestReaderBoundsEvents(t *testing.T) {
	r := NewReader(io.LimitReader(endlessReader{}, 4*MaxBytes))
	if _, err := r.Next(); !errors.Is(err, ErrTooLong) {
		t.Errorf("got %v", err)
	}
}

// endlessReader yields an event that never ends, with a line feed about every 1000
// bytes.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
		if i%1000 == 999 {
			p[i] = '\n'
		}
	}
	return len(p), nil
}
