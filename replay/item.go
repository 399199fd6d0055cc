package replay

import (
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/job"
)

// refusedRetryDelay is the delay before PolicyFIFO resends an item whose attempt was
// refused or failed.
const refusedRetryDelay = 250 * time.Millisecond

func (it *item) onAccepted(*simAttempt) {}

func (it *item) onToken(*simAttempt, int) {}

func (it *item) onCompleted(t *simAttempt) {
	if it.currentAttempt != t {
		return
	}
	it.clearAttempt()
	it.finish()
}

// onRefused requeues the item, which did not run, or fails it if it is blocked.
func (it *item) onRefused(t *simAttempt, reason admission.Reason) {
	if it.currentAttempt != t {
		return
	}
	it.chunk.runner.entry.sim.stats.refusals[reason]++
	it.clearAttempt()
	if reason == admission.ReasonBlocked {
		it.fail()
		return
	}
	it.requeue()
}

// onFailed requeues or fails the item by the rules of package job.
func (it *item) onFailed(t *simAttempt, f failure) {
	if it.currentAttempt != t {
		return
	}
	it.clearAttempt()
	if !f.errorStatus {
		it.delivered += f.delivered
	}
	if f.preempted {
		it.requeue()
		return
	}
	if !f.crashed {
		it.attempts++
	}
	if it.attempts >= job.MaxAttempts {
		it.fail()
		return
	}
	it.requeue()
}

func (it *item) requeue() {
	r := it.chunk.runner
	if r.entry.sim.cfg.Policy == PolicyFIFO {
		alive := r.sameIncarnation()
		r.entry.sim.scheduleAfter(refusedRetryDelay, func() {
			if alive() && !it.chunk.dropped {
				it.makeReady()
				r.startAllReady()
			}
		})
		return
	}
	it.makeReady()
	r.scheduleDemand()
}

func (it *item) makeReady() {
	it.chunk.ready = append(it.chunk.ready, it)
}

// fail ends the item with an error as its recorded result.
func (it *item) fail() {
	it.failed = true
	it.finish()
}

func (it *item) finish() {
	it.done = true
	it.chunk.itemsLeft--
	r := it.chunk.runner
	r.entry.sim.lastProgress = r.entry.sim.now
	if it.chunk.itemsLeft > 0 {
		r.claimNext()
		return
	}
	it.chunk.commit()
}

// commit writes the results and then publishes them with the chunk's row.
func (h *heldChunk) commit() {
	r := h.runner
	alive := r.sameIncarnation()
	sim := r.entry.sim
	wanted := func() bool { return alive() && !h.dropped }
	apply := func() bool { return sim.commitChunk(h) }
	row := &h.job.chunks[h.index]
	tookEffect := func() bool { return row.done && row.claimID == h.claimID }
	written := func(bool) {
		sim.platform.write(0, wanted, apply, tookEffect, func(bool) { r.dropChunk(h) })
	}
	always := func() bool { return true }
	sim.platform.write(0, wanted, always, always, written)
}
