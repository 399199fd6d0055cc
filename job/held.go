package job

import (
	"context"
	"time"

	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/poison"
)

// held is a chunk in the memory of its holder. Fields are guarded by Runner.mu
// but for the claim's row state, which belongs to who holds write.
type held struct {
	claim   *Claim
	job     *Job
	key     string // of the chunk's row
	service string
	target  *contract.Service
	path    string // at the upstream
	items   []*item
	guarded bool // has items that may not be repeated
	left    int  // items that are not done
	active  int  // items in progress
	ready   int  // items that can start
	bytes   int64
	renewed time.Time       // last write of the row, or claim
	ctx     context.Context // of its items
	stop    context.CancelFunc
	lost    bool          // dropped: results are of no use
	ending  bool          // a commit is under way or the chunk is returned
	intends bool          // a write of intents is under way
	write   chan struct{} // one write of the chunk's row at a time
	// yield ends when this entry drains; repeatable items stop then.
	yield   context.Context
	yieldAt context.CancelFunc
}

// canStart reports whether the item may be handed out now.
func (h *held) canStart(it *item) bool {
	return !it.done && !it.running && (it.intended || it.repeatable)
}

// recount follows every change of an item's state.
func (h *held) recount() {
	h.ready = 0
	if h.ending {
		return
	}
	for _, it := range h.items {
		if h.canStart(it) {
			h.ready++
		}
	}
}

// hold adds a loaded chunk. It reports false if the job ended meanwhile.
func (r *Runner) hold(h *held) bool {
	r.mu.Lock()
	if r.jobs[h.job.ID] == nil || r.draining {
		r.mu.Unlock()
		return false
	}
	h.ctx, h.stop = context.WithCancel(r.base)
	h.yield, h.yieldAt = context.WithCancel(h.ctx)
	h.write = make(chan struct{}, 1)
	h.renewed = time.Now()
	for _, it := range h.items {
		if !it.done {
			h.left++
		}
		it.repeatable = h.target.Repeatable(it.Method, h.path)
		h.guarded = h.guarded || !it.repeatable
		h.bytes += it.bytes()
	}
	h.recount()
	r.used += h.bytes
	r.held[h.key] = h
	finished := h.left == 0
	r.mu.Unlock()
	signal(r.demand)
	if finished {
		r.finishChunk(h)
	} else {
		r.intend(h)
	}
	return true
}

// drop forgets a chunk and stops its items. The caller holds mu.
func (r *Runner) drop(h *held) {
	if h.lost {
		return
	}
	h.lost = true
	h.stop()
	r.used -= h.bytes
	delete(r.held, h.key)
}

func (r *Runner) lose(h *held) {
	r.mu.Lock()
	r.drop(h)
	r.mu.Unlock()
	signal(r.demand)
	signal(r.wake)
}

// take hands out the most urgent ready item of a service. Items blocked after
// upstream crashes end here.
func (r *Runner) take(service string, now time.Time) (*held, *item, context.Context) {
	for {
		h, it := r.reserve(service, now)
		if it == nil {
			return nil, nil, nil
		}
		if r.cfg.Suspects.Status(r.fingerprint(h, it), now) != poison.Blocked {
			ctx := h.ctx
			if it.repeatable {
				ctx = h.yield
			}
			return h, it, ctx
		}
		countItem(h.service, codeCrashes)
		r.finishItem(h, it, errorLine(it.CustomID, string(attempt.NewID()), codeCrashes,
			"not run: upstreams crashed twice while the item was in progress"), true)
		r.release(h, it)
		r.items.Done()
	}
}

func (r *Runner) fingerprint(h *held, it *item) uint64 {
	return attempt.Fingerprint(h.job.Caller, h.service, it.Body)
}

// reserve marks an item as running.
func (r *Runner) reserve(service string, now time.Time) (*held, *item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// In an outage results cannot leave; started work finishes, new work waits.
	if r.draining || (r.failing && r.used >= r.cfg.MemoryBytes) {
		return nil, nil
	}
	best := r.nextChunk(service, now)
	if best == nil {
		return nil, nil
	}
	for _, it := range best.items {
		if best.canStart(it) {
			it.running = true
			best.recount()
			best.active++
			r.running[service]++
			r.items.Add(1)
			return best, it
		}
	}
	return nil, nil
}

// nextChunk asks the scheduler for the chunk whose item starts next.
func (r *Runner) nextChunk(service string, now time.Time) *held {
	var views []ChunkView
	var chunks []*held
	for _, h := range r.held {
		if h.service != service {
			continue
		}
		v := ChunkView{
			Key: h.key, Organisation: h.job.Organisation, Created: h.job.Created,
			Deadline: h.job.Deadline, Ready: h.ready, Running: h.active,
		}
		// After a pause of this process the claim may be another entry's: the
		// next renewal tells. In an outage claimed work goes on.
		if now.Sub(h.renewed) >= ClaimExpiry && !r.failing {
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

// release ends the item's time in progress.
func (r *Runner) release(h *held, it *item) {
	r.mu.Lock()
	it.running = false
	h.active--
	r.running[h.service]--
	h.recount()
	finished := h.left == 0 && h.active == 0 && !h.lost && !h.ending
	r.mu.Unlock()
	signal(r.demand)
	signal(r.wake)
	if finished {
		r.finishChunk(h)
	} else if h.guarded {
		r.intend(h)
	}
}

// finishItem records an item's result.
func (r *Runner) finishItem(h *held, it *item, line []byte, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if it.done {
		return
	}
	r.account(h, it, func() { it.finish(line, failed) })
	h.left--
	h.recount()
}

// account keeps the byte counts right over a change of an item.
func (r *Runner) account(h *held, it *item, change func()) {
	before := it.bytes()
	change()
	delta := it.bytes() - before
	h.bytes += delta
	if !h.lost {
		r.used += delta
	}
}
