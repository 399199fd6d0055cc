package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/poison"
)

// trickle returns a response whose body yields one part after each pause and then
// nothing, unless it ends.
func trickle(pause time.Duration, ends bool, parts ...string) func(context.Context, *Call) (*Response, error) {
	return func(ctx context.Context, _ *Call) (*Response, error) {
		reader, writer := io.Pipe()
		go func() {
			for _, p := range parts {
				time.Sleep(pause)
				if _, err := io.WriteString(writer, p); err != nil {
					return
				}
			}
			if ends {
				writer.Close()
			}
		}()
		return &Response{Status: 200, Signed: true, EventStream: true, Header: http.Header{}, Body: reader}, nil
	}
}

func eventTexts(from, to int) []string {
	var list []string
	for n := from; n <= to; n++ {
		list = append(list, fmt.Sprintf("id: %d\ndata: %d\n\n", n, n))
	}
	return list
}

// recordingTracker counts the crashes that were recorded.
type recordingTracker struct{ crashes int }

func (*recordingTracker) Admit(*poison.Subject) poison.Admission               { return poison.Admission{} }
func (*recordingTracker) Recheck(*poison.Subject) poison.Admission             { return poison.Admission{} }
func (*recordingTracker) RecordSound(*poison.Subject, bool)                    {}
func (r *recordingTracker) RecordBroken(*fleet.Upstream, *poison.Subject, int) { r.crashes++ }

// Guards against cutting a stream that is slow but sound, and against keeping one
// that has stalled and sends comments or single bytes.
func TestSlowAndStalledStreams(t *testing.T) {
	resumable := fleet.Route{Kind: fleet.Stream, Resumable: true, MaxAttempts: 2}
	once := fleet.Route{Kind: fleet.Stream, MaxAttempts: 1}
	all := strings.Join(eventTexts(1, 4), "")
	comments := strings.Split(strings.Repeat(": wait\n\n ", 30), " ")
	cases := []struct {
		name    string
		route   fleet.Route
		steps   steps
		body    string
		aborted bool
		within  time.Duration
	}{
		{"one event a second, resumable", resumable, steps{trickle(time.Second, true, eventTexts(1, 4)...)}, all, false, 5 * time.Second},
		{"one event a second", once, steps{trickle(time.Second, true, eventTexts(1, 4)...)}, all, false, 5 * time.Second},
		{"the last attempt has until the deadline", resumable, steps{trickle(time.Millisecond, false, eventTexts(1, 1)...),
			trickle(1500*time.Millisecond, true, eventTexts(2, 4)...)}, all, false, 7 * time.Second},
		{"comments only", resumable, steps{trickle(100*time.Millisecond, false, comments...), respondWithEvents(all)}, "", false, 2 * time.Second},
		{"single bytes", resumable, steps{trickle(300*time.Millisecond, false, strings.Split("id: 1\ndata: xxxxxxxxxxxx", "")...), respondWithEvents(all)}, all, false, 2 * time.Second},
		{"stalled, not resumable", once, steps{trickle(300*time.Millisecond, false, comments...)}, "", true, 10100 * time.Millisecond},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			s := &scriptedUpstreams{t: t, steps: c.steps}
			tracker := &recordingTracker{}
			started := time.Now()
			o := serveWithTimeout(t, c.route, closingUpstreams{s}, tracker, 10*time.Second)
			if took := time.Since(started); o.status != 200 || o.aborted != c.aborted || took > c.within {
				t.Errorf("%s: status %d, aborted %v, after %v", c.name, o.status, o.aborted, took)
			}
			if body := strings.ReplaceAll(o.body, ": wait\n\n", ""); c.body != "" && body != c.body || !c.aborted && !strings.HasSuffix(body, all[len(all)-5:]) {
				t.Errorf("%s: body %q", c.name, o.body)
			}
			if tracker.crashes != 0 {
				t.Errorf("%s: silence was recorded as a crash", c.name)
			}
			time.Sleep(time.Minute) // lets the pipes' writers end
		})
	}
}

// closingUpstreams closes the body of a response when the context of its call ends,
// as the adapter does.
type closingUpstreams struct{ *scriptedUpstreams }

func (c closingUpstreams) Call(ctx context.Context, u *fleet.Upstream, call *Call) (*Response, error) {
	response, err := c.scriptedUpstreams.Call(ctx, u, call)
	if err == nil {
		body := response.Body
		context.AfterFunc(ctx, func() { body.Close() })
	}
	return response, err
}

// Guards against passing on a second copy of an answer, in whole or in part.
func TestRepeatedEvents(t *testing.T) {
	one, two := strings.Join(eventTexts(1, 3), ""), strings.Join(eventTexts(2, 3), "")
	for _, c := range []struct {
		name    string
		route   fleet.Route
		steps   steps
		aborted bool
	}{
		{"not resumable", fleet.Route{Kind: fleet.Stream, MaxAttempts: 1}, steps{respondWithEvents(one + one)}, true},
		{"resumable", fleet.Route{Kind: fleet.Stream, Resumable: true, MaxAttempts: 2}, steps{respondWithEvents(one + two), respondWithEvents("")}, false},
	} {
		s := &scriptedUpstreams{t: t, steps: c.steps}
		if o := serve(t, c.route, s, fakeCrashTracker{}); o.body != one || o.aborted != c.aborted {
			t.Errorf("%s: %q, aborted %v", c.name, o.body, o.aborted)
		}
	}
}

