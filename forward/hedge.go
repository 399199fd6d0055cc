package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/hedge"
	"github.com/magnoliausher/magnoliausher/memory"
	"github.com/magnoliausher/magnoliausher/metric"
)

// sending is an attempt in progress, of which there may be two side by side. Its
// goroutine does not touch the exchange.
type sending struct {
	grant   *dispatch.Grant
	started time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}

	// Set before done is closed.
	ended    time.Time
	response *Response
	err      error
}

// startedBody is a body of which the part that is buffered was read already.
type startedBody struct {
	io.ReadCloser // what follows
	start         []byte
	whole         bool
	err           error
	share         *memory.Share
}

// releaseStart gives up the buffered part once it was passed on, so that a long answer
// does not hold memory until its end.
func (b *startedBody) releaseStart() {
	b.share.Release()
	b.start = nil
}

// Close closes the rest of the body and gives its memory back.
func (b *startedBody) Close() error {
	b.share.Release()
	return b.ReadCloser.Close()
}

// send starts an attempt. It reads the response as far as it is buffered before any of it
// is passed on. Cancel ends it; the response has to be closed.
func (x *exchange) send(ctx context.Context, cancel context.CancelFunc, grant *dispatch.Grant, started time.Time, call Call) *sending {
	s := &sending{grant: grant, started: started, ctx: ctx, cancel: cancel, done: make(chan struct{})}
	upstreams, share := x.cfg.Upstreams, x.cfg.Memory.Share()
	go func() {
		defer close(s.done)
		s.response, s.err = CallWithHeaderTimeout(ctx, upstreams, grant.Upstream, &call, defaultTimeout)
		if s.err == nil && !s.response.NotExecuted && s.use() == useBody {
			b := &startedBody{ReadCloser: s.response.Body, share: share}
			b.start, b.whole, b.err = readStart(b.ReadCloser, share)
			s.response.Body = b
		}
		s.ended = time.Now()
	}()
	return s
}

// use returns the use of the response for a request of which nothing was answered.
func (s *sending) use() responseUse { return (&reply{}).judge(s.response) }

// failure returns why an attempt that got a response and may have run is not usable. It
// returns false if the response can be passed on.
func (s *sending) failure() (failure, bool) {
	use := s.use()
	if use == useEvents {
		return failure{}, false
	}
	if use != useBody {
		return failure{reason: use.String() + " (status " + strconv.Itoa(s.response.Status) + ")"}, true
	}
	b := s.response.Body.(*startedBody)
	err := b.err
	if err == nil && endsWithoutBody(s.response, b.start, b.whole) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return failure{reason: "cut: " + err.Error(), err: err}, true
	}
	if s.response.Status >= http.StatusInternalServerError {
		return failure{reason: "status " + strconv.Itoa(s.response.Status), whole: b.whole}, true
	}
	return failure{}, false
}

// usable reports whether the response can be passed on without a further attempt.
func (s *sending) usable() bool {
	if s.err != nil || s.response.NotExecuted {
		return false
	}
	_, failed := s.failure()
	return !failed
}

// close gives up the response of an attempt that has ended.
func (s *sending) close() {
	s.cancel()
	if s.err == nil {
		_ = s.response.Body.Close() // nothing of it is needed
	}
}

// sendHedged waits for the first attempt of a request and, if that is slow, sends a second
// one to another upstream. It returns the attempt that decides how the request goes on: the
// first one with a usable response, else the last to end. The other one has been settled.
func (x *exchange) sendHedged(first *sending) *sending {
	if x.calls > 1 || x.trial || x.possibleRuns+2 > x.Route.MaxAttempts {
		<-first.done
		x.recordSpeed(first)
		return first
	}
	delay, known := x.cfg.Hedging.Arrived(x.Service, first.started)
	if !known {
		metric.HedgeRefused(x.Service, string(hedge.FewSamples))
		<-first.done
		x.recordSpeed(first)
		return first
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-first.done:
		x.recordSpeed(first)
		return first
	case <-timer.C:
	}
	second := x.sendSecond(first)
	if second == nil {
		<-first.done
		x.recordSpeed(first)
		return first
	}
	return x.awaitEither(first, second)
}

