package entry

import (
	"context"
	"sync/atomic"
	"time"
)

// watchdog cancels an attempt that is not accepted in time or makes no progress. Events
// only store a timestamp, so they need no timer operation.
type watchdog struct {
	cancel     context.CancelCauseFunc
	timeout    time.Duration
	reroute    func() bool // called at most once; nil if the attempt must not be rerouted
	started    time.Time
	lastEvent  atomic.Int64 // time of the last event since started; 0 before the first
	delivering atomic.Bool  // an event is being passed to the caller
	timer      *time.Timer
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
	// The long first duration keeps check from running before the field is set.
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.timer.Reset(first)
}

func (w *watchdog) stop() { w.timer.Stop() }

// recordProgress records the time of an event.
func (w *watchdog) recordProgress(now time.Time) {
	w.lastEvent.Store(max(1, int64(now.Sub(w.started))))
}

// setDelivering excludes the time that a slow caller takes from the progress timeout.
func (w *watchdog) setDelivering(paused bool) { w.delivering.Store(paused) }

func (w *watchdog) check() {
	last := time.Duration(w.lastEvent.Load())
	if last == 0 && w.reroute != nil {
		reroute := w.reroute
		w.reroute = nil
		if reroute() {
			w.cancel(errNotAccepted)
			return
		}
	}
	if w.delivering.Load() {
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
