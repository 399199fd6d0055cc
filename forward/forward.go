// Package forward takes a caller's request to upstreams and its answer back.
// It decides what may be sent again: a request that may have run is sent again
// only where its route allows, and is called "not run" only when that is
// certain. The answer of an upstream reaches the caller whole or ends broken.
package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/metric"
)

// ErrNotSent: no byte of the request reached the upstream.
var ErrNotSent = errors.New("request was not sent")

// Call is one attempt at one upstream.
type Call struct {
	ID          string // of the request; the same for all its attempts
	Host        string
	Method      string
	Target      string // path and query as the caller sent them
	Header      http.Header
	Body        []byte
	Remaining   time.Duration // time that the upstream has; 0 for no limit
	ResumeAfter string        // id of the last event already had; empty for the start
}

// Response is what an upstream returned.
type Response struct {
	Status      int
	Header      http.Header // end-to-end fields
	NotExecuted bool        // the upstream states that it did not run the request
	Signed      bool        // it carries the upstream's signature; a success without one is not its answer
	EventStream bool        // the body is an event stream
	Body        io.ReadCloser
}

// Upstreams sends calls. Errors other than ErrNotSent leave open whether the
// request ran.
type Upstreams interface {
	Call(ctx context.Context, u *fleet.Upstream, c *Call) (*Response, error)
}

const (
	// StreamIdleTimeout: a stream that may go on elsewhere is moved after this long
	// without an event. Engines send one every 30 ms; a long prompt delays one by
	// 200 ms.
	StreamIdleTimeout = 700 * time.Millisecond
	// ResponseHeaderTimeout is the same before the first event, which may wait in the
	// upstream's queue behind a request of a second.
	ResponseHeaderTimeout = 1200 * time.Millisecond
)

// CallWithHeaderTimeout makes a call that ends if the answer does not begin in time. The
// answer's body is bound to ctx alone.
func CallWithHeaderTimeout(ctx context.Context, upstreams Upstreams, u *fleet.Upstream, c *Call, limit time.Duration) (*Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(limit, cancel)
	answer, err := upstreams.Call(ctx, u, c)
	if err != nil {
		cancel()
		return nil, err
	}
	if !timer.Stop() {
		answer.Body.Close()
		return nil, context.DeadlineExceeded
	}
	answer.Body = &boundBody{answer.Body, cancel}
	return answer, nil
}

// boundBody ends the context of its call when it is closed.
type boundBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (b *boundBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// CrashTracker tells which requests have crashed upstreams.
type CrashTracker interface {
	// Blocked reports whether the request must not be sent any more.
	Blocked(fingerprint uint64) bool
	// RecordCrash records that the request was running when an upstream broke off.
	RecordCrash(upstream *fleet.Upstream, fingerprint uint64)
}

// Request is one request of a caller, read whole.
type Request struct {
	Call
	Route               *fleet.Route
	Service             string
	ConfigVersion       uint64 // version that chose the route
	UpstreamListVersion uint64 // version of the list of upstreams at arrival
	Arrived             time.Time
	CallerTimeout       time.Duration // how long the caller waits; 0 if it does not say
	Fingerprint         uint64        // equal for the same request sent again
}

// Config of a Forwarder.
type Config struct {
	Dispatcher   *dispatch.Dispatcher
	Upstreams    Upstreams
	CrashTracker CrashTracker
	Log          zerolog.Logger
}

// Forwarder is safe for concurrent use.
type Forwarder struct{ cfg Config }

// New returns a forwarder.
func New(cfg Config) *Forwarder { return &Forwarder{cfg: cfg} }

const (
	// maxHeld bounds an answer that is read whole before it is passed on; larger
	// ones are passed on as they come.
	maxHeld = 1 << 20
	// noDeadline stands for the patience of callers without a time limit.
	noDeadline = 60 * time.Second
	// maxOffers bounds the upstreams that are asked in turn and do not run the request.
	maxOffers = 12
	// minAttempt is the least time given to an attempt before another is tried.
	minAttempt = 100 * time.Millisecond
)

// exchange is the state of one request in progress.
type exchange struct {
	*Forwarder
	*Request
	w        http.ResponseWriter
	ctx      context.Context
	deadline time.Time
	tried    map[string]bool // upstreams that broke off or refused
	runs     int             // attempts that may have run
	offers   int
	headSent bool
	lastID   string
	events   int
	first    time.Duration // from arrival to the first byte for the caller
	stepLog  *zerolog.Array
}

// errDone ends the attempts: the caller has its answer or is gone.
var errDone = errors.New("done")

// Serve answers the request. It panics with http.ErrAbortHandler to break off
// an answer that cannot be completed.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, r *Request) {
	x := &exchange{Forwarder: f, Request: r, w: w, tried: make(map[string]bool), stepLog: zerolog.Arr()}
	x.deadline = r.Arrived.Add(noDeadline)
	if r.CallerTimeout > 0 {
		x.deadline = r.Arrived.Add(r.CallerTimeout)
	}
	if r.Route.Timeout > 0 && r.Arrived.Add(r.Route.Timeout).Before(x.deadline) {
		x.deadline = r.Arrived.Add(r.Route.Timeout)
	}
	limited, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.ctx = limited
	if f.cfg.CrashTracker.Blocked(r.Fingerprint) {
		x.fail(http.StatusBadGateway, "blocked")
		return
	}
	for x.attempt() == nil {
	}
}

