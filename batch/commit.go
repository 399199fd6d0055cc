package batch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/storage"
)

const (
	// commitDelay batches results that finish close together into one transaction.
	commitDelay = 40 * time.Millisecond
	// maxCommitBytes and maxCommitRows limit one transaction. The store accepts
	// 1 MB and 100 entries.
	maxCommitBytes = 600 << 10
	maxCommitRows  = 60
	// releaseTimeout limits the time to release the ownership of a job at shutdown.
	releaseTimeout = 2 * time.Second
	// storePollInterval is how often a commit that waits for the store checks whether
	// the store is available again.
	storePollInterval = 30 * time.Millisecond
)

// finishItem records the result of an item and schedules its commit. The caller
// holds s.mu.
func (s *Service) finishItem(r *runningJob, ri *runningItem, result Result, reason string) {
	result.Item = r.submission.Items[ri.index].ID
	ri.state = itemFinished
	ri.result = result
	ri.reset()
	r.finished = append(r.finished, ri.index)
	if result.Abandoned {
		s.cfg.Log.Info().Str("request", result.Item).Str("job", r.job.ID).Str("reason", reason).
			Int("failures", ri.failures).Msg("item abandoned")
	}
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
		version, closed := r.version, r.job.closed()
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
	r.commitMu.Lock()
	defer r.commitMu.Unlock()
	s.mu.Lock()
	if r.dropped {
		s.mu.Unlock()
		return nil
	}
	next, writes, listed := r.prepareCommit()
	claim := r.unclaimed
	switch {
	case release:
		next.Owner, next.OwnerIncarnation = "", 0
	case claim:
		next.Owner, next.OwnerIncarnation = s.cfg.Self.Name, s.cfg.Self.Incarnation
	}
	version := r.version
	s.mu.Unlock()
	if len(listed) == 0 && !release && !claim {
		return nil
	}
	writes = append(writes, storage.Write{Key: jobKey(next.ID), Value: encodeJob(&next), IfVersion: version})
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	callCtx, cancelCall := s.storeContext(ctx)
	versions, err := s.cfg.Table.Commit(callCtx, storage.Transaction{Writes: writes})
	cancelCall()
	switch {
	case err == nil:
		s.applyCommit(r, next, versions[len(versions)-1], listed)
		return nil
	case errors.Is(err, storage.ErrThrottled):
		return err // the store did not apply the transaction
	}
	return s.reconcile(ctx, r, next, listed, err)
}

// reconcile rereads the job row after a commit that conflicted or whose outcome
// is unknown, and determines whether the commit took effect.
func (s *Service) reconcile(ctx context.Context, r *runningJob, next Job, listed []int, cause error) error {
	e, err := s.readJob(ctx, next.ID)
	if errors.Is(err, ErrNotFound) {
		s.dropJob(next.ID, "row_removed")
		return nil
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	unchanged := e.version == r.version
	s.mu.Unlock()
	switch {
	case unchanged:
		return cause
	case e.Ended || !s.owns(&e.Job) && e.Commit != next.Commit:
		s.dropJob(next.ID, "closed_or_claimed")
		return nil
	case e.Commit == next.Commit:
		s.applyCommit(r, next, e.version, listed) // the commit took effect
		return nil
	}
	s.mu.Lock()
	r.version = e.version
	s.mu.Unlock()
	return cause
}

// prepareCommit returns the next job row, the result rows that fit into one
// transaction, and the indexes of their items. The caller holds Service.mu.
func (r *runningJob) prepareCommit() (Job, []storage.Write, []int) {
	next := r.job
	next.Commit = rand.Uint64()
	next.Failures = nil
	var writes []storage.Write
	var listed []int
	size := 0
	for _, index := range r.finished {
		result := r.items[index].result
		if len(listed) > 0 && size+len(result.Output) > maxCommitBytes || len(writes) >= maxCommitRows {
			break
		}
		for part, value := range resultRows(result) {
			writes = append(writes, storage.Write{Key: resultKey(next.ID, next.Listed, part), Value: value, Always: true})
		}
		size += len(result.Output)
		next.Listed++
		next.OpenTokens -= r.submission.Items[index].Tokens
		listed = append(listed, index)
	}
	for i := range r.items {
		if r.items[i].failures > 0 && r.items[i].state < itemFinished {
			if next.Failures == nil {
				next.Failures = make(map[int]int)
			}
			next.Failures[i] = r.items[i].failures
		}
	}
	return next, writes, listed
}

// applyCommit updates the state in memory after a commit that took effect.
func (s *Service) applyCommit(r *runningJob, next Job, version uint64, indexes []int) {
	s.mu.Lock()
	first := r.job.Listed
	for i, index := range indexes {
		s.results.Add(resultID{next.ID, first + i}, r.items[index].result)
		r.items[index].state = itemListed
		r.items[index].result = Result{}
	}
	r.finished = r.finished[len(indexes):]
	claimed := r.unclaimed
	r.job, r.version, r.unclaimed = next, version, false
	s.mu.Unlock()
	if claimed {
		s.cfg.Log.Info().Str("job", next.ID).Uint64("row", version).Msg("job claimed after it was taken over")
		s.announceTakenOver()
	}
	s.mirror.recordJob(next, version)
	s.cfg.Log.Info().Str("job", next.ID).Int("listed", next.Listed).Int("total", next.Total).Uint64("row", version).Msg("results listed")
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
	for _, e := range s.mirror.selectJobs(func(e *mirroredJob) bool { return !e.closed() && s.owns(&e.Job) }) {
		if _, ok := handedOver.Load(e.ID); !ok {
			s.clearOwner(e.ID) // accepted or claimed, but not running yet
		}
	}
}

// clearOwner clears the owner of a job that does not run in this process.
func (s *Service) clearOwner(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	owned := false
	err := s.updateJob(ctx, id, func(j *Job) bool {
		owned = !j.closed() && s.owns(j)
		if owned {
			j.Owner, j.OwnerIncarnation = "", 0
		}
		return owned
	})
	// After an error, peers claim the job once they consider this process lost.
	s.cfg.Log.Info().Err(err).Str("job", id).Bool("given_back", owned && err == nil).Msg("attempted to release a job at shutdown")
}

// releaseJob saves the progress of a job whose items have stopped, commits the
// finished results and clears the job's owner.
func (s *Service) releaseJob(r *runningJob) {
	s.saveProgress(context.Background(), r)
	deadline := time.Now().Add(releaseTimeout)
	for failures := 0; time.Now().Before(deadline); failures++ {
		s.mu.Lock()
		left := len(r.finished)
		s.mu.Unlock()
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
