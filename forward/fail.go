package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/drain"
	"github.com/magnoliausher/magnoliausher/effect"
	"github.com/magnoliausher/magnoliausher/event"
	"github.com/magnoliausher/magnoliausher/memory"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/poison"
)

// recordCallFailure ends an attempt without a response. It reports whether the request
// certainly did not run.
func (x *exchange) recordCallFailure(grant *dispatch.Grant, started time.Time, err error) (notExecuted bool) {
	if !errors.Is(err, ErrNotSent) {
		x.possibleRuns++
		x.recordFailure(grant, started, failure{reason: err.Error(), err: err})
		return false
	}
	outcome := dispatch.Cancelled
	if x.ctx.Err() == nil {
		x.failedUpstreams[grant.Upstream.ID] = true
		outcome = dispatch.ConnectFailed
	}
	grant.Release(outcome)
	x.recordAttempt(grant, started, err.Error())
	return true
}

// failure is how an attempt ended whose response cannot be passed on, or not to its end.
type failure struct {
	reason  string // for the log
	err     error  // that ended the call; nil if the response itself is unusable
	outputs int    // pieces of the answer received, as poison.SuspectOutputs counts them
	whole   bool   // the whole answer arrived, so the upstream did not crash on the request
}

// mayBeCrash reports whether the failure can come from a crash of the upstream.
// Silence and unusable bytes do not.
func (f *failure) mayBeCrash() bool {
	for _, other := range []error{ErrHeaderTimeout, context.DeadlineExceeded, event.ErrIdle, event.ErrTooLong, memory.ErrExhausted,
		errOutOfOrder, errBodyTooLong} {
		if errors.Is(f.err, other) {
			return false
		}
	}
	return !f.whole
}

// failAttempt ends an attempt that the upstream may have executed, and retries the
// request if that is allowed.
func (x *exchange) failAttempt(grant *dispatch.Grant, started time.Time, f failure) error {
	x.recordFailure(grant, started, f)
	return x.retryOrFail(false, f.reason)
}

// recordFailure ends an attempt that the upstream may have executed. Every such end,
// whatever the kind of the answer, is recorded here as a possible crash.
func (x *exchange) recordFailure(grant *dispatch.Grant, started time.Time, f failure) {
	if x.ctx.Err() != nil {
		grant.Release(dispatch.Cancelled)
		x.recordAttempt(grant, started, f.reason)
		return
	}
	if f.mayBeCrash() && x.attemptCtx.Err() == nil { // else the time for the attempt is up
		x.cfg.CrashTracker.RecordBroken(grant.Upstream, &x.Subject, f.outputs)
	}
	grant.Release(dispatch.Broken)
	x.failedUpstreams[grant.Upstream.ID] = true
	x.recordAttempt(grant, started, f.reason)
}

// canMove reports whether another attempt may follow one that breaks.
func (x *exchange) canMove() bool {
	return x.isCertain(x.began, x.beganAt) && x.Route.Repeatable() && !x.trial && x.possibleRuns < x.Route.MaxAttempts && x.reply.continuable()
}

// retryOrFail returns nil if the request may be sent to another upstream, and
// ends the exchange otherwise.
func (x *exchange) retryOrFail(notExecuted bool, reason string) error {
	if x.ctx.Err() != nil {
		return x.failContextDone()
	}
	if x.calls >= maxCalls {
		return x.failWithoutUpstream(dispatch.ErrNoCapacity)
	}
	if notExecuted {
		metric.Retried(x.Service, classOnline, "not_run")
		return nil
	}
	if x.canMove() && !x.cfg.CrashTracker.Recheck(&x.Subject).Blocked {
		metric.Retried(x.Service, classOnline, "broken")
		return nil
	}
	return x.failIncomplete(reason)
}

// failWithoutUpstream ends an exchange for which no upstream, or no further one,
// is available.
func (x *exchange) failWithoutUpstream(err error) error {
	if x.ctx.Err() != nil {
		return x.failContextDone()
	}
	if x.outcome() != effect.NotPerformed {
		return x.failIncomplete(err.Error())
	}
	retryAfter := x.cfg.Dispatcher.RetryAfter(x.Service)
	if x.version != nil && errors.Is(err, dispatch.ErrNoUpstream) {
		retryAfter = 0 // waiting is of no use: the caller can begin anew
	}
	x.rejectUnexecuted(err.Error(), retryAfter)
	return errDone
}

// failBlocked ends an exchange whose request was blocked after it was admitted.
func (x *exchange) failBlocked(a poison.Admission) error {
	if x.outcome() != effect.NotPerformed {
		return x.failIncomplete(reasonBlockedPart)
	}
	x.rejectBlocked(a)
	return errDone
}

// failContextDone ends an exchange after its deadline or after the caller has
// disconnected.
func (x *exchange) failContextDone() error {
	if x.callerGone() {
		x.logRequest(0, "caller_gone")
		return errDone
	}
	reason := "deadline"
	if errors.Is(context.Cause(x.ctx), drain.ErrEnding) {
		reason = reasonShutdown
	}
	if x.outcome() == effect.NotPerformed {
		x.rejectUnexecuted(reason, x.cfg.Dispatcher.RetryAfter(x.Service))
		return errDone
	}
	if x.reply.begun() {
		return x.abortResponse(reason)
	}
	x.writeError(http.StatusGatewayTimeout, reason)
	return errDone
}

// callerGone reports whether the caller has closed its connection.
func (x *exchange) callerGone() bool {
	return errors.Is(x.ctx.Err(), context.Canceled) && !errors.Is(context.Cause(x.ctx), drain.ErrEnding)
}

// failIncomplete ends an exchange whose request may have been executed and cannot
// be completed.
func (x *exchange) failIncomplete(reason string) error {
	if x.reply.begun() {
		return x.abortResponse(reason)
	}
	x.writeError(http.StatusBadGateway, reason)
	return errDone
}