// attempt offers the request to one more upstream. It returns errDone when the
// exchange is over.
func (x *exchange) attempt() error {
	grant, err := x.acquire()
	if err != nil {
		return x.unplaced(err)
	}
	x.offers++
	started := time.Now()
	ctx, cancel := x.attemptContext()
	defer cancel()
	call := x.Call
	call.Remaining = time.Until(x.deadline)
	if x.lastID != "" {
		call.ResumeAfter = x.lastID
	}
	answer, err := CallWithHeaderTimeout(ctx, x.cfg.Upstreams, grant.Upstream, &call, x.headLimit())
	if err != nil {
		outcome := x.callFailed(grant, err)
		grant.Release(outcome)
		x.step(grant, started, err.Error())
		return x.again(outcome == dispatch.ConnectFailed, err.Error())
	}
	defer answer.Body.Close()
	if answer.NotExecuted {
		grant.Release(dispatch.Full)
		x.step(grant, started, "not run")
		return x.again(true, "not_run")
	}
	x.runs++
	if answer.Status/100 == 2 && !answer.Signed {
		return x.spoilt(grant, started, "no_signature")
	}
	if answer.EventStream && answer.Status == http.StatusOK {
		return x.stream(grant, started, answer)
	}
	return x.whole(grant, started, answer)
}

func (x *exchange) acquire() (*dispatch.Grant, error) {
	return x.cfg.Dispatcher.Acquire(x.ctx, &dispatch.Request{
		Service:   x.Service,
		Priority:  x.Route.Priority,
		Arrived:   x.Arrived,
		Objective: x.Arrived.Add(x.Route.Objective),
		Deadline:  x.deadline,
		// Without a further attempt it must not be risked on an upstream on trial.
		Repeatable: x.Route.Repeatable() && x.runs+1 < x.Route.MaxAttempts,
		Avoid:      x.tried,
	})
}

// attemptContext bounds an attempt whose request may be repeated, so that time
// is left for another upstream.
func (x *exchange) attemptContext() (context.Context, context.CancelFunc) {
	if x.Route.Kind != fleet.Repeatable || x.runs+1 >= x.Route.MaxAttempts {
		return context.WithCancel(x.ctx)
	}
	slice := max(time.Until(x.deadline)/2, minAttempt)
	return context.WithTimeout(x.ctx, slice)
}

// headLimit is how long an upstream may take to begin its answer: not long if
// the stream can go on elsewhere.
func (x *exchange) headLimit() time.Duration {
	if x.Route.Kind == fleet.Stream && x.Route.Resumable && x.runs+1 < x.Route.MaxAttempts {
		return ResponseHeaderTimeout
	}
	return noDeadline
}

// callFailed classifies an error before any answer.
func (x *exchange) callFailed(grant *dispatch.Grant, err error) dispatch.Outcome {
	switch {
	case errors.Is(err, ErrNotSent):
		if x.ctx.Err() != nil {
			return dispatch.Cancelled
		}
		x.tried[grant.Upstream.ID] = true
		return dispatch.ConnectFailed
	case x.ctx.Err() != nil:
		x.runs++
		return dispatch.Cancelled
	}
	x.runs++
	x.tried[grant.Upstream.ID] = true
	x.cfg.CrashTracker.RecordCrash(grant.Upstream, x.Fingerprint)
	return dispatch.Broken
}

// again decides whether the request may be offered to a further upstream.
func (x *exchange) again(notRun bool, reason string) error {
	if x.ctx.Err() != nil {
		return x.timeUp()
	}
	if x.offers >= maxOffers {
		return x.unplaced(dispatch.ErrNoCapacity)
	}
	if notRun {
		metric.Retried(x.Service, x.Route.Name, "not_run")
		return nil
	}
	if x.Route.Repeatable() && x.runs < x.Route.MaxAttempts && !x.cfg.CrashTracker.Blocked(x.Fingerprint) {
		metric.Retried(x.Service, x.Route.Name, "broken")
		return nil
	}
	return x.giveUp(reason)
}

// unplaced ends an exchange that gets no (further) upstream.
func (x *exchange) unplaced(err error) error {
	if x.ctx.Err() != nil {
		return x.timeUp()
	}
	if x.runs > 0 || x.headSent {
		return x.giveUp(err.Error())
	}
	x.reject(err.Error())
	return errDone
}

// timeUp ends an exchange at its deadline or when the caller has gone.
func (x *exchange) timeUp() error {
	if errors.Is(x.ctx.Err(), context.Canceled) {
		x.log(0, "caller_gone")
		return errDone
	}
	if x.runs == 0 && !x.headSent {
		x.reject("deadline")
		return errDone
	}
	if x.headSent {
		return x.breakOff("deadline")
	}
	x.fail(http.StatusGatewayTimeout, "deadline")
	return errDone
}

// giveUp ends an exchange whose request may have run and cannot be completed.
func (x *exchange) giveUp(reason string) error {
	if x.headSent {
		return x.breakOff(reason)
	}
	x.fail(http.StatusBadGateway, reason)
	return errDone
}
