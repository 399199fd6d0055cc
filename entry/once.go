package entry

import (
	"context"
	"net/http"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/effect"
	"github.com/magnoliausher/magnoliausher/idempotency"
)

// serveNonRepeatable serves a call that must not be repeated. It is not cancelled when
// the caller disconnects, since that would only make its outcome unknown.
func (e *Entry) serveNonRepeatable(w http.ResponseWriter, r *http.Request, rq *request) *apierror.Error {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), rq.deadline)
	defer cancel()
	key := r.Header.Get(idempotencyHeader)
	if key == "" {
		return e.serveWithoutKey(ctx, w, r, rq)
	}
	if len(key) > idempotency.MaxKeyBytes || !visibleASCII(key) {
		return badRequest(codeInvalidHeader, idempotencyHeader, idempotencyHeader+" must be at most 255 visible ASCII characters.")
	}
	if e.config.Idempotency == nil {
		return unavailable(codeKeyUnavailable, "The instance has no store for idempotency keys.", e.config.RetryAfter)
	}
	rq.firstAttempt = attempt.NewID()
	intentResult := e.config.Idempotency.Begin(ctx, idempotency.Call{
		Caller: rq.caller.ID, Key: key, Attempt: rq.firstAttempt,
		Deadline:    rq.deadline.Add(e.config.IntentTimeout), // covers recording the response
		RequestHash: idempotency.HashRequest(rq.service.Name, rq.method, rq.path, rq.body),
	}, rq.arrivedAt)
	rq.log.Debug().Str("outcome", string(intentResult.Outcome)).Err(intentResult.Err).Msg("idempotency key checked")
	switch intentResult.Outcome {
	case idempotency.Fresh:
		return e.serveWithIntent(ctx, w, r, rq, intentResult.Intent)
	case idempotency.Recorded:
		replayResponse(w, r, intentResult.Response, e)
		return nil
	}
	return e.idempotencyError(&intentResult)
}

// serveWithoutKey makes a single attempt.
func (e *Entry) serveWithoutKey(ctx context.Context, w http.ResponseWriter, r *http.Request, rq *request) *apierror.Error {
	rq.singleAttempt = true
	out := newPlainSink(w, r, e.config.WriteTimeout, maxBufferedBytes)
	if _, fail := e.dispatch(ctx, rq, out); fail != nil {
		return e.abortPlain(rq, out, fail)
	}
	out.finish()
	return nil
}

// serveWithIntent dispatches the call and ends its intent before the response is sent
// to the caller.
func (e *Entry) serveWithIntent(ctx context.Context, w http.ResponseWriter, r *http.Request, rq *request, in *idempotency.Intent) *apierror.Error {
	out := newPlainSink(w, r, e.config.WriteTimeout, e.config.MaxResponseBytes)
	_, fail := e.dispatch(ctx, rq, out)
	e.endIntent(ctx, rq, out, in, fail)
	if fail != nil {
		return e.abortPlain(rq, out, fail)
	}
	out.finish()
	return nil
}

// endIntent records the outcome. It has its own timeout instead of the request's
// deadline.
func (e *Entry) endIntent(ctx context.Context, rq *request, out *plainSink, in *idempotency.Intent, fail *apierror.Error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.config.IntentTimeout)
	defer cancel()
	var err error
	switch {
	case fail == nil && !out.headerSent:
		err = in.Finish(ctx, idempotency.Response{Status: out.status, Header: out.header, Body: out.body})
	case fail != nil && !rq.handedOver:
		err = in.MarkNotRun(ctx)
	default: // the outcome is unknown, or the response was too large to store
		err = in.MarkUnknown(ctx)
	}
	if err != nil {
		rq.log.Warn().Err(err).Msg("failed to record the outcome of an intent; retrying in the background")
	}
}

// replayResponse sends a recorded response.
func replayResponse(w http.ResponseWriter, r *http.Request, a *idempotency.Response, e *Entry) {
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

// replayedHeader marks a response that was recorded by an earlier request.
const replayedHeader = "Idempotent-Replayed"

// idempotencyError returns the error for a call with an idempotency key that may not be
// dispatched and has no response to replay.
func (e *Entry) idempotencyError(result *idempotency.Result) *apierror.Error {
	var err *apierror.Error
	switch result.Outcome {
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
		if result.Earlier != effect.NotPerformed {
			err.Message = "The record of an earlier request with this idempotency key cannot be read; it may have run."
			err.Executed = attempt.ExecutedUnknown
		}
	}
	return err
}
