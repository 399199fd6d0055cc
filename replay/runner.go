package replay

import (
	"fmt"
	"slices"
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/job"
	"github.com/magnoliausher/magnoliausher/poison"
)

// Intervals of an entry's batch work.
const (
	indexInterval  = 5 * time.Second // of reads of the job index
	claimInterval  = time.Second     // looks for chunks when nothing wakes the loop
	exhaustedPause = 5 * time.Second // before another look at a job without a free chunk
	maxCrashes     = 2               // of upstreams, after which an item is not run again
)

// item is one item of a held chunk.
type item struct {
	h           *held
	index       int // in the job
	fingerprint uint64
	delivered   int
	attempts    int
	crashes     int
	current     *task
	over        bool
	isFailed    bool
}

// held is a claimed chunk.
type held struct {
	r       *runner
	job     *jobRow
	chunk   int
	claim   uint64
	version uint64
	items   []*item
	left    int     // unfinished items
	ready   []*item // items that can start
	running int
	lost    bool
}

// knownJob is what an entry remembers of a job.
type knownJob struct {
	row      *jobRow
	position int
	lookAt   time.Duration
	seen     map[int]observed // claims of others by chunk; never iterated
}

type observed struct {
	version uint64
	at      time.Duration
}

// runner executes batch items for an entry.
type runner struct {
	e        *entry
	jobs     []*knownJob
	held     []*held
	running  map[string]int // by service; never iterated
	claiming bool
	sentAt   time.Duration
	pending  bool // a demand message is registered
	turn     int
}

func newRunner(e *entry) *runner {
	return &runner{e: e, running: make(map[string]int), sentAt: -reportInterval}
}

func (r *runner) learn(j *jobRow) {
	if !r.e.alive || j.state != jobRunning {
		return
	}
	for _, k := range r.jobs {
		if k.row == j {
			return
		}
	}
	position := job.ScanStart(j.id, len(j.chunks), r.e.index, len(r.e.w.entries))
	r.jobs = append(r.jobs, &knownJob{row: j, position: position, seen: make(map[int]observed)})
	r.claim()
}

func (r *runner) claimLoop() {
	if r.e.w.done() {
		return
	}
	r.claim()
	r.e.w.after(claimInterval, r.claimLoop)
}

// claim claims chunks one after another while the scheduler wants them.
func (r *runner) claim() {
	if r.claiming || !r.e.alive {
		return
	}
	r.jobs = slices.DeleteFunc(r.jobs, func(k *knownJob) bool { return k.row.state != jobRunning })
	for {
		k := r.nextJob()
		if k == nil {
			return
		}
		chunk, ok := r.findFree(k)
		if !ok {
			k.lookAt = r.e.w.now + exhaustedPause
			continue
		}
		r.claimChunk(k, chunk)
		return
	}
}

// nextJob asks the scheduler.
func (r *runner) nextJob() *knownJob {
	w := r.e.w
	s := job.Snapshot{Services: make(map[string]job.ServiceView)}
	for _, k := range r.jobs {
		s.Jobs = append(s.Jobs, job.JobView{
			ID: k.row.id, Organisation: k.row.in.Caller, Service: k.row.in.Service,
			Created: epoch.Add(k.row.created), Deadline: k.row.deadline(w),
			Held: r.unfinished(k.row), Exhausted: w.now < k.lookAt,
		})
		s.Services[k.row.in.Service] = r.serviceView(k.row.in.Service)
	}
	i := job.NextJob(s, w.wall())
	if i < 0 {
		return nil
	}
	return r.jobs[i]
}

func (r *runner) serviceView(service string) job.ServiceView {
	view := job.ServiceView{Running: r.running[service]}
	if r.e.w.cfg.Policy != FIFO {
		view.Ready = r.readyOf(service)
	}
	for i := range r.e.views[service].upstreams {
		u := &r.e.views[service].upstreams[i]
		view.Reachable = view.Reachable || (u.Connected && !u.Leaving)
	}
	return view
}

