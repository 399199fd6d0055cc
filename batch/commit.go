package batch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/batch/jobrow"
	"github.com/magnoliausher/magnoliausher/effect"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/storage"
)

const (
	// commitDelay batches results that finish close together into one transaction.
	commitDelay = 40 * time.Millisecond
	// maxCommitBytes, maxCommitRows and maxResultRows limit one transaction. The store
	// accepts 1 MB and 100 entries; a result row takes two, itself and its condition.
	maxCommitBytes = 600 << 10
	maxCommitRows  = 60
	maxResultRows  = 45
	// releaseTimeout limits the time to release the ownership of a job at shutdown.
	releaseTimeout = 2 * time.Second
	// storePollInterval is how often a commit that waits for the store checks whether
	// the store is available again.
	storePollInterval = 30 * time.Millisecond
)

// abandonItem finishes an item that is not to run any more by the terms of its job. The
// caller holds s.mu.
func (s *Service) abandonItem(t terms, ri *runningItem, reason string) {
	s.cfg.Log.Info().Str("request", t.job.submission.Items[ri.index].ID).Str("job", t.job.submission.ID).Str("reason", reason).
		Uint64("configuration", t.configuration.Version).Uint64("job_configuration", t.job.configuration).
		Int("failures", ri.failures).Msg("item abandoned")
	s.finishItem(t.job, ri, Result{Abandoned: true})
}

// finishItem records the result of an item and schedules its commit. The caller
// holds s.mu.
func (s *Service) finishItem(r *runningJob, ri *runningItem, result Result) {
	result.Item = r.submission.Items[ri.index].ID
	ri.state = itemFinished
	ri.result = result
	ri.reset(len(result.Output))
	r.finished = append(r.finished, ri.index)
	if !r.committing && !r.dropped {
		r.committing = true
		time.AfterFunc(commitDelay, func() { s.commitFinished(r) })
	}
}

// commitFinished commits finished results until none are left.
func (s *Service) commitFinished(r *runningJob) {
	for failures := 0; ; {
		err := s.commitOnce(r, false)
		s.mu.Lock()
		version, closed := r.row.Version(), r.row.Job().Closed()
		if r.dropped || (err == nil && len(r.finished) == 0) {
			r.committing = false
			s.mu.Unlock()
			if closed {
				s.dropJob(r.submission.ID, "complete")
			}
			return
		}
		s.mu.Unlock()
		if err == nil {
			failures = 0
			continue
		}
		s.cfg.Log.Warn().Err(err).Str("job", r.submission.ID).Uint64("row", version).Msg("failed to list results; retrying")
		s.awaitStore(failures)
		failures++
	}
}

// awaitStore waits before a failed commit is retried: for the usual backoff or,
// while the store is unavailable, until the feed is current again, but no longer
// than outageCallTimeout.
func (s *Service) awaitStore(failures int) {
	if s.mirror.isCurrent(time.Now()) {
		time.Sleep(storeBackoff.Delay(failures))
		return
	}
	for deadline := time.Now().Add(outageCallTimeout); time.Now().Before(deadline) && !s.mirror.isCurrent(time.Now()); {
		time.Sleep(storePollInterval)
	}
}

