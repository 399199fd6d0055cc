package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/link"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// ending says how an attempt ended.
type ending uint8

const (
	endWhole       ending = iota // an end event arrived
	endNotSent                   // there was no link, so nothing was sent
	endRefused                   // the agent confirmed that it did not hand the attempt over
	endNotAccepted               // cancelled because the agent did not accept it in time
	endFailed                    // lost after a possible hand-over
	endEngineError               // the engine refused the request itself, as any engine would
	endDeadline
	endCallerGone
	endStopped // the answer cannot be passed on, for example because it is too large
)

// Reasons of attempts that ended without a whole answer, in logs and as labels
// of the retry counter, beside those that agents give.
const (
	reasonNoLink      = "no_link"
	reasonNotAccepted = "not_accepted"
	reasonNoProgress  = "no_progress"
	reasonLost        = "connection_lost"
	reasonTruncated   = "truncated"
	reasonProtocol    = "protocol_error"
	reasonProbe       = "probe_failed"
	reasonEngineError = "engine_error"
)

// result is how an attempt ended.
type result struct {
	ending     ending
	reason     string
	executed   attempt.Executed // of endFailed and endEngineError
	crashed    bool             // the upstream crashed
	retryAfter time.Duration    // of endRefused
	end        *rpc.End         // of endWhole
	cause      error            // of endStopped
}

// sink takes the events of a request's attempts in order. An error ends the
// attempt: errCallerGone, errProtocol, or one that cannot be retried.
type sink interface {
	head(h *rpc.Head) error
	text(d *rpc.Delta) error
	data(b []byte) error
	// resumable reports whether another attempt can continue the answer.
	resumable() bool
}

var (
	errCallerGone  = errors.New("the caller takes no more data")
	errNotAccepted = errors.New("attempt was not accepted in time")
	errNoProgress  = errors.New("attempt made no progress")
)

// run performs one attempt on the upstream. reroute is asked once if a
// repeatable attempt is not accepted in time, and may be nil.
func (e *Entry) run(ctx context.Context, rq *request, up *link.Upstream, msg *rpc.RunRequest, out sink, reroute func() bool) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatchdog(cancel, e.progressTimeout(rq), reroute)
	watch.start(e.config.AcceptTimeout)
	defer watch.stop()
	stream, err := e.config.Runner.Run(ctx, up.AgentID, msg)
	if err != nil {
		return interrupted(ctx, err, false)
	}
	defer stream.Close()
	a := receiver{rq: rq, id: msg.AttemptId, out: out, watch: watch}
	for {
		ev, err := stream.Recv()
		if err != nil {
			return interrupted(ctx, err, a.seen)
		}
		if res, ended := a.event(ev); ended {
			return res
		}
	}
}

func (e *Entry) progressTimeout(rq *request) time.Duration {
	if rq.plain() {
		return e.config.PlainProgressTimeout
	}
	return e.config.EngineProgressTimeout
}

// interrupted classifies a stream that ended without a final event. seen is set
// when the attempt had an event, after which nothing can count as not sent.
func interrupted(ctx context.Context, err error, seen bool) result {
	switch cause := context.Cause(ctx); {
	case !seen && errors.Is(err, link.ErrNoLink):
		return result{ending: endNotSent, reason: reasonNoLink}
	case errors.Is(cause, errNotAccepted):
		return result{ending: endNotAccepted, reason: reasonNotAccepted}
	case errors.Is(cause, errNoProgress):
		return result{ending: endFailed, reason: reasonNoProgress, executed: attempt.ExecutedUnknown}
	case errors.Is(cause, context.DeadlineExceeded):
		return result{ending: endDeadline, reason: codeDeadline}
	case cause != nil:
		return result{ending: endCallerGone, reason: codeCallerGone}
	case errors.Is(err, io.EOF):
		return result{ending: endFailed, reason: reasonTruncated, executed: attempt.ExecutedUnknown}
	}
	return result{ending: endFailed, reason: reasonLost, executed: attempt.ExecutedUnknown}
}

// receiver passes the events of one attempt on.
type receiver struct {
	rq       *request
	id       string
	out      sink
	watch    *watchdog
	seen     bool // an event of the attempt arrived
	accepted bool
	status   uint32 // of the head, 0 before it
	started  bool   // the upstream has produced something
}

