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

// intentBatch is the number of non-repeatable items that one write of the chunk
// row allows to start. It is also the most that a lost holder leaves in doubt
// without having started them.
const intentBatch = 10

// returnTimeout bounds the return of chunks after the end of a drain's context.
const returnTimeout = 5 * time.Second

// endIntended ends items that an earlier holder may have started.
func endIntended(claim *Claim, items []*item) {
	for _, i := range claim.Chunk.Intended {
		if i >= len(items) || items[i].done {
			continue
		}
		it := items[i]
		it.finish(errorLine(it.CustomID, string(attempt.NewID()), codeUnknown,
			finalMessage(codeUnknown, "its entry was lost")), true)
	}
}

// locked runs a write of the chunk's row; one runs at a time.
func (h *held) locked(ctx context.Context, f func() error) error {
	select {
	case h.write <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-h.write }()
	return f()
}

// spawn runs f as part of the runner's work.
func (r *Runner) spawn(f func()) {
	r.items.Add(1)
	go func() {
		defer r.items.Done()
		f()
	}()
}

// intend records the next non-repeatable items, so that they may start.
func (r *Runner) intend(h *held) {
	r.mu.Lock()
	var next []int
	open := 0
	for _, it := range h.items {
		switch {
		case it.done || it.running || it.repeatable:
		case it.intended:
			open++
		case len(next) < intentBatch:
			next = append(next, it.index)
		}
	}
	if len(next) == 0 || open >= intentBatch/2 || h.intends || h.lost || h.ending || r.draining {
		r.mu.Unlock()
		return
	}
	h.intends = true
	r.mu.Unlock()
	r.spawn(func() {
		err := r.persist(h, func(ctx context.Context) error { return r.store.RecordIntents(ctx, h.claim, next) })
		r.mu.Lock()
		h.intends = false
		for _, i := range next {
			h.items[i].intended = err == nil
		}
		h.recount()
		r.mu.Unlock()
		signal(r.demand)
	})
}

// persist repeats a write of the chunk's row until it succeeds or the claim is lost.
func (r *Runner) persist(h *held, write func(context.Context) error) error {
	var b backoff
	for {
		err := h.locked(h.ctx, func() error { return write(h.ctx) })
		r.noteOutage(err)
		if err == nil {
			r.noteRenewal(h)
			return nil
		}
		if !transient(err) {
			if h.ctx.Err() == nil {
				countChunk(chunkLost)
				r.cfg.Log.Warn().Err(err).Str("chunk", h.key).Msg("claim of a chunk lost")
			}
			r.lose(h)
			return trace.Wrap(err)
		}
		if err := b.wait(h.ctx); err != nil {
			return err
		}
	}
}

func (r *Runner) noteOutage(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = err != nil && transient(err)
}

