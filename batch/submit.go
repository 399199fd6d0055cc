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

	"github.com/magnoliausher/magnoliausher/batch/jobrow"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/storage"
)

// Submit accepts a job. Submitting a job with the same ID again has no further effect.
func (s *Service) Submit(ctx context.Context, route *fleet.Route, job *Submission) (SubmitOutcome, error) {
	calls := newCallLog()
	outcome, err := s.submit(ctx, route, job, calls)
	s.cfg.Log.Info().Str("request", job.ID).Str("route", route.Name).Int("items", len(job.Items)).Str("outcome", outcome.String()).
		AnErr("reason", err).Int64("total_ms", time.Since(calls.begun).Milliseconds()).Array("calls", calls.calls).Msg("job submitted")
	return outcome, err
}

func (s *Service) submit(ctx context.Context, route *fleet.Route, job *Submission, calls *callLog) (SubmitOutcome, error) {
	if _, known := s.mirror.get(job.ID); known {
		return Accepted, nil
	}
	if s.isStopping() {
		return NotAccepted, nil
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	tokens := job.tokens()
	if s.mirror.isCurrent(time.Now()) && !s.fitsQuota(route, tokens) {
		return OverQuota, nil
	}
	content, err := json.Marshal(job)
	if err != nil {
		return NotAccepted, trace.Wrap(err)
	}
	if err := s.putObject(ctx, job.ID, content, calls); err != nil {
		return NotAccepted, err // an object without a row is not a job
	}
	next := Job{ID: job.ID, Route: route.Name, Created: time.Now().UnixMilli(), Total: len(job.Items), OpenTokens: tokens}
	next.SetOwner(s.process())
	s.submissions.Add(job.ID, job)
	acceptance, err := s.accept(ctx, route, next, calls)
	if acceptance == Accepted {
		s.startJob(next.ID, false)
	}
	return acceptance, err
}

// putObject writes a job's object. It retries until ctx ends unless the store
// throttles the call; retries are idempotent, since the content is the same.
func (s *Service) putObject(ctx context.Context, id string, content []byte, calls *callLog) error {
	for failures := 0; ; failures++ {
		started := time.Now()
		callCtx, cancel := s.storeContext(ctx)
		err := s.cfg.Objects.Put(callCtx, objectKey(id), bytes.NewReader(content))
		cancel()
		calls.write("put", started, err)
		if err == nil || errors.Is(err, storage.ErrThrottled) || !backOff(ctx, failures, started) {
			return err
		}
	}
}

func (s *Service) fitsQuota(route *fleet.Route, tokens int64) bool {
	waiting, _ := s.mirror.quota(route.Name)
	return route.TokenQuota <= 0 || waiting+tokens <= route.TokenQuota
}

// accept writes the job row. The write is conditional on the version of the quota
// row, which every acceptance on the route rewrites, so that the sum of open tokens
// used for the quota check includes every accepted job.
func (s *Service) accept(ctx context.Context, route *fleet.Route, job Job, calls *callLog) (SubmitOutcome, error) {
	draft := jobrow.New(job)
	uncertain := false
	for failures := 0; ; failures++ {
		if !s.mirror.isCurrent(time.Now()) {
			if err := s.refreshMirrorLogged(ctx, calls); err != nil {
				return failureOutcome(uncertain), err
			}
		}
		if _, known := s.mirror.get(job.ID); known {
			return Accepted, nil
		}
		_, quotaVersion := s.mirror.quota(route.Name)
		if !s.fitsQuota(route, job.OpenTokens) {
			if uncertain {
				return Unknown, nil
			}
			return OverQuota, nil
		}
		started := time.Now()
		callCtx, cancel := s.storeContext(ctx)
		row, versions, err := draft.Commit(callCtx, s.cfg.Table,
			storage.Write{Key: quotaKey(route.Name), Value: []byte("{}"), IfVersion: quotaVersion})
		cancel()
		calls.write(fmt.Sprint("commit@", quotaVersion), started, err)
		switch {
		case err == nil:
			s.mirror.recordQuota(route.Name, versions[0])
			s.mirror.recordJob(row)
			return Accepted, nil
		case errors.Is(err, storage.ErrConflict):
			if err := s.refreshMirrorLogged(ctx, calls); err != nil {
				return failureOutcome(uncertain), err
			}
		case errors.Is(err, storage.ErrThrottled):
			if !backOff(ctx, failures, started) {
				return failureOutcome(uncertain), err
			}
		default:
			uncertain = true // the write may still take effect, even seconds later
			if !backOff(ctx, failures, started) {
				return Unknown, err
			}
			if err := s.refreshMirrorLogged(ctx, calls); err != nil {
				return Unknown, err
			}
		}
	}
}

func failureOutcome(uncertain bool) SubmitOutcome {
	if uncertain {
		return Unknown
	}
	return NotAccepted
}

// refreshMirrorLogged is refreshMirrorUntil with an entry in the log of calls.
func (s *Service) refreshMirrorLogged(ctx context.Context, calls *callLog) error {
	started := time.Now()
	err := s.refreshMirrorUntil(ctx)
	calls.read("snapshot", started, "read", err)
	return err
}

// RetryAfter returns the delay to suggest to a client whose job exceeded the quota.
// It is random, so that clients do not retry together.
func (s *Service) RetryAfter() time.Duration {
	return quotaRetryDelay/2 + rand.N(quotaRetryDelay)
}