// awaitEither implements sendHedged once both attempts are in progress.
func (x *exchange) awaitEither(first, second *sending) *sending {
	ended, other := first, second
	select {
	case <-first.done:
	case <-second.done:
		ended, other = second, first
	}
	if ended.usable() {
		x.endLoser(other)
	} else {
		x.settleFailed(ended)
		<-other.done
		ended = other
	}
	x.recordSpeed(ended)
	if ended == second && ended.usable() {
		metric.Hedged(x.Service, "won")
	}
	x.attemptCtx = ended.ctx
	return ended
}

// sendSecond sends a request whose first attempt is in progress to another upstream. It
// returns nil if that is not allowed or no slot is free.
func (x *exchange) sendSecond(first *sending) *sending {
	if x.ctx.Err() != nil {
		return nil
	}
	now := time.Now()
	refusal := hedge.Suspect
	if a := x.cfg.CrashTracker.Recheck(&x.Subject); !a.Blocked && !a.Suspect {
		refusal = x.cfg.Hedging.Start(x.Service, x.cfg.Dispatcher.ServiceLoad(x.Service), now)
	}
	if refusal != hedge.Allowed {
		metric.HedgeRefused(x.Service, string(refusal))
		return nil
	}
	grant := x.cfg.Dispatcher.TryAcquire(&dispatch.Request{Service: x.Service, Organisation: x.organisationName(),
		Avoid: map[string]bool{first.grant.Upstream.ID: true}})
	if grant == nil {
		x.cfg.Hedging.Return(x.Service, now)
		metric.HedgeRefused(x.Service, string(hedge.NoSlot))
		return nil
	}
	metric.Hedged(x.Service, "sent")
	x.calls++
	x.hedgeGrant = grant
	call := x.Call
	call.Remaining = x.deadline.Sub(now)
	ctx, cancel := x.attemptContext(x.possibleRuns + 2)
	return x.send(ctx, cancel, grant, now, call)
}

// recordSpeed measures an attempt that was answered. One that was cancelled or failed
// tells nothing of the service's speed.
func (x *exchange) recordSpeed(s *sending) {
	if s.err == nil && s.response.Status/100 == 2 && s.usable() {
		x.cfg.Hedging.Answered(x.Service, s.ended.Sub(s.started), s.ended)
	}
}

// endLoser ends the attempt whose response is not needed. Unless it has ended by itself,
// it is cancelled, and what comes of it later is not held against its upstream.
func (x *exchange) endLoser(s *sending) {
	select {
	case <-s.done:
	default:
		s.cancel()
		s.grant.Release(dispatch.Cancelled)
		if s.grant == x.hedgeGrant {
			metric.Hedged(x.Service, "cancelled")
		}
		x.possibleRuns++
		x.recordAttempt(s.grant, s.started, "cancelled")
		go func() {
			<-s.done
			s.close()
		}()
		return
	}
	if !s.usable() {
		x.settleFailed(s)
		return
	}
	x.possibleRuns++
	x.recordSpeed(s)
	s.grant.Progress()
	if s.response.Status/100 != 2 {
		s.grant.Unmeasured()
	}
	outcome := dispatch.Cancelled
	if b, ok := s.response.Body.(*startedBody); ok && b.whole {
		outcome = outcomeForStatus(s.response.Status)
	}
	if s.response.Leaving {
		s.grant.MarkLeaving()
	}
	s.grant.Release(outcome)
	x.recordAttempt(s.grant, s.started, "answered too")
	s.close()
}

// settleFailed ends an attempt without a usable response while, or after, the other one
// decides how the request goes on.
func (x *exchange) settleFailed(s *sending) {
	defer s.close()
	x.attemptCtx = s.ctx
	if s.err != nil {
		x.recordCallFailure(s.grant, s.started, s.err)
		return
	}
	if s.response.Leaving {
		s.grant.MarkLeaving()
	}
	if s.response.NotExecuted {
		s.grant.Release(dispatch.Full)
		x.recordAttempt(s.grant, s.started, "not run")
		return
	}
	x.possibleRuns++
	if use := s.use(); use >= rejectPromise {
		metric.ResponseRejected(use.String())
	}
	f, _ := s.failure()
	x.recordFailure(s.grant, s.started, f)
}
