package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/link"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// outcome describes how an attempt ended.
type outcome uint8

const (
	outcomeComplete    outcome = iota // an end event arrived
	outcomeNotSent                    // there was no link, so nothing was sent
	outcomeRefused                    // the agent confirmed that it did not hand the attempt over
	outcomeNotAccepted                // cancelled because the agent did not accept it in time
	outcomeFailed                     // lost after a possible hand-over
	outcomeEngineError                // the engine rejected the request itself, as any engine would
	outcomeDeadline
	outcomeCallerGone
	outcomeAborted // the response cannot be passed on, for example because it is too large
)

// Reasons of attempts that did not complete, in logs and as labels of the retry
// counter. Agents report further ones.
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

// result describes the end of an attempt.
type result struct {
	outcome    outcome
	reason     string
	executed   attempt.Executed // for outcomeFailed and outcomeEngineError
	crashed    bool             // the upstream crashed
	retryAfter time.Duration    // for outcomeRefused
	end        *rpc.End         // for outcomeComplete
	cause      error            // for outcomeAborted
}

// sink receives the events of a request's attempts in order. An error ends the attempt:
// errCallerGone, errProtocol, or one that cannot be retried.
type sink interface {
	head(h *rpc.Head) error
	text(d *rpc.Delta) error
	data(b []byte) error
	// resumable reports whether another attempt can continue the response.
	resumable() bool
}

var (
	errCallerGone  = errors.New("caller disconnected or stopped reading")
	errNotAccepted = errors.New("attempt was not accepted in time")
	errNoProgress  = errors.New("attempt made no progress")
)

