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
	// claimInterval is how often jobs of lost owners are looked for.
	claimInterval = 200 * time.Millisecond
	// sweepInterval and sweepRows bound the removal of old jobs.
	sweepInterval = 10 * time.Second
	sweepRows     = 90
)

// Cancel ends a job. A nil error means that the end is kept.
func (s *Service) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := s.lookup(ctx, id); err != nil {
		return err
	}
	err := s.change(ctx, id, func(j *Job) bool {
		if j.Ended {
			return false
		}
		j.Ended, j.OpenTokens = true, 0
		return true
	})
	if err != nil {
		return trace.Wrap(ErrStoreUnavailable, "%v", err)
	}
	s.drop(id, "ended")
	return nil
}

// change rewrites a job's row until it succeeds, the job needs no change, or
// ctx ends. The change is made to the newest version known; edit reports
// whether it is needed.
func (s *Service) change(ctx context.Context, id string, edit func(*Job) bool) error {
	for failures := 0; ; failures++ {
		e, known := s.mirror.get(id)
		if !known || !edit(&e.Job) {
			return nil
		}
		err := s.write(ctx, e.Job, e.version)
		if err == nil || !storeBackoff.Wait(ctx, failures) {
			return err
		}
		if _, err := s.reread(ctx, id); errors.Is(err, ErrNotFound) {
			return err
		}
	}
}

// write replaces a version of a job's row.
func (s *Service) write(ctx context.Context, next Job, version uint64) error {
	next.Commit = rand.Uint64()
	versions, err := s.cfg.Table.Commit(ctx, storage.Transaction{Writes: []storage.Write{
		{Key: jobKey(next.ID), Value: encodeJob(&next), IfVersion: version}}})
	if err != nil {
		return err
	}
	s.mirror.write(next, versions[0])
	return nil
}

// superviseJobs starts the jobs that this process owns and does not run, and
// claims those of lost owners.
func (s *Service) superviseJobs(ctx context.Context) error {
	for pause.For(ctx, claimInterval) {
		now := time.Now()
		if !s.mirror.current(now) || s.isStopping() {
			continue
		}
		members := s.cfg.Members()
		open := s.mirror.all(func(e *entry) bool { return !e.closed() })
		for i := range open {
			e := &open[i]
			if s.owns(&e.Job) {
				s.adopt(e.ID, true)
			} else if !s.runs(e.ID) && ShouldClaim(&e.Job, e.seen, s.cfg.Self, members, now) {
				s.claim(ctx, *e)
			}
		}
		s.dropForeign()
	}
	return nil
}

func (s *Service) owns(j *Job) bool {
	return j.Owner == s.cfg.Self.Name && j.OwnerIncarnation == s.cfg.Self.Incarnation
}

func (s *Service) runs(id string) bool {
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
func (s *Service) claim(ctx context.Context, e entry) {
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
		err := s.write(ctx, next, e.version)
		log := s.cfg.Log.Info().Err(err).Str("job", e.ID).Str("owner", e.Owner).Uint64("row", e.version).
			Int("listed", e.Listed).Int("total", e.Total)
		if err != nil {
			log.Msg("job not claimed") // the feed tells who owns it now
			return
		}
		log.Msg("job claimed")
		s.adopt(e.ID, true)
	}()
}

// dropForeign stops running jobs that another process owns or that are closed.
func (s *Service) dropForeign() {
	for _, r := range s.ownJobs() {
		id := r.submission.ID
		e, known := s.mirror.get(id)
		s.mu.Lock()
		taken := r.unclaimed && e.version <= r.version
		s.mu.Unlock()
		if known && (e.closed() || !s.owns(&e.Job) && !taken) {
			s.drop(id, "closed_or_claimed")
		}
	}
}

// sweep removes jobs that nobody may read any more. The gateway that is first
// in a job's order does it.
func (s *Service) sweep(ctx context.Context) error {
	for pause.For(ctx, sweepInterval) {
		now := time.Now()
		if !s.mirror.current(now) {
			continue
		}
		members := s.cfg.Members()
		old := s.mirror.all(func(e *entry) bool { return e.closed() && age(&e.Job, now) > s.cfg.JobRetention })
		for i := range old {
			if rank(old[i].ID, s.cfg.Self.Name, members, now) == 0 {
				if err := s.remove(ctx, &old[i]); err != nil {
					s.cfg.Log.Warn().Err(err).Str("job", old[i].ID).Msg("old job not removed")
				}
			}
		}
	}
	return nil
}

// remove deletes the checkpoints, the results, the object and, last, the row of a job.
func (s *Service) remove(ctx context.Context, e *entry) error {
	for _, prefix := range []string{progressPrefix(e.ID), resultPrefix + e.ID + "/"} {
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
		rows, err := s.cfg.Table.Scan(ctx, prefix, "", sweepRows)
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
