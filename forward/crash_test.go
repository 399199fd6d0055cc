package forward

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/poison"
)

// outputsTracker records the pieces of the answers that may have ended in a crash.
type outputsTracker struct {
	recordingTracker
	outputs []int
}

func (r *outputsTracker) RecordBroken(_ *fleet.Upstream, _ *poison.Subject, outputs int) {
	r.outputs = append(r.outputs, outputs)
}

// closedAtDeadline is a body, or a call, that nothing comes from until the attempt's
// time is up and its connection is closed.
type closedAtDeadline struct{ ctx context.Context }

func (b closedAtDeadline) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, net.ErrClosed
}

func stalledBody(ctx context.Context, _ *Call) (*Response, error) {
	return &Response{Status: 200, Signed: true, Body: io.NopCloser(closedAtDeadline{ctx})}, nil
}

func stalledCall(ctx context.Context, _ *Call) (*Response, error) {
	<-ctx.Done()
	return nil, net.ErrClosed
}

// Guards against requests that crash upstreams and are never recognised since their
// answers broke off in a way that is not recorded, and against blame for other ends.
func TestPossibleCrashesOfEveryKindOfAnswer(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBytes+10)
	once := fleet.Route{Kind: fleet.AtMostOnce, MaxAttempts: 1}
	repeatable := fleet.Route{Kind: fleet.Repeatable, MaxAttempts: 2}
	stream := fleet.Route{Kind: fleet.Stream, MaxAttempts: 1}
	resumable := fleet.Route{Kind: fleet.Stream, Resumable: true, MaxAttempts: 2}
	body := func(text string) func(context.Context, *Call) (*Response, error) {
		return truncateBody(respondWith(200, text))
	}
	cases := []struct {
		name    string
		route   fleet.Route
		step    func(context.Context, *Call) (*Response, error)
		outputs []int // of the possible crashes
	}{
		{"no answer", once, resetConnection, []int{0}},
		{"body cut at its start", once, body("x"), []int{0}},
		{"body cut at its start, repeatable", repeatable, body("x"), []int{0}},
		{"body cut behind the buffered part", once, body(long), []int{poison.SoundOutputs}},
		{"body cut behind the buffered part, repeatable", repeatable, body(long), []int{poison.SoundOutputs}},
		{"error body cut", once, truncateBody(respondWith(500, "inte")), []int{0}},
		{"stream cut", stream, truncateBody(respondWithEvents("id: 1\ndata: a\n\n")), []int{1}},
		{"status without run", once, respondWith(503, "busy"), []int{0}},
		{"not signed", once, unsigned, []int{0}},
		{"whole error", repeatable, respondWith(500, "internal error"), nil},
		{"whole", once, respondWith(200, "x"), nil},
		{"not sent", once, notSent, nil},
		{"time up before the answer", repeatable, stalledCall, nil},
		{"time up within the body", repeatable, stalledBody, nil},
		{"not in time", resumable, stalledCall, nil},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			tracker := &outputsTracker{}
			s := &scriptedUpstreams{t: t, steps: steps{c.step, respondWith(200, "x")}}
			serveWithTimeout(t, c.route, s, tracker, 5*time.Second)
			if len(tracker.outputs) != len(c.outputs) || len(c.outputs) > 0 && tracker.outputs[0] != c.outputs[0] {
				t.Errorf("%s: possible crashes after %v pieces, want %v", c.name, tracker.outputs, c.outputs)
			}
		})
	}
}

// Guards against a second run of a request whose answer has begun and can't go on.
func TestBegunBodyIsNotRepeated(t *testing.T) {
	s := &scriptedUpstreams{t: t, steps: steps{truncateBody(respondWith(200, strings.Repeat("x", maxBufferedBytes+10)))}}
	if o := serve(t, fleet.Route{Kind: fleet.Repeatable, MaxAttempts: 3}, s, fakeCrashTracker{}); !o.aborted {
		t.Errorf("got %d with %d bytes", o.status, len(o.body))
	}
}
