package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/memory"
)

// Guards against long answers that are kept without limit, that are lost when there is no
// memory for them though they can be passed on in parts, or blamed on their request.
func TestLongAnswersWithoutMemory(t *testing.T) {
	const size = 100 << 10
	text := strings.Repeat("x", size)
	for _, c := range []struct {
		name  string
		step  *Response
		bytes int
	}{
		{"body", &Response{Status: 200, Signed: true, Header: http.Header{}}, size},
		{"event", &Response{Status: 200, Signed: true, EventStream: true, Header: http.Header{}}, len("Bad Gateway\n")},
	} {
		h := fleet.NewHolder()
		h.Configure(fleet.NewConfiguration(1, nil, fleet.Limits{}))
		h.Replace([]fleet.Record{{Version: 1, Upstream: fleet.Upstream{ID: "a", Service: "s", Slots: 4}}}, 10, time.Now())
		c.step.Body = io.NopCloser(strings.NewReader(text))
		s := &scriptedUpstreams{t: t, steps: steps{func(context.Context, *Call) (*Response, error) { return c.step, nil }}}
		tracker := &recordingTracker{}
		f := New(Config{Dispatcher: dispatch.New(dispatch.Config{Self: "g", Holder: h}), Upstreams: s, CrashTracker: tracker,
			Memory: memory.NewBudget(0), Log: zerolog.Nop()})
		w := httptest.NewRecorder()
		f.Serve(t.Context(), w, &Request{Call: Call{ID: "r"}, Route: &fleet.Route{Kind: fleet.Stream, MaxAttempts: 1}, Service: "s",
			Arrived: time.Now(), CallerTimeout: time.Second})
		if w.Body.Len() != c.bytes || tracker.crashes != 0 {
			t.Errorf("%s: status %d, %d bytes, %d crashes", c.name, w.Code, w.Body.Len(), tracker.crashes)
		}
	}
}
