package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/semaphore"

	"github.com/magnoliausher/magnoliausher/batch/acceptance"
	"github.com/magnoliausher/magnoliausher/batch/jobrow"
	"github.com/magnoliausher/magnoliausher/effect"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/storage"
)

// acceptanceReadTimeout limits the reads that look for the effect of commits without an
// answer, after submitTimeout. Clients wait 4 s.
const acceptanceReadTimeout = 400 * time.Millisecond

// rowLookupTimeout limits the look for a row that another gateway has written. The
// answer does not depend on it, so it is short; the store answers within 50 ms.
const rowLookupTimeout = 100 * time.Millisecond

// errOtherSubmission means that this process has another submission of the job in
// progress, whose outcome is open.
var errOtherSubmission = errors.New("another submission of the job is in progress")

// submissionState is what this process knows of the submissions of one job by one
// organisation.
type submissionState struct {
	job   string              // its ID
	turn  *semaphore.Weighted // of one; held by the submission that is in progress
	calls acceptance.Calls    // guarded by turn
	// The fields below are guarded by Service.mu.
	first, last time.Time // when the first and the last submission began
	users       int       // submissions that hold turn or wait for it
	open        bool      // a commit may still take effect
}

// Submit accepts a job. Submitting a job with the same ID again has no further effect.
// A refusal covers all calls that this process has made for the job, also those of
// earlier submissions.
func (s *Service) Submit(ctx context.Context, route *fleet.Route, job *Submission) (SubmitOutcome, error) {
	log := newCallLog()
	outcome, err := s.submitInTurn(ctx, route, job, log)
	s.cfg.Log.Info().Str("request", job.ID).Str("route", route.Name).Int("items", len(job.Items)).Str("outcome", outcome.String()).
		AnErr("reason", err).Int64("total_ms", time.Since(log.begun).Milliseconds()).Array("calls", log.calls).Strs("item_ids", job.itemIDs()).Msg("job submitted")
	return outcome, err
}

func (s *Service) submitInTurn(ctx context.Context, route *fleet.Route, job *Submission, log *callLog) (SubmitOutcome, error) {
	if e, known := s.mirror.get(job.ID); known {
		return answerStored(job.Organisation, e)
	}
	submitCtx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	key := objectKey(job.Organisation, job.ID)
	state, err := s.enterSubmission(submitCtx, job.ID, key)
	if err != nil {
		return Unknown, trace.Wrap(errOtherSubmission, "%v", err)
	}
	defer s.leaveSubmission(key, state)
	refusal, err := s.accept(submitCtx, route, job, state, log)
	if state.calls.Outcome() == effect.Unknown {
		readCtx, cancel := context.WithTimeout(ctx, acceptanceReadTimeout)
		defer cancel()
		s.resolveAcceptance(readCtx, job, state, log)
	}
	switch state.calls.Outcome() {
	case effect.Performed:
		s.startJob(job.ID, false)
		return Accepted, nil
	case effect.Unknown:
		return Unknown, err
	}
	if err == nil { // another gateway may have accepted the job lately
		readCtx, cancel := context.WithTimeout(ctx, rowLookupTimeout)
		defer cancel()
		_, _ = s.readJobLogged(readCtx, job.ID, log) // the mirror has what it found
	}
	if e, known := s.mirror.get(job.ID); known {
		return answerStored(job.Organisation, e)
	}
	if s.othersWait(state) {
		return Unknown, trace.Wrap(errOtherSubmission, "%v", err)
	}
	return refusal, err
}

// errOtherOrganisation means that a job with the ID belongs to another organisation. It
// says nothing about that job.
var errOtherOrganisation = errors.New("the ID is in use")

// answerStored returns the answer to a submission of an ID whose row exists. No part of
// the submission runs if the row is of another organisation, but a refusal that says so
// would also be read as one about the stored job.
func answerStored(organisation string, e mirroredJob) (SubmitOutcome, error) {
	if !e.Job().AccessibleBy(organisation) {
		return Unknown, errOtherOrganisation
	}
	return Accepted, nil
}

// othersWait reports whether other submissions of the job wait for the one in progress.
func (s *Service) othersWait(state *submissionState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return state.users > 1
}

