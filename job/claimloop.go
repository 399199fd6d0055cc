package job

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/storage"
)

// claimScanRows is the number of rows read by one scan for free chunks.
const claimScanRows = 64

// freeChunksTTL is the time for which free chunks found by a scan are used before the next scan.
const freeChunksTTL = 10 * time.Second

// claimLoop claims chunks while services need items and memory allows.
func (r *Runner) claimLoop(ctx context.Context) {
	var failures backoff
	for waitJittered(ctx, claimInterval, r.wakeClaim) {
		r.watchJobs(ctx)
		for ctx.Err() == nil {
			st := r.nextJob(time.Now())
			if st == nil {
				break
			}
			r.claimLock <- struct{}{}
			err := r.claimChunk(ctx, st)
			<-r.claimLock
			if err == nil {
				failures = backoff{}
				continue
			}
			r.cfg.Log.Warn().Err(err).Str("job", st.ID).Msg("failed to claim chunk")
			if failures.wait(ctx) != nil || transient(err) {
				break
			}
			r.postpone(st, watchInterval)
		}
	}
}

// postpone excludes a job from scheduling for d.
func (r *Runner) postpone(st *jobState, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st.exhausted = true
	st.retryAt = time.Now().Add(d)
}

// nextJob returns the job to claim a chunk of next, or nil.
func (r *Runner) nextJob(now time.Time) *jobState {
	r.mu.Lock()
	services := make(map[string]ServiceView)
	for _, st := range r.jobs {
		services[st.Service] = ServiceView{Running: r.running[st.Service]}
	}
	var snapshot Snapshot
	var states []*jobState
	full := r.draining || r.usedBytes >= r.cfg.MemoryBytes
	heldBy := make(map[string]int)
	for _, h := range r.held {
		heldBy[h.job.ID] += h.unfinished
		v := services[h.service]
		v.Ready += h.ready
		services[h.service] = v
	}
	for _, st := range r.jobs {
		snapshot.Jobs = append(snapshot.Jobs, JobView{
			ID: st.ID, Organisation: st.Organisation, Service: st.Service, Created: st.Created,
			Deadline: st.Deadline, Held: heldBy[st.ID], Exhausted: st.exhausted && now.Before(st.retryAt),
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

// claimChunk claims and loads one chunk of a job, or marks the job as exhausted.
func (r *Runner) claimChunk(ctx context.Context, st *jobState) error {
	if err := r.loadJob(ctx, st); err != nil {
		return trace.Wrap(err)
	}
	if st.row.Status.Final() {
		r.endJob(st.ID)
		return nil
	}
	seen, ok, err := r.nextFreeChunk(ctx, st)
	if err != nil {
		return trace.Wrap(err)
	}
	if !ok {
		r.postpone(st, nonWatcherInterval)
		return nil
	}
	r.mu.Lock()
	fits := len(r.held) == 0 || r.usedBytes+estimateChunkBytes(st.row, st.file, seen.Index) < r.cfg.MemoryBytes
	r.mu.Unlock()
	if !fits {
		r.postpone(st, claimInterval)
		return nil
	}
	claim, err := r.store.Claim(ctx, st.row, seen, r.cfg.InstanceID)
	if errors.Is(err, ErrClaimLost) {
		// Another entry claimed the chunk first or the job has ended. Rereading
		// the job row distinguishes the two.
		countChunk(chunkCollided)
		st.freeChunks, st.row = nil, nil
		return nil
	}
	if err != nil {
		return trace.Wrap(err)
	}
	countChunk(chunkClaimed)
	return trace.Wrap(r.holdClaim(ctx, st, claim))
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

// holdClaim loads and holds a claimed chunk, or returns the chunk on failure.
func (r *Runner) holdClaim(ctx context.Context, st *jobState, claim *Claim) error {
	h := &heldChunk{
		claim: claim, job: claim.Job, service: st.Service,
		key: chunkKey(claim.Job.ID, claim.Chunk.Index),
	}
	err := r.loadChunk(ctx, st, h)
	if err == nil && r.addChunk(h) {
		return nil
	}
	return trace.NewAggregate(err, r.store.returnUnchanged(ctx, claim))
}

func (r *Runner) loadChunk(ctx context.Context, st *jobState, h *heldChunk) error {
	ix := r.cfg.Contract.Current()
	if ix == nil || ix.Service(st.Service) == nil {
		return trace.NotFound("service %s is not in the configuration", st.Service)
	}
	h.target = ix.Service(st.Service)
	_, path, ok := ParseEndpoint(st.row.Endpoint)
	if !ok {
		return trace.BadParameter("invalid batch endpoint %s", st.row.Endpoint)
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
	failIntendedItems(h.claim, items)
	return nil
}

// nextFreeChunk returns a chunk that can be claimed, as its row was last read.
func (r *Runner) nextFreeChunk(ctx context.Context, st *jobState) (Chunk, bool, error) {
	if len(st.freeChunks) == 0 || time.Since(st.scannedAt) > freeChunksTTL {
		if _, err := r.scanFreeChunks(ctx, st); err != nil {
			return Chunk{}, false, trace.Wrap(err)
		}
	}
	if len(st.freeChunks) == 0 {
		return Chunk{}, false, nil
	}
	c := st.freeChunks[0]
	st.freeChunks = st.freeChunks[1:]
	return c, true, nil
}

// scanFreeChunks scans for free chunks from the job's scan position, wrapping
// around at most once. It reports whether all chunks are done.
func (r *Runner) scanFreeChunks(ctx context.Context, st *jobState) (done bool, err error) {
	if !st.scanStarted {
		rank, entries := r.cfg.Rank()
		st.scanPosition = ScanStart(st.ID, st.Chunks, rank, entries)
		st.scanStarted = true
	}
	st.freeChunks = nil
	st.scannedAt = time.Now()
	finished := 0
	for seen := 0; seen < st.Chunks && len(st.freeChunks) == 0; {
		page, err := r.store.ScanChunks(ctx, st.ID, st.scanPosition, claimScanRows)
		if err != nil {
			return false, trace.Wrap(err)
		}
		end := min(st.Chunks, st.scanPosition+claimScanRows, st.scanPosition+st.Chunks-seen)
		free, ended := r.claimableChunks(st, page, st.scanPosition, end)
		st.freeChunks = free
		finished += ended
		seen += end - st.scanPosition
		st.scanPosition = end % st.Chunks
	}
	return finished == st.Chunks, nil
}

// claimableChunks lists the claimable chunks in [from, to) and counts the done ones.
func (r *Runner) claimableChunks(st *jobState, page []Chunk, from, to int) (free []Chunk, done int) {
	now := time.Now()
	rows := make(map[int]Chunk, len(page))
	for _, c := range page {
		rows[c.Index] = c
	}
	for i := from; i < to; i++ {
		c, ok := rows[i]
		expired := ok && r.expiry.Expired(st.ID, c, now) && !r.holdsChunk(st.ID, i)
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

// watchJobs checks the jobs that this entry watches, even when their service
// needs no items: it tracks claim expiry, completes jobs and expires them.
func (r *Runner) watchJobs(ctx context.Context) {
	now := time.Now()
	rank, entries := r.cfg.Rank()
	r.mu.Lock()
	var due []*jobState
	for _, st := range r.jobs {
		if IsWatcher(st.ID, rank, entries) && !now.Before(st.nextWatch) {
			st.nextWatch = now.Add(watchInterval - rand.N(watchInterval/5))
			due = append(due, st)
		}
	}
	r.expiry.Retain(func(job string) bool { return r.jobs[job] != nil })
	r.mu.Unlock()
	for _, st := range due {
		if err := r.watchJob(ctx, st, now); err != nil && ctx.Err() == nil {
			r.cfg.Log.Warn().Err(err).Str("job", st.ID).Msg("failed to check watched job")
		}
	}
}

func (r *Runner) watchJob(ctx context.Context, st *jobState, now time.Time) error {
	done, err := r.scanFreeChunks(ctx, st)
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
	if len(st.freeChunks) > 0 {
		r.mu.Lock()
		st.exhausted = false
		r.mu.Unlock()
	}
	return nil
}
