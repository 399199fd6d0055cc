// Package forward proxies callers' requests to upstreams and decides which
// requests may be retried. A request that may have been executed is retried only
// if its route allows it, and is reported as not executed only when that is
// certain. The caller either receives a complete response or sees its connection
// aborted.
package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/drain"
	"github.com/magnoliausher/magnoliausher/effect"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/hedge"
	"github.com/magnoliausher/magnoliausher/memory"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/poison"
)

// Errors of a call.
var (
	// ErrNotSent means that no byte of the request reached the upstream.
	ErrNotSent = errors.New("request was not sent")
	// ErrHeaderTimeout means that the response did not start in time. The upstream
	// may be slow or unreachable; that is no sign of a crash.
	ErrHeaderTimeout = errors.New("response did not start in time")
)

// Call is one attempt to execute a request on one upstream.
type Call struct {
	ID     string // request ID, shared by all attempts
	Host   string
	Method string
	Target string // path and query exactly as sent by the caller
	Header http.Header
	Body   []byte
	// Organisation of the caller; nil if the configuration has none, so that the header of
	// the request is passed on unchanged. An empty name stands for an anonymous caller.
	Organisation *string
	Remaining    time.Duration // time left for the upstream to respond; 0 means no limit
	// BySoftwareVersion: what comes of the call is taken to be of the software version that
	// the list names.
	BySoftwareVersion bool
	ResumeAfter       string // ID of the last event received; empty starts from the beginning
}

// Response is the response of an upstream.
type Response struct {
	Status      int
	Header      http.Header // end-to-end headers only
	NotExecuted bool        // the upstream states that it did not execute the request
	Leaving     bool        // the upstream states that it shuts down and must get no new requests
	Signed      bool        // carries the upstream's signature; a 2xx response without one did not come from the upstream
	EventStream bool        // the body is an event stream
	// ModelVersion is the version of the model that generates the response; empty if the
	// upstream names none.
	ModelVersion string
	// EndsWithConnection: the body has neither a length nor a closing mark, so its end
	// cannot be told from a connection that was closed early.
	EndsWithConnection bool
	Body               io.ReadCloser
}

// Upstreams sends calls to upstreams. After an error other than ErrNotSent it is
// unknown whether the request was executed.
type Upstreams interface {
	Call(ctx context.Context, u *fleet.Upstream, c *Call) (*Response, error)
}

const (
	// StreamIdleTimeout is the time without an event after which a resumable
	// stream is moved to another upstream, once one has a slot. It exceeds the
	// second that a slow but sound upstream may take for an event, and stays below
	// the two seconds after which callers give a silent stream up.
	StreamIdleTimeout = 1200 * time.Millisecond
	// ResponseHeaderTimeout is the corresponding limit for the start of the
	// response, which may be queued at the upstream behind a request that takes a
	// second.
	ResponseHeaderTimeout = 1200 * time.Millisecond
)

// CallWithHeaderTimeout makes a call and cancels it if the response does not
// start within headerTimeout, with ErrHeaderTimeout. The timeout does not apply to
// reading the body, which only ctx limits.
func CallWithHeaderTimeout(ctx context.Context, upstreams Upstreams, u *fleet.Upstream, c *Call, headerTimeout time.Duration) (*Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(headerTimeout, cancel)
	response, err := upstreams.Call(ctx, u, c)
	inTime := timer.Stop()
	if err != nil {
		cancel()
		if !inTime && !errors.Is(err, ErrNotSent) {
			return nil, ErrHeaderTimeout
		}
		return nil, err
	}
	if !inTime {
		_ = response.Body.Close() // the call is given up
		return nil, ErrHeaderTimeout
	}
	response.Body = &cancelOnCloseBody{response.Body, cancel}
	return response, nil
}

