package job

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/storage"
)

// claimScan is the number of rows that one look for free chunks reads.
const claimScan = 64

// freeAge is the time for which candidates of a scan are tried without another scan.
const freeAge = 10 * time.Second

// claimLoop claims chunks while services want items and memory allows.
func (r *Runner) claimLoop(ctx context.Context) {
	var failures backoff
	for pause(ctx, claimInterval, r.wake) {
		r.watchJobs(ctx)
		for ctx.Err() == nil {
			st := r.nextJob(time.Now())
			if st == nil {
				break
			}
			r.claiming <- struct{}{}
			err := r.claimFrom(ctx, st)
			<-r.claiming
			if err == nil {
				failures = backoff{}
				continue
			}
			r.cfg.Log.Warn().Err(err).Str("job", st.ID).Msg("claiming a chunk failed")
			if failures.wait(ctx) != nil || transient(err) {
				break
			}
			r.postpone(st, watchInterval)
		}
	}
}

// postpone keeps a job out of scheduling for a time.
func (r *Runner) postpone(st *jobState, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st.exhausted = true
	st.lookAt = time.Now().Add(d)
}

// nextJob takes a snapshot and asks the scheduler.
func (r *Runner) nextJob(now time.Time) *jobState {
	r.mu.Lock()
	services := make(map[string]ServiceView)
	for _, st := range r.jobs {
		services[st.Service] = ServiceView{Running: r.running[st.Service]}
	}
	var snapshot Snapshot
	var states []*jobState
	full := r.draining || r.used >= r.cfg.MemoryBytes
	heldBy := make(map[string]int)
	for _, h := range r.held {
		heldBy[h.job.ID] += h.left
		v := services[h.service]
		v.Ready += h.ready
		services[h.service] = v
	}
	for _, st := range r.jobs {
		snapshot.Jobs = append(snapshot.Jobs, JobView{
			ID: st.ID, Organisation: st.Organisation, Service: st.Service, Created: st.Created,
			Deadline: st.Deadline, Held: heldBy[st.ID], Exhausted: st.exhausted && now.Before(st.lookAt),
		})
		states = append(states, st)
	}
	r.mu.Unlock()
	if full {
		return nil
	}
	for name, v := range services {
		v.Reachable = r.reachable(name)
		services[name] = v
	}
	snapshot.Services = services
	if i := NextJob(snapshot, now); i >= 0 {
		return states[i]
	}
	return nil
}

func (r *Runner) reachable(service string) bool {
	for _, u := range r.cfg.Links.Upstreams(service) {
		if u.Connected && !u.Leaving {
			return true
		}
	}
	return false
}

// claimFrom claims and loads one chunk of a job, or marks the job as exhausted.
func (r *Runner) claimFrom(ctx context.Context, st *jobState) error {
	if err := r.loadJob(ctx, st); err != nil {
		return trace.Wrap(err)
	}
	if st.row.Status.Final() {
		r.endJob(st.ID)
		return nil
	}
	seen, ok, err := r.findFree(ctx, st)
	if err != nil {
		return trace.Wrap(err)
	}
	if !ok {
		r.postpone(st, otherInterval)
		return nil
	}
	r.mu.Lock()
	fits := len(r.held) == 0 || r.used+chunkBytes(st.row, st.file, seen.Index) < r.cfg.MemoryBytes
	r.mu.Unlock()
	if !fits {
		r.postpone(st, claimInterval)
		return nil
	}
	claim, err := r.store.Claim(ctx, st.row, seen, r.cfg.InstanceID)
	if errors.Is(err, ErrClaimLost) {
		// A faster entry or the end of the job; reading the row again tells.
		countChunk(chunkCollided)
		st.free, st.row = nil, nil
		return nil
	}
	if err != nil {
		return trace.Wrap(err)
	}
	countChunk(chunkClaimed)
	return trace.Wrap(r.load(ctx, st, claim))
}

func (r *Runner) loadJob(ctx context.Context, st *jobState) error {
	if st.row != nil && st.file != nil {
		return nil
	}
	row, err := r.store.Job(ctx, st.ID)
	if err != nil {
		return trace.Wrap(err)
	}
	st.row = row
	if st.file != nil {
		return nil
	}
	st.file, err = r.store.File(ctx, row.FileID)
	return trace.Wrap(err)
}

// load reads the items of a claimed chunk. On failure the chunk is given back.
func (r *Runner) load(ctx context.Context, st *jobState, claim *Claim) error {
	h := &held{
		claim: claim, job: claim.Job, service: st.Service,
		key: chunkKey(claim.Job.ID, claim.Chunk.Index),
	}
	err := r.loadChunk(ctx, st, h)
	if err == nil && r.hold(h) {
		return nil
	}
	return trace.NewAggregate(err, r.store.putBack(ctx, claim))
}

