package event

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
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
			data, ok := e.Data()
			if err != nil || e.ID != w.id || !ok || string(data) != w.data {
				t.Fatalf("%s: event %d: id %q, %d bytes of data, %v", name, i, e.ID, len(data), err)
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

// Guards against line feeds of an event's text that are lost, at its beginning, at its end
// or where it has no other text, and against a text that is taken for no data.
func TestDataKeepsLineFeeds(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("the data is the text that was written", prop.ForAll(func(texts []string, lineEnd string) bool {
		var stream strings.Builder
		for i, text := range texts {
			fmt.Fprintf(&stream, "id: %d%sdata: %s%s%s", i+1, lineEnd, strings.ReplaceAll(text, "\n", lineEnd+"data: "), lineEnd, lineEnd)
		}
		r := NewReader(strings.NewReader(stream.String()))
		for _, text := range texts {
			e, err := r.Next()
			if data, ok := e.Data(); err != nil || !ok || string(data) != text || e.Empty() {
				return false
			}
		}
		_, err := r.Next()
		return err == io.EOF
	}, gen.SliceOf(gen.OneConstOf("", "\n", "\n\n", "a", "\na", "a\n", " a:\n\n b")), gen.OneConstOf("\n", "\r\n")))
	properties.TestingRun(t)
}

// Guards against a carriage return of the text that is taken for a part of the line's end.
func TestOneLineEndIsRemoved(t *testing.T) {
	e, err := NewReader(strings.NewReader("data: a\r\r\n\n")).Next()
	if data, _ := e.Data(); err != nil || string(data) != "a\r" {
		t.Errorf("%q, %v", data, err)
	}
}

// Guards against an event without a data line that is taken for one with an empty text,
// or the other way round.
func TestEmptyDataIsData(t *testing.T) {
	for _, c := range []struct {
		text        string
		data, empty bool
	}{{"id: 1\n\n", false, false}, {"id: 1\ndata\n\n", true, false}, {"data:\n\n", true, false}, {"data: \n\n", true, false}, {": wait\n\n", false, true}} {
		e, err := NewReader(strings.NewReader(c.text)).Next()
		if data, ok := e.Data(); err != nil || ok != c.data || len(data) != 0 || e.Empty() != c.empty {
			t.Errorf("%q: %q, %v, empty %v, %v", c.text, data, ok, e.Empty(), err)
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

// Guards against unbounded memory use by an event or a line that never ends.
func TestReaderBoundsEvents(t *testing.T) {
	for name, endless := range map[string]io.Reader{"event": endlessReader{}, "line": endlessLine{}, "blank lines": endlessBlankLines{}} {
		body := &countingReader{Reader: io.LimitReader(endless, 16*MaxBytes)}
		r := NewReader(body)
		if _, err := r.Next(); !errors.Is(err, ErrTooLong) {
			t.Errorf("%s: got %v", name, err)
		}
		if body.n > 2*MaxBytes {
			t.Errorf("%s: read %d bytes, want at most %d", name, body.n, 2*MaxBytes)
		}
	}
}

// Guards against a stalled server that keeps a stream open with comments, blank
// lines or single bytes, and against cutting a stream whose events are slow but
// within the timeout.
func TestIdleTimeout(t *testing.T) {
	const timeout = 700 * time.Millisecond
	for name, c := range map[string]struct {
		text string
		gap  time.Duration // before each byte
		want error
	}{
		"comments":     {strings.Repeat(":\n\n", 1000), 100 * time.Millisecond, ErrIdle},
		"blank lines":  {strings.Repeat("\n", 1000), 300 * time.Millisecond, ErrIdle},
		"single bytes": {"data: " + strings.Repeat("x", 1000), 300 * time.Millisecond, ErrIdle},
		"slow events":  {strings.Repeat("id:1\n\n", 20), 100 * time.Millisecond, io.EOF},
	} {
		synctest.Test(t, func(t *testing.T) {
			reader, writer := io.Pipe()
			done := make(chan struct{})
			go func() {
				defer close(done)
				for i := range len(c.text) {
					time.Sleep(c.gap)
					if _, err := writer.Write([]byte(c.text[i : i+1])); err != nil {
						return
					}
				}
				writer.Close()
			}()
			started := time.Now()
			r := NewIdleTimeoutReader(reader, timeout)
			defer r.Stop()
			var err error
			for err == nil {
				_, err = r.Next()
			}
			if !errors.Is(err, c.want) {
				t.Errorf("%s: ended with %v after %v", name, err, time.Since(started))
			}
			if took := time.Since(started); c.want == ErrIdle && took > timeout+c.gap {
				t.Errorf("%s: ended after %v", name, took)
			}
			<-done
		})
	}
}

// Guards against events of a second copy of an answer that are taken for new ones.
func TestFollows(t *testing.T) {
	for _, c := range []struct {
		last, id string
		want     bool
	}{{"", "1", true}, {"1", "2", true}, {"1", "7", true}, {"2", "2", false}, {"10", "9", false}, {"x", "1", true}, {"3", "", true}} {
		if got := Follows(c.last, c.id); got != c.want {
			t.Errorf("%q after %q: %v", c.id, c.last, got)
		}
	}
}

// countingReader counts the bytes read.
type countingReader struct {
	io.Reader
	n int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.n += n
	return n, err
}

type endlessLine struct{}

func (endlessLine) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

type endlessBlankLines struct{}

func (endlessBlankLines) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '\n'
	}
	return len(p), nil
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