// cancelOnCloseBody cancels the context of its call on Close.
type cancelOnCloseBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (b *cancelOnCloseBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// CrashTracker tracks which requests have crashed upstreams.
type CrashTracker interface {
	// Admit decides whether a request that has arrived may be sent.
	Admit(subject *poison.Subject) poison.Admission
	// Recheck decides whether an admitted request may still be sent. It starts no trial.
	Recheck(subject *poison.Subject) poison.Admission
	// RecordBroken records that an upstream broke off its answer to the request after
	// a number of events, so that it may have crashed.
	RecordBroken(upstream *fleet.Upstream, subject *poison.Subject, events int)
	// RecordSound records that an upstream answers the request without crashing, in
	// full or so far.
	RecordSound(subject *poison.Subject, complete bool)
}

// Request is a caller's request with its complete body.
type Request struct {
	Call
	// Resumes is the ID of the request that began the stream to resume; empty if the caller
	// names none.
	Resumes             string
	Route               *fleet.Route
	Service             string
	ConfigVersion       uint64 // version of the configuration that selected the route
	UpstreamListVersion uint64 // version of the upstream list at arrival
	Arrived             time.Time
	CallerTimeout       time.Duration // time limit set by the caller; 0 if none
	Subject             poison.Subject
	Priority            int // 0 is served first
	// ReturnToken gives back the caller's token of the rate limit if the request ends
	// without having run; nil for none.
	ReturnToken func()
}

// Config is the configuration of a Forwarder.
type Config struct {
	Dispatcher   *dispatch.Dispatcher
	Upstreams    Upstreams
	CrashTracker CrashTracker
	Memory       *memory.Budget // for long answers; nil for no limit
	Shutdown     *drain.State   // of this process; nil for none
	Hedging      *hedge.Hedger  // nil for no hedging
	Origins      Origins        // of streams that callers take up again; nil if they cannot
	Log          zerolog.Logger
}

// Forwarder forwards requests to upstreams. It is safe for concurrent use.
type Forwarder struct{ cfg Config }

// classOnline is the class label of the metrics of this package. The name of a route
// would make a time series for each route that a configuration brings.
const classOnline = "online"

// New returns a forwarder.
func New(cfg Config) *Forwarder { return &Forwarder{cfg: cfg} }

const (
	// maxBufferedBytes is the largest response body that is buffered in full;
	// larger ones are streamed to the caller. 200 bodies of this size fit the memory
	// of the smallest instances.
	maxBufferedBytes = 256 << 10
	// maxBodyBytes limits a response body that is no event stream. A longer one is
	// cut off and counts as broken.
	maxBodyBytes = 64 << 20
	// defaultTimeout is the time limit of requests whose caller sets none, and the
	// header and idle timeout where a request cannot be resumed elsewhere.
	defaultTimeout = 60 * time.Second
	// maxCalls limits the upstreams tried for a request, including those that do
	// not execute it.
	maxCalls = 12
	// minAttemptTimeout is the shortest timeout of an attempt that may be retried.
	minAttemptTimeout = 100 * time.Millisecond
)

// exchange is the state of one request in progress.
type exchange struct {
	*Forwarder
	*Request
	reply           reply
	ctx             context.Context
	deadline        time.Time
	failedUpstreams map[string]bool // upstreams that failed or refused the request
	possibleRuns    int             // attempts that may have executed the request
	calls           int
	attemptCtx      context.Context // of the current attempt
	attemptEvents   int             // events of the current attempt, without empty ones
	trial           bool            // tests whether a part is blocked rightly, so that it is sent once only
	timeToFirstByte time.Duration   // from arrival until the response header is passed on
	silence         *silenceWatch   // of the current attempt; nil if it is not given up for silence
	nextGrant       *dispatch.Grant // of the next attempt; nil if it has to be acquired
	hedgeGrant      *dispatch.Grant // of the second of two attempts side by side; nil for none
	attemptLog      *zerolog.Array
	began           *fleet.Upstream // that sent the first event; nil before it
	beganAt         time.Time
	version         *string        // the only software version that can continue the stream; nil before it begins
	wait            *dispatch.Wait // of the first attempt that had to wait for a slot
	waited          time.Duration  // for slots, of all attempts
}

// errDone ends the attempts: the caller has been answered or has disconnected.
var errDone = errors.New("done")

// Serve forwards the request and writes the response to w. It panics with
// http.ErrAbortHandler to abort a response that cannot be completed.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, r *Request) {
	x := &exchange{Forwarder: f, Request: r, reply: reply{w: w}, failedUpstreams: make(map[string]bool), attemptLog: zerolog.Arr()}
	x.deadline = r.Arrived.Add(defaultTimeout)
	if r.CallerTimeout > 0 {
		x.deadline = r.Arrived.Add(r.CallerTimeout)
	}
	if r.Route.Timeout > 0 && r.Arrived.Add(r.Route.Timeout).Before(x.deadline) {
		x.deadline = r.Arrived.Add(r.Route.Timeout)
	}
	plan := f.cfg.Shutdown.Plan()
	limit := x.deadline
	if plan != nil && plan.AnsweredBy.Before(x.deadline) {
		x.deadline = plan.AnsweredBy
	}
	ctx, cancel := f.cfg.Shutdown.Context(ctx)
	defer cancel()
	deadlineCtx, cancelDeadline := context.WithDeadline(ctx, x.deadline)
	defer cancelDeadline()
	x.ctx = deadlineCtx
	defer x.reply.close()
	defer x.returnToken()
	defer x.releaseNext()
	if plan != nil && !plan.Admits(time.Now(), limit) {
		x.rejectUnexecuted(reasonShutdown, 0) // another gateway can take it at once
		return
	}
	admission := f.cfg.CrashTracker.Admit(&r.Subject)
	if admission.Blocked {
		x.rejectBlocked(admission)
		return
	}
	x.trial = admission.Trial
	if !x.findVersion() {
		x.rejectUnexecuted(reasonUnknownVersion, 0) // the caller can begin anew at once
		return
	}
	for x.attempt() == nil {
	}
}