// enterSubmission waits until no other submission of the job is in progress here. The
// caller must call leaveSubmission unless there is an error.
func (s *Service) enterSubmission(ctx context.Context, id, key string) (*submissionState, error) {
	s.mu.Lock()
	state := s.submitting[key]
	if state == nil {
		state = &submissionState{job: id, turn: semaphore.NewWeighted(1), first: time.Now()}
		s.submitting[key] = state
	}
	state.users++
	state.last = time.Now()
	s.mu.Unlock()
	err := state.turn.Acquire(ctx, 1)
	if err != nil {
		s.mu.Lock()
		s.dropUser(key, state)
		s.mu.Unlock()
	}
	return state, err
}

func (s *Service) leaveSubmission(key string, state *submissionState) {
	s.mu.Lock()
	state.open = state.calls.Outcome() == effect.Unknown // before the next submission can change it
	s.dropUser(key, state)
	s.mu.Unlock()
	state.turn.Release(1)
}

// dropUser ends a submission's use of its state, which is kept while a commit of it
// may still take effect. The caller holds s.mu.
func (s *Service) dropUser(key string, state *submissionState) {
	state.users--
	if state.users == 0 && !state.open {
		delete(s.submitting, key)
	}
}

// forgetSubmissions drops the states of submissions whose commits would have shown by now.
func (s *Service) forgetSubmissions(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, state := range s.submitting {
		e, known := s.mirror.get(state.job)
		known = known && objectKey(e.Job().Organisation, state.job) == key
		if state.users == 0 && (known || now.Sub(state.last) > s.cfg.JobRetention) {
			delete(s.submitting, key)
		}
	}
}

// accept stores a job's object and its row, and records in state what is known of the
// row. It returns the answer to a job of which no row is or will be stored.
func (s *Service) accept(ctx context.Context, route *fleet.Route, job *Submission, state *submissionState, log *callLog) (SubmitOutcome, error) {
	if s.isStopping() {
		return NotAccepted, nil
	}
	tokens := job.tokens()
	if s.mirror.isCurrent(time.Now()) && !s.fitsQuota(route, job.Organisation, tokens) {
		return OverQuota, nil
	}
	content, err := encodeUnescaped(job)
	if err != nil {
		return NotAccepted, trace.Wrap(err)
	}
	if err := s.putObject(ctx, objectKey(job.Organisation, job.ID), content, log); err != nil {
		return NotAccepted, err // an object without a row is not a job
	}
	next := Job{ID: job.ID, Route: route.Name, Created: time.Now().UnixMilli(), Total: len(job.Items), OpenTokens: tokens,
		Organisation: job.Organisation, ConfigurationVersion: route.ConfigurationVersion}
	next.SetOwner(s.process())
	s.submissions.Add(objectKey(job.Organisation, job.ID), job)
	return s.writeFirstRow(ctx, route, next, state, log)
}

// encodeUnescaped returns the JSON encoding of v without the escapes for HTML, which make
// six bytes of each <, > and &, more than a submission reserves.
func encodeUnescaped(v any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(v)
	return buffer.Bytes(), err
}

// putObject writes a job's object. It retries until ctx ends unless the store
// throttles the call; retries are idempotent, since the content is the same.
func (s *Service) putObject(ctx context.Context, key string, content []byte, log *callLog) error {
	for failures := 0; ; failures++ {
		started := time.Now()
		callCtx, cancel := s.storeContext(ctx)
		err := s.cfg.Objects.Put(callCtx, key, bytes.NewReader(content))
		cancel()
		log.write("put", started, err)
		if err == nil || errors.Is(err, storage.ErrThrottled) || !backOff(ctx, failures, started) {
			return err
		}
	}
}

func (s *Service) fitsQuota(route *fleet.Route, organisation string, tokens int64) bool {
	waiting, _ := s.mirror.quota(route.Name, organisation)
	return route.TokenQuota <= 0 || waiting+tokens <= route.TokenQuota
}

