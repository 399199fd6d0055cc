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

// Intervals and limits of an entry's batch work.
const (
	indexInterval       = 5 * time.Second // between reads of the job index
	claimInterval       = time.Second     // between attempts to claim a chunk without another trigger
	exhaustedRetryDelay = 5 * time.Second // before the next scan of a job without a free chunk
)

// item is an item of a claimed chunk.
type item struct {
	chunk          *heldChunk
	index          int // within the job
	fingerprint    uint64
	delivered      int
	attempts       int
	currentAttempt *simAttempt
	done           bool
	failed         bool
}

// heldChunk is a chunk that the entry has claimed.
type heldChunk struct {
	runner       *runner
	job          *jobRow
	index        int
	claimID      uint64
	version      uint64
	items        []*item
	itemsLeft    int     // unfinished items
	ready        []*item // items that can start
	itemsRunning int
	dropped      bool
}

// knownJob is the state of a job that an entry knows of.
type knownJob struct {
	row          *jobRow
	scanPosition int
	nextScan     time.Duration
	seenClaims   map[int]observedClaim // claims of other entries by chunk; never iterated, since map order is random
}

type observedClaim struct {
	version uint64
	at      time.Duration
}

// runner executes batch items for an entry.
type runner struct {
	entry         *entry
	jobs          []*knownJob
	chunks        []*heldChunk
	runningItems  map[string]int // by service; never iterated, since map order is random
	claiming      bool
	demandSentAt  time.Duration
	demandPending bool // a demand message is scheduled
	nextAgent     int
}

func newRunner(e *entry) *runner {
	return &runner{entry: e, runningItems: make(map[string]int), demandSentAt: -reportInterval}
}

func (r *runner) addJob(j *jobRow) {
	if !r.entry.alive || j.state != jobRunning {
		return
	}
	for _, k := range r.jobs {
		if k.row == j {
			return
		}
	}
	position := job.ScanStart(j.id, len(j.chunks), r.entry.index, len(r.entry.sim.entries))
	r.jobs = append(r.jobs, &knownJob{row: j, scanPosition: position, seenClaims: make(map[int]observedClaim)})
	r.claimNext()
}

func (r *runner) claimLoop() {
	if r.entry.sim.allDone() {
		return
	}
	r.claimNext()
	r.entry.sim.scheduleAfter(claimInterval, r.claimLoop)
}

// claimNext claims chunks one at a time for as long as the scheduler selects a job.
func (r *runner) claimNext() {
	if r.claiming || !r.entry.alive {
		return
	}
	r.jobs = slices.DeleteFunc(r.jobs, func(k *knownJob) bool { return k.row.state != jobRunning })
	for {
		k := r.nextJob()
		if k == nil {
			return
		}
		chunk, ok := r.findFreeChunk(k)
		if !ok {
			k.nextScan = r.entry.sim.now + exhaustedRetryDelay
			continue
		}
		r.claimChunk(k, chunk)
		return
	}
}

// nextJob returns the job selected by the scheduler, or nil.
func (r *runner) nextJob() *knownJob {
	sim := r.entry.sim
	s := job.Snapshot{Services: make(map[string]job.ServiceView)}
	for _, k := range r.jobs {
		s.Jobs = append(s.Jobs, job.JobView{
			ID: k.row.id, Organisation: k.row.spec.Caller, Service: k.row.spec.Service,
			Created: epoch.Add(k.row.created), Deadline: k.row.deadline(sim),
			Held: r.unfinishedItems(k.row), Exhausted: sim.now < k.nextScan,
		})
		s.Services[k.row.spec.Service] = r.serviceView(k.row.spec.Service)
	}
	i := job.NextJob(s, sim.wallTime())
	if i < 0 {
		return nil
	}
	return r.jobs[i]
}

func (r *runner) serviceView(service string) job.ServiceView {
	view := job.ServiceView{Running: r.runningItems[service]}
	if r.entry.sim.cfg.Policy != PolicyFIFO {
		view.Ready = r.readyItems(service)
	}
	for i := range r.entry.views[service].upstreams {
		u := &r.entry.views[service].upstreams[i]
		view.Reachable = view.Reachable || (u.Connected && !u.Leaving)
	}
	return view
}

func (r *runner) readyItems(service string) int {
	n := 0
	for _, h := range r.chunks {
		if h.job.spec.Service == service {
			n += len(h.ready)
		}
	}
	return n
}

