package replay

import (
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/job"
)

// refusedPause keeps the policy fifo from sending an item again at once.
const refusedPause = 250 * time.Millisecond

func (it *item) accepted(*task) {}

func (it *item) token(*task, int) {}

func (it *item) whole(t *task) {
	if it.current != t {
		return
	}
	it.leave()
	it.finish()
}

// refused items did not run and go back to the ready ones.
func (it *item) refused(t *task, reason admission.Reason) {
	if it.current != t {
		return
	}
	it.h.r.e.w.stats.refusals[reason]++
	it.leave()
	if reason == admission.ReasonBlocked {
		it.fail()
		return
	}
	it.again()
}

// failed judges the attempt by the rules of package job.
func (it *item) failed(t *task, f failure) {
	if it.current != t {
		return
	}
	it.leave()
	if !f.status {
		it.delivered += f.delivered
	}
	if f.preempted {
		it.again()
		return
	}
	it.attempts++
	if f.crashed {
		it.crashes++
	}
	if it.crashes >= maxCrashes || it.attempts >= job.MaxAttempts {
		it.fail()
		return
	}
	it.again()
}

func (it *item) again() {
	r := it.h.r
	if r.e.w.cfg.Policy == FIFO {
		alive := r.sameLife()
		r.e.w.after(refusedPause, func() {
			if alive() && !it.h.lost {
				it.makeReady()
				r.sendAll()
			}
		})
		return
	}
	it.makeReady()
	r.announce()
}

func (it *item) makeReady() {
	it.h.ready++
	it.h.r.ready = append(it.h.r.ready, it)
}

// fail ends the item with a recorded error.
func (it *item) fail() {
	it.isFailed = true
	it.finish()
}

func (it *item) finish() {
	it.over = true
	it.h.left--
	r := it.h.r
	r.e.w.progress = r.e.w.now
	if it.h.left > 0 {
		r.claim()
		return
	}
	it.h.commit()
}

// commit writes the results and then makes them visible.
func (h *held) commit() {
	r := h.r
	alive := r.sameLife()
	w := r.e.w
	wanted := func() bool { return alive() && !h.lost }
	apply := func() bool { return w.commit(h) }
	row := &h.job.chunks[h.chunk]
	settled := func() bool { return row.done && row.claim == h.claim }
	written := func(bool) {
		w.platform.write(0, wanted, apply, settled, func(bool) { r.drop(h) })
	}
	yes := func() bool { return true }
	w.platform.write(0, wanted, yes, yes, written)
}
