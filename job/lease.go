package job

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/storage"
)

// intentBatchItems is the maximum number of non-repeatable items recorded in one
// write of the chunk row before they start. It also bounds the items that a lost
// holder leaves with an unknown outcome without having started them.
const intentBatchItems = 10

// returnTimeout bounds the return of chunks after the drain context has ended.
const returnTimeout = 5 * time.Second

// failIntendedItems finishes items that an earlier holder may have started with
// an outcome_unknown error.
func failIntendedItems(claim *Claim, items []*item) {
	for _, i := range claim.Chunk.Intended {
		if i >= len(items) || items[i].done {
			continue
		}
		it := items[i]
		it.finish(errorLine(it.CustomID, string(attempt.NewID()), codeUnknown,
			finalMessage(codeUnknown, "its entry was lost")), true)
	}
}

// withWriteLock runs f, a write of the chunk's row, exclusively.
func (h *heldChunk) withWriteLock(ctx context.Context, f func() error) error {
	select {
	case h.writeLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-h.writeLock }()
	return f()
}

// spawn runs f in a goroutine that Run waits for.
func (r *Runner) spawn(f func()) {
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		f()
	}()
}

// recordIntents records the next non-repeatable items so that they may start.
func (r *Runner) recordIntents(h *heldChunk) {
	r.mu.Lock()
	var next []int
	open := 0
	for _, it := range h.items {
		switch {
		case it.done || it.running || it.repeatable:
		case it.intended:
			open++
		case len(next) < intentBatchItems:
			next = append(next, it.index)
		}
	}
	if len(next) == 0 || open >= intentBatchItems/2 || h.recordingIntents || h.dropped || h.closing || r.draining {
		r.mu.Unlock()
		return
	}
	h.recordingIntents = true
	r.mu.Unlock()
	r.spawn(func() {
		err := r.retryWrite(h, func(ctx context.Context) error { return r.store.RecordIntents(ctx, h.claim, next) })
		r.mu.Lock()
		h.recordingIntents = false
		for _, i := range next {
			h.items[i].intended = err == nil
		}
		h.updateReady()
		r.mu.Unlock()
		signal(r.wakeDemand)
	})
}

// retryWrite repeats a write of the chunk's row until it succeeds or the claim is lost.
func (r *Runner) retryWrite(h *heldChunk, write func(context.Context) error) error {
	var b backoff
	for {
		err := h.withWriteLock(h.ctx, func() error { return write(h.ctx) })
		r.recordOutage(err)
		if err == nil {
			r.recordRenewal(h)
			return nil
		}
		if !transient(err) {
			if h.ctx.Err() == nil {
				countChunk(chunkLost)
				r.cfg.Log.Warn().Err(err).Str("chunk", h.key).Msg("chunk claim lost")
			}
			r.dropChunk(h)
			return trace.Wrap(err)
		}
		if err := b.wait(h.ctx); err != nil {
			return err
		}
	}
}

func (r *Runner) recordOutage(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outage = err != nil && transient(err)
}

// commitChunk commits a chunk whose items are all done.
func (r *Runner) commitChunk(h *heldChunk) {
	r.mu.Lock()
	if h.closing || h.dropped {
		r.mu.Unlock()
		return
	}
	h.closing = true
	h.updateReady()
	results := collectResults(h.items)
	r.mu.Unlock()
	r.spawn(func() {
		err := r.retryWrite(h, func(ctx context.Context) error {
			select {
			case r.commitSlots <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			defer func() { <-r.commitSlots }()
			return r.store.Commit(ctx, h.claim, results)
		})
		if err != nil {
			return
		}
		countChunk(chunkCommitted)
		r.dropChunk(h)
		r.completeIfLast(h.job.ID)
	})
}

// completeIfLast completes the job if it has no free chunks and this entry holds
// no other chunk of it. If that fails, a watcher completes the job later.
func (r *Runner) completeIfLast(job string) {
	r.mu.Lock()
	st := r.jobs[job]
	last := st != nil && (st.exhausted || st.Chunks == 1)
	for _, h := range r.held {
		last = last && h.job.ID != job
	}
	itemsCtx := r.itemsCtx
	r.mu.Unlock()
	if !last {
		return
	}
	if err := r.tryComplete(itemsCtx, job); err != nil && itemsCtx.Err() == nil {
		r.cfg.Log.Warn().Err(err).Str("job", job).Msg("failed to complete job")
	}
}

// renewLoop renews all claims periodically, up to renewBatchRows per transaction.
func (r *Runner) renewLoop(ctx context.Context) {
	for waitJittered(ctx, RenewInterval, nil) {
		r.mu.Lock()
		chunks := make([]*heldChunk, 0, len(r.held))
		for _, h := range r.held {
			chunks = append(chunks, h)
		}
		r.mu.Unlock()
		for group := range slices.Chunk(chunks, renewBatchRows) {
			r.renew(ctx, group)
		}
	}
}

// renewBatchRows is the maximum number of chunk rows renewed in one transaction.
const renewBatchRows = 50

// renew renews a group of claims. It skips chunks with a write in progress,
// because that write renews them.
func (r *Runner) renew(ctx context.Context, group []*heldChunk) {
	var locked []*heldChunk
	var claims []*Claim
	for _, h := range group {
		select {
		case h.writeLock <- struct{}{}:
			locked = append(locked, h)
			claims = append(claims, h.claim)
		default:
		}
	}
	if len(locked) == 0 {
		return
	}
	err := r.store.RenewAll(ctx, claims)
	for i, h := range locked {
		renewErr := err
		if errors.Is(err, ErrClaimLost) { // at least one is lost; renew each alone to find it
			renewErr = r.store.Renew(ctx, claims[i])
		}
		committed := claims[i].Chunk.State == ChunkDone
		<-h.writeLock
		r.recordOutage(renewErr)
		switch {
		case renewErr == nil:
			r.recordRenewal(h)
		case errors.Is(renewErr, ErrClaimLost) && !committed:
			countChunk(chunkLost)
			r.cfg.Log.Warn().Str("chunk", h.key).Msg("chunk claim lost")
			r.dropChunk(h)
		}
	}
}

func (r *Runner) recordRenewal(h *heldChunk) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.renewedAt = time.Now()
}

