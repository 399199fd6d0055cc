package entry

import (
	"context"
	"sync/atomic"
	"time"
)

// watchdog cancels an attempt that is not accepted in time or makes no
// progress. It needs no timer operation per event.
type watchdog struct {
	cancel   context.CancelCauseFunc
	timeout  time.Duration
	reroute  func() bool // asked once; nil when the attempt must not be rerouted
	started  time.Time
	lastSeen atomic.Int64 // time of the last event, since started; 0 before the first
	busy     atomic.Bool  // an event is being passed to the caller
	timer    *time.Timer
}

func newWatchdog(cancel context.CancelCauseFunc, timeout time.Duration, reroute func() bool) *watchdog {
	return &watchdog{cancel: cancel, timeout: timeout, reroute: reroute}
}

func (w *watchdog) start(accept time.Duration) {
	first := w.timeout
	if w.reroute != nil {
		first = min(accept, w.timeout)
	}
	w.started = time.Now()
	// Created stopped, so that fire never runs before the field is set.
	w.timer = time.AfterFunc(time.Hour, w.fire)
	w.timer.Reset(first)
}

func (w *watchdog) stop() { w.timer.Stop() }

// progress notes an event of the attempt.
func (w *watchdog) progress(now time.Time) {
	w.lastSeen.Store(max(1, int64(now.Sub(w.started))))
}

// pause keeps the time that a slow caller takes out of the measure.
func (w *watchdog) pause(paused bool) { w.busy.Store(paused) }

func (w *watchdog) fire() {
	last := time.Duration(w.lastSeen.Load())
	if last == 0 && w.reroute != nil {
		reroute := w.reroute
		w.reroute = nil
		if reroute() {
			w.cancel(errNotAccepted)
			return
		}
	}
	if w.busy.Load() {
		w.timer.Reset(w.timeout)
		return
	}
	idle := time.Since(w.started) - last
	if idle >= w.timeout {
		w.cancel(errNoProgress)
		return
	}
	w.timer.Reset(w.timeout - idle)
}