// findFreeChunk returns a chunk that can be claimed. The claim of another entry has
// expired if the version of its row did not change for job.ClaimExpiry.
func (r *runner) findFreeChunk(k *knownJob) (int, bool) {
	sim := r.entry.sim
	for range k.row.chunks {
		i := k.scanPosition
		k.scanPosition = (k.scanPosition + 1) % len(k.row.chunks)
		row := &k.row.chunks[i]
		if row.done || r.holdsChunk(k.row, i) {
			continue
		}
		if row.holder == "" {
			return i, true
		}
		if seen := k.seenClaims[i]; seen.version != row.version {
			k.seenClaims[i] = observedClaim{version: row.version, at: sim.now}
		} else if sim.now-seen.at >= job.ClaimExpiry {
			return i, true
		}
	}
	return 0, false
}

func (r *runner) holdsChunk(j *jobRow, chunk int) bool {
	for _, h := range r.chunks {
		if h.job == j && h.index == chunk {
			return true
		}
	}
	return false
}

// claimChunk writes the claim on condition that the row still has the version that
// was read.
func (r *runner) claimChunk(k *knownJob, chunk int) {
	sim := r.entry.sim
	r.claiming = true
	row := &k.row.chunks[chunk]
	before := row.version
	h := &heldChunk{runner: r, job: k.row, index: chunk, claimID: sim.newID()}
	apply := func() bool {
		if k.row.state != jobRunning || row.done || row.version != before {
			return false
		}
		row.version++
		row.holder = r.entry.id
		row.claimID = h.claimID
		return true
	}
	tookEffect := func() bool { return row.claimID == h.claimID && !row.done }
	sim.platform.write(0, r.sameIncarnation(), apply, tookEffect, func(ok bool) {
		r.claiming = false
		if ok && k.row.state == jobRunning {
			h.version = row.version
			r.holdChunk(h)
		}
		r.claimNext()
	})
}

// sameIncarnation returns a function that reports whether the entry is alive and has
// not been replaced since.
func (r *runner) sameIncarnation() func() bool {
	incarnation := r.entry.incarnation
	return func() bool { return r.entry.alive && r.entry.incarnation == incarnation }
}

func (r *runner) holdChunk(h *heldChunk) {
	first := h.index * job.ChunkItems
	last := min(first+job.ChunkItems, h.job.spec.Items)
	for i := first; i < last; i++ {
		it := &item{chunk: h, index: i}
		it.fingerprint = attempt.Fingerprint(h.job.spec.Caller, h.job.spec.Service, fmt.Append(nil, h.job.id, i))
		h.items = append(h.items, it)
	}
	h.itemsLeft = len(h.items)
	h.ready = slices.Clone(h.items)
	r.chunks = append(r.chunks, h)
	r.entry.sim.scheduleAfter(job.RenewInterval, func() { r.renewClaim(h) })
	if r.entry.sim.cfg.Policy == PolicyFIFO {
		r.startAllReady()
		return
	}
	r.scheduleDemand()
}

// renewClaim changes the row's version, which shows other entries that the holder is
// alive.
func (r *runner) renewClaim(h *heldChunk) {
	row := &h.job.chunks[h.index]
	apply := func() bool {
		if row.claimID != h.claimID || row.version != h.version || row.done {
			return false
		}
		row.version++
		h.version = row.version
		return true
	}
	tookEffect := func() bool { return row.claimID == h.claimID }
	alive := r.sameIncarnation()
	sim := r.entry.sim
	sim.platform.write(0, func() bool { return alive() && !h.dropped }, apply, tookEffect, func(ok bool) {
		switch {
		case ok:
			sim.scheduleAfter(job.RenewInterval, func() {
				if alive() && !h.dropped {
					r.renewClaim(h)
				}
			})
		case !row.done:
			r.dropChunk(h)
		}
	})
}

// dropChunk gives up the claim on a chunk and cancels its items.
func (r *runner) dropChunk(h *heldChunk) {
	if h.dropped {
		return
	}
	h.dropped = true
	r.chunks = slices.DeleteFunc(r.chunks, func(x *heldChunk) bool { return x == h })
	h.ready = nil
	for _, it := range h.items {
		if t := it.currentAttempt; t != nil {
			it.clearAttempt()
			r.entry.cancelAttempt(t)
		}
	}
	r.scheduleDemand()
}

func (r *runner) dropJob(j *jobRow) {
	for _, h := range slices.Clone(r.chunks) {
		if h.job == j {
			r.dropChunk(h)
		}
	}
}

