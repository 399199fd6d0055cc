package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/contract"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1/magnoliausherv1connect"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// fakePlain returns the body or error of each path.
type fakePlain map[string]func() (io.Reader, error)

func (p fakePlain) Call(_ context.Context, _, path string, header http.Header, _ io.Reader) (*http.Response, error) {
	body, err := p[path]()
	if err != nil {
		return nil, err
	}
	h := http.Header{"X-Kept": {"1"}, "Connection": {"close"}, "X-Seen": {header.Get(attemptHeader)}}
	return &http.Response{StatusCode: 201, Header: h, Body: io.NopCloser(body)}, nil
}

func (p fakePlain) Healthy(context.Context) error {
	if health := p["health"]; health != nil {
		_, err := health()
		return err
	}
	return nil
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

type truncatedReader struct{}

func (truncatedReader) Read([]byte) (int, error) {
	return 0, fmt.Errorf("body: %w", upstream.ErrTruncated)
}

// servePlain starts an agent of a plain service behind an HTTP/2 server.
func servePlain(t *testing.T, slots int, slowReaderTimeout time.Duration, p upstream.PlainService) (*testAgent, magnoliausherv1connect.AgentClient) {
	a, err := New(Config{
		ID: "p1", Service: "chat", Kind: contract.KindPlain, Slots: slots, Plain: p,
		Logger: zerolog.Nop(), SlowReaderTimeout: slowReaderTimeout,
	})
	if err != nil {
		t.Fatal(err)
	}
	a.recordProbeSuccess("", false)
	s := httptest.NewUnstartedServer(a.Handler())
	s.EnableHTTP2 = true
	s.StartTLS()
	t.Cleanup(s.Close)
	return &testAgent{Agent: a}, magnoliausherv1connect.NewAgentClient(s.Client(), s.URL)
}

// run returns the last event and the body of an attempt.
func run(t *testing.T, c magnoliausherv1connect.AgentClient, req *rpc.RunRequest) (last *rpc.RunEvent, body string) {
	t.Helper()
	stream, err := c.Run(t.Context(), connect.NewRequest(req))
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	for stream.Receive() {
		last = stream.Msg()
		body += string(last.GetData())
		for _, h := range last.GetHead().GetHeaders() {
			if h.Name == "Connection" {
				t.Error("a hop-by-hop header was forwarded")
			}
			if h.Name == "X-Seen" && h.Value != req.AttemptId {
				t.Errorf("the service saw attempt %q, want %q", h.Value, req.AttemptId)
			}
		}
	}
	if err := stream.Err(); err != nil {
		t.Error(err)
	}
	return last, body
}

// Guards against reporting an incomplete or failed call of a plain service as
// complete or not executed, over the real protocol.
func TestPlainServiceOverHTTP(t *testing.T) {
	whole := strings.Repeat("0123456789", 100_000)
	r, client := servePlain(t, 4, time.Minute, fakePlain{
		"/whole":     func() (io.Reader, error) { return strings.NewReader(whole), nil },
		"/truncated": func() (io.Reader, error) { return io.MultiReader(strings.NewReader("ab"), truncatedReader{}), nil },
		"/unsent":    func() (io.Reader, error) { return nil, upstream.ErrNotSent },
		"/broken":    func() (io.Reader, error) { return nil, errors.New("connection reset") },
	})
	cases := []struct {
		path, reason, body string
		executed           rpc.Executed
	}{
		{"/whole", "", whole, 0},
		{"/truncated", FailedTruncated, "ab", rpc.Executed_EXECUTED_YES},
		{"/unsent", FailedNotSent, "", rpc.Executed_EXECUTED_NO},
		{"/broken", FailedOther, "", rpc.Executed_EXECUTED_UNKNOWN},
	}
	for _, c := range cases {
		req := r.request(rpc.Class_CLASS_ONLINE)
		req.Path = c.path
		last, body := run(t, client, req)
		f := last.GetFailed()
		if body != c.body || f.GetReason() != c.reason || f.GetExecuted() != c.executed {
			t.Errorf("%s: %v after %d bytes", c.path, last, len(body))
		}
		if (last.GetEnd() != nil) != (c.reason == "") {
			t.Errorf("%s: last event %v", c.path, last)
		}
	}
}

// Guards against an entry that stops reading but keeps its slot or its handler,
// and against batch calls that use the slots reserved for online calls.
func TestStoppedReaderOverHTTP(t *testing.T) {
	r, client := servePlain(t, 2, time.Second, fakePlain{
		"/endless": func() (io.Reader, error) { return endlessReader{}, nil },
		"/short":   func() (io.Reader, error) { return strings.NewReader("x"), nil },
	})
	req := r.request(rpc.Class_CLASS_ONLINE)
	req.Path = "/endless"
	stream, err := client.Run(t.Context(), connect.NewRequest(req))
	if err != nil || !stream.Receive() {
		t.Fatal(err)
	}
	item := r.request(rpc.Class_CLASS_BATCH)
	item.Path = "/short"
	if last, _ := run(t, client, item); last.GetRefused().GetReason() != "no_batch_room" {
		t.Errorf("batch call during an online call: %v", last)
	}
	if err := r.Drain(t.Context()); err != nil { // returns once the slot is free
		t.Error(err)
	}
	var last *rpc.RunEvent
	for stream.Receive() { // ends when the handler gives up
		last = stream.Msg()
	}
	if stream.Err() == nil && last.GetFailed().GetReason() != FailedSlowReader {
		t.Errorf("the stream ended cleanly with %v", last)
	}
}

// Guards against one broken connection of a plain service that fails other calls,
// against a crash that does not fail them, and against a drain that interrupts a
// call that must not be repeated.
func TestBrokenConnectionOfPlainService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		s := &fakeSuspects{}
		a, err := New(Config{
			ID: "p1", Service: "chat", Kind: contract.KindPlain, Slots: 4, Logger: zerolog.Nop(), Suspects: s,
			Plain: fakePlain{
				"/slow":   func() (io.Reader, error) { return slowReader{}, nil },
				"/broken": func() (io.Reader, error) { return nil, upstream.ErrCrashed },
				"health": func() (io.Reader, error) {
					if down.Load() {
						return nil, upstream.ErrNotSent
					}
					return nil, nil
				},
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		r := &testAgent{Agent: a}
		ctx, cancel := context.WithCancel(t.Context())
		go a.Run(ctx)
		synctest.Wait()
		call := func(path string, fp uint64, class rpc.Class) *outcome {
			req := r.request(class)
			req.Path, req.Fingerprint = path, fp
			return r.submit(t, req)
		}
		item := call("/slow", 1, rpc.Class_CLASS_BATCH)
		if o := call("/broken", 2, rpc.Class_CLASS_ONLINE); !o.last().GetFailed().GetUpstreamCrashed() {
			t.Errorf("broken call: %v", o.last())
		}
		time.Sleep(2 * time.Second)
		go a.Drain(ctx)
		time.Sleep(2 * time.Second)
		if n := a.loadSummary().BatchActive; n != 1 || s.crashList() != "[]" {
			t.Errorf("%d batch calls, suspects %s", n, s.crashList())
		}
		a.mu.Lock()
		a.snap.Leaving = false
		a.mu.Unlock()
		down.Store(true)
		call("/broken", 3, rpc.Class_CLASS_ONLINE)
		if !item.last().GetFailed().GetUpstreamCrashed() || s.crashList() != "[[3 1]]" {
			t.Errorf("after the crash: %v, suspects %s", item.last(), s.crashList())
		}
		cancel()
	})
}

// slowReader is a reader that returns one byte per second.
type slowReader struct{}

func (slowReader) Read([]byte) (int, error) {
	time.Sleep(time.Second)
	return 1, nil
}