func (r *runner) readyOf(service string) int {
	n := 0
	for _, h := range r.held {
		if h.job.in.Service == service {
			n += len(h.ready)
		}
	}
	return n
}

// findFree returns a chunk that can be claimed. A claim of another entry has
// expired when its row had the same version for the time of expiry.
func (r *runner) findFree(k *knownJob) (int, bool) {
	w := r.e.w
	for range k.row.chunks {
		i := k.position
		k.position = (k.position + 1) % len(k.row.chunks)
		row := &k.row.chunks[i]
		if row.done || r.holds(k.row, i) {
			continue
		}
		if row.holder == "" {
			return i, true
		}
		if seen := k.seen[i]; seen.version != row.version {
			k.seen[i] = observed{version: row.version, at: w.now}
		} else if w.now-seen.at >= job.ClaimExpiry {
			return i, true
		}
	}
	return 0, false
}

func (r *runner) holds(j *jobRow, chunk int) bool {
	for _, h := range r.held {
		if h.job == j && h.chunk == chunk {
			return true
		}
	}
	return false
}

// claimChunk writes the claim on condition of the version that was read.
func (r *runner) claimChunk(k *knownJob, chunk int) {
	w := r.e.w
	r.claiming = true
	row := &k.row.chunks[chunk]
	before := row.version
	h := &held{r: r, job: k.row, chunk: chunk, claim: w.id()}
	apply := func() bool {
		if k.row.state != jobRunning || row.done || row.version != before {
			return false
		}
		row.version++
		row.holder = r.e.id
		row.claim = h.claim
		return true
	}
	settled := func() bool { return row.claim == h.claim && !row.done }
	w.platform.write(0, r.sameLife(), apply, settled, func(ok bool) {
		r.claiming = false
		if ok && k.row.state == jobRunning {
			h.version = row.version
			r.hold(h)
		}
		r.claim()
	})
}

// sameLife reports whether the entry is still the one that began a call.
func (r *runner) sameLife() func() bool {
	incarnation := r.e.incarnation
	return func() bool { return r.e.alive && r.e.incarnation == incarnation }
}

func (r *runner) hold(h *held) {
	first := h.chunk * job.ChunkItems
	last := min(first+job.ChunkItems, h.job.in.Items)
	for i := first; i < last; i++ {
		it := &item{h: h, index: i}
		it.fingerprint = attempt.Fingerprint(h.job.in.Caller, h.job.in.Service, fmt.Append(nil, h.job.id, i))
		h.items = append(h.items, it)
	}
	h.left = len(h.items)
	h.ready = slices.Clone(h.items)
	r.held = append(r.held, h)
	r.e.w.after(job.RenewInterval, func() { r.renew(h) })
	if r.e.w.cfg.Policy == FIFO {
		r.sendAll()
		return
	}
	r.announce()
}

// renew shows other entries that the holder lives.
func (r *runner) renew(h *held) {
	row := &h.job.chunks[h.chunk]
	apply := func() bool {
		if row.claim != h.claim || row.version != h.version || row.done {
			return false
		}
		row.version++
		h.version = row.version
		return true
	}
	settled := func() bool { return row.claim == h.claim }
	alive := r.sameLife()
	w := r.e.w
	w.platform.write(0, func() bool { return alive() && !h.lost }, apply, settled, func(ok bool) {
		switch {
		case ok:
			w.after(job.RenewInterval, func() {
				if alive() && !h.lost {
					r.renew(h)
				}
			})
		case !row.done:
			r.drop(h)
		}
	})
}

// drop gives up a chunk and cancels its items.
func (r *runner) drop(h *held) {
	if h.lost {
		return
	}
	h.lost = true
	r.held = slices.DeleteFunc(r.held, func(x *held) bool { return x == h })
	h.ready = nil
	for _, it := range h.items {
		if t := it.current; t != nil {
			it.leave()
			r.e.cancel(t)
		}
	}
	r.announce()
}

func (r *runner) dropJob(j *jobRow) {
	for _, h := range slices.Clone(r.held) {
		if h.job == j {
			r.drop(h)
		}
	}
}

