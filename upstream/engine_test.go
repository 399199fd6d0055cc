package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/standin/engine"
	"github.com/magnoliausher/magnoliausher/upstream"
)

const testSpeed = 50

// startEngine serves a stand-in engine on a loopback address until the test ends.
func startEngine(t *testing.T, cfg engine.Config) (*engine.Server, string) {
	t.Helper()
	if cfg.Speed == 0 {
		cfg.Speed = testSpeed
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := engine.New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return s, "http://" + listener.Addr().String()
}

func request(prompt string, tokens int) upstream.GenerateRequest {
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d}`, prompt, tokens)
	return upstream.GenerateRequest{AttemptID: "a-" + prompt, Path: "/v1/completions", Body: []byte(body)}
}

func readAll(s upstream.TokenStream) (text string, tokens int, err error) {
	for {
		d, err := s.Next()
		if err == io.EOF {
			return text, tokens, nil
		}
		if err != nil {
			return text, tokens, err
		}
		text += d.Text
		tokens += d.Tokens
	}
}

// Guards against a resumed completion with a gap, a repeat, or usage of one attempt only.
func TestGenerateAndResume(t *testing.T) {
	_, url := startEngine(t, engine.Config{})
	client := upstream.NewEngine(upstream.EngineConfig{BaseURL: url})
	req := request("the oven is cold", 20)
	for _, delivered := range []int{0, 7, 19} {
		req.DeliveredTokens = delivered
		req.DeliveredText = engine.ExpectedText("the oven is cold", 0, delivered)
		stream, err := client.Generate(t.Context(), req)
		if err != nil {
			t.Fatal(err)
		}
		text, tokens, err := readAll(stream)
		if err != nil {
			t.Fatal(err)
		}
		if want := engine.ExpectedText("the oven is cold", delivered, 20); text != want || tokens != 20-delivered {
			t.Errorf("after %d tokens: got %q (%d tokens), want %q", delivered, text, tokens, want)
		}
		if want := (upstream.Usage{FinishReason: "length", PromptTokens: 4, OutputTokens: 20}); stream.Usage() != want {
			t.Errorf("after %d tokens: usage %+v, want %+v", delivered, stream.Usage(), want)
		}
		if err := stream.Close(); err != nil {
			t.Error(err)
		}
	}
}

// Guards against a refused connection that is reported as a crash, which would
// forbid a retry and raise a suspect.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	s, url := startEngine(t, engine.Config{})
	client := upstream.NewEngine(upstream.EngineConfig{BaseURL: url})
	s.Crash(time.Hour)
	waitRefused(t, url)
	_, err := client.Generate(t.Context(), request("p", 5))
	if !errors.Is(err, upstream.ErrNotSent) || errors.Is(err, upstream.ErrCrashed) {
		t.Errorf("got %v, want ErrNotSent", err)
	}
}

// waitRefused waits until the address refuses connections.
func waitRefused(t *testing.T, url string) {
	t.Helper()
	for {
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

// Guards against a stream broken by a crash that looks complete or silent.
func TestCrashBreaksStream(t *testing.T) {
	s, url := startEngine(t, engine.Config{})
	client := upstream.NewEngine(upstream.EngineConfig{BaseURL: url})
	before, err := client.Healthy(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	stream, err := client.Generate(t.Context(), request("p", 100_000))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Next(); err != nil {
		t.Fatal(err)
	}
	s.Crash(0)
	if _, _, err := readAll(stream); !errors.Is(err, upstream.ErrCrashed) {
		t.Errorf("got %v, want ErrCrashed", err)
	}
	for {
		after, err := client.Healthy(t.Context())
		if err == nil {
			if after == before {
				t.Error("boot id did not change")
			}
			return
		}
	}
}

// Guards against a silent engine that holds a request forever.
func TestSilence(t *testing.T) {
	s, url := startEngine(t, engine.Config{})
	client := upstream.NewEngine(upstream.EngineConfig{BaseURL: url, ProgressTimeout: 50 * time.Millisecond})
	stream, err := client.Generate(t.Context(), request("p", 100_000))
	if err != nil {
		t.Fatal(err)
	}
	s.SilenceOpen()
	if _, _, err := readAll(stream); !errors.Is(err, upstream.ErrSilent) {
		t.Errorf("silenced connection: got %v, want ErrSilent", err)
	}
	if _, err := client.Healthy(t.Context()); err != nil {
		t.Errorf("new connection: %v", err)
	}
	s.Silence(0)
	if _, err := client.Generate(t.Context(), request("q", 5)); !errors.Is(err, upstream.ErrSilent) {
		t.Errorf("silent engine: got %v, want ErrSilent", err)
	}
}

// Guards against an end of the stream before [DONE] that counts as a whole answer,
// and against a body that is sent a second time after an error.
func TestBrokenAnswers(t *testing.T) {
	const event = "data: {\"choices\":[{\"index\":0,\"text\":\"x\"}]}\n\n"
	cases := []struct {
		name  string
		serve func(w http.ResponseWriter)
		want  error
	}{
		{"clean end without [DONE]", func(w http.ResponseWriter) { _, _ = io.WriteString(w, event) }, upstream.ErrTruncated},
		{"[DONE] without finish_reason", func(w http.ResponseWriter) { _, _ = io.WriteString(w, event+"data: [DONE]\n\n") }, upstream.ErrTruncated},
		{"event cut off", func(w http.ResponseWriter) { _, _ = io.WriteString(w, event[:30]) }, upstream.ErrTruncated},
		{"event too long", func(w http.ResponseWriter) { _, _ = io.WriteString(w, strings.Repeat("x", 2<<20)) }, upstream.ErrEventTooLong},
		{"connection broken before the head", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, upstream.ErrCrashed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var calls atomic.Int32
			client := upstream.NewEngine(upstream.EngineConfig{BaseURL: serve(t, func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				_, _ = io.Copy(io.Discard, r.Body) // an unread body makes the server reset the connection
				c.serve(w)
			})})
			stream, err := client.Generate(t.Context(), request("p", 5))
			if err == nil {
				_, _, err = readAll(stream)
				_ = stream.Close()
			}
			if !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			if n := calls.Load(); n != 1 {
				t.Errorf("%d calls, want 1", n)
			}
		})
	}
}

func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener) // ends with Close
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return "http://" + listener.Addr().String()
}