func (r *Runner) loadChunk(ctx context.Context, st *jobState, h *held) error {
	ix := r.cfg.Contract.Current()
	if ix == nil || ix.Service(st.Service) == nil {
		return trace.NotFound("service %s is not in the configuration", st.Service)
	}
	h.target = ix.Service(st.Service)
	_, path, ok := ParseEndpoint(st.row.Endpoint)
	if !ok {
		return trace.BadParameter("endpoint %s", st.row.Endpoint)
	}
	h.path = path
	items, err := r.store.loadItems(ctx, st.row, st.file, h.claim.Chunk.Index)
	if err != nil {
		return trace.Wrap(err)
	}
	h.items = items
	if h.claim.Chunk.Partial != "" {
		if err := r.store.loadPartial(ctx, h.claim.Chunk.Partial, items); err != nil {
			return trace.Wrap(err)
		}
	}
	endIntended(h.claim, items)
	return nil
}

// findFree returns a chunk that can be claimed, as its row was last seen.
func (r *Runner) findFree(ctx context.Context, st *jobState) (Chunk, bool, error) {
	if len(st.free) == 0 || time.Since(st.scanned) > freeAge {
		if _, err := r.scanFree(ctx, st); err != nil {
			return Chunk{}, false, trace.Wrap(err)
		}
	}
	if len(st.free) == 0 {
		return Chunk{}, false, nil
	}
	c := st.free[0]
	st.free = st.free[1:]
	return c, true, nil
}

// scanFree looks for free chunks from the job's position, at most once round,
// and reports whether all chunks are done.
func (r *Runner) scanFree(ctx context.Context, st *jobState) (done bool, err error) {
	if !st.started {
		rank, entries := r.cfg.Rank()
		st.position = ScanStart(st.ID, st.Chunks, rank, entries)
		st.started = true
	}
	st.free = nil
	st.scanned = time.Now()
	finished := 0
	for seen := 0; seen < st.Chunks && len(st.free) == 0; {
		page, err := r.store.ScanChunks(ctx, st.ID, st.position, claimScan)
		if err != nil {
			return false, trace.Wrap(err)
		}
		end := min(st.Chunks, st.position+claimScan, st.position+st.Chunks-seen)
		free, ended := r.freeOf(st, page, st.position, end)
		st.free = free
		finished += ended
		seen += end - st.position
		st.position = end % st.Chunks
	}
	return finished == st.Chunks, nil
}

// freeOf lists the claimable chunks from to (exclusive) and counts the done ones.
func (r *Runner) freeOf(st *jobState, page []Chunk, from, to int) (free []Chunk, done int) {
	now := time.Now()
	rows := make(map[int]Chunk, len(page))
	for _, c := range page {
		rows[c.Index] = c
	}
	for i := from; i < to; i++ {
		c, ok := rows[i]
		expired := ok && r.watch.Expired(st.ID, c, now) && !r.holdsChunk(st.ID, i)
		if !ok {
			c = Chunk{Index: i}
		}
		if !ok || expired || c.State == ChunkReturned {
			free = append(free, c)
		}
		if ok && c.State == ChunkDone {
			done++
		}
	}
	return free, done
}

func (r *Runner) holdsChunk(job string, index int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held[chunkKey(job, index)] != nil
}

// tryComplete ends a job if all its chunks are done.
func (r *Runner) tryComplete(ctx context.Context, job string) error {
	ended, err := r.store.Complete(ctx, job)
	if ended || errors.Is(err, storage.ErrNotFound) {
		r.endJob(job)
		return nil
	}
	return trace.Wrap(err)
}

// watchJobs looks after the jobs that this entry watches, also when their
// service wants no items: it observes claims, completes and expires jobs.
func (r *Runner) watchJobs(ctx context.Context) {
	now := time.Now()
	rank, entries := r.cfg.Rank()
	r.mu.Lock()
	var due []*jobState
	for _, st := range r.jobs {
		if IsWatcher(st.ID, rank, entries) && !now.Before(st.watchAt) {
			st.watchAt = now.Add(watchInterval - rand.N(watchInterval/5))
			due = append(due, st)
		}
	}
	r.watch.Retain(func(job string) bool { return r.jobs[job] != nil })
	r.mu.Unlock()
	for _, st := range due {
		if err := r.watchJob(ctx, st, now); err != nil && ctx.Err() == nil {
			r.cfg.Log.Warn().Err(err).Str("job", st.ID).Msg("watching a job failed")
		}
	}
}

func (r *Runner) watchJob(ctx context.Context, st *jobState, now time.Time) error {
	done, err := r.scanFree(ctx, st)
	if err != nil {
		return trace.Wrap(err)
	}
	if done {
		return trace.Wrap(r.tryComplete(ctx, st.ID))
	}
	if !now.Before(st.Deadline) {
		if _, err := r.store.Expire(ctx, st.ID); err != nil {
			return trace.Wrap(err)
		}
		r.endJob(st.ID)
		return nil
	}
	if len(st.free) > 0 {
		r.mu.Lock()
		st.exhausted = false
		r.mu.Unlock()
	}
	return nil
}
