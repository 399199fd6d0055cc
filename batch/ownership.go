package batch

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/batch/jobrow"
	"github.com/magnoliausher/magnoliausher/effect"
	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/storage"
)

const (
	// claimInterval is how often this process checks for jobs to start or claim.
	claimInterval = 200 * time.Millisecond
	// sweepInterval and sweepScanRows limit the rate at which expired jobs are removed.
	sweepInterval = 10 * time.Second
	sweepScanRows = 90
)

// Cancel ends a job. The outcome is what is known of the cancellation's effect, and is
// Performed if there is no error.
func (s *Service) Cancel(ctx context.Context, organisation, id string) (effect.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := s.lookupJobOf(ctx, organisation, id); err != nil {
		return effect.NotPerformed, err
	}
	replaced := false // the job was removed, and another organisation has submitted the ID
	outcome, err := s.updateJob(ctx, id, func(j *Job) bool {
		replaced = !j.AccessibleBy(organisation)
		if j.Ended || replaced {
			return false
		}
		j.Ended, j.OpenTokens = true, 0
		return true
	})
	if replaced {
		return effect.NotPerformed, ErrNotFound
	}
	if err != nil {
		return outcome, trace.Wrap(ErrStoreUnavailable, "%v", err)
	}
	s.dropJob(id, "ended")
	return outcome, nil
}

// updateJob applies edit to the newest known version of a job and writes its row.
// It retries until a write succeeds, edit reports that no change is needed, or
// ctx ends. The outcome is that of all writes together.
func (s *Service) updateJob(ctx context.Context, id string, edit func(*Job) bool) (effect.Outcome, error) {
	outcome := effect.NotPerformed
	for failures := 0; ; failures++ {
		e, known := s.mirror.get(id)
		changed := false
		draft := e.Edit(func(j *Job) { changed = known && edit(j) })
		if !changed {
			return effect.Performed, nil
		}
		err := s.writeJob(ctx, draft)
		outcome = outcome.Either(storage.WriteOutcome(err))
		if err == nil || !storeBackoff.Wait(ctx, failures) {
			return outcome, err
		}
		if _, err := s.readJob(ctx, id); errors.Is(err, ErrNotFound) {
			return outcome, err
		}
	}
}

func (s *Service) writeJob(ctx context.Context, draft jobrow.Draft) error {
	row, _, err := draft.Commit(ctx, s.cfg.Table)
	if err != nil {
		return err
	}
	s.mirror.recordJob(row)
	return nil
}

// superviseJobs starts the jobs that this process owns but does not run yet,
// claims jobs of lost owners, and drops jobs that it no longer owns.
func (s *Service) superviseJobs(ctx context.Context) error {
	for pause.For(ctx, claimInterval) {
		now := time.Now()
		if !s.mirror.isCurrent(now) || s.isStopping() {
			continue
		}
		members := s.cfg.Members()
		open := s.mirror.selectJobs(func(e *mirroredJob) bool { return !e.Job().Closed() })
		for i := range open {
			e, job := &open[i], open[i].Job()
			if s.owns(job) {
				s.startJob(job.ID, true)
			} else if !s.isRunning(job.ID) && ShouldClaim(job, e.ownerSeen, s.cfg.Self, members, now) {
				s.claim(ctx, *e)
			}
		}
		s.dropLostJobs()
	}
	return nil
}

func (s *Service) owns(j *Job) bool {
	return j.OwnedBy(s.process())
}

func (s *Service) isRunning(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[id] != nil
}

func (s *Service) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// claim makes this process the owner of a job, in the background.
func (s *Service) claim(ctx context.Context, e mirroredJob) {
	job := e.Job()
	s.mu.Lock()
	busy := s.claiming[job.ID]
	s.claiming[job.ID] = true
	s.mu.Unlock()
	if busy {
		return
	}
	go func() {
		defer func() {
			s.mu.Lock()
			delete(s.claiming, job.ID)
			s.mu.Unlock()
		}()
		err := s.writeJob(ctx, e.Edit(func(j *Job) { j.SetOwner(s.process()) }))
		log := s.cfg.Log.Info().Err(err).Str("job", job.ID).Str("owner", job.Owner).Uint64("row", e.Version()).
			Int("listed", job.Listed).Int("total", job.Total)
		if err != nil {
			log.Msg("failed to claim job") // the feed delivers the current owner
			return
		}
		log.Msg("job claimed")
		s.startJob(job.ID, true)
	}()
}

// dropLostJobs stops running jobs that another process owns or that are closed. A job
// that was taken over still names the process that handed it over.
func (s *Service) dropLostJobs() {
	for _, r := range s.runningJobs() {
		e, known := s.mirror.get(r.submission.ID)
		if !known {
			continue
		}
		job := e.Job()
		s.mu.Lock()
		held := r.row
		s.mu.Unlock()
		later := e.Version() > held.Version()
		if job.Closed() || later && !s.owns(job) && !job.SameOwner(held.Job()) {
			s.dropJob(r.submission.ID, "closed_or_claimed")
		}
	}
}

// sweep removes closed jobs whose retention has passed. The gateway with
// rendezvous rank 0 for a job removes it.
func (s *Service) sweep(ctx context.Context) error {
	for pause.For(ctx, sweepInterval) {
		now := time.Now()
		s.forgetSubmissions(now)
		if !s.mirror.isCurrent(now) {
			continue
		}
		members := s.cfg.Members()
		expired := s.mirror.selectJobs(func(e *mirroredJob) bool {
			job := e.Job()
			return job.Closed() && jobAge(job, now) > s.cfg.JobRetention
		})
		for i := range expired {
			id := expired[i].Job().ID
			if rendezvousRank(id, s.cfg.Self.Name, members, now) == 0 {
				if err := s.removeJob(ctx, expired[i].Row); err != nil {
					s.cfg.Log.Warn().Err(err).Str("job", id).Msg("failed to remove expired job")
				}
			}
		}
	}
	return nil
}

// removeJob deletes the checkpoints, the results, the object and finally the row
// of a job.
func (s *Service) removeJob(ctx context.Context, row jobrow.Row) error {
	id := row.Job().ID
	for _, prefix := range []string{progressPrefix(id), resultKeyPrefix + id + "/"} {
		if err := s.removeRows(ctx, prefix); err != nil {
			return err
		}
	}
	if err := s.cfg.Objects.Delete(ctx, objectKey(row.Job().Organisation, id)); err != nil {
		return err
	}
	_, err := s.cfg.Table.Commit(ctx, storage.Transaction{Writes: []storage.Write{row.Removal()}})
	return err
}

func (s *Service) removeRows(ctx context.Context, prefix string) error {
	for {
		rows, err := s.cfg.Table.Scan(ctx, prefix, "", sweepScanRows)
		if err != nil || len(rows) == 0 {
			return err
		}
		var tx storage.Transaction
		for _, r := range rows {
			tx.Writes = append(tx.Writes, storage.Write{Key: r.Key, Always: true, Delete: true})
		}
		if _, err := s.cfg.Table.Commit(ctx, tx); err != nil {
			return err
		}
	}
}