// scheduleDemand schedules a demand message to the agents, at most one every
// reportInterval.
func (r *runner) scheduleDemand() {
	sim := r.entry.sim
	if r.demandPending || !r.entry.alive {
		return
	}
	r.demandPending = true
	alive := r.sameIncarnation()
	sim.scheduleAt(r.demandSentAt+reportInterval, func() {
		r.demandPending = false
		if !alive() {
			return
		}
		r.demandSentAt = sim.now
		r.sendDemand()
	})
}

func (r *runner) sendDemand() {
	sim := r.entry.sim
	for _, service := range sim.services {
		d := demand{items: r.readyItems(service)}
		for _, h := range r.chunks {
			if due := h.job.deadline(sim).Sub(epoch); len(h.ready) > 0 && h.job.spec.Service == service && (d.due == 0 || due < d.due) {
				d.due = due
			}
		}
		incarnation := r.entry.incarnation
		sim.scheduleAfter(linkDelay, func() {
			for _, a := range sim.agents {
				if a.service == service && !a.lost && r.entry.incarnation == incarnation {
					a.demands[r.entry.index] = d
					a.grantBatchCapacity()
				}
			}
		})
	}
}

// startGranted starts ready items at the agent. The unused part of the grant expires.
func (r *runner) startGranted(a *agent, items int, until time.Duration) {
	if !r.entry.alive || r.entry.sim.now >= until {
		return
	}
	for range items {
		it := r.takeReady(a.service)
		if it == nil {
			break
		}
		it.start(a)
	}
	r.scheduleDemand()
	r.claimNext()
}

// takeReady removes and returns the next ready item of the service, or nil. Blocked
// items fail.
func (r *runner) takeReady(service string) *item {
	for {
		h := r.nextChunk(service)
		if h == nil {
			return nil
		}
		it := h.ready[0]
		h.ready = h.ready[1:]
		if r.entry.suspects.Status(it.fingerprint, r.entry.sim.wallTime()) != poison.Blocked {
			return it
		}
		it.fail()
	}
}

// nextChunk returns the chunk whose item the scheduler starts next, or nil.
func (r *runner) nextChunk(service string) *heldChunk {
	var views []job.ChunkView
	var chunks []*heldChunk
	for _, h := range r.chunks {
		if h.job.spec.Service != service || len(h.ready) == 0 && h.itemsRunning == 0 {
			continue
		}
		chunks = append(chunks, h)
		views = append(views, job.ChunkView{
			Key: fmt.Sprintf("%s/%06d", h.job.id, h.index), Organisation: h.job.spec.Caller,
			Created: epoch.Add(h.job.created), Deadline: h.job.deadline(r.entry.sim),
			Ready: len(h.ready), Running: h.itemsRunning,
		})
	}
	i := job.NextItem(views, r.entry.sim.wallTime())
	if i < 0 {
		return nil
	}
	return chunks[i]
}

// unfinishedItems counts the unfinished items of the job's chunks held by the entry.
func (r *runner) unfinishedItems(j *jobRow) int {
	n := 0
	for _, h := range r.chunks {
		if h.job == j {
			n += h.itemsLeft
		}
	}
	return n
}

// startAllReady starts every ready item, spread evenly over the agents of its service.
func (r *runner) startAllReady() {
	for _, service := range r.entry.sim.services {
		v := r.entry.views[service]
		for it := r.takeReady(service); it != nil; it = r.takeReady(service) {
			r.nextAgent++
			it.start(v.agents[r.nextAgent%len(v.agents)])
		}
	}
}

// start sends the item to the agent.
func (it *item) start(a *agent) {
	r := it.chunk.runner
	spec := it.chunk.job.spec
	suspect := r.entry.suspects.Status(it.fingerprint, r.entry.sim.wallTime()) == poison.Suspect
	t := &simAttempt{
		id: fmt.Sprintf("b%d", r.entry.sim.newID()), class: contract.ClassBatch, caller: spec.Caller,
		fingerprint: it.fingerprint, promptTokens: spec.PromptTokens + it.delivered, outputTokens: spec.OutputTokens - it.delivered,
		failing: it.chunk.job.failing[it.index], suspect: suspect, job: it.chunk.job, observer: it,
	}
	t.queued = &admission.Queued{
		ID: attempt.ID(t.id), Caller: t.caller, Class: t.class, PromptTokens: t.promptTokens, Suspect: suspect,
	}
	it.currentAttempt = t
	it.chunk.itemsRunning++
	r.runningItems[spec.Service]++
	r.entry.sendAttempt(a, t)
}

func (it *item) clearAttempt() {
	it.currentAttempt = nil
	it.chunk.itemsRunning--
	it.chunk.runner.runningItems[it.chunk.job.spec.Service]--
}