// reasonShutdown is the reason for rejecting a request, or for ending it, in a shutdown.
const reasonShutdown = "shutting_down"

// reasonBlockedPart is the reason for rejecting a request with a part of its prompt that
// crashes upstreams.
const reasonBlockedPart = "blocked_part"

// rejectBlocked answers a request that is known to crash upstreams and has not run. One
// that is blocked as a whole ran before, under another id.
func (x *exchange) rejectBlocked(a poison.Admission) {
	if a.Cause == x.Subject.Request {
		x.writeError(http.StatusBadGateway, "blocked")
		return
	}
	x.rejectUnexecuted(reasonBlockedPart, a.RetryAfter)
}

// attempt sends the request to one more upstream. It returns errDone when the
// exchange has ended and nil when another attempt should follow.
func (x *exchange) attempt() error {
	grant, err := x.acquire()
	if err != nil {
		return x.failWithoutUpstream(err)
	}
	if a := x.cfg.CrashTracker.Recheck(&x.Subject); a.Blocked && !x.trial {
		grant.Release(dispatch.Cancelled)
		return x.failBlocked(a)
	}
	x.calls++
	x.attemptEvents = 0
	started := time.Now()
	ctx, cancel := x.attemptContext(x.possibleRuns + 1)
	defer cancel()
	x.attemptCtx = ctx
	call := x.Call
	call.Remaining = time.Until(x.deadline)
	call.BySoftwareVersion = x.Route.Kind == fleet.Stream && x.Route.Resumable
	if x.reply.lastEventID != "" {
		call.ResumeAfter = x.reply.lastEventID
	}
	if x.Route.Kind == fleet.Repeatable && x.cfg.Hedging.Enabled() {
		s := x.sendHedged(x.send(ctx, cancel, grant, started, call))
		defer s.cancel()
		return x.conclude(s.grant, s.started, s.response, s.err)
	}
	x.silence = x.watchSilence(grant.Upstream, cancel)
	defer x.endSilence()
	response, err := CallWithHeaderTimeout(ctx, x.cfg.Upstreams, grant.Upstream, &call, defaultTimeout)
	if err != nil && x.silence.gaveUp() && !errors.Is(err, ErrNotSent) {
		err = ErrHeaderTimeout
	}
	return x.conclude(grant, started, response, err)
}

