package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/fleet"
)

// withVersion sets the model version of a response.
func withVersion(version string, step func(context.Context, *Call) (*Response, error)) func(context.Context, *Call) (*Response, error) {
	return func(ctx context.Context, c *Call) (*Response, error) {
		r, err := step(ctx, c)
		r.ModelVersion = version
		return r, err
	}
}

// Guards against a stream whose resumption fails and that ends as complete, with the
// other answer in its middle.
func TestFailedResumptionAbortsStream(t *testing.T) {
	const one, two = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	resumable := fleet.Route{Kind: fleet.Stream, Resumable: true, MaxAttempts: 2}
	begin := withVersion("1", truncateBody(respondWithEvents(one)))
	for name, second := range map[string]func(context.Context, *Call) (*Response, error){
		"error":                 respondWith(500, "internal error"),
		"client error":          respondWith(404, "not here"),
		"another content type":  respondWith(200, "text"),
		"no content":            respondWith(204, ""),
		"not signed":            unsigned,
		"status without run":    respondWith(503, "busy"),
		"another model version": withVersion("2", respondWithEvents(two)),
	} {
		o := serve(t, resumable, &scriptedUpstreams{t: t, steps: steps{begin, second}}, fakeCrashTracker{})
		if o.status != 200 || o.body != one || !o.aborted {
			t.Errorf("%s: got %d %q, aborted %v", name, o.status, o.body, o.aborted)
		}
	}
	resumable.MaxAttempts = 3
	for name, third := range map[string]func(context.Context, *Call) (*Response, error){
		"the same model version": withVersion("1", respondWithEvents(two)),
		"no model version":       respondWithEvents(two),
	} {
		s := &scriptedUpstreams{t: t, steps: steps{begin, respondWith(500, "internal error"), third}}
		if o := serve(t, resumable, s, fakeCrashTracker{}); o.body != one+two || o.aborted {
			t.Errorf("%s: got %d %q, aborted %v", name, o.status, o.body, o.aborted)
		}
	}
}

// Guards against a response that looks complete to a caller that closed only its sending
// side, or was slow to be told that it was taken for gone.
func TestCancelledExchangeIsAborted(t *testing.T) {
	for name, body := range map[string]string{"nothing sent": "", "stream begun": "id: 1\ndata: a\n\n"} {
		ctx, cancel := context.WithCancel(t.Context())
		step := func(context.Context, *Call) (*Response, error) {
			defer cancel()
			if body == "" {
				return nil, context.Canceled
			}
			return truncateBody(respondWithEvents(body))(ctx, nil)
		}
		h := fleet.NewHolder()
		h.Configure(fleet.NewConfiguration(1, nil, fleet.Limits{}))
		h.Replace([]fleet.Record{{Version: 1, Upstream: fleet.Upstream{ID: "a", Service: "s", Slots: 4}}}, 10, time.Now())
		f := New(Config{Dispatcher: dispatch.New(dispatch.Config{Self: "g", Holder: h}), Upstreams: &scriptedUpstreams{t: t, steps: steps{step}},
			CrashTracker: fakeCrashTracker{}, Log: zerolog.Nop()})
		aborted := func() (aborted bool) {
			defer func() { aborted = recover() == http.ErrAbortHandler }()
			f.Serve(ctx, httptest.NewRecorder(), &Request{Call: Call{ID: "r"}, Service: "s", Arrived: time.Now(), CallerTimeout: time.Second,
				Route: &fleet.Route{Kind: fleet.Stream, Resumable: true, MaxAttempts: 2}})
			return false
		}()
		if !aborted {
			t.Errorf("%s: the response ended as if it were complete", name)
		}
		cancel()
	}
}

// drawnResponse is the nth of the responses that an upstream may give to a stream with
// three events.
func drawnResponse(n int, c *Call) (*Response, error) {
	next := 1
	if c.ResumeAfter != "" {
		_, _ = fmt.Sscan(c.ResumeAfter, &next) // IDs are numbers
		next++
	}
	ctx := context.Background()
	switch n {
	case 0, 1, 2: // breaks off after n events, within the next one
		upTo := min(next+n-1, 3)
		return truncateBody(respondWithEvents(strings.Join(eventTexts(next, upTo), "")+"id: "))(ctx, c)
	case 3:
		return respondWithEvents(strings.Join(eventTexts(next, 3), ""))(ctx, c)
	case 4:
		return respondWith(500, "internal error")(ctx, c)
	case 5:
		return respondWith(200, "plain")(ctx, c)
	case 6:
		return notExecuted(ctx, c)
	case 7:
		return respondWith(404, "not found")(ctx, c)
	case 8:
		return unsigned(ctx, c)
	case 9:
		return nil, errReset
	case 10:
		return truncateBody(respondWith(200, "plain"))(ctx, c)
	default:
		return respondWith(503, "busy")(ctx, c)
	}
}

// Guards against callers that take anything but one whole response for complete,
// whatever sequence of responses upstreams give.
func TestCompleteReplyIsOneWholeResponse(t *testing.T) {
	whole := map[string]int{strings.Join(eventTexts(1, 3), ""): 200, "plain": 200, "internal error": 500, "not found": 404,
		"Bad Gateway\n": 502, "Service Unavailable\n": 503, "Gateway Timeout\n": 504}
	parameters := gopter.DefaultTestParametersWithSeed(29)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("a complete reply is one whole response", prop.ForAll(func(drawn []int, attempts int) bool {
		s := &drawnUpstreams{drawn: drawn}
		o := serve(t, fleet.Route{Kind: fleet.Stream, Resumable: true, MaxAttempts: attempts}, s, fakeCrashTracker{})
		if o.aborted {
			return strings.HasPrefix(strings.Join(eventTexts(1, 3), ""), o.body)
		}
		status, known := whole[o.body]
		return known && status == o.status
	}, gen.SliceOfN(maxCalls, gen.IntRange(0, 11)), gen.IntRange(1, 4)))
	properties.TestingRun(t)
}

// drawnUpstreams answers the calls of one exchange with drawn responses.
type drawnUpstreams struct{ drawn []int }

func (s *drawnUpstreams) Call(_ context.Context, _ *fleet.Upstream, c *Call) (*Response, error) {
	n := s.drawn[0]
	s.drawn = s.drawn[1:]
	return drawnResponse(n, c)
}
