package batch

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/batch/jobrow"
	"github.com/magnoliausher/magnoliausher/memory"
	"github.com/magnoliausher/magnoliausher/storage"
)

const (
	// maxSubmissionReads is how many submissions are read from the store at once. One of
	// 4 MiB takes three times as much until it is decoded, which no budget counts.
	maxSubmissionReads = 2
)

// lookupJob returns a job from the mirror, or from the store if the mirror may be
// out of date.
func (s *Service) lookupJob(ctx context.Context, id string) (mirroredJob, error) {
	e, known := s.mirror.get(id)
	if known && s.mirror.isCurrent(time.Now()) {
		return e, nil
	}
	read, err := s.readJob(ctx, id)
	if errors.Is(err, ErrStoreUnavailable) && known {
		return e, nil // possibly stale, but listed results never change
	}
	return read, err
}

// lookupJobOf returns a job as a caller of an organisation may see it. To others it does
// not exist: the store is read as for an unknown ID, so that neither the duration nor the
// error during an outage tells the two apart. Rows of earlier builds name no organisation
// and are open to all.
func (s *Service) lookupJobOf(ctx context.Context, organisation, id string) (mirroredJob, error) {
	if e, known := s.mirror.get(id); !known || e.Job().AccessibleBy(organisation) {
		e, err := s.lookupJob(ctx, id)
		if err != nil || e.Job().AccessibleBy(organisation) {
			return e, err
		}
		return mirroredJob{}, ErrNotFound
	}
	e, err := s.readJob(ctx, id)
	if err == nil && !e.Job().AccessibleBy(organisation) {
		err = ErrNotFound
	}
	return e, err
}

// readJob reads a job's row from the store and updates the mirror.
func (s *Service) readJob(ctx context.Context, id string) (mirroredJob, error) {
	ctx, cancel := s.storeContext(ctx)
	defer cancel()
	row, err := s.cfg.Table.Get(ctx, jobrow.Key(id))
	if errors.Is(err, storage.ErrNotFound) {
		return mirroredJob{}, ErrNotFound
	}
	if err != nil {
		return mirroredJob{}, trace.Wrap(ErrStoreUnavailable, "%v", err)
	}
	s.mirror.applyChanges([]storage.Change{{Row: row}})
	e, known := s.mirror.get(id)
	if !known {
		return mirroredJob{}, trace.Wrap(ErrStoreUnavailable, "malformed job row")
	}
	return e, nil
}

// ItemBody is the request body of an item. It must be closed.
type ItemBody struct {
	Bytes []byte
	share *memory.Share // of the bytes, which outlive the submission that they come from
}

// Close gives the memory back.
func (b *ItemBody) Close() { b.share.Release() }

// OpenBody returns the request body of an item of a job that has not ended. It returns
// memory.ErrExhausted if there is no memory for it.
func (s *Service) OpenBody(ctx context.Context, organisation, id, item string) (*ItemBody, error) {
	e, err := s.lookupJobOf(ctx, organisation, id)
	if err != nil {
		return nil, err
	}
	if e.Job().Ended {
		return nil, ErrNotFound
	}
	submission, err := s.loadSubmission(ctx, e.Job())
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(submission.Items, func(i Item) bool { return i.ID == item })
	if i < 0 {
		return nil, ErrNotFound
	}
	body := &ItemBody{Bytes: submission.Items[i].Body, share: s.cfg.Results.Share()}
	if err := body.share.Resize(len(body.Bytes)); err != nil {
		return nil, err
	}
	return body, nil
}

// loadSubmission returns the submission of a job from the cache or the store. Concurrent
// calls for one job share a read, which goes on if one of them ends.
func (s *Service) loadSubmission(ctx context.Context, job *Job) (*Submission, error) {
	key := objectKey(job.Organisation, job.ID)
	if submission, cached := s.submissions.Get(key); cached {
		return submission, nil
	}
	result := s.reads.DoChan(key, func() (any, error) { return s.readSubmission(context.WithoutCancel(ctx), key, job) })
	select {
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*Submission), nil
	case <-ctx.Done():
		return nil, trace.Wrap(ErrStoreUnavailable, "%v", context.Cause(ctx))
	}
}

// readSubmission reads the submission of a job from the store when fewer than
// maxSubmissionReads are in progress.
func (s *Service) readSubmission(ctx context.Context, key string, job *Job) (*Submission, error) {
	waitCtx, cancelWait := context.WithTimeout(ctx, callTimeout)
	defer cancelWait()
	if err := s.readSlots.Acquire(waitCtx, 1); err != nil {
		return nil, trace.Wrap(ErrStoreUnavailable, "too many reads of jobs: %v", err)
	}
	defer s.readSlots.Release(1)
	if submission, cached := s.submissions.Get(key); cached {
		return submission, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reader, err := s.cfg.Objects.Get(ctx, key)
	if err != nil {
		return nil, trace.Wrap(ErrStoreUnavailable, "%v", err)
	}
	defer reader.Close()
	content, err := io.ReadAll(reader)
	if err != nil {
		return nil, trace.Wrap(ErrStoreUnavailable, "%v", err)
	}
	var submission Submission
	if err := json.Unmarshal(content, &submission); err != nil {
		return nil, trace.Wrap(ErrStoreUnavailable, "decoding the object of job %s: %v", job.ID, err)
	}
	if submission.Organisation != job.Organisation {
		return nil, trace.Wrap(ErrStoreUnavailable, "the object of job %s is of another organisation", job.ID)
	}
	submission.Account(s.cfg.Bodies)
	s.submissions.Add(key, &submission)
	return &submission, nil
}
