package job

import (
	"context"
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
)

// heldChunk is the in-memory state of a chunk that this entry holds. Runner.mu guards
// its fields except the claim's row state, which writeLock guards.
type heldChunk struct {
	claim            *Claim
	job              *Job
	key              string // of the chunk's row
	service          string
	target           *contract.Service
	path             string // at the upstream
	items            []*item
	hasNonRepeatable bool
	unfinished       int // items that are not done
	running          int // items in progress
	ready            int // items that can start
	bytes            int64
	renewedAt        time.Time       // last write of the row
	ctx              context.Context // parent context of its items
	stop             context.CancelFunc
	dropped          bool          // no longer held; results are discarded
	closing          bool          // being committed or returned
	recordingIntents bool          // a write of intents is in progress
	writeLock        chan struct{} // semaphore for writes of the chunk's row
	// repeatableCtx is the context of repeatable items; it ends when this entry drains.
	repeatableCtx  context.Context
	stopRepeatable context.CancelFunc
}

// canStart reports whether the item is ready to run.
func (h *heldChunk) canStart(it *item) bool {
	return !it.done && !it.running && !it.delayed && (it.intended || it.repeatable)
}

// updateReady recounts the items that can start and stores the number in ready. It
// must be called after every change of an item's state and of closing.
func (h *heldChunk) updateReady() {
	h.ready = 0
	if h.closing {
		return
	}
	for _, it := range h.items {
		if h.canStart(it) {
			h.ready++
		}
	}
}

// addChunk adds a loaded chunk. It returns false if the job has ended meanwhile or
// the entry drains.
func (r *Runner) addChunk(h *heldChunk) bool {
	r.mu.Lock()
	if r.jobs[h.job.ID] == nil || r.draining {
		r.mu.Unlock()
		return false
	}
	h.ctx, h.stop = context.WithCancel(r.itemsCtx)
	h.repeatableCtx, h.stopRepeatable = context.WithCancel(h.ctx)
	h.writeLock = make(chan struct{}, 1)
	h.renewedAt = time.Now()
	for _, it := range h.items {
		if !it.done {
			h.unfinished++
		}
		it.repeatable = h.target.Repeatable(it.Method, h.path)
		h.hasNonRepeatable = h.hasNonRepeatable || !it.repeatable
		h.bytes += it.memoryBytes()
	}
	h.updateReady()
	r.usedBytes += h.bytes
	r.held[h.key] = h
	finished := h.unfinished == 0
	r.mu.Unlock()
	signal(r.wakeDemand)
	if finished {
		r.commitChunk(h)
	} else {
		r.recordIntents(h)
	}
	return true
}

// dropChunkLocked removes a chunk and stops its items. The caller must hold mu.
func (r *Runner) dropChunkLocked(h *heldChunk) {
	if h.dropped {
		return
	}
	h.dropped = true
	h.stop()
	r.usedBytes -= h.bytes
	delete(r.held, h.key)
}

// dropChunk removes a chunk, stops its items and wakes the loops that announce the
// demand and claim chunks, since capacity has become free.
func (r *Runner) dropChunk(h *heldChunk) {
	r.mu.Lock()
	r.dropChunkLocked(h)
	r.mu.Unlock()
	signal(r.wakeDemand)
	signal(r.wakeClaim)
}

// takeItem reserves the next ready item of a service and returns the context to run
// it in.
func (r *Runner) takeItem(service string, now time.Time) (*heldChunk, *item, context.Context) {
	h, it := r.reserveItem(service, now)
	if it == nil {
		return nil, nil, nil
	}
	ctx := h.ctx
	if it.repeatable {
		ctx = h.repeatableCtx
	}
	return h, it, ctx
}

// delayItem keeps an item from starting for a time. The caller must hold mu.
func (r *Runner) delayItem(h *heldChunk, it *item, delay time.Duration) {
	it.delayed = true
	time.AfterFunc(delay, func() {
		r.mu.Lock()
		it.delayed = false
		h.updateReady()
		r.mu.Unlock()
		signal(r.wakeDemand)
		signal(r.wakeClaim)
	})
}

// reserveItem marks the next item of a service as running.
func (r *Runner) reserveItem(service string, now time.Time) (*heldChunk, *item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// In an outage results cannot be committed, so no item starts above the memory
	// limit. Items in progress finish.
	if r.draining || (r.outage && r.usedBytes >= r.cfg.MemoryBytes) {
		return nil, nil
	}
	best := r.nextChunk(service, now)
	if best == nil {
		return nil, nil
	}
	for _, it := range best.items {
		if best.canStart(it) {
			it.running = true
			best.updateReady()
			best.running++
			r.running[service]++
			r.tasks.Add(1)
			return best, it
		}
	}
	return nil, nil
}

// nextChunk returns the chunk to start an item of next, or nil.
func (r *Runner) nextChunk(service string, now time.Time) *heldChunk {
	var views []ChunkView
	var chunks []*heldChunk
	for _, h := range r.held {
		if h.service != service {
			continue
		}
		v := ChunkView{
			Key: h.key, Organisation: h.job.Organisation, Created: h.job.Created,
			Deadline: h.job.Deadline, Ready: h.ready, Running: h.running,
		}
		// After a pause of this process another entry may hold the claim, so items
		// wait for the next renewal. In an outage work on held chunks continues.
		if now.Sub(h.renewedAt) >= ClaimExpiry && !r.outage {
			v.Ready = 0
		}
		views = append(views, v)
		chunks = append(chunks, h)
	}
	if i := NextItem(views, now); i >= 0 {
		return chunks[i]
	}
	return nil
}

// releaseItem marks an item as no longer running and commits a finished chunk.
func (r *Runner) releaseItem(h *heldChunk, it *item) {
	r.mu.Lock()
	it.running = false
	h.running--
	r.running[h.service]--
	h.updateReady()
	finished := h.unfinished == 0 && h.running == 0 && !h.dropped && !h.closing
	r.mu.Unlock()
	signal(r.wakeDemand)
	signal(r.wakeClaim)
	if finished {
		r.commitChunk(h)
	} else if h.hasNonRepeatable {
		r.recordIntents(h)
	}
}

// finishItem records an item's result.
func (r *Runner) finishItem(h *heldChunk, it *item, line []byte, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if it.done {
		return
	}
	r.updateBytes(h, it, func() { it.finish(line, failed) })
	h.unfinished--
	h.updateReady()
}

// updateBytes applies a change to an item and updates the byte counts.
func (r *Runner) updateBytes(h *heldChunk, it *item, change func()) {
	before := it.memoryBytes()
	change()
	delta := it.memoryBytes() - before
	h.bytes += delta
	if !h.dropped {
		r.usedBytes += delta
	}
}