// conclude passes a response on or ends its attempt. Its results are those of attempt.
func (x *exchange) conclude(grant *dispatch.Grant, started time.Time, response *Response, err error) error {
	if err != nil {
		return x.retryOrFail(x.recordCallFailure(grant, started, err), err.Error())
	}
	defer response.Body.Close()
	if response.Leaving {
		grant.MarkLeaving()
	}
	if response.NotExecuted {
		grant.Release(dispatch.Full)
		x.recordAttempt(grant, started, "not run")
		return x.retryOrFail(true, "not_run")
	}
	x.possibleRuns++
	use := x.reply.judge(response)
	switch use {
	case useEvents:
		return x.forwardStream(grant, started, response)
	case useBody:
		return x.forwardBuffered(grant, started, response)
	}
	metric.ResponseRejected(use.String())
	return x.failAttempt(grant, started, failure{reason: use.String() + " (status " + strconv.Itoa(response.Status) + ")"})
}

// outcome returns what is known of the request's execution from all calls made for it.
func (x *exchange) outcome() effect.Outcome {
	if x.possibleRuns == 0 && !x.reply.begun() {
		return effect.NotPerformed
	}
	return effect.Unknown
}

// returnToken gives the caller's token back if the request has not run.
func (x *exchange) returnToken() {
	if x.ReturnToken != nil && x.possibleRuns == 0 {
		x.ReturnToken()
	}
}

// acquire returns a grant for the next attempt.
func (x *exchange) acquire() (*dispatch.Grant, error) {
	grant := x.nextGrant
	x.nextGrant = nil
	for {
		if grant == nil {
			var err error
			if grant, err = x.acquireSlot(); err != nil {
				return nil, err
			}
		}
		// What is accepted may have changed since the request began to wait: the stream has
		// begun, or another version is listed.
		if accepts := x.accepts(); accepts == nil || accepts(grant.Upstream) {
			return grant, nil
		}
		grant.Release(dispatch.Cancelled)
		grant = nil
	}
}

func (x *exchange) acquireSlot() (*dispatch.Grant, error) {
	started := time.Now()
	request := x.placement(x.possibleRuns)
	grant, err := x.cfg.Dispatcher.Acquire(x.ctx, request)
	if request.Wait != nil {
		x.waited += time.Since(started)
		if x.wait == nil {
			x.wait = request.Wait
		}
	}
	return grant, err
}

// placement returns the dispatcher's request for an attempt that follows a number of
// possible runs.
func (x *exchange) placement(runs int) *dispatch.Request {
	return &dispatch.Request{
		Service:      x.Service,
		Organisation: x.organisationName(),
		Priority:     x.Priority,
		Begun:        runs > 0 || x.outcome() != effect.NotPerformed,
		Arrived:      x.Arrived,
		Objective:    x.Arrived.Add(x.Route.Objective),
		Deadline:     x.deadline,
		// The last attempt must not go to an upstream that is on probation.
		Repeatable: x.Route.Repeatable() && runs+1 < x.Route.MaxAttempts,
		Avoid:      x.failedUpstreams,
		Accepts:    x.accepts(),
	}
}

// organisationName returns the organisation of the caller, empty for none.
func (x *exchange) organisationName() string {
	if x.Organisation == nil {
		return ""
	}
	return *x.Organisation
}

// attemptContext limits an attempt of a repeatable request so that time remains
// for another upstream. runs is the number of possible runs including this attempt.
func (x *exchange) attemptContext(runs int) (context.Context, context.CancelFunc) {
	if x.Route.Kind != fleet.Repeatable || runs >= x.Route.MaxAttempts {
		return context.WithCancel(x.ctx)
	}
	timeout := max(time.Until(x.deadline)/2, minAttemptTimeout)
	return context.WithTimeout(x.ctx, timeout)
}
