package job

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/magnoliausher/magnoliausher/storage"
)

// Limits of the removal of expired data.
const (
	sweepCallsPerSecond = 20 // a small share of the platform's several hundred calls per second
	sweepInterval       = time.Hour
	sweepPageSize       = 100
	// orphanAge is the age at which an object without a row is removed. Uploads
	// write their row long before that.
	orphanAge = 24 * time.Hour
)

// expiresAt returns the time after which the job and its results are removed.
func (j *Job) expiresAt() time.Time {
	from := j.Deadline
	if j.Status.Final() {
		from = j.Ended
	}
	return from.Add(Retention)
}

// Sweeper removes expired jobs, files and orphaned objects. Concurrent sweeps are
// safe; Run sweeps only on the entry of rank 0.
type Sweeper struct {
	Store *Store
	Rank  func() (rank, entries int)
	Log   zerolog.Logger

	limit *rate.Limiter
}

// Run sweeps every hour until the context ends.
func (w *Sweeper) Run(ctx context.Context) {
	for waitJittered(ctx, sweepInterval, nil) {
		if rank, _ := w.Rank(); rank != 0 {
			continue
		}
		if err := w.Sweep(ctx); err != nil && ctx.Err() == nil {
			w.Log.Warn().Err(err).Msg("failed to remove expired batch data")
		}
	}
}

// Sweep checks all jobs, files and objects once. Data left after a failure is
// removed by the next sweep.
func (w *Sweeper) Sweep(ctx context.Context) error {
	if w.limit == nil {
		w.limit = rate.NewLimiter(sweepCallsPerSecond, sweepCallsPerSecond)
	}
	now := time.Now()
	return trace.NewAggregate(
		w.sweepJobs(ctx, now),
		w.sweepFiles(ctx, now),
		w.sweepOrphans(ctx, partObjectPrefix, now, func(ctx context.Context, id string) (storage.Row, error) {
			return w.Store.getRow(ctx, fileKey(id))
		}),
		w.sweepOrphans(ctx, resultObjectPrefix, now, w.jobRow),
		w.sweepOrphans(ctx, partialObjectPrefix, now, w.jobRow),
	)
}

func (w *Sweeper) jobRow(ctx context.Context, id string) (storage.Row, error) {
	return w.Store.getRow(ctx, jobKey(id))
}

// eachRow calls f for every row with the prefix.
func (w *Sweeper) eachRow(ctx context.Context, prefix string, f func(storage.Row) error) error {
	for after := ""; ; {
		if err := w.limit.Wait(ctx); err != nil {
			return trace.Wrap(err)
		}
		page, err := retry(ctx, func() ([]storage.Row, error) {
			return w.Store.table.Scan(ctx, prefix, after, sweepPageSize)
		})
		if err != nil {
			return trace.Wrap(err)
		}
		for _, row := range page {
			if err := f(row); err != nil {
				return trace.Wrap(err)
			}
			after = row.Key
		}
		if len(page) < sweepPageSize {
			return nil
		}
	}
}

func (w *Sweeper) sweepJobs(ctx context.Context, now time.Time) error {
	return w.eachRow(ctx, jobPrefix, func(row storage.Row) error {
		j, err := decodeJob(row)
		if err != nil || now.Before(j.expiresAt()) {
			return trace.Wrap(err)
		}
		return w.removeJob(ctx, j)
	})
}