// Guards against a stream that is closed in the middle of an event and looks complete
// to the caller, where only the end of the connection marks the end of the answer.
func TestEventCutByConnectionEnd(t *testing.T) {
	text := strings.Join(eventTexts(1, 3), "")
	for cut := range len(text) + 1 {
		s := &scriptedUpstreams{t: t, steps: steps{func(context.Context, *Call) (*Response, error) {
			return &Response{Status: 200, Signed: true, EventStream: true, Header: http.Header{}, EndsWithConnection: true,
				Body: io.NopCloser(strings.NewReader(text[:cut]))}, nil
		}}}
		o := serve(t, fleet.Route{Kind: fleet.Stream, MaxAttempts: 1}, s, fakeCrashTracker{})
		atBoundary := strings.HasSuffix(text[:cut], "\n\n")
		complete := o.status == 200 && !o.aborted
		if complete != atBoundary {
			t.Errorf("cut after %d bytes: status %d, aborted %v, %q", cut, o.status, o.aborted, o.body)
		}
	}
}

// Guards against blaming a request for the silence of an upstream: three silent
// upstreams must not make it a suspect.
func TestHeaderTimeoutIsNoCrash(t *testing.T) {
	hang := func(ctx context.Context, _ *Call) (*Response, error) {
		<-ctx.Done()
		return nil, errors.New("use of closed network connection")
	}
	synctest.Test(t, func(t *testing.T) {
		tracker := &recordingTracker{}
		s := &scriptedUpstreams{t: t, steps: steps{hang, hang, respondWithEvents("id: 1\ndata: a\n\n")}}
		o := serveWithTimeout(t, fleet.Route{Kind: fleet.Stream, Resumable: true, MaxAttempts: 3}, s, tracker, 5*time.Second)
		if o.status != 200 || tracker.crashes != 0 {
			t.Errorf("status %d, %d crashes recorded", o.status, tracker.crashes)
		}
	})
}

// Guards against a body without end that is passed on until the deadline, and
// against a cut of a long body that looks complete.
func TestLongBodies(t *testing.T) {
	once := fleet.Route{Kind: fleet.AtMostOnce, MaxAttempts: 1}
	respond := func(body io.Reader) steps {
		return steps{func(context.Context, *Call) (*Response, error) {
			return &Response{Status: 200, Signed: true, Header: http.Header{}, Body: io.NopCloser(body)}, nil
		}}
	}
	s := &scriptedUpstreams{t: t, steps: respond(zeros{})}
	if o := serveWithTimeout(t, once, s, fakeCrashTracker{}, time.Minute); !o.aborted || len(o.body) > maxBodyBytes {
		t.Errorf("endless: %d bytes, aborted %v", len(o.body), o.aborted)
	}
	s = &scriptedUpstreams{t: t, steps: respond(truncatedBody{io.LimitReader(zeros{}, 2*maxBufferedBytes)})}
	if o := serve(t, once, s, fakeCrashTracker{}); !o.aborted {
		t.Errorf("cut: %d bytes, aborted %v", len(o.body), o.aborted)
	}
	s = &scriptedUpstreams{t: t, steps: respond(io.LimitReader(zeros{}, 2*maxBufferedBytes))}
	if o := serve(t, once, s, fakeCrashTracker{}); o.aborted || len(o.body) != 2*maxBufferedBytes {
		t.Errorf("whole: %d bytes, aborted %v", len(o.body), o.aborted)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against a stream that ends inside an event, or before the first one, and looks
// complete to the caller.
func TestStreamThatEndsEarlyIsNotComplete(t *testing.T) {
	route := fleet.Route{Kind: fleet.Stream, MaxAttempts: 1}
	whole := strings.Join(eventTexts(1, 2), "")
	for _, c := range []struct {
		name, body         string
		endsWithConnection bool
		status             int
		aborted            bool
	}{
		{"chunked, inside an event", whole + "id: 3\ndata: x", false, 200, true},
		{"closed inside an event", whole + "id: 3\ndata: x", true, 200, true},
		{"closed after an event", whole, true, 200, false},
		{"closed before the first event", "", true, 502, false},
	} {
		s := &scriptedUpstreams{t: t, steps: steps{func(ctx context.Context, call *Call) (*Response, error) {
			response, err := respondWithEvents(c.body)(ctx, call)
			response.EndsWithConnection = c.endsWithConnection
			return response, err
		}}}
		if o := serve(t, route, s, fakeCrashTracker{}); o.status != c.status || o.aborted != c.aborted {
			t.Errorf("%s: status %d, aborted %v", c.name, o.status, o.aborted)
		}
	}
}
