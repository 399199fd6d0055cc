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
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/standin/engine"
	"github.com/magnoliausher/magnoliausher/standin/network"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// startEngine serves a stand-in engine in memory until the test ends.
func startEngine(t *testing.T, cfg engine.Config) (*engine.Server, *upstream.EngineClient) {
	t.Helper()
	var pipe network.Pipe
	listener, _ := pipe.Listen(t.Context()) // never fails
	cfg.Listen = pipe.Listen
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
	return s, upstream.NewEngineClient(upstream.EngineConfig{BaseURL: "http://engine", Dial: pipe.Dial})
}

// runInVirtualTime runs a subtest in a synctest bubble.
func runInVirtualTime(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}

func completionRequest(prompt string, tokens int) upstream.GenerateRequest {
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

// Guards against a resumed completion with missing or repeated text, or with the
// usage of only one attempt.
func TestGenerateAndResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := startEngine(t, engine.Config{})
		req := completionRequest("the oven is cold", 20)
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
	})
}

// Guards against streams that block each other: a stream that is not read must not
// stall the others, whatever the number of connections.
func TestUnreadStreamDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, client := startEngine(t, engine.Config{})
		for i := range 20 {
			unread, err := client.Generate(t.Context(), completionRequest(fmt.Sprintf("unread %d", i), 10_000_000))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = unread.Close() }() // ends the test's own stream
		}
		for _, prompt := range []string{"a", "b", "c"} {
			stream, err := client.Generate(t.Context(), completionRequest(prompt, 500))
			if err != nil {
				t.Fatal(err)
			}
			text, _, err := readAll(stream)
			if err != nil || text != engine.ExpectedText(prompt, 0, 500) {
				t.Errorf("stream %s: %d bytes, %v", prompt, len(text), err)
			}
			_ = stream.Close()
		}
		if n := s.InProgress(); n != 20 {
			t.Errorf("%d requests in progress, want the 20 unread ones", n)
		}
	})
}

// Guards against a closed stream or a cancelled attempt that still occupies its slot.
func TestCloseAndCancelFreeTheSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, client := startEngine(t, engine.Config{})
		closed, err := client.Generate(t.Context(), completionRequest("closed", 1_000_000))
		if err != nil {
			t.Fatal(err)
		}
		cancelled, err := client.Generate(t.Context(), completionRequest("cancelled", 1_000_000))
		if err != nil {
			t.Fatal(err)
		}
		if err := closed.Close(); err != nil {
			t.Error(err)
		}
		if ok, err := client.Cancel(t.Context(), "a-cancelled"); !ok || err != nil {
			t.Errorf("cancel: %v, %v", ok, err)
		}
		var ended *upstream.EngineError
		if _, _, err := readAll(cancelled); !errors.As(err, &ended) || ended.Code != "cancelled" {
			t.Errorf("cancelled stream: %v", err)
		}
		_ = cancelled.Close()
		synctest.Wait() // the close reaches the engine
		if n := s.InProgress(); n != 0 {
			t.Errorf("%d requests in progress", n)
		}
		if ok, err := client.Cancel(t.Context(), "a-closed"); ok || err != nil {
			t.Errorf("second cancel: %v, %v", ok, err)
		}
	})
}

// Guards against incompatible KV export and import: with an imported cache, the
// resumed attempt must take less time than processing the prompt.
func TestExportToAnotherEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, from := startEngine(t, engine.Config{})
		_, to := startEngine(t, engine.Config{})
		prompt := strings.Repeat("w ", 20_000)
		req := completionRequest(prompt, 100)
		req.AttemptID = "long"
		first, err := from.Generate(t.Context(), req)
		if err != nil {
			t.Fatal(err)
		}
		delivered, err := first.Next()
		if err != nil {
			t.Fatal(err)
		}
		kv, err := from.ExportKV(t.Context(), "long")
		if err != nil {
			t.Fatal(err)
		}
		_ = first.Close()
		if err := to.ImportKV(t.Context(), kv); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		req.DeliveredText, req.DeliveredTokens = delivered.Text, delivered.Tokens
		second, err := to.Generate(t.Context(), req)
		if err != nil {
			t.Fatal(err)
		}
		text, _, err := readAll(second)
		if want := engine.ExpectedText(prompt, delivered.Tokens, 100); err != nil || text != want {
			t.Errorf("got %d bytes, want %d, %v", len(text), len(want), err)
		}
		if took := time.Since(start); took >= 20_000*engine.PromptTokenTime {
			t.Errorf("resuming took %s, at least the prompt processing time", took)
		}
		_ = second.Close()
	})
}

