package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/upstream"
)

// startRawServer answers each request with what respond writes, and closes the
// connection.
func startRawServer(t *testing.T, respond func(w io.Writer) error) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var connections sync.WaitGroup
	t.Cleanup(func() { l.Close(); connections.Wait() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			connections.Go(func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				for err == nil {
					err = respond(conn)
				}
			})
		}
	}()
	return "http://" + l.Addr().String()
}

// endless returns a response with a beginning and a part that repeats until the
// connection is closed.
func endless(beginning, part string, pause time.Duration) func(io.Writer) error {
	if pause == 0 {
		part = strings.Repeat(part, 1+(16<<10)/len(part))
	}
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, beginning); err != nil {
			return err
		}
		for {
			if _, err := io.WriteString(w, part); err != nil {
				return err
			}
			time.Sleep(pause)
		}
	}
}

const streamHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"

// readCompletion makes a completion and reads it to the end.
func readCompletion(ctx context.Context, url string, timeout time.Duration) (tokens int, err error) {
	client := upstream.NewEngineClient(upstream.EngineConfig{BaseURL: url, ProgressTimeout: timeout})
	stream, err := client.Generate(ctx, completionRequest("p", 5))
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	_, tokens, err = readAll(stream)
	return tokens, err
}

// Guards against attempts that never end, or whose memory grows without limit, while an
// engine sends bytes that are no answer, fast or one now and then.
func TestEndlessResponses(t *testing.T) {
	const timeout = 700 * time.Millisecond
	// What a client may read of an answer, apart from comments, and what the kernel
	// buffers for it.
	const maxSentBytes = 16 << 20
	for name, respond := range map[string]func(io.Writer) error{
		"status line":           endless("", "x", 0),
		"header lines":          endless("HTTP/1.1 200 OK\r\n", "X: y\r\n", 0),
		"header, byte by byte":  endless("HTTP/1.1 200 OK\r\nX: ", "y", 100*time.Millisecond),
		"1xx responses":         endless("", "HTTP/1.1 102 Processing\r\n\r\n", 0),
		"line of an event":      endless(streamHeader+"\r\n", "x", 0),
		"data of an event":      endless(streamHeader+"\r\n", "data: x\n", 0),
		"comments":              endless(streamHeader+"\r\n", ": wait\n\n", 0),
		"comments now and then": endless(streamHeader+"\r\n", ": wait\n\n", 100*time.Millisecond),
		"event, byte by byte":   endless(streamHeader+"\r\ndata: ", "x", 100*time.Millisecond),
		"chunk extension":       endless(streamHeader+"Transfer-Encoding: chunked\r\n\r\n5;", "x", 0),
		"trailer":               endless(streamHeader+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", 0),
		"error body":            endless("HTTP/1.1 500 No\r\n\r\n", "x", 0),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			url := startRawServer(t, func(w io.Writer) error { return respond(countingWriter{w, &sent}) })
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			started := time.Now()
			if _, err := readCompletion(ctx, url, timeout); err == nil || ctx.Err() != nil {
				t.Errorf("ended with %v after %v", err, time.Since(started))
			}
			if n := sent.Load(); n > maxSentBytes && name != "comments" {
				t.Errorf("%d bytes sent", n)
			}
		})
	}
}

// countingWriter counts the bytes written.
type countingWriter struct {
	io.Writer
	n *atomic.Int64
}

func (c countingWriter) Write(p []byte) (int, error) {
	n, err := c.Writer.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// Guards against cutting a completion that is slow but sound.
func TestSlowCompletion(t *testing.T) {
	url := startRawServer(t, func(w io.Writer) error {
		_, _ = io.WriteString(w, streamHeader+"\r\n")
		for _, e := range completionEvents {
			time.Sleep(time.Second)
			if _, err := io.WriteString(w, e); err != nil {
				return err
			}
		}
		return io.EOF
	})
	if tokens, err := readCompletion(t.Context(), url, 1500*time.Millisecond); err != nil || tokens != 2 {
		t.Errorf("%d tokens, %v", tokens, err)
	}
}

var completionEvents = []string{
	"data: {\"choices\":[{\"index\":0,\"text\":\"a\"}]}\n\n",
	"data: {\"choices\":[{\"index\":0,\"text\":\"b\",\"finish_reason\":\"stop\"}]}\n\n",
	"data: [DONE]\n\n",
}

// Guards against a completion or an answer that was cut at any byte and is reported
// as complete, and against a second copy that changes it.
func TestCutAnswers(t *testing.T) {
	text := strings.Join(completionEvents, "")
	for name, answer := range map[string]string{
		"chunked":                  streamHeader + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(text), text) + "0\r\n\r\n",
		"ends with the connection": streamHeader + "\r\n" + text,
	} {
		end := strings.Index(answer, "[DONE]\n\n") + len("[DONE]\n") // the end mark is complete with its line
		for cut := range len(answer) + 1 {
			url := startRawServer(t, func(w io.Writer) error { _, _ = io.WriteString(w, answer[:cut]); return io.EOF })
			_, err := readCompletion(t.Context(), url, time.Second)
			if complete := err == nil; complete && cut < end || !complete && cut == len(answer) {
				t.Errorf("%s: %v after %d of %d bytes", name, err, cut, len(answer))
			}
		}
		url := startRawServer(t, func(w io.Writer) error { _, _ = io.WriteString(w, answer+answer); return io.EOF })
		if tokens, err := readCompletion(t.Context(), url, time.Second); err != nil || tokens != 2 {
			t.Errorf("%s, two copies: %d tokens, %v", name, tokens, err)
		}
	}
	plain := "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"
	for cut := range len(plain) {
		url := startRawServer(t, func(w io.Writer) error { _, _ = io.WriteString(w, plain[:cut]); return io.EOF })
		client := upstream.NewPlainClient(upstream.PlainConfig{BaseURL: url, ProgressTimeout: time.Second})
		resp, err := client.Call(t.Context(), "GET", "/", nil, nil)
		if err != nil {
			continue
		}
		if _, err = io.ReadAll(resp.Body); err == nil || !errors.Is(err, upstream.ErrTruncated) && !errors.Is(err, upstream.ErrCrashed) {
			t.Errorf("plain: %v after %d of %d bytes", err, cut, len(plain))
		}
		resp.Body.Close()
	}
}

// Guards against an earlier refusal that a faulty service writes once more, and that is
// taken for the answer to the next call.
func TestRepeatedRefusalIsNotTakenForTheNextAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
			if n%2 == 0 {
				answer = refusal + refusal
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer)
				if _, err := http.ReadRequest(reader); err == nil {
					t.Error("a second call was sent on one connection")
				}
			}()
		}
	}()
	base := "http://" + l.Addr().String()
	plain := upstream.NewPlainClient(upstream.PlainConfig{BaseURL: base})
	for range 2 {
		for _, want := range []int{503, 200} {
			resp, err := plain.Call(t.Context(), http.MethodGet, "/x", nil, nil)
			if err != nil || resp.StatusCode != want {
				t.Fatalf("plain service: %v, %v, want status %d", resp, err, want)
			}
			resp.Body.Close()
		}
	}
	engine := upstream.NewEngineClient(upstream.EngineConfig{BaseURL: base})
	for _, refused := range []bool{true, false} {
		_, err := engine.Load(t.Context())
		var status *upstream.StatusError
		if errors.As(err, &status) != refused {
			t.Fatalf("engine: %v, want a refusal: %v", err, refused)
		}
	}
}
