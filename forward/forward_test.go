package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/fleet"
)

// script answers calls in turn.
type script struct {
	t     *testing.T
	steps []func(ctx context.Context, c *Call) (*Response, error)
	calls []Call
	seen  []string
}

func (s *script) Call(ctx context.Context, u *fleet.Upstream, c *Call) (*Response, error) {
	if len(s.calls) >= len(s.steps) {
		s.t.Errorf("call %d was not expected", len(s.calls)+1)
		return nil, ErrNotSent
	}
	step := s.steps[len(s.calls)]
	s.calls = append(s.calls, *c)
	s.seen = append(s.seen, u.ID)
	return step(ctx, c)
}

func answers(status int, body string) func(context.Context, *Call) (*Response, error) {
	return func(context.Context, *Call) (*Response, error) {
		return &Response{Status: status, Signed: true, Header: http.Header{"Seal": {"s"}}, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

func notRun(context.Context, *Call) (*Response, error) {
	return &Response{Status: 503, NotExecuted: true, Body: io.NopCloser(strings.NewReader("full"))}, nil
}

func unsigned(context.Context, *Call) (*Response, error) {
	return &Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("garbage"))}, nil
}

func notSent(context.Context, *Call) (*Response, error) { return nil, ErrNotSent }

var errReset = errors.New("reset")

func reset(context.Context, *Call) (*Response, error) { return nil, errReset }

// cutBody ends with an error.
type cutBody struct{ io.Reader }

func (c cutBody) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if err == io.EOF {
		err = errReset
	}
	return n, err
}

func cutBefore(step func(context.Context, *Call) (*Response, error)) func(context.Context, *Call) (*Response, error) {
	return func(ctx context.Context, c *Call) (*Response, error) {
		a, err := step(ctx, c)
		a.Body = io.NopCloser(cutBody{a.Body})
		return a, err
	}
}

