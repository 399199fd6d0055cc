package forward

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/fleet"
)

// silenceWatch looks for a slot at another upstream while that of a resumable stream is
// silent, and gives the attempt up once it has one. Until then the upstream may go on: a
// sound one may pause, and the others may be full. A nil silenceWatch never gives up.
type silenceWatch struct {
	upstream *fleet.Upstream
	giveUp   context.CancelFunc

	mu      sync.Mutex
	timer   *time.Timer
	last    time.Time         // of progress
	request *dispatch.Request // for the next attempt; nil if none may follow
	began   *fleet.Upstream   // that sent the first event, when request was made; nil before it
	beganAt time.Time
	cancel  context.CancelFunc // of the search in progress; nil for none
	grant   *dispatch.Grant    // of the next attempt; nil unless this one is given up
	ended   bool
}

// watchSilence begins to watch an attempt, which giveUp cancels. It returns nil if no other
// attempt may follow.
func (x *exchange) watchSilence(u *fleet.Upstream, giveUp context.CancelFunc) *silenceWatch {
	request := x.moveRequest(u, x.possibleRuns+1)
	if request == nil {
		return nil
	}
	w := &silenceWatch{upstream: u, giveUp: giveUp, request: request}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(ResponseHeaderTimeout, func() { w.search(x) })
	return w
}

// moveRequest returns the dispatcher's request for an attempt elsewhere after a number of
// possible runs with the current one, nil if none may follow. The result shares nothing
// with the exchange that changes.
func (x *exchange) moveRequest(from *fleet.Upstream, runs int) *dispatch.Request {
	if x.Route.Kind != fleet.Stream || !x.Route.Resumable || runs >= x.Route.MaxAttempts || x.calls >= maxCalls || !x.canMove() {
		return nil
	}
	request := x.placement(runs)
	request.Avoid = maps.Clone(request.Avoid)
	accepts := request.Accepts
	request.Accepts = func(u *fleet.Upstream) bool { return u.ID != from.ID && (accepts == nil || accepts(u)) }
	return request
}

// progress records that the upstream has begun its response or sent an event.
func (w *silenceWatch) progress(x *exchange) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.grant != nil {
		return
	}
	w.stop()
	w.last = time.Now()
	if w.began == nil { // nothing that the request depends on changes once the stream has begun
		w.request, w.began, w.beganAt = x.moveRequest(w.upstream, x.possibleRuns), x.began, x.beganAt
	}
	if w.request != nil {
		w.timer.Reset(StreamIdleTimeout)
	}
}

// stop ends the search and the timer. The caller holds w.mu.
func (w *silenceWatch) stop() {
	w.timer.Stop()
	if w.cancel != nil {
		w.cancel()
		w.cancel = nil
	}
}

// search waits for a slot at another upstream until there is one, the upstream makes
// progress, or none can be had; it begins anew later then.
func (w *silenceWatch) search(x *exchange) {
	w.mu.Lock()
	if w.ended || w.grant != nil || w.cancel != nil || w.request == nil || time.Since(w.last) < StreamIdleTimeout {
		w.mu.Unlock()
		return // the timer expired while it was set anew
	}
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	w.cancel = cancel
	request, began, beganAt := *w.request, w.began, w.beganAt
	w.mu.Unlock()
	var grant *dispatch.Grant
	err := dispatch.ErrNoCapacity
	if x.isCertain(began, beganAt) && !x.cfg.CrashTracker.Recheck(&x.Subject).Blocked {
		grant, err = x.cfg.Dispatcher.Acquire(ctx, &request)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		if err == nil {
			grant.Release(dispatch.Cancelled)
		}
		return
	}
	w.cancel = nil
	if err != nil {
		w.timer.Reset(StreamIdleTimeout)
		return
	}
	w.grant = grant
	w.giveUp()
}

// gaveUp reports whether the attempt was given up.
func (w *silenceWatch) gaveUp() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.grant != nil
}

// endSilence ends the watch of an attempt that has ended. Its grant is for the next one.
func (x *exchange) endSilence() {
	w := x.silence
	x.silence = nil
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop()
	w.ended = true
	x.nextGrant = w.grant
}

// releaseNext gives back the slot of an attempt that does not follow.
func (x *exchange) releaseNext() {
	if x.nextGrant != nil {
		x.nextGrant.Release(dispatch.Cancelled)
		x.nextGrant = nil
	}
}