// run performs one attempt on the upstream. reroute may be nil; it is called once if a
// repeatable attempt is not accepted in time.
func (e *Entry) run(ctx context.Context, rq *request, up *link.Upstream, msg *rpc.RunRequest, out sink, reroute func() bool) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatchdog(cancel, e.progressTimeout(rq), reroute)
	watch.start(e.config.AcceptTimeout)
	defer watch.stop()
	stream, err := e.config.Runner.Run(ctx, up.AgentID, msg)
	if err != nil {
		return classifyStreamError(ctx, err, false)
	}
	defer stream.Close()
	a := receiver{rq: rq, id: msg.AttemptId, out: out, watch: watch, suspects: e.config.Suspects}
	for {
		ev, err := stream.Recv()
		if err != nil {
			return classifyStreamError(ctx, err, a.hasEvents)
		}
		if res, ended := a.handleEvent(ev); ended {
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

// classifyStreamError classifies a stream that ended without a final event. An attempt
// with hasEvents set cannot count as not sent.
func classifyStreamError(ctx context.Context, err error, hasEvents bool) result {
	switch cause := context.Cause(ctx); {
	case !hasEvents && errors.Is(err, link.ErrNoLink):
		return result{outcome: outcomeNotSent, reason: reasonNoLink}
	case errors.Is(cause, errNotAccepted):
		return result{outcome: outcomeNotAccepted, reason: reasonNotAccepted}
	case errors.Is(cause, errNoProgress):
		return result{outcome: outcomeFailed, reason: reasonNoProgress, executed: attempt.ExecutedUnknown}
	case errors.Is(cause, context.DeadlineExceeded):
		return result{outcome: outcomeDeadline, reason: codeDeadlineExceeded}
	case cause != nil:
		return result{outcome: outcomeCallerGone, reason: codeCallerGone}
	case errors.Is(err, io.EOF):
		return result{outcome: outcomeFailed, reason: reasonTruncated, executed: attempt.ExecutedUnknown}
	}
	return result{outcome: outcomeFailed, reason: reasonLost, executed: attempt.ExecutedUnknown}
}

// receiver processes the events of one attempt.
type receiver struct {
	rq        *request
	id        string
	out       sink
	watch     *watchdog
	hasEvents bool // an event of the attempt has arrived
	accepted  bool
	status    uint32 // of the head event, 0 before it
	hasOutput bool   // the upstream has produced output
	outputs   int    // pieces of text
	suspects  Suspects
}

// handleEvent handles one event. ended is true after the last one of the attempt.
func (a *receiver) handleEvent(ev *rpc.RunEvent) (res result, ended bool) {
	if ev.AttemptId != a.id {
		countMisroutedEvent(a.rq.serviceName())
		a.rq.log.Debug().Str("attempt", a.id).Str("other", ev.AttemptId).Msg("dropped an event of another attempt")
		return result{}, false
	}
	now := time.Now()
	a.hasEvents = true
	a.watch.recordProgress(now)
	a.watch.setDelivering(true)
	defer a.watch.setDelivering(false)
	switch x := ev.Event.(type) {
	case *rpc.RunEvent_Accepted:
		a.accepted = true
		return result{}, false
	case *rpc.RunEvent_Head:
		return a.sinkResult(a.onHead(x.Head))
	case *rpc.RunEvent_Delta:
		return a.sinkResult(a.onDelta(x.Delta, now))
	case *rpc.RunEvent_Data:
		return a.sinkResult(a.onData(x.Data))
	case *rpc.RunEvent_End:
		return a.onEnd(x.End), true
	case *rpc.RunEvent_Refused:
		return a.onRefused(x.Refused), true
	case *rpc.RunEvent_Failed:
		return a.onFailed(x.Failed), true
	}
	return result{}, false // event type of a later version
}

var errProtocol = errors.New("unexpected or out-of-order event")

func (a *receiver) onHead(h *rpc.Head) error {
	if a.status != 0 || a.hasOutput || h.GetStatus() == 0 {
		return errProtocol
	}
	a.status = h.GetStatus()
	if a.rq.plain() {
		// A service that promises "not run" knows nothing of earlier attempts.
		status := a.rq.executed().Outcome().Status(int(h.GetStatus()))
		h = &rpc.Head{Status: uint32(status), Headers: h.GetHeaders()}
	}
	return a.out.head(h)
}

func (a *receiver) onDelta(d *rpc.Delta, now time.Time) error {
	if a.rq.plain() {
		return errProtocol
	}
	a.observeToken(now, d.Tokens)
	a.rq.lastTokenAt = now
	a.hasOutput = true
	if err := a.out.text(d); err != nil {
		return err
	}
	a.rq.deliveredText.WriteString(d.Text)
	a.rq.deliveredTokens += int(d.Tokens)
	if a.outputs++; a.outputs == poison.SoundOutputs && a.suspects != nil && len(a.rq.parts) > 0 {
		a.suspects.RecordSound(poison.PartsOf(a.rq.id, a.rq.parts), now)
	}
	return nil
}

// observeToken records the time to the request's first token, or the interval since the
// last one, which includes the time that a resume takes.
func (a *receiver) observeToken(now time.Time, tokens uint32) {
	if a.rq.lastTokenAt.IsZero() {
		observeFirstToken(a.rq.serviceName(), now.Sub(a.rq.arrivedAt))
		return
	}
	a.rq.observeInterval(now.Sub(a.rq.lastTokenAt), tokens)
}

func (a *receiver) onData(b []byte) error {
	if a.status == 0 {
		return errProtocol
	}
	return a.out.data(b)
}

func (a *receiver) onEnd(end *rpc.End) result {
	if a.rq.plain() && a.status == 0 {
		return result{outcome: outcomeFailed, reason: reasonProtocol, executed: attempt.ExecutedUnknown}
	}
	if !a.rq.plain() && a.status >= http.StatusBadRequest {
		return a.onEngineError(result{executed: attempt.ExecutedUnknown})
	}
	if end == nil {
		end = &rpc.End{}
	}
	return result{outcome: outcomeComplete, end: end}
}

// onRefused accepts a refusal only before acceptance and any output, since an agent
// accepts an attempt when it hands it over, and not the refusal of a copy.
func (a *receiver) onRefused(r *rpc.Refused) result {
	if admission.Reason(r.GetReason()).ProvesNothing() {
		return result{outcome: outcomeFailed, reason: reasonLabel(r.GetReason()), executed: attempt.ExecutedUnknown}
	}
	if a.accepted || a.hasOutput || a.status != 0 {
		return result{outcome: outcomeFailed, reason: reasonProtocol, executed: attempt.ExecutedUnknown}
	}
	wait := time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	return result{outcome: outcomeRefused, reason: reasonLabel(r.GetReason()), retryAfter: wait}
}

func (a *receiver) onFailed(f *rpc.Failed) result {
	executed := attempt.ExecutedUnknown
	if f.GetExecuted() == rpc.Executed_EXECUTED_NO {
		executed = attempt.ExecutedNo
	}
	res := result{outcome: outcomeFailed, reason: reasonLabel(f.GetReason()), executed: executed, crashed: f.GetUpstreamCrashed()}
	if !a.rq.plain() && a.status >= http.StatusBadRequest {
		return a.onEngineError(res)
	}
	return res
}

// onEngineError ends the request on a client error of the engine, since any engine
// would return the same. After an overload or a server error, another engine may
// succeed.
func (a *receiver) onEngineError(res result) result {
	res.outcome = outcomeFailed
	res.reason = reasonEngineError
	if a.status < http.StatusInternalServerError && a.status != http.StatusTooManyRequests {
		res.outcome = outcomeEngineError
	}
	return res
}

// maxLabelBytes prevents an agent's free text from becoming a metric label.
const maxLabelBytes = 40

// reasonLabel returns the reason if it is a plain identifier, else "other".
func reasonLabel(reason string) string {
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

// sinkResult converts the error of the sink into the result of the attempt.
func (a *receiver) sinkResult(err error) (result, bool) {
	a.watch.recordProgress(time.Now())
	switch {
	case err == nil:
		return result{}, false
	case errors.Is(err, errCallerGone):
		return result{outcome: outcomeCallerGone, reason: codeCallerGone}, true
	case errors.Is(err, errProtocol):
		return result{outcome: outcomeFailed, reason: reasonProtocol, executed: attempt.ExecutedUnknown}, true
	}
	return result{outcome: outcomeAborted, reason: codeAnswerTooLarge, cause: err}, true
}
