package job

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliausher/magnoliausher/effect"
	"github.com/magnoliausher/magnoliausher/storage"
)

// Store reads and writes files, jobs and chunks. It is stateless, so any number
// of processes may use the same platform.
type Store struct {
	table   storage.Table
	objects storage.Objects
}

// NewStore returns a store backed by the platform.
func NewStore(p storage.Platform) *Store {
	return &Store{table: p, objects: p.Objects()}
}

// Submission is a caller's request for a new job.
type Submission struct {
	Organisation   string
	Caller         string
	FileID         string
	Endpoint       string
	Service        string
	Window         time.Duration
	Metadata       map[string]string
	IdempotencyKey string // may be empty
}

// File returns a file's row, or storage.ErrNotFound.
func (s *Store) File(ctx context.Context, id string) (*File, error) {
	f, _, err := s.fileRow(ctx, id)
	return f, err
}

func (s *Store) fileRow(ctx context.Context, id string) (*File, storage.Row, error) {
	row, err := s.getRow(ctx, fileKey(id))
	if err != nil {
		return nil, row, trace.Wrap(err)
	}
	if row.Version == 0 {
		return nil, row, trace.Wrap(storage.ErrNotFound)
	}
	f := new(File)
	return f, row, trace.Wrap(json.Unmarshal(row.Value, f))
}

// Job returns a job's row, or storage.ErrNotFound.
func (s *Store) Job(ctx context.Context, id string) (*Job, error) {
	row, err := s.getRow(ctx, jobKey(id))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if row.Version == 0 {
		return nil, trace.Wrap(storage.ErrNotFound)
	}
	return decodeJob(row)
}

func decodeJob(row storage.Row) (*Job, error) {
	j := &Job{Version: row.Version}
	if err := json.Unmarshal(row.Value, j); err != nil {
		return nil, trace.Wrap(err, "row %s", row.Key)
	}
	return j, nil
}

// Submit creates a job, or returns the job that the same request created before.
// Every attempt reads the state first, so lost responses and conflicts are handled
// alike. It returns ErrIdempotencyMismatch if the key was used with other input. The
// error matches ErrNotWritten if no job was created and none will be.
func (s *Store) Submit(ctx context.Context, sub Submission) (*Job, error) {
	return s.retryWrite(ctx, func() (*Job, error) { return s.trySubmit(ctx, sub) })
}

// retryWrite repeats a write that reads the state first. A final error matches
// ErrNotWritten or errMayBeWritten, as follows from all writes and not only the last: an
// earlier one without an answer may still take effect.
func (s *Store) retryWrite(ctx context.Context, write func() (*Job, error)) (*Job, error) {
	var b backoff
	known := effect.NotPerformed
	for {
		j, err := write()
		if err == nil {
			return j, nil
		}
		if errors.Is(err, errMayBeWritten) {
			known = known.Either(effect.Unknown)
		}
		if (transient(err) || errors.Is(err, storage.ErrConflict)) && b.wait(ctx) == nil {
			continue
		}
		return nil, trace.Wrap(withOutcome(err, known))
	}
}

// errMayBeWritten marks the error of a write that may have taken effect, or may later.
var errMayBeWritten = errors.New("outcome of a write is unknown")

// withOutcome adds to the error of a request what is known of its writes.
func withOutcome(err error, known effect.Outcome) error {
	if err == nil {
		return nil
	}
	if known == effect.NotPerformed {
		return errors.Join(ErrNotWritten, err)
	}
	return errors.Join(errMayBeWritten, err)
}

// commit applies a transaction. Its error matches errMayBeWritten unless nothing was
// written.
func (s *Store) commit(ctx context.Context, tx storage.Transaction) ([]uint64, error) {
	versions, err := s.table.Commit(ctx, tx)
	if storage.WriteOutcome(err) == effect.Unknown {
		err = errors.Join(errMayBeWritten, err)
	}
	return versions, err
}

func (s *Store) trySubmit(ctx context.Context, sub Submission) (*Job, error) {
	file, fileRow, err := s.fileRow(ctx, sub.FileID)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	now := time.Now().UTC()
	j := newJob(sub, file, now)
	conditions, found, err := s.findDuplicate(ctx, sub, j, now)
	if err != nil || found != nil {
		return found, err
	}
	index, err := s.indexWrites(ctx, j)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if keep := j.Deadline.Add(Retention); keep.After(file.KeepUntil) {
		file.KeepUntil = keep
	}
	writes := append([]storage.Write{
		{Key: jobKey(j.ID), Value: mustJSON(j)},
		{Key: orgJobKey(j.Organisation, j.Created, j.ID), Value: []byte(j.ID), Always: true},
		{Key: fileKey(file.ID), Value: mustJSON(file), IfVersion: fileRow.Version},
	}, index...)
	versions, err := s.commit(ctx, storage.Transaction{Conditions: conditions, Writes: writes})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	j.Version = versions[0]
	return j, nil
}

func newJob(sub Submission, file *File, now time.Time) *Job {
	j := &Job{
		Organisation: sub.Organisation, Caller: sub.Caller, FileID: file.ID, InputDigest: file.Digest,
		Endpoint: sub.Endpoint, Service: sub.Service, Window: formatWindow(sub.Window), Metadata: sub.Metadata,
		Items: file.Items, Status: StatusRunning, Created: now, Deadline: now.Add(sub.Window),
	}
	if sub.IdempotencyKey != "" {
		j.ID = keyedID(sub.Caller, sub.IdempotencyKey)
	} else {
		j.ID = dedupID(sub.Caller, file.Digest, sub.Endpoint, dedupPeriod(now))
	}
	return j
}