// writeFirstRow writes the job's row. The write is conditional on the version of the
// quota row, which every acceptance on the route rewrites, so that the sum of open tokens
// used for the quota check includes every accepted job.
func (s *Service) writeFirstRow(ctx context.Context, route *fleet.Route, job Job, state *submissionState, log *callLog) (SubmitOutcome, error) {
	draft := jobrow.New(job)
	for failures := 0; ; failures++ {
		if !s.mirror.isCurrent(time.Now()) {
			if err := s.refreshMirrorLogged(ctx, log); err != nil {
				return NotAccepted, err
			}
		}
		if e, known := s.mirror.get(job.ID); known {
			if e.Job().AccessibleBy(job.Organisation) {
				state.calls.RecordStored()
			}
			return answerStored(job.Organisation, e)
		}
		_, quotaVersion := s.mirror.quota(route.Name, job.Organisation)
		if !s.fitsQuota(route, job.Organisation, job.OpenTokens) {
			return OverQuota, nil
		}
		started := time.Now()
		err := s.commitFirstRow(ctx, draft, acceptance.Condition{Quota: quotaKey(route.Name, job.Organisation), Version: quotaVersion}, state, log)
		switch {
		case err == nil:
			return Accepted, nil
		case errors.Is(err, storage.ErrThrottled):
			if !backOff(ctx, failures, started) {
				return NotAccepted, err
			}
			continue
		case !errors.Is(err, storage.ErrConflict) && !backOff(ctx, failures, started):
			return NotAccepted, err
		}
		if err := s.refreshMirrorLogged(ctx, log); err != nil {
			return NotAccepted, err
		}
	}
}

func (s *Service) commitFirstRow(ctx context.Context, draft jobrow.Draft, condition acceptance.Condition, state *submissionState, log *callLog) error {
	ctx, cancel := s.storeContext(ctx)
	defer cancel()
	started := time.Now()
	state.calls.Begin(condition)
	row, versions, err := draft.Commit(ctx, s.cfg.Table, storage.Write{Key: condition.Quota, Value: []byte("{}"), IfVersion: condition.Version})
	state.calls.End(condition, storage.WriteOutcome(err))
	log.write(fmt.Sprint("commit@", condition.Version), started, err)
	if err != nil {
		return err
	}
	s.mirror.recordAcceptance(row, condition.Quota, versions[0])
	return nil
}

// resolveAcceptance reads whether commits without an answer have taken effect. The quota
// row is read first: acceptance.Calls.RecordAbsent requires that order. Once the row of
// a job may have been removed, its absence shows nothing.
func (s *Service) resolveAcceptance(ctx context.Context, job *Submission, state *submissionState, log *callLog) {
	s.mu.Lock()
	removable := time.Since(state.first) >= s.cfg.JobRetention
	s.mu.Unlock()
	if removable {
		return
	}
	for _, quota := range state.calls.OpenQuotas() {
		started := time.Now()
		version, err := s.readVersion(ctx, quota)
		log.read("read quota", started, fmt.Sprint("version ", version), err)
		if err != nil {
			return // the outcome stays unknown
		}
		e, err := s.readJobLogged(ctx, job.ID, log)
		switch {
		case err == nil && e.Job().AccessibleBy(job.Organisation):
			state.calls.RecordStored()
			return
		case err == nil, errors.Is(err, ErrNotFound): // another organisation's row is not this job's
			state.calls.RecordAbsent(quota, version)
		default:
			return
		}
	}
}

// readJobLogged is readJob with an entry in the log of calls.
func (s *Service) readJobLogged(ctx context.Context, id string, log *callLog) (mirroredJob, error) {
	started := time.Now()
	e, err := s.readJob(ctx, id)
	if errors.Is(err, ErrNotFound) {
		log.read("read job", started, "absent", nil)
	} else {
		log.read("read job", started, "stored", err)
	}
	return e, err
}

// readVersion returns the version of a row, 0 if there is none.
func (s *Service) readVersion(ctx context.Context, key string) (uint64, error) {
	ctx, cancel := s.storeContext(ctx)
	defer cancel()
	row, err := s.cfg.Table.Get(ctx, key)
	if errors.Is(err, storage.ErrNotFound) {
		return 0, nil
	}
	return row.Version, err
}

// refreshMirrorLogged is refreshMirrorUntil with an entry in the log of calls.
func (s *Service) refreshMirrorLogged(ctx context.Context, log *callLog) error {
	started := time.Now()
	err := s.refreshMirrorUntil(ctx)
	log.read("snapshot", started, "read", err)
	return err
}

// RetryAfter returns the delay to suggest to a client whose job exceeded the quota.
// It is random, so that clients do not retry together.
func (s *Service) RetryAfter() time.Duration {
	return quotaRetryDelay/2 + rand.N(quotaRetryDelay)
}