// Drain returns all chunks with the states of their items. Repeatable items stop
// immediately and keep their output; non-repeatable items run to completion unless
// the context ends first. No chunk is claimed afterwards.
func (r *Runner) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	select { // the claim loop returns a chunk that is being claimed
	case r.claimLock <- struct{}{}:
		defer func() { <-r.claimLock }()
	case <-ctx.Done():
	}
	r.mu.Lock()
	chunks := make([]*heldChunk, 0, len(r.held))
	for _, h := range r.held {
		h.stopRepeatable()
		chunks = append(chunks, h)
	}
	r.mu.Unlock()
	signal(r.wakeDemand)
	var errs []error
	for _, h := range chunks {
		r.waitIdle(ctx, h)
	}
	returnCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), returnTimeout)
	defer cancel()
	for _, h := range chunks {
		errs = append(errs, r.returnChunk(returnCtx, h))
	}
	return trace.NewAggregate(errs...)
}

// drainPollInterval is the interval at which a drain polls for running items.
const drainPollInterval = 20 * time.Millisecond

// waitIdle waits until none of the chunk's items is running or the chunk has been
// dropped. When the context ends, it stops the items.
func (r *Runner) waitIdle(ctx context.Context, h *heldChunk) {
	for {
		r.mu.Lock()
		active, dropped := h.running, h.dropped
		r.mu.Unlock()
		if active == 0 || dropped {
			return
		}
		if ctx.Err() != nil {
			h.stop()
		}
		time.Sleep(drainPollInterval)
	}
}

// returnChunk returns one chunk unless it has been committed or lost meanwhile.
func (r *Runner) returnChunk(ctx context.Context, h *heldChunk) error {
	r.mu.Lock()
	committing := h.closing
	h.closing = true
	h.updateReady()
	partial := encodePartial(h.items)
	r.mu.Unlock()
	if committing {
		h.stop() // ends a commit that is waiting to retry
	}
	_, err := retry(ctx, func() (struct{}, error) {
		return struct{}{}, h.withWriteLock(ctx, func() error {
			if h.claim.Chunk.State == ChunkDone {
				return nil
			}
			return r.store.Return(ctx, h.claim, partial)
		})
	})
	r.dropChunk(h)
	if errors.Is(err, ErrClaimLost) {
		return nil
	}
	countChunk(chunkReturned)
	return trace.Wrap(err)
}

// RenewAll renews claims of several chunks in one transaction. ErrClaimLost means
// that at least one chunk or its job has changed, and that none was renewed.
func (s *Store) RenewAll(ctx context.Context, claims []*Claim) error {
	var tx storage.Transaction
	next := make([]Chunk, len(claims))
	jobs := make(map[string]bool)
	for i, c := range claims {
		if c.uncertain {
			return ErrClaimLost // uncertain claims are reconciled individually
		}
		next[i] = c.Chunk
		next[i].Renewals++
		tx.Writes = append(tx.Writes, storage.Write{
			Key: chunkKey(c.Job.ID, c.Chunk.Index), Value: mustJSON(next[i]), IfVersion: c.Chunk.Version,
		})
		if !jobs[c.Job.ID] {
			jobs[c.Job.ID] = true
			tx.Conditions = append(tx.Conditions, storage.Condition{Key: jobKey(c.Job.ID), Version: c.Job.Version})
		}
	}
	if len(claims) == 0 {
		return nil
	}
	versions, err := s.table.Commit(ctx, tx)
	switch {
	case errors.Is(err, storage.ErrConflict):
		return ErrClaimLost
	case errors.Is(err, storage.ErrUnavailable):
		for _, c := range claims {
			c.uncertain = true
		}
	case err == nil:
		for i, c := range claims {
			next[i].Version = versions[i]
			c.Chunk = next[i]
		}
	}
	return trace.Wrap(err)
}
