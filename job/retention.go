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

// Bounds of the removal of expired data.
const (
	sweepRate     = 20 // platform calls per second, a small share of several hundred
	sweepInterval = time.Hour
	sweepPage     = 100
	// orphanAge is the age at which an object without a row is removed. An
	// upload writes its row well within it.
	orphanAge = 24 * time.Hour
)

// expires is the time after which the job and its results are removed.
func (j *Job) expires() time.Time {
	from := j.Deadline
	if j.Status.Final() {
		from = j.Ended
	}
	return from.Add(Retention)
}

// Sweeper removes expired jobs, files and orphaned objects. Several may run at
// once; Run works only on the entry of rank 0.
type Sweeper struct {
	Store *Store
	Rank  func() (rank, entries int)
	Log   zerolog.Logger

	limit *rate.Limiter
}

// Run sweeps every hour until the context ends.
func (w *Sweeper) Run(ctx context.Context) {
	for pause(ctx, sweepInterval, nil) {
		if rank, _ := w.Rank(); rank != 0 {
			continue
		}
		if err := w.Sweep(ctx); err != nil && ctx.Err() == nil {
			w.Log.Warn().Err(err).Msg("removing expired batch data failed")
		}
	}
}

// Sweep goes once over all jobs, files and objects. What a failure leaves is
// removed by the next sweep.
func (w *Sweeper) Sweep(ctx context.Context) error {
	if w.limit == nil {
		w.limit = rate.NewLimiter(sweepRate, sweepRate)
	}
	now := time.Now()
	return trace.NewAggregate(
		w.sweepJobs(ctx, now),
		w.sweepFiles(ctx, now),
		w.sweepOrphans(ctx, partObjects, now, func(ctx context.Context, id string) (storage.Row, error) {
			return w.Store.getRow(ctx, fileKey(id))
		}),
		w.sweepOrphans(ctx, resultObjects, now, w.jobRow),
		w.sweepOrphans(ctx, partialObjects, now, w.jobRow),
	)
}

func (w *Sweeper) jobRow(ctx context.Context, id string) (storage.Row, error) {
	return w.Store.getRow(ctx, jobKey(id))
}

// rows calls f for every row with the prefix.
func (w *Sweeper) rows(ctx context.Context, prefix string, f func(storage.Row) error) error {
	for after := ""; ; {
		if err := w.limit.Wait(ctx); err != nil {
			return trace.Wrap(err)
		}
		page, err := retry(ctx, func() ([]storage.Row, error) {
			return w.Store.table.Scan(ctx, prefix, after, sweepPage)
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
		if len(page) < sweepPage {
			return nil
		}
	}
}

func (w *Sweeper) sweepJobs(ctx context.Context, now time.Time) error {
	return w.rows(ctx, jobPrefix, func(row storage.Row) error {
		j, err := decodeJob(row)
		if err != nil || now.Before(j.expires()) {
			return trace.Wrap(err)
		}
		return w.removeJob(ctx, j)
	})
}

// removeJob ends a job that still runs, then removes chunk rows, objects and
// last the job's row, so that an interrupted removal goes on in the next sweep.
func (w *Sweeper) removeJob(ctx context.Context, j *Job) error {
	j, err := w.Store.Expire(ctx, j.ID)
	if err != nil {
		return ignoreNotFound(err)
	}
	for _, prefix := range []string{resultObjects, partialObjects} {
		if err := w.removeObjects(ctx, prefix+j.ID+"/"); err != nil {
			return trace.Wrap(err)
		}
	}
	err = w.rows(ctx, chunksKey(j.ID), func(row storage.Row) error {
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
	return w.rows(ctx, filePrefix, func(row storage.Row) error {
		var f File
		if err := json.Unmarshal(row.Value, &f); err != nil || now.Before(f.KeepUntil) {
			return trace.Wrap(err)
		}
		return w.Store.removeFile(ctx, f.ID, w.limit)
	})
}

// removeFile removes the row if no job took the file meanwhile, then its parts.
func (s *Store) removeFile(ctx context.Context, id string, limit *rate.Limiter) error {
	f, row, err := s.fileRow(ctx, id)
	if err != nil {
		return ignoreNotFound(err)
	}
	if err := wait(ctx, limit); err != nil {
		return trace.Wrap(err)
	}
	_, err = retry(ctx, func() ([]uint64, error) {
		return s.table.Commit(ctx, storage.Transaction{Writes: []storage.Write{
			{Key: row.Key, IfVersion: row.Version, Delete: true},
		}})
	})
	if errors.Is(err, storage.ErrConflict) {
		return nil // a job took the file; or it is removed, and its parts are orphans
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

// removeRows deletes in one transaction. A conflict means that the row was
// changed or removed by another process; the next sweep looks again.
func (s *Store) removeRows(ctx context.Context, limit *rate.Limiter, writes ...storage.Write) error {
	if err := wait(ctx, limit); err != nil {
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
	if err := wait(ctx, limit); err != nil {
		return trace.Wrap(err)
	}
	_, err := retry(ctx, func() (struct{}, error) { return struct{}{}, s.objects.Delete(ctx, key) })
	return trace.Wrap(err)
}

func wait(ctx context.Context, limit *rate.Limiter) error {
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
			return w.Store.objects.List(ctx, prefix, after, sweepPage)
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
		if len(page) < sweepPage {
			return nil
		}
	}
}

func (w *Sweeper) removeObjects(ctx context.Context, prefix string) error {
	return w.eachObject(ctx, prefix, func(o storage.ObjectInfo) error {
		return w.Store.removeObject(ctx, w.limit, o.Key)
	})
}

// sweepOrphans removes old objects of files or jobs that have no row. One row
// read serves all objects of the same file or job.
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
