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
	// commitDelay merges results that finish together into one transaction.
	commitDelay = 40 * time.Millisecond
	// commitBytes and commitRows bound a transaction, which may have 1 MB and 100 entries.
	commitBytes = 600 << 10
	commitRows  = 60
	// releaseTimeout bounds giving a job back at shutdown.
	releaseTimeout = 2 * time.Second
	// storeCheck is how often a commit that waits for the store looks again.
	storeCheck = 30 * time.Millisecond
)

// finish notes the end of an item and starts the commit. The caller holds the lock.
func (s *Service) finish(r *running, w *work, result Result, reason string) {
	result.Item = r.submission.Items[w.index].ID
	w.state = itemFinished
	w.result = result
	w.clear()
	r.finished = append(r.finished, w.index)
	if result.Abandoned {
		s.cfg.Log.Info().Str("request", result.Item).Str("job", r.job.ID).Str("reason", reason).
			Int("failures", w.failures).Msg("item given up")
	}
	if !r.committing && !r.dropped {
		r.committing = true
		time.AfterFunc(commitDelay, func() { s.commitFinished(r) })
	}
}

// commitFinished lists finished results until there are none.
func (s *Service) commitFinished(r *running) {
	for failures := 0; ; {
		err := s.commitOnce(r, false)
		s.mu.Lock()
		version, closed := r.version, r.job.closed()
		if r.dropped || (err == nil && len(r.finished) == 0) {
			r.committing = false
			s.mu.Unlock()
			if closed {
				s.drop(r.submission.ID, "complete")
			}
			return
		}
		s.mu.Unlock()
		if err == nil {
			failures = 0
			continue
		}
		s.cfg.Log.Warn().Err(err).Str("job", r.submission.ID).Uint64("row", version).Msg("results not listed; tried again")
		s.awaitStore(failures)
		failures++
	}
}

// awaitStore waits before a failed commit is tried again: for the usual
// backoff, or, while the store is away, until the feed tells of its return, but
// not for longer than awayTimeout.
func (s *Service) awaitStore(failures int) {
	if s.mirror.current(time.Now()) {
		time.Sleep(storeBackoff.Delay(failures))
		return
	}
	for deadline := time.Now().Add(awayTimeout); time.Now().Before(deadline) && !s.mirror.current(time.Now()); {
		time.Sleep(storeCheck)
	}
}

// commitOnce writes some finished results and the job row in one transaction,
// which also claims a job that was taken over. With release set it gives the
// job back as well.
func (s *Service) commitOnce(r *running, release bool) error {
	r.commits.Lock()
	defer r.commits.Unlock()
	s.mu.Lock()
	if r.dropped {
		s.mu.Unlock()
		return nil
	}
	next, writes, listed := r.prepare()
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
	attempt, done := s.storeContext(ctx)
	versions, err := s.cfg.Table.Commit(attempt, storage.Transaction{Writes: writes})
	done()
	switch {
	case err == nil:
		s.listed(r, next, versions[len(versions)-1], listed)
		return nil
	case errors.Is(err, storage.ErrThrottled):
		return err // nothing was done
	}
	return s.reconcile(ctx, r, next, listed, err)
}

// reconcile finds out what became of a commit that conflicted or got no answer.
func (s *Service) reconcile(ctx context.Context, r *running, next Job, listed []int, cause error) error {
	e, err := s.reread(ctx, next.ID)
	if errors.Is(err, ErrNotFound) {
		s.drop(next.ID, "row_removed")
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
		s.drop(next.ID, "closed_or_claimed")
		return nil
	case e.Commit == next.Commit:
		s.listed(r, next, e.version, listed) // it took effect
		return nil
	}
	s.mu.Lock()
	r.version = e.version
	s.mu.Unlock()
	return cause
}

// prepare builds the next job row with as many finished results as fit. The
// caller holds the lock.
func (r *running) prepare() (Job, []storage.Write, []int) {
	next := r.job
	next.Commit = rand.Uint64()
	next.Failures = nil
	var writes []storage.Write
	var listed []int
	size := 0
	for _, index := range r.finished {
		result := r.items[index].result
		if len(listed) > 0 && size+len(result.Output) > commitBytes || len(writes) >= commitRows {
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

// listed takes over a commit that took effect.
func (s *Service) listed(r *running, next Job, version uint64, indexes []int) {
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
		s.announce()
	}
	s.mirror.write(next, version)
	s.cfg.Log.Info().Str("job", next.ID).Int("listed", next.Listed).Int("total", next.Total).Uint64("row", version).Msg("results listed")
}

// Release stops all items and hands the jobs over to peers or, where none takes
// them, gives them back in the store, so that other gateways can claim them at once.
func (s *Service) Release() {
	s.mu.Lock()
	s.stopping = true
	list := make([]*running, 0, len(s.running))
	for _, r := range s.running {
		list = append(list, r)
	}
	s.mu.Unlock()
	var all sync.WaitGroup
	var handed sync.Map // ids of jobs that a peer has taken; their rows are its own to write
	for _, r := range list {
		all.Go(func() {
			r.cancel()
			r.active.Wait()
			if s.handOver(r) {
				handed.Store(r.submission.ID, true)
				return
			}
			s.release(r)
		})
	}
	all.Wait()
	for _, e := range s.mirror.all(func(e *entry) bool { return !e.closed() && s.owns(&e.Job) }) {
		if _, taken := handed.Load(e.ID); !taken {
			s.giveBack(e.ID) // accepted or claimed, and not running yet
		}
	}
}

// giveBack clears the owner of a job that does not run here.
func (s *Service) giveBack(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	err := s.change(ctx, id, func(j *Job) bool {
		if j.closed() || !s.owns(j) {
			return false
		}
		j.Owner, j.OwnerIncarnation = "", 0
		return true
	})
	// With an error its owner counts as lost soon.
	s.cfg.Log.Info().Err(err).Str("job", id).Bool("given_back", err == nil).Msg("job given back at shutdown")
}

// release saves the progress of a job whose items are stopped, lists what is
// finished and gives the job back.
func (s *Service) release(r *running) {
	s.save(context.Background(), r)
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
	s.drop(r.submission.ID, "released")
}