// finishChunk commits a chunk whose items are all done.
func (r *Runner) finishChunk(h *held) {
	r.mu.Lock()
	if h.ending || h.lost {
		r.mu.Unlock()
		return
	}
	h.ending = true
	h.recount()
	results := collect(h.items)
	r.mu.Unlock()
	r.spawn(func() {
		err := r.persist(h, func(ctx context.Context) error {
			select {
			case r.writers <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			defer func() { <-r.writers }()
			return r.store.Commit(ctx, h.claim, results)
		})
		if err != nil {
			return
		}
		countChunk(chunkCommitted)
		r.lose(h)
		r.afterCommit(h.job.ID)
	})
}

// afterCommit completes the job if this was the entry's last chunk of a job
// without free chunks. Watchers do the same later if it fails.
func (r *Runner) afterCommit(job string) {
	r.mu.Lock()
	st := r.jobs[job]
	last := st != nil && (st.exhausted || st.Chunks == 1)
	for _, h := range r.held {
		last = last && h.job.ID != job
	}
	base := r.base
	r.mu.Unlock()
	if !last {
		return
	}
	if err := r.tryComplete(base, job); err != nil && base.Err() == nil {
		r.cfg.Log.Warn().Err(err).Str("job", job).Msg("completing a job failed")
	}
}

// renewLoop renews all claims, many rows in one transaction.
func (r *Runner) renewLoop(ctx context.Context) {
	for pause(ctx, RenewInterval, nil) {
		r.mu.Lock()
		chunks := make([]*held, 0, len(r.held))
		for _, h := range r.held {
			chunks = append(chunks, h)
		}
		r.mu.Unlock()
		for group := range slices.Chunk(chunks, renewRows) {
			r.renew(ctx, group)
		}
	}
}

// renewRows is the number of chunk rows in one transaction of renewals.
const renewRows = 50

// renew skips chunks with a write under way, because that write renews them.
func (r *Runner) renew(ctx context.Context, group []*held) {
	var locked []*held
	var claims []*Claim
	for _, h := range group {
		select {
		case h.write <- struct{}{}:
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
		own := err
		if errors.Is(err, ErrClaimLost) { // one of them; find out which
			own = r.store.Renew(ctx, claims[i])
		}
		committed := claims[i].Chunk.State == ChunkDone
		<-h.write
		r.noteOutage(own)
		switch {
		case own == nil:
			r.noteRenewal(h)
		case errors.Is(own, ErrClaimLost) && !committed:
			countChunk(chunkLost)
			r.cfg.Log.Warn().Str("chunk", h.key).Msg("claim of a chunk lost")
			r.lose(h)
		}
	}
}

func (r *Runner) noteRenewal(h *held) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.renewed = time.Now()
}

// Drain gives all chunks back with the states of their items. Repeatable items
// stop at once and keep their output; non-repeatable ones finish unless the
// context ends first. No chunk is claimed afterwards.
func (r *Runner) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	select { // a claim under way is given back by the claim loop
	case r.claiming <- struct{}{}:
		defer func() { <-r.claiming }()
	case <-ctx.Done():
	}
	r.mu.Lock()
	chunks := make([]*held, 0, len(r.held))
	for _, h := range r.held {
		h.yieldAt()
		chunks = append(chunks, h)
	}
	r.mu.Unlock()
	signal(r.demand)
	var errs []error
	for _, h := range chunks {
		r.awaitIdle(ctx, h)
	}
	back, cancel := context.WithTimeout(context.WithoutCancel(ctx), returnTimeout)
	defer cancel()
	for _, h := range chunks {
		errs = append(errs, r.giveBack(back, h))
	}
	return trace.NewAggregate(errs...)
}

// drainPoll is the interval at which a drain looks for the end of items.
const drainPoll = 20 * time.Millisecond

// awaitIdle waits for the items in progress; at the end of the context it stops them.
func (r *Runner) awaitIdle(ctx context.Context, h *held) {
	for {
		r.mu.Lock()
		active, lost := h.active, h.lost
		r.mu.Unlock()
		if active == 0 || lost {
			return
		}
		if ctx.Err() != nil {
			h.stop()
		}
		time.Sleep(drainPoll)
	}
}

// giveBack returns one chunk unless it is committed or lost meanwhile.
func (r *Runner) giveBack(ctx context.Context, h *held) error {
	r.mu.Lock()
	committing := h.ending
	h.ending = true
	h.recount()
	partial := encodePartial(h.items)
	r.mu.Unlock()
	if committing {
		h.stop() // a commit that waits for its next try gives way
	}
	_, err := retry(ctx, func() (struct{}, error) {
		return struct{}{}, h.locked(ctx, func() error {
			if h.claim.Chunk.State == ChunkDone {
				return nil
			}
			return r.store.Return(ctx, h.claim, partial)
		})
	})
	r.lose(h)
	if errors.Is(err, ErrClaimLost) {
		return nil
	}
	countChunk(chunkReturned)
	return trace.Wrap(err)
}

// RenewAll renews claims of several chunks in one transaction. ErrClaimLost says that
// at least one of them, or its job, has changed; none was renewed then.
func (s *Store) RenewAll(ctx context.Context, claims []*Claim) error {
	var tx storage.Transaction
	next := make([]Chunk, len(claims))
	jobs := make(map[string]bool)
	for i, c := range claims {
		if c.unsettled {
			return ErrClaimLost // each is settled alone
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
			c.unsettled = true
		}
	case err == nil:
		for i, c := range claims {
			next[i].Version = versions[i]
			c.Chunk = next[i]
		}
	}
	return trace.Wrap(err)
}
