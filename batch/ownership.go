package batch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

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

// Cancel ends a job. A nil error means that the cancellation is stored.
func (s *Service) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := s.lookupJob(ctx, id); err != nil {
		return err
	}
	err := s.updateJob(ctx, id, func(j *Job) bool {
		if j.Ended {
			return false
		}
		j.Ended, j.OpenTokens = true, 0
		return true
	})
	if err != nil {
		return trace.Wrap(ErrStoreUnavailable, "%v", err)
	}
	s.dropJob(id, "ended")
	return nil
}

// updateJob applies edit to the newest known version of a job and writes its row.
// It retries until a write succeeds, edit reports that no change is needed, or
// ctx ends.
func (s *Service) updateJob(ctx context.Context, id string, edit func(*Job) bool) error {
	for failures := 0; ; failures++ {
		e, known := s.mirror.get(id)
		if !known || !edit(&e.Job) {
			return nil
		}
		err := s.writeJob(ctx, e.Job, e.version)
		if err == nil || !storeBackoff.Wait(ctx, failures) {
			return err
		}
		if _, err := s.readJob(ctx, id); errors.Is(err, ErrNotFound) {
			return err
		}
	}
}

// writeJob writes a job's row if the row still has the given version.
func (s *Service) writeJob(ctx context.Context, next Job, version uint64) error {
	next.Commit = rand.Uint64()
	versions, err := s.cfg.Table.Commit(ctx, storage.Transaction{Writes: []storage.Write{
		{Key: jobKey(next.ID), Value: encodeJob(&next), IfVersion: version}}})
	if err != nil {
		return err
	}
	s.mirror.recordJob(next, versions[0])
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
		open := s.mirror.selectJobs(func(e *mirroredJob) bool { return !e.closed() })
		for i := range open {
			e := &open[i]
			if s.owns(&e.Job) {
				s.startJob(e.ID, true)
			} else if !s.isRunning(e.ID) && ShouldClaim(&e.Job, e.ownerSeen, s.cfg.Self, members, now) {
				s.claim(ctx, *e)
			}
		}
		s.dropLostJobs()
	}
	return nil
}

func (s *Service) owns(j *Job) bool {
	return j.Owner == s.cfg.Self.Name && j.OwnerIncarnation == s.cfg.Self.Incarnation
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
	s.mu.Lock()
	busy := s.claiming[e.ID]
	s.claiming[e.ID] = true
	s.mu.Unlock()
	if busy {
		return
	}
	go func() {
		defer func() {
			s.mu.Lock()
			delete(s.claiming, e.ID)
			s.mu.Unlock()
		}()
		next := e.Job
		next.Owner, next.OwnerIncarnation = s.cfg.Self.Name, s.cfg.Self.Incarnation
		err := s.writeJob(ctx, next, e.version)
		log := s.cfg.Log.Info().Err(err).Str("job", e.ID).Str("owner", e.Owner).Uint64("row", e.version).
			Int("listed", e.Listed).Int("total", e.Total)
		if err != nil {
			log.Msg("failed to claim job") // the feed delivers the current owner
			return
		}
		log.Msg("job claimed")
		s.startJob(e.ID, true)
	}()
}

// dropLostJobs stops running jobs that another process owns or that are closed.
func (s *Service) dropLostJobs() {
	for _, r := range s.runningJobs() {
		id := r.submission.ID
		e, known := s.mirror.get(id)
		s.mu.Lock()
		taken := r.unclaimed && e.version <= r.version
		s.mu.Unlock()
		if known && (e.closed() || !s.owns(&e.Job) && !taken) {
			s.dropJob(id, "closed_or_claimed")
		}
	}
}

// sweep removes closed jobs whose retention has passed. The gateway with
// rendezvous rank 0 for a job removes it.
func (s *Service) sweep(ctx context.Context) error {
	for pause.For(ctx, sweepInterval) {
		now := time.Now()
		if !s.mirror.isCurrent(now) {
			continue
		}
		members := s.cfg.Members()
		expired := s.mirror.selectJobs(func(e *mirroredJob) bool { return e.closed() && jobAge(&e.Job, now) > s.cfg.JobRetention })
		for i := range expired {
			if rendezvousRank(expired[i].ID, s.cfg.Self.Name, members, now) == 0 {
				if err := s.removeJob(ctx, &expired[i]); err != nil {
					s.cfg.Log.Warn().Err(err).Str("job", expired[i].ID).Msg("failed to remove expired job")
				}
			}
		}
	}
	return nil
}

// removeJob deletes the checkpoints, the results, the object and finally the row
// of a job.
func (s *Service) removeJob(ctx context.Context, e *mirroredJob) error {
	for _, prefix := range []string{progressPrefix(e.ID), resultKeyPrefix + e.ID + "/"} {
		if err := s.removeRows(ctx, prefix); err != nil {
			return err
		}
	}
	if err := s.cfg.Objects.Delete(ctx, objectKey(e.ID)); err != nil {
		return err
	}
	_, err := s.cfg.Table.Commit(ctx, storage.Transaction{Writes: []storage.Write{
		{Key: jobKey(e.ID), IfVersion: e.version, Delete: true}}})
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