// formatWindow formats 24 hours as 24h rather than 24h0m0s.
func formatWindow(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// findDuplicate looks for the job that the same request created before. Without a
// key it also checks the adjacent periods and returns conditions on their rows, so
// that entries whose clocks differ by less than a period create only one job.
func (s *Store) findDuplicate(ctx context.Context, sub Submission, j *Job, now time.Time) ([]storage.Condition, *Job, error) {
	found, err := s.Job(ctx, j.ID)
	if err == nil {
		if found.InputDigest != j.InputDigest || found.Endpoint != j.Endpoint {
			return nil, nil, trace.Wrap(ErrIdempotencyMismatch)
		}
		return nil, found, nil
	}
	if !errors.Is(err, storage.ErrNotFound) || sub.IdempotencyKey != "" {
		return nil, nil, ignoreNotFound(err)
	}
	var conditions []storage.Condition
	for _, p := range []int64{dedupPeriod(now) - 1, dedupPeriod(now) + 1} {
		id := dedupID(sub.Caller, j.InputDigest, sub.Endpoint, p)
		row, err := s.getRow(ctx, jobKey(id))
		if err != nil {
			return nil, nil, trace.Wrap(err)
		}
		conditions = append(conditions, storage.Condition{Key: jobKey(id), Version: row.Version})
		if row.Version == 0 {
			continue
		}
		found, err := decodeJob(row)
		if err != nil || now.Sub(found.Created) < DedupWindow {
			return nil, found, err
		}
	}
	return conditions, nil, nil
}

func ignoreNotFound(err error) error {
	if errors.Is(err, storage.ErrNotFound) {
		return nil
	}
	return trace.Wrap(err)
}

// Cancel cancels a running job and returns the job in its final state, which is
// not cancelled if the job completed or expired first.
func (s *Store) Cancel(ctx context.Context, id string) (*Job, error) {
	return s.finish(ctx, id, StatusCancelled, nil)
}

// Expire ends a running job after its deadline.
func (s *Store) Expire(ctx context.Context, id string) (*Job, error) {
	return s.finish(ctx, id, StatusExpired, nil)
}

// Complete completes a running job if all its chunks are done, and reports
// whether the job is in any final state.
func (s *Store) Complete(ctx context.Context, id string) (bool, error) {
	j, err := s.Job(ctx, id)
	if err != nil {
		return false, trace.Wrap(err)
	}
	if j.Status.Final() {
		return true, nil
	}
	chunks, err := s.DoneChunks(ctx, j)
	if err != nil || len(chunks) < j.Chunks() {
		return false, trace.Wrap(err)
	}
	_, err = s.finish(ctx, id, StatusCompleted, countsOf(j, chunks))
	return err == nil, trace.Wrap(err)
}

func countsOf(j *Job, done []Chunk) *Counts {
	c := &Counts{Total: j.Items}
	for i := range done {
		c.Completed += done[i].Completed
		c.Failed += done[i].Failed
	}
	return c
}

// finish moves a running job to a final state in one transaction that writes the
// job's row conditionally and removes the job from the index.
func (s *Store) finish(ctx context.Context, id string, status Status, counts *Counts) (*Job, error) {
	return s.retryWrite(ctx, func() (*Job, error) { return s.tryFinish(ctx, id, status, counts) })
}

func (s *Store) tryFinish(ctx context.Context, id string, status Status, counts *Counts) (*Job, error) {
	j, err := s.Job(ctx, id)
	if err != nil || j.Status.Final() {
		return j, trace.Wrap(err)
	}
	j.Status = status
	j.Counts = counts
	j.Ended = time.Now().UTC()
	index, err := s.indexWrites(ctx, j)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	writes := append([]storage.Write{{Key: jobKey(id), Value: mustJSON(j), IfVersion: j.Version}}, index...)
	versions, err := s.commit(ctx, storage.Transaction{Writes: writes})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	j.Version = versions[0]
	return j, nil
}

// List returns at most limit jobs of an organisation, newest first, starting
// after the job with id after, and reports whether there are more.
func (s *Store) List(ctx context.Context, org, after string, limit int) ([]*Job, bool, error) {
	cursor := ""
	if after != "" {
		j, err := s.Job(ctx, after)
		if err != nil {
			return nil, false, trace.Wrap(err)
		}
		cursor = orgJobKey(org, j.Created, j.ID)
	}
	rows, err := retry(ctx, func() ([]storage.Row, error) {
		return s.table.Scan(ctx, orgJobsKey(org), cursor, limit+1)
	})
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	more := len(rows) > limit
	jobs, err := s.jobs(ctx, rows[:min(limit, len(rows))])
	return jobs, more, trace.Wrap(err)
}

// jobs reads the jobs that the organisation rows refer to, without those removed
// meanwhile.
func (s *Store) jobs(ctx context.Context, rows []storage.Row) ([]*Job, error) {
	found := make([]*Job, len(rows))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxPageReads)
	for i, row := range rows {
		group.Go(func() error {
			j, err := s.Job(ctx, row.Key[strings.LastIndexByte(row.Key, '/')+1:])
			found[i] = j
			return ignoreNotFound(err)
		})
	}
	err := group.Wait()
	return slices.DeleteFunc(found, func(j *Job) bool { return j == nil }), trace.Wrap(err)
}

// mustJSON encodes a value whose encoding cannot fail.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