// commitOnce writes a batch of finished results and the job row in one
// transaction, which also claims a job that was taken over. If release is set,
// the transaction clears the job's owner as well.
func (s *Service) commitOnce(r *runningJob, release bool) error {
	defer r.lockCommits()()
	s.mu.Lock()
	if r.dropped {
		s.mu.Unlock()
		return nil
	}
	held := r.row
	claim := !s.owns(held.Job())
	draft, results, listed := r.prepareCommit(func(next *Job) {
		switch {
		case release:
			next.SetOwner(jobrow.Process{})
		case claim:
			next.SetOwner(s.process())
		}
	})
	s.mu.Unlock()
	if len(listed) == 0 && !release && !claim {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	callCtx, cancelCall := s.storeContext(ctx)
	row, _, err := draft.Commit(callCtx, s.cfg.Table, results...)
	cancelCall()
	switch {
	case err == nil:
		s.applyCommit(r, row, listed)
		return nil
	case !errors.Is(err, storage.ErrConflict) && storage.WriteOutcome(err) == effect.NotPerformed:
		return err
	}
	return s.resolveCommit(ctx, r, held, draft, listed, err)
}

// resolveCommit rereads the job row after a commit that conflicted or whose outcome
// is unknown, and determines whether the commit took effect.
func (s *Service) resolveCommit(ctx context.Context, r *runningJob, held jobrow.Row, draft jobrow.Draft, listed []int, cause error) error {
	id := r.submission.ID
	e, err := s.readJob(ctx, id)
	if errors.Is(err, ErrNotFound) {
		s.dropJob(id, "row_removed")
		return nil
	}
	if err != nil {
		return err
	}
	outcome := jobrow.Resolve(held, draft, e.Row, s.process())
	metric.JobCommitResolved(outcome.String())
	s.cfg.Log.Info().Err(cause).Str("job", id).Str("outcome", outcome.String()).Uint64("row", held.Version()).Uint64("read", e.Version()).
		Str("owner", e.Job().Owner).Int("listed", held.Job().Listed).Int("listed_read", e.Job().Listed).Msg("resolved a commit without a response")
	switch outcome {
	case jobrow.Performed:
		s.applyCommit(r, e.Row, listed)
		return nil
	case jobrow.Lost:
		s.dropJob(id, "closed_or_claimed")
		return nil
	case jobrow.Overtaken:
		if err := s.catchUp(ctx, r, e.Row); err != nil {
			return err
		}
	}
	return cause
}

// catchUp brings a running job up to a later row of its owner: items whose results the
// row lists are not listed again. The caller holds r.commits.
func (s *Service) catchUp(ctx context.Context, r *runningJob, row jobrow.Row) error {
	s.mu.Lock()
	first := r.row.Job().Listed
	s.mu.Unlock()
	listed := make(map[string]bool)
	if err := s.collectListed(ctx, row.Job(), first, listed); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range r.items {
		if listed[r.submission.Items[i].ID] {
			r.items[i].setListed()
		}
	}
	r.finished = slices.DeleteFunc(r.finished, func(index int) bool { return r.items[index].state == itemListed })
	r.row = row
	return nil
}

// collectListed adds the items of the job's results from position first on.
func (s *Service) collectListed(ctx context.Context, job *Job, first int, listed map[string]bool) error {
	for pos := first; pos < job.Listed; {
		results, err := s.readResults(ctx, job, pos)
		if err != nil {
			return err
		}
		for _, r := range results[:min(len(results), job.Listed-pos)] {
			listed[r.Item] = true
		}
		pos += len(results)
	}
	return nil
}

// prepareCommit returns the write of the next job row, the result rows that fit into
// one transaction with it, and the indexes of their items. The caller holds Service.mu.
func (r *runningJob) prepareCommit(setOwner func(*Job)) (jobrow.Draft, []storage.Write, []int) {
	held := r.row.Job()
	position, tokens := held.Listed, held.OpenTokens
	var writes []storage.Write
	var listed []int
	size := 0
	for _, index := range r.finished {
		result := r.items[index].result
		values := resultRows(result)
		if len(listed) > 0 && (size+len(result.Output) > maxCommitBytes || len(writes)+len(values) > maxResultRows) {
			break
		}
		for part, value := range values {
			// Without a version the row must be absent: no write replaces a listed result.
			writes = append(writes, storage.Write{Key: resultKey(held.ID, position, part), Value: value})
		}
		size += len(result.Output)
		position++
		tokens -= r.submission.Items[index].Tokens
		listed = append(listed, index)
	}
	draft := r.row.Edit(func(next *Job) {
		next.Listed, next.OpenTokens, next.Failures = position, tokens, nil
		next.ConfigurationVersion = max(next.ConfigurationVersion, r.configuration)
		for i := range r.items {
			if r.items[i].failures > 0 && r.items[i].state < itemFinished {
				if next.Failures == nil {
					next.Failures = make(map[int]int)
				}
				next.Failures[i] = r.items[i].failures
			}
		}
		setOwner(next)
	})
	return draft, writes, listed
}

// applyCommit updates the state in memory after a commit that took effect.
func (s *Service) applyCommit(r *runningJob, row jobrow.Row, indexes []int) {
	job := row.Job()
	s.mu.Lock()
	held := r.row.Job()
	for i, index := range indexes {
		s.cacheResult(job, held.Listed+i, r.items[index].result)
		r.items[index].setListed()
	}
	r.finished = r.finished[len(indexes):]
	claimed := !s.owns(held) && s.owns(job)
	r.row = row
	s.mu.Unlock()
	if claimed {
		s.cfg.Log.Info().Str("job", job.ID).Uint64("row", row.Version()).Msg("job claimed after it was taken over")
		s.announceTakenOver()
	}
	s.mirror.recordJob(row)
	s.cfg.Log.Info().Str("job", job.ID).Int("listed", job.Listed).Int("total", job.Total).Uint64("row", row.Version()).Msg("results listed")
}

// Release stops all items and hands each job over to a peer. If no peer accepts a
// job, its owner is cleared in the store so that another gateway can claim it at once.
func (s *Service) Release() {
	s.mu.Lock()
	s.stopping = true
	list := make([]*runningJob, 0, len(s.running))
	for _, r := range s.running {
		list = append(list, r)
	}
	s.mu.Unlock()
	var group sync.WaitGroup
	var handedOver sync.Map // IDs of jobs that a peer accepted; only the peer writes their rows from then on
	for _, r := range list {
		group.Go(func() {
			r.cancel()
			r.activeItems.Wait()
			if s.offerToPeers(r) {
				handedOver.Store(r.submission.ID, true)
				return
			}
			s.releaseJob(r)
		})
	}
	group.Wait()
	for _, e := range s.mirror.selectJobs(func(e *mirroredJob) bool { return !e.Job().Closed() && s.owns(e.Job()) }) {
		id := e.Job().ID
		if _, ok := handedOver.Load(id); !ok {
			s.clearOwner(id) // accepted or claimed, but not running yet
		}
	}
}

// clearOwner clears the owner of a job that does not run in this process.
func (s *Service) clearOwner(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	owned := false
	outcome, err := s.updateJob(ctx, id, func(j *Job) bool {
		owned = !j.Closed() && s.owns(j)
		j.SetOwner(jobrow.Process{})
		return owned
	})
	// After an error, peers claim the job once they consider this process lost.
	s.cfg.Log.Info().Err(err).Str("job", id).Bool("given_back", owned && err == nil).Stringer("outcome", outcome).Msg("attempted to release a job at shutdown")
}

// releaseJob saves the progress of a job whose items have stopped, commits the
// finished results and clears the job's owner.
func (s *Service) releaseJob(r *runningJob) {
	s.saveProgress(context.Background(), r)
	deadline := time.Now().Add(releaseTimeout)
	for failures := 0; time.Now().Before(deadline); failures++ {
		s.mu.Lock()
		left, dropped := len(r.finished), r.dropped
		s.mu.Unlock()
		if dropped {
			return // another process owns the job, or it is closed
		}
		err := s.commitOnce(r, left == 0)
		if err == nil && left == 0 {
			break
		}
		if err != nil {
			time.Sleep(storeBackoff.Delay(failures))
		}
	}
	s.dropJob(r.submission.ID, "released")
}