// Guards against a refusal that loses its reason or is reported as a failure.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := startEngine(t, engine.Config{CheckFencing: true})
		order := upstream.Order{Kind: upstream.OrderSetRole, Role: "serve", Fencing: 5}
		if err := client.Order(t.Context(), order); err != nil {
			t.Fatal(err)
		}
		order.Fencing = 4
		if err := client.Order(t.Context(), order); !errors.Is(err, upstream.ErrFenced) {
			t.Errorf("stale fencing number: got %v, want ErrFenced", err)
		}
		req := completionRequest("p", 5)
		req.DeliveredTokens, req.DeliveredText = 2, "text of another prompt"
		var status *upstream.StatusError
		if _, err := client.Generate(t.Context(), req); !errors.As(err, &status) || status.Status != http.StatusBadRequest {
			t.Errorf("resume text of another prompt: got %v, want status 400", err)
		}
		req.Body = []byte("[]")
		if _, err := client.Generate(t.Context(), req); !errors.Is(err, upstream.ErrBadBody) || !errors.Is(err, upstream.ErrNotSent) {
			t.Errorf("bad body: got %v, want ErrBadBody and ErrNotSent", err)
		}
	})
}

// Guards against a refused connection that is reported as a crash, which would
// prevent a retry and mark the request as a suspect, and against a stand-in that
// does not listen on its address again after a crash. It uses TCP because its errors
// differ from those of in-memory connections.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := engine.New(engine.Config{})
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, listener) }()
	client := upstream.NewEngineClient(upstream.EngineConfig{BaseURL: "http://" + listener.Addr().String(), ProgressTimeout: time.Hour})
	s.Crash(100 * time.Millisecond)
	refused := false
	for {
		_, err := client.Healthy(t.Context())
		if err == nil && refused {
			break
		}
		refused = refused || errors.Is(err, upstream.ErrNotSent)
		if errors.Is(err, upstream.ErrNotSent) && errors.Is(err, upstream.ErrCrashed) {
			t.Fatalf("got %v, want either ErrNotSent or ErrCrashed", err)
		}
	}
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// Guards against a crash that is reported as the end of a stream or as a timeout.
func TestCrashBreaksStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, client := startEngine(t, engine.Config{})
		before, err := client.Healthy(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		stream, err := client.Generate(t.Context(), completionRequest("p", 100_000))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Next(); err != nil {
			t.Fatal(err)
		}
		s.Crash(time.Second)
		if _, _, err := readAll(stream); !errors.Is(err, upstream.ErrCrashed) {
			t.Errorf("got %v, want ErrCrashed", err)
		}
		_ = stream.Close()
		synctest.Wait()
		if _, err := client.Healthy(t.Context()); !errors.Is(err, upstream.ErrNotSent) {
			t.Errorf("during the crash: got %v, want ErrNotSent", err)
		}
		time.Sleep(2 * time.Second)
		if after, err := client.Healthy(t.Context()); err != nil || after == before {
			t.Errorf("after the restart: boot id %s, was %s, %v", after, before, err)
		}
	})
}

// Guards against an unresponsive engine that keeps a request waiting forever.
func TestProgressTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, client := startEngine(t, engine.Config{})
		stream, err := client.Generate(t.Context(), completionRequest("p", 100_000))
		if err != nil {
			t.Fatal(err)
		}
		s.HangOpenConnections()
		if _, _, err := readAll(stream); !errors.Is(err, upstream.ErrProgressTimeout) {
			t.Errorf("stalled connection: got %v, want ErrProgressTimeout", err)
		}
		_ = stream.Close()
		if _, err := client.Healthy(t.Context()); err != nil {
			t.Errorf("new connection: %v", err)
		}
		s.Hang(0)
		if _, err := client.Generate(t.Context(), completionRequest("q", 5)); !errors.Is(err, upstream.ErrProgressTimeout) {
			t.Errorf("unresponsive engine: got %v, want ErrProgressTimeout", err)
		}
	})
}

// Guards against a stream that ends before [DONE] and counts as complete, and
// against a body that is resent after an error.
func TestIncompleteResponses(t *testing.T) {
	const event = "data: {\"choices\":[{\"index\":0,\"text\":\"x\"}]}\n\n"
	cases := []struct {
		name  string
		serve func(w http.ResponseWriter)
		want  error
	}{
		{"clean end without [DONE]", func(w http.ResponseWriter) { _, _ = io.WriteString(w, event) }, upstream.ErrTruncated},
		{"[DONE] without finish_reason", func(w http.ResponseWriter) { _, _ = io.WriteString(w, event+"data: [DONE]\n\n") }, upstream.ErrTruncated},
		{"truncated event", func(w http.ResponseWriter) { _, _ = io.WriteString(w, event[:30]) }, upstream.ErrTruncated},
		{"event too long", func(w http.ResponseWriter) { _, _ = io.WriteString(w, strings.Repeat("x", 2<<20)) }, upstream.ErrEventTooLong},
		{"connection closed before the response header", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, upstream.ErrCrashed},
	}
	for _, c := range cases {
		runInVirtualTime(t, c.name, func(t *testing.T) {
			var calls atomic.Int32
			client := upstream.NewEngineClient(upstream.EngineConfig{BaseURL: "http://engine", Dial: serve(t, func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				_, _ = io.Copy(io.Discard, r.Body) // an unread body makes the server reset the connection
				c.serve(w)
			})})
			stream, err := client.Generate(t.Context(), completionRequest("p", 5))
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

// serve runs a handler in memory until the test ends.
func serve(t *testing.T, handler http.HandlerFunc) upstream.DialFunc {
	t.Helper()
	var pipe network.Pipe
	listener, _ := pipe.Listen(t.Context()) // never fails
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	return pipe.Dial
}