// removeJob ends a job that is still running, then removes its objects, its chunk
// rows and finally the job's row, so that the next sweep resumes an interrupted
// removal.
func (w *Sweeper) removeJob(ctx context.Context, j *Job) error {
	j, err := w.Store.Expire(ctx, j.ID)
	if err != nil {
		return ignoreNotFound(err)
	}
	for _, prefix := range []string{resultObjectPrefix, partialObjectPrefix} {
		if err := w.removeObjects(ctx, prefix+j.ID+"/"); err != nil {
			return trace.Wrap(err)
		}
	}
	err = w.eachRow(ctx, chunksKey(j.ID), func(row storage.Row) error {
		return w.Store.removeRows(ctx, w.limit, storage.Write{Key: row.Key, Always: true, Delete: true})
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return w.Store.removeRows(ctx, w.limit,
		storage.Write{Key: jobKey(j.ID), IfVersion: j.Version, Delete: true},
		storage.Write{Key: orgJobKey(j.Organisation, j.Created, j.ID), Always: true, Delete: true})
}

func (w *Sweeper) sweepFiles(ctx context.Context, now time.Time) error {
	return w.eachRow(ctx, filePrefix, func(row storage.Row) error {
		var f File
		if err := json.Unmarshal(row.Value, &f); err != nil || now.Before(f.KeepUntil) {
			return trace.Wrap(err)
		}
		return w.Store.removeFile(ctx, f.ID, w.limit)
	})
}

// removeFile removes the row, unless a job started using the file meanwhile, and
// then the parts.
func (s *Store) removeFile(ctx context.Context, id string, limit *rate.Limiter) error {
	f, row, err := s.fileRow(ctx, id)
	if err != nil {
		return ignoreNotFound(err)
	}
	if err := waitLimit(ctx, limit); err != nil {
		return trace.Wrap(err)
	}
	_, err = retry(ctx, func() ([]uint64, error) {
		return s.table.Commit(ctx, storage.Transaction{Writes: []storage.Write{
			{Key: row.Key, IfVersion: row.Version, Delete: true},
		}})
	})
	if errors.Is(err, storage.ErrConflict) {
		return nil // a job uses the file, or its row is gone and its parts are orphans
	}
	if err != nil {
		return trace.Wrap(err)
	}
	for n := range f.Parts {
		if err := s.removeObject(ctx, limit, partKey(id, n)); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// removeRows deletes rows in one transaction. A conflict means that another
// process changed or removed a row; the next sweep checks it again.
func (s *Store) removeRows(ctx context.Context, limit *rate.Limiter, writes ...storage.Write) error {
	if err := waitLimit(ctx, limit); err != nil {
		return trace.Wrap(err)
	}
	_, err := retry(ctx, func() ([]uint64, error) {
		return s.table.Commit(ctx, storage.Transaction{Writes: writes})
	})
	if errors.Is(err, storage.ErrConflict) {
		return nil
	}
	return trace.Wrap(err)
}

func (s *Store) removeObject(ctx context.Context, limit *rate.Limiter, key string) error {
	if err := waitLimit(ctx, limit); err != nil {
		return trace.Wrap(err)
	}
	_, err := retry(ctx, func() (struct{}, error) { return struct{}{}, s.objects.Delete(ctx, key) })
	return trace.Wrap(err)
}

func waitLimit(ctx context.Context, limit *rate.Limiter) error {
	if limit == nil {
		return nil
	}
	return limit.Wait(ctx)
}

// eachObject calls f for every object with the prefix.
func (w *Sweeper) eachObject(ctx context.Context, prefix string, f func(storage.ObjectInfo) error) error {
	for after := ""; ; {
		if err := w.limit.Wait(ctx); err != nil {
			return trace.Wrap(err)
		}
		page, err := retry(ctx, func() ([]storage.ObjectInfo, error) {
			return w.Store.objects.List(ctx, prefix, after, sweepPageSize)
		})
		if err != nil {
			return trace.Wrap(err)
		}
		for _, o := range page {
			if err := f(o); err != nil {
				return trace.Wrap(err)
			}
			after = o.Key
		}
		if len(page) < sweepPageSize {
			return nil
		}
	}
}

func (w *Sweeper) removeObjects(ctx context.Context, prefix string) error {
	return w.eachObject(ctx, prefix, func(o storage.ObjectInfo) error {
		return w.Store.removeObject(ctx, w.limit, o.Key)
	})
}

// sweepOrphans removes old objects of files or jobs that have no row. It reads
// the row once for consecutive objects of the same file or job.
func (w *Sweeper) sweepOrphans(ctx context.Context, prefix string, now time.Time,
	owner func(context.Context, string) (storage.Row, error)) error {
	last, exists := "", false
	return w.eachObject(ctx, prefix, func(o storage.ObjectInfo) error {
		id, _, _ := strings.Cut(strings.TrimPrefix(o.Key, prefix), "/")
		if now.Sub(o.Written) < orphanAge {
			return nil
		}
		if id != last {
			if err := w.limit.Wait(ctx); err != nil {
				return trace.Wrap(err)
			}
			row, err := owner(ctx, id)
			if err != nil {
				return trace.Wrap(err)
			}
			last, exists = id, row.Version != 0
		}
		if exists {
			return nil
		}
		return w.Store.removeObject(ctx, w.limit, o.Key)
	})
}
