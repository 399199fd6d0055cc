package entry

import (
	"context"
	"net/http"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/idempotency"
)

// serveOnce serves a call that must not be repeated. A caller that leaves does
// not cancel it: its outcome would only become unknown.
func (e *Entry) serveOnce(w http.ResponseWriter, r *http.Request, rq *request) *apierror.Error {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), rq.deadline)
	defer cancel()
	key := r.Header.Get(idempotencyHeader)
	if key == "" {
		return e.serveWithoutKey(ctx, w, r, rq)
	}
	if len(key) > idempotency.MaxKeyBytes || !visibleASCII(key) {
		return badRequest(codeHeader, idempotencyHeader, idempotencyHeader+" must be at most 255 visible ASCII characters.")
	}
	if e.config.Idempotency == nil {
		return unavailable(codeKeyUnavailable, "The instance has no store for idempotency keys.", e.config.RetryAfter)
	}
	rq.firstAttempt = attempt.NewID()
	begun := e.config.Idempotency.Begin(ctx, idempotency.Call{
		Caller: rq.caller.ID, Key: key, Attempt: rq.firstAttempt,
		Deadline:    rq.deadline.Add(e.config.IntentTimeout), // covers the recording of the answer
		RequestHash: idempotency.HashRequest(rq.service.Name, rq.method, rq.path, rq.body),
	}, rq.arrived)
	rq.log.Debug().Str("outcome", string(begun.Outcome)).Err(begun.Err).Msg("intent read")
	switch begun.Outcome {
	case idempotency.Fresh:
		return e.serveFresh(ctx, w, r, rq, begun.Intent)
	case idempotency.Recorded:
		replay(w, r, begun.Response, e)
		return nil
	}
	return e.earlierOutcome(begun.Outcome)
}

// serveWithoutKey makes one attempt.
func (e *Entry) serveWithoutKey(ctx context.Context, w http.ResponseWriter, r *http.Request, rq *request) *apierror.Error {
	rq.single = true
	out := newPlainSink(w, r, e.config.WriteTimeout, passThroughBytes)
	if _, fail := e.dispatch(ctx, rq, out); fail != nil {
		return e.failPlain(rq, out, fail)
	}
	out.finish()
	return nil
}

// serveFresh runs the call and ends its intent before the caller gets the answer.
func (e *Entry) serveFresh(ctx context.Context, w http.ResponseWriter, r *http.Request, rq *request, in *idempotency.Intent) *apierror.Error {
	out := newPlainSink(w, r, e.config.WriteTimeout, e.config.MaxResponseBytes)
	_, fail := e.dispatch(ctx, rq, out)
	e.endIntent(ctx, rq, out, in, fail)
	if fail != nil {
		return e.failPlain(rq, out, fail)
	}
	out.finish()
	return nil
}

// endIntent records the outcome. The request's deadline does not apply to it.
func (e *Entry) endIntent(ctx context.Context, rq *request, out *plainSink, in *idempotency.Intent, fail *apierror.Error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.config.IntentTimeout)
	defer cancel()
	var err error
	switch {
	case fail == nil && !out.sent:
		err = in.Finish(ctx, idempotency.Response{Status: out.status, Header: out.header, Body: out.body})
	case fail != nil && !rq.handedOver:
		err = in.MarkNotRun(ctx)
	default: // failed in doubt, or the answer was too large to keep
		err = in.MarkUnknown(ctx)
	}
	if err != nil {
		rq.log.Warn().Err(err).Msg("end of an intent is settled in the background")
	}
}

// replay sends a recorded answer.
func replay(w http.ResponseWriter, r *http.Request, a *idempotency.Response, e *Entry) {
	out := newPlainSink(w, r, e.config.WriteTimeout, e.config.MaxResponseBytes)
	out.status = a.Status
	out.header = a.Header.Clone()
	if out.header == nil {
		out.header = make(http.Header)
	}
	out.header.Set(replayedHeader, "true")
	out.body = a.Body
	out.finish()
}

// replayedHeader marks an answer recorded by an earlier request.
const replayedHeader = "Idempotent-Replayed"

// earlierOutcome answers a resend whose first request has no answer to replay.
func (e *Entry) earlierOutcome(o idempotency.Outcome) *apierror.Error {
	var err *apierror.Error
	switch o {
	case idempotency.InProgress:
		err = refusal(http.StatusConflict, typeConflict, codeKeyInProgress, "A request with this idempotency key is in progress.")
		err.Executed = attempt.ExecutedUnknown
		err.RetryAfter = e.config.RetryAfter
	case idempotency.Unknown:
		err = refusal(http.StatusConflict, typeConflict, codeKeyUnknown, "A request with this idempotency key may have run; its answer is not known.")
		err.Executed = attempt.ExecutedUnknown
	case idempotency.Mismatch:
		err = refusal(http.StatusUnprocessableEntity, typeInvalid, codeKeyMismatch, "The idempotency key was used for another request.")
	default:
		err = unavailable(codeKeyUnavailable, "The idempotency key could not be stored; the request was not run.", e.config.RetryAfter)
	}
	return err
}