func events(body string) func(context.Context, *Call) (*Response, error) {
	return func(context.Context, *Call) (*Response, error) {
		return &Response{Status: 200, Signed: true, EventStream: true, Header: http.Header{"Content-Type": {"text/event-stream"}},
			Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

type noSuspects struct{ blocked bool }

func (n noSuspects) Blocked(uint64) bool               { return n.blocked }
func (noSuspects) RecordCrash(*fleet.Upstream, uint64) {}

type outcome struct {
	status  int
	body    string
	header  http.Header
	aborted bool
}

// serve forwards one request of a route over three upstreams.
func serve(t *testing.T, route fleet.Route, s *script, suspects CrashTracker) outcome {
	t.Helper()
	return serveWithin(t, route, s, suspects, time.Second)
}

func serveWithin(t *testing.T, route fleet.Route, s *script, suspects CrashTracker, patience time.Duration) outcome {
	t.Helper()
	h := fleet.NewHolder()
	h.Configure(fleet.NewConfiguration(1, nil, fleet.Limits{}))
	var records []fleet.Record
	for i, id := range []string{"a", "b", "c"} {
		records = append(records, fleet.Record{Version: uint64(i + 1), Upstream: fleet.Upstream{ID: id, Service: "s", Slots: 4}})
	}
	h.Replace(records, 10, time.Now())
	f := New(Config{Dispatcher: dispatch.New(dispatch.Config{Self: "g", Holder: h}), Upstreams: s, CrashTracker: suspects, Log: zerolog.Nop()})
	w := httptest.NewRecorder()
	o := outcome{}
	func() {
		defer func() {
			if r := recover(); r != nil {
				if r != http.ErrAbortHandler {
					panic(r)
				}
				o.aborted = true
			}
		}()
		f.Serve(t.Context(), w, &Request{Call: Call{ID: "r"}, Route: &route, Service: "s", Arrived: time.Now(), CallerTimeout: patience})
	}()
	o.status, o.body, o.header = w.Code, w.Body.String(), w.Header()
	return o
}

type steps = []func(context.Context, *Call) (*Response, error)

// Guards against work that must not be repeated and is, against "not run" said
// of a request that may have run, and against a spoilt answer that is passed on.
func TestAttempts(t *testing.T) {
	once := fleet.Route{Kind: fleet.AtMostOnce, MaxAttempts: 3, Objective: 100 * time.Millisecond}
	again := fleet.Route{Kind: fleet.Repeatable, MaxAttempts: 2, Objective: 100 * time.Millisecond}
	cases := []struct {
		name   string
		route  fleet.Route
		steps  steps
		status int
		body   string
	}{
		{"served", once, steps{answers(200, "x")}, 200, "x"},
		{"failure of the upstream is passed on", once, steps{answers(500, "no")}, 500, "no"},
		{"not run: another upstream", once, steps{notRun, notSent, answers(200, "x")}, 200, "x"},
		{"once: a reset is final", once, steps{reset}, 502, "Bad Gateway\n"},
		{"once: a cut answer is final", once, steps{cutBefore(answers(200, "x"))}, 502, "Bad Gateway\n"},
		{"once: an answer without signature is final", once, steps{unsigned}, 502, "Bad Gateway\n"},
		{"repeatable: reset, then served", again, steps{reset, answers(200, "x")}, 200, "x"},
		{"repeatable: cut, then served", again, steps{cutBefore(answers(200, "xyz")), answers(200, "x")}, 200, "x"},
		{"repeatable: failure, then served", again, steps{answers(500, "no"), answers(200, "x")}, 200, "x"},
		{"repeatable: the last failure is passed on", again, steps{reset, answers(500, "no")}, 500, "no"},
		{"repeatable: no more attempts than allowed", again, steps{reset, reset}, 502, "Bad Gateway\n"},
		{"ran once, then not run: no promise", again, steps{reset, notRun, notSent, answers(200, "x")}, 200, "x"},
	}
	for _, c := range cases {
		s := &script{t: t, steps: c.steps}
		o := serve(t, c.route, s, noSuspects{})
		if o.status != c.status || o.body != c.body || o.aborted {
			t.Errorf("%s: got %d %q, aborted %v", c.name, o.status, o.body, o.aborted)
		}
		if len(s.calls) != len(c.steps) {
			t.Errorf("%s: %d calls, want %d", c.name, len(s.calls), len(c.steps))
		}
	}
}

// Guards against "not run" without advice when to return, and against a
// rejection that claims less than is known.
func TestRejection(t *testing.T) {
	s := &script{t: t, steps: make(steps, maxOffers)}
	for i := range s.steps {
		s.steps[i] = notRun
	}
	o := serve(t, fleet.Route{Kind: fleet.AtMostOnce, MaxAttempts: 1}, s, noSuspects{})
	if o.status != 503 || o.header.Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q", o.status, o.header.Get("Retry-After"))
	}
	o = serve(t, fleet.Route{Kind: fleet.AtMostOnce, MaxAttempts: 1}, &script{t: t}, noSuspects{blocked: true})
	if o.status != 502 {
		t.Errorf("a request that crashed upstreams: got %d, want 502, since it has run", o.status)
	}
}

// Guards against an answer that comes after the route's timeout, and against
// "not run" said of a request that is still at an upstream.
func TestTimeout(t *testing.T) {
	hang := func(ctx context.Context, _ *Call) (*Response, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	started := time.Now()
	o := serve(t, fleet.Route{Kind: fleet.AtMostOnce, MaxAttempts: 1, Timeout: 50 * time.Millisecond}, &script{t: t, steps: steps{hang}}, noSuspects{})
	if took := time.Since(started); o.status != 504 || took > 500*time.Millisecond {
		t.Errorf("got %d after %v", o.status, took)
	}
}

// Guards against events that are lost, doubled or cut when a stream goes on at
// another upstream, and against a broken stream that looks complete.
func TestStreams(t *testing.T) {
	const one, two, three = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	resumable := fleet.Route{Kind: fleet.Stream, Resumable: true, MaxAttempts: 2}
	fixed := fleet.Route{Kind: fleet.Stream, MaxAttempts: 2}
	cases := []struct {
		name    string
		route   fleet.Route
		steps   steps
		status  int
		body    string
		aborted bool
		resume  string // of the last call
	}{
		{"whole", fixed, steps{events(one + two + three)}, 200, one + two + three, false, ""},
		{"resumed", resumable, steps{cutBefore(events(one + two + "id: 3\nda")), events(three)}, 200, one + two + three, false, "2"},
		{"not run in between", resumable, steps{cutBefore(events(one)), notRun, events(two + three)}, 200, one + two + three, false, "1"},
		{"cut before the first event", resumable, steps{cutBefore(events("id: 1")), events(one + two)}, 200, one + two, false, ""},
		{"attempts used up", resumable, steps{cutBefore(events(one)), cutBefore(events(two))}, 200, one + two, true, "1"},
		{"not resumable: broken", fixed, steps{cutBefore(events(one))}, 200, one, true, ""},
		{"not resumable: cut before the first event", fixed, steps{cutBefore(events("id"))}, 502, "Bad Gateway\n", false, ""},
	}
	for _, c := range cases {
		s := &script{t: t, steps: c.steps}
		o := serve(t, c.route, s, noSuspects{})
		if o.status != c.status || o.body != c.body || o.aborted != c.aborted {
			t.Errorf("%s: got %d %q, aborted %v", c.name, o.status, o.body, o.aborted)
		}
		if n := len(s.calls); n != len(c.steps) || s.calls[n-1].ResumeAfter != c.resume {
			t.Errorf("%s: %d calls, last resumes after %q", c.name, n, s.calls[n-1].ResumeAfter)
		}
	}
}

// Guards against a repeat that goes to the upstream that has just failed.
func TestRepeatGoesElsewhere(t *testing.T) {
	s := &script{t: t, steps: steps{reset, reset, reset, answers(200, "x")}}
	o := serve(t, fleet.Route{Kind: fleet.Repeatable, MaxAttempts: 4}, s, noSuspects{})
	if o.status != 200 || s.seen[0] == s.seen[1] || s.seen[2] == s.seen[0] || s.seen[2] == s.seen[1] {
		t.Errorf("got %d from %v", o.status, s.seen)
	}
}

// Guards against a stream that stays at a silent upstream although it can go
// on elsewhere.
func TestSilentUpstream(t *testing.T) {
	hang := func(ctx context.Context, _ *Call) (*Response, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	synctest.Test(t, func(t *testing.T) {
		s := &script{t: t, steps: steps{hang, events("id: 1\ndata: a\n\n")}}
		started := time.Now()
		o := serveWithin(t, fleet.Route{Kind: fleet.Stream, Resumable: true, MaxAttempts: 2}, s, noSuspects{}, 5*time.Second)
		if took := time.Since(started); o.status != 200 || took > 2*time.Second {
			t.Errorf("got %d after %v", o.status, took)
		}
	})
}
