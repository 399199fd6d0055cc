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

// fakePlain answers each path with its body or error.
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

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

type truncated struct{}

func (truncated) Read([]byte) (int, error) { return 0, fmt.Errorf("body: %w", upstream.ErrTruncated) }

// servePlain starts an agent of a plain service behind an HTTP/2 server.
// patience is for readers that have stopped.
func servePlain(t *testing.T, slots int, patience time.Duration, p upstream.PlainService) (*rig, magnoliausherv1connect.AgentClient) {
	a, err := New(Config{
		ID: "p1", Service: "chat", Kind: contract.KindPlain, Slots: slots, Plain: p,
		Logger: zerolog.Nop(), SlowReaderTimeout: patience,
	})
	if err != nil {
		t.Fatal(err)
	}
	a.alive("", false)
	s := httptest.NewUnstartedServer(a.Handler())
	s.EnableHTTP2 = true
	s.StartTLS()
	t.Cleanup(s.Close)
	return &rig{Agent: a}, magnoliausherv1connect.NewAgentClient(s.Client(), s.URL)
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
				t.Error("a header of the connection was passed on")
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

// Guards against a plain service's incomplete or failed call that looks
// complete or not run over the real protocol.
func TestPlainServiceOverHTTP(t *testing.T) {
	whole := strings.Repeat("0123456789", 100_000)
	r, client := servePlain(t, 4, time.Minute, fakePlain{
		"/whole":     func() (io.Reader, error) { return strings.NewReader(whole), nil },
		"/truncated": func() (io.Reader, error) { return io.MultiReader(strings.NewReader("ab"), truncated{}), nil },
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

// Guards against an entry that stops reading holding its slot or its handler,
// and against batch calls that take the slots reserved for online calls.
func TestStoppedReaderOverHTTP(t *testing.T) {
	r, client := servePlain(t, 2, time.Second, fakePlain{
		"/endless": func() (io.Reader, error) { return endless{}, nil },
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
		t.Errorf("batch call beside an online call: %v", last)
	}
	if err := r.Drain(t.Context()); err != nil { // returns once the slot is free
		t.Error(err)
	}
	var last *rpc.RunEvent
	for stream.Receive() { // ends, because the handler has given up
		last = stream.Msg()
	}
	if stream.Err() == nil && last.GetFailed().GetReason() != FailedSlowReader {
		t.Errorf("the stream ended cleanly with %v", last)
	}
}

// Guards against one broken connection of a plain service ending other calls,
// against a crash that spares them, and against a drain that interrupts a call
// that must not be repeated.
func TestBrokenConnectionOfPlainService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		s := &fakeSuspects{}
		a, err := New(Config{
			ID: "p1", Service: "chat", Kind: contract.KindPlain, Slots: 4, Logger: zerolog.Nop(), Suspects: s,
			Plain: fakePlain{
				"/slow":   func() (io.Reader, error) { return slow{}, nil },
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
		r := &rig{Agent: a}
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
		if n := a.loadSummary().BatchActive; n != 1 || s.list() != "[]" {
			t.Errorf("%d batch calls, suspects %s", n, s.list())
		}
		a.mu.Lock()
		a.snap.Leaving = false
		a.mu.Unlock()
		down.Store(true)
		call("/broken", 3, rpc.Class_CLASS_ONLINE)
		if !item.last().GetFailed().GetUpstreamCrashed() || s.list() != "[[3 1]]" {
			t.Errorf("after the crash: %v, suspects %s", item.last(), s.list())
		}
		cancel()
	})
}

// slow gives a byte per second.
type slow struct{}

func (slow) Read([]byte) (int, error) {
	time.Sleep(time.Second)
	return 1, nil
}