// event handles one event. ended is true after the last one of the attempt.
func (a *receiver) event(ev *rpc.RunEvent) (res result, ended bool) {
	if ev.AttemptId != a.id {
		countCrossed(a.rq.serviceName())
		a.rq.log.Debug().Str("attempt", a.id).Str("other", ev.AttemptId).Msg("dropped an event of another attempt")
		return result{}, false
	}
	now := time.Now()
	a.seen = true
	a.watch.progress(now)
	a.watch.pause(true)
	defer a.watch.pause(false)
	switch x := ev.Event.(type) {
	case *rpc.RunEvent_Accepted:
		a.accepted = true
		return result{}, false
	case *rpc.RunEvent_Head:
		return a.pass(a.onHead(x.Head))
	case *rpc.RunEvent_Delta:
		return a.pass(a.onDelta(x.Delta, now))
	case *rpc.RunEvent_Data:
		return a.pass(a.onData(x.Data))
	case *rpc.RunEvent_End:
		return a.onEnd(x.End), true
	case *rpc.RunEvent_Refused:
		return a.onRefused(x.Refused), true
	case *rpc.RunEvent_Failed:
		return a.onFailed(x.Failed), true
	}
	return result{}, false // an event kind of a later version
}

var errProtocol = errors.New("events are out of order")

func (a *receiver) onHead(h *rpc.Head) error {
	if a.status != 0 || a.started || h.GetStatus() == 0 {
		return errProtocol
	}
	a.status = h.GetStatus()
	return a.out.head(h)
}

func (a *receiver) onDelta(d *rpc.Delta, now time.Time) error {
	if a.rq.plain() {
		return errProtocol
	}
	a.observe(now, d.Tokens)
	a.rq.lastToken = now
	a.started = true
	if err := a.out.text(d); err != nil {
		return err
	}
	a.rq.delivered.WriteString(d.Text)
	a.rq.deliveredTokens += int(d.Tokens)
	return nil
}

// observe records the time to the request's first token or since its last one,
// which includes the time that a resume takes.
func (a *receiver) observe(now time.Time, tokens uint32) {
	if a.rq.lastToken.IsZero() {
		observeFirst(a.rq.serviceName(), now.Sub(a.rq.arrived))
		return
	}
	a.rq.observeInterval(now.Sub(a.rq.lastToken), tokens)
}

func (a *receiver) onData(b []byte) error {
	if a.status == 0 {
		return errProtocol
	}
	return a.out.data(b)
}

func (a *receiver) onEnd(end *rpc.End) result {
	if a.rq.plain() && a.status == 0 {
		return result{ending: endFailed, reason: reasonProtocol, executed: attempt.ExecutedUnknown}
	}
	if !a.rq.plain() && a.status >= http.StatusBadRequest {
		return a.onEngineError(result{executed: attempt.ExecutedUnknown})
	}
	if end == nil {
		end = &rpc.End{}
	}
	return result{ending: endWhole, end: end}
}

// onRefused trusts a refusal only before acceptance and any output, since an
// agent accepts an attempt when it hands it over.
func (a *receiver) onRefused(r *rpc.Refused) result {
	if a.accepted || a.started || a.status != 0 {
		return result{ending: endFailed, reason: reasonProtocol, executed: attempt.ExecutedUnknown}
	}
	wait := time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	return result{ending: endRefused, reason: label(r.GetReason()), retryAfter: wait}
}

func (a *receiver) onFailed(f *rpc.Failed) result {
	executed := attempt.ExecutedUnknown
	if f.GetExecuted() == rpc.Executed_EXECUTED_NO {
		executed = attempt.ExecutedNo
	}
	res := result{ending: endFailed, reason: label(f.GetReason()), executed: executed, crashed: f.GetUpstreamCrashed()}
	if !a.rq.plain() && a.status >= http.StatusBadRequest {
		return a.onEngineError(res)
	}
	return res
}

// onEngineError ends the request with a client error of the engine, since any
// engine would give the same. After an overload or a server error another
// engine may do better.
func (a *receiver) onEngineError(res result) result {
	res.ending = endFailed
	res.reason = reasonEngineError
	if a.status < http.StatusInternalServerError && a.status != http.StatusTooManyRequests {
		res.ending = endEngineError
	}
	return res
}

// maxLabelBytes keeps an agent's free text from becoming a metric label.
const maxLabelBytes = 40

// label keeps reasons that are plain identifiers.
func label(reason string) string {
	if reason == "" || len(reason) > maxLabelBytes {
		return "other"
	}
	for _, c := range reason {
		if (c < 'a' || c > 'z') && c != '_' {
			return "other"
		}
	}
	return reason
}

// pass turns the sink's error into the attempt's end.
func (a *receiver) pass(err error) (result, bool) {
	a.watch.progress(time.Now())
	switch {
	case err == nil:
		return result{}, false
	case errors.Is(err, errCallerGone):
		return result{ending: endCallerGone, reason: codeCallerGone}, true
	case errors.Is(err, errProtocol):
		return result{ending: endFailed, reason: reasonProtocol, executed: attempt.ExecutedUnknown}, true
	}
	return result{ending: endStopped, reason: codeAnswerTooLarge, cause: err}, true
}