// announce tells the agents of the ready items, at most every reportInterval.
func (r *runner) announce() {
	w := r.e.w
	if r.pending || !r.e.alive {
		return
	}
	r.pending = true
	alive := r.sameLife()
	w.at(r.sentAt+reportInterval, func() {
		r.pending = false
		if !alive() {
			return
		}
		r.sentAt = w.now
		r.sendDemand()
	})
}

func (r *runner) sendDemand() {
	w := r.e.w
	for _, service := range w.services {
		d := demand{items: r.readyOf(service)}
		for _, h := range r.held {
			if due := h.job.deadline(w).Sub(epoch); len(h.ready) > 0 && h.job.in.Service == service && (d.due == 0 || due < d.due) {
				d.due = due
			}
		}
		incarnation := r.e.incarnation
		w.after(oneWay, func() {
			for _, a := range w.agents {
				if a.service == service && !a.lost && r.e.incarnation == incarnation {
					a.demands[r.e.index] = d
					a.grantRoom()
				}
			}
		})
	}
}

// granted starts ready items at the agent; what it allows beyond them lapses.
func (r *runner) granted(a *agent, items int, until time.Duration) {
	if !r.e.alive || r.e.w.now >= until {
		return
	}
	for range items {
		it := r.take(a.service)
		if it == nil {
			break
		}
		it.start(a)
	}
	r.announce()
	r.claim()
}

// take removes the next item of the service from the ready ones. Blocked items end.
func (r *runner) take(service string) *item {
	for {
		h := r.nextChunk(service)
		if h == nil {
			return nil
		}
		it := h.ready[0]
		h.ready = h.ready[1:]
		if r.e.suspects.Status(it.fingerprint, r.e.w.wall()) != poison.Blocked {
			return it
		}
		it.fail()
	}
}

// nextChunk asks the scheduler whose item starts next.
func (r *runner) nextChunk(service string) *held {
	var views []job.ChunkView
	var chunks []*held
	for _, h := range r.held {
		if h.job.in.Service != service || len(h.ready) == 0 && h.running == 0 {
			continue
		}
		chunks = append(chunks, h)
		views = append(views, job.ChunkView{
			Key: fmt.Sprintf("%s/%06d", h.job.id, h.chunk), Organisation: h.job.in.Caller,
			Created: epoch.Add(h.job.created), Deadline: h.job.deadline(r.e.w),
			Ready: len(h.ready), Running: h.running,
		})
	}
	i := job.NextItem(views, r.e.w.wall())
	if i < 0 {
		return nil
	}
	return chunks[i]
}

// unfinished counts the items of the job that the entry holds.
func (r *runner) unfinished(j *jobRow) int {
	n := 0
	for _, h := range r.held {
		if h.job == j {
			n += h.left
		}
	}
	return n
}

// sendAll starts every ready item at once, spread evenly over the engines.
func (r *runner) sendAll() {
	for _, service := range r.e.w.services {
		v := r.e.views[service]
		for it := r.take(service); it != nil; it = r.take(service) {
			r.turn++
			it.start(v.agents[r.turn%len(v.agents)])
		}
	}
}

// start sends the item to the agent.
func (it *item) start(a *agent) {
	r := it.h.r
	in := it.h.job.in
	suspect := r.e.suspects.Status(it.fingerprint, r.e.w.wall()) == poison.Suspect
	t := &task{
		id: fmt.Sprintf("b%d", r.e.w.id()), class: contract.ClassBatch, caller: in.Caller,
		fingerprint: it.fingerprint, prompt: in.PromptTokens + it.delivered, output: in.OutputTokens - it.delivered,
		failing: it.h.job.failing[it.index], suspect: suspect, job: it.h.job, sink: it,
	}
	t.ask = &admission.Queued{
		ID: attempt.ID(t.id), Caller: t.caller, Class: t.class, PromptTokens: t.prompt, Suspect: suspect,
	}
	it.current = t
	it.h.running++
	r.running[in.Service]++
	r.e.send(a, t)
}

func (it *item) leave() {
	it.current = nil
	it.h.running--
	it.h.r.running[it.h.job.in.Service]--
}
