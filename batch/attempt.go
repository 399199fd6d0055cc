package batch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/event"
	"github.com/magnoliausher/magnoliausher/forward"
	"github.com/magnoliausher/magnoliausher/memory"
	"github.com/magnoliausher/magnoliausher/metric"
)

const (
	// failureBackoff is the base delay before a failed item is retried; it
	// doubles with each failed attempt, up to failureBackoffMax.
	failureBackoff    = 100 * time.Millisecond
	failureBackoffMax = 3 * time.Second
	// maxTimeoutDoublings limits the growth of an item's timeouts to a factor of 4.
	maxTimeoutDoublings = 2
	// maxItemOutputBytes limits the output of an item to what one transaction can list.
	// The longest answers hold a few thousand tokens.
	maxItemOutputBytes = maxCommitBytes
)

// runItem makes one attempt at an item and handles its result.
func (s *Service) runItem(r *runningJob, ri *runningItem, grant *dispatch.Grant) {
	defer r.activeItems.Done()
	item := &r.submission.Items[ri.index]
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	go func() {
		select {
		case <-grant.Preempted():
			cancel()
		case <-ctx.Done():
		}
	}()
	started, before := time.Now(), ri.position()
	outcome, status := s.attemptItem(ctx, r, ri, grant)
	preempted := isClosed(grant.Preempted())
	if outcome == dispatch.Broken && ctx.Err() != nil {
		outcome = dispatch.Cancelled
	}
	grant.Release(outcome)
	if preempted {
		metric.Preempted(grant.Upstream.Service)
	}
	s.cfg.Log.Info().Str("request", item.ID).Str("job", r.submission.ID).Str("upstream", grant.Upstream.ID).Str("software_version", grant.Upstream.SoftwareVersion).
		Int("from_event", before.events).Int("events", ri.events()).Int("output_bytes", ri.outputSize()).Bool("preempted", preempted).Str("outcome", status).
		Int64("ms", time.Since(started).Milliseconds()).Msg("item attempt")
	s.handleAttemptResult(r, ri, attemptResult{outcome: outcome, status: status, before: before, duration: time.Since(started)})
}

// attemptResult describes how an attempt ended.
type attemptResult struct {
	outcome  dispatch.Outcome
	status   string
	before   position // where the attempt began
	duration time.Duration
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Statuses of an attempt, as logged; the reason may follow.
const (
	attemptDone       = "done"
	attemptImpossible = "impossible" // status 422
	attemptFailed     = "failed"     // status 500
	attemptNotRun     = "not_run"
	attemptNotSent    = "not_sent"
	attemptBroken     = "broken"
	attemptSilent     = "silent"   // no answer or no event in time
	attemptUnusable   = "unusable" // bytes that are no answer to the item
)

// attemptItem sends an item to the granted upstream and collects its events.
func (s *Service) attemptItem(ctx context.Context, r *runningJob, ri *runningItem, grant *dispatch.Grant) (dispatch.Outcome, string) {
	item := &r.submission.Items[ri.index]
	header := make(http.Header, len(item.Header))
	for name, value := range item.Header {
		header.Set(name, value)
	}
	answer, err := forward.CallWithHeaderTimeout(ctx, s.cfg.Upstreams, grant.Upstream, &forward.Call{
		ID: item.ID, Host: r.submission.Host, Method: http.MethodPost, Target: item.Target,
		Header: header, Body: item.Body, ResumeAfter: ri.lastID(), BySoftwareVersion: true, Organisation: s.callerOrganisation(r.submission)}, ri.timeout(forward.ResponseHeaderTimeout))
	switch {
	case errors.Is(err, forward.ErrNotSent):
		return dispatch.ConnectFailed, attemptNotSent
	case errors.Is(err, forward.ErrHeaderTimeout):
		return dispatch.Broken, attemptSilent
	case err != nil:
		return dispatch.Broken, attemptBroken
	}
	defer answer.Body.Close()
	if answer.Leaving {
		grant.MarkLeaving()
	}
	switch {
	case answer.NotExecuted:
		return dispatch.Full, attemptNotRun
	case answer.Status == http.StatusUnprocessableEntity:
		return dispatch.Cancelled, attemptImpossible
	case answer.Status == http.StatusInternalServerError:
		return dispatch.Cancelled, attemptFailed
	case answer.Status != http.StatusOK || !answer.Signed || !answer.EventStream:
		return dispatch.Broken, attemptBroken + " status " + strconv.Itoa(answer.Status)
	}
	return s.collectEvents(ri, grant, answer)
}

// callerOrganisation returns the organisation that items are sent for, nil if callers have
// none.
func (s *Service) callerOrganisation(submission *Submission) *string {
	c := s.cfg.Holder.View().Configuration
	if submission.Organisation == "" && (c == nil || !c.RequiresKeys()) {
		return nil
	}
	return &submission.Organisation
}

func (s *Service) collectEvents(ri *runningItem, grant *dispatch.Grant, answer *forward.Response) (dispatch.Outcome, string) {
	events := event.NewIdleTimeoutReader(answer.Body, ri.timeout(forward.StreamIdleTimeout))
	defer events.Stop()
	events.Account(s.cfg.Memory.Share())
	begun := false // an event has arrived
	for {
		e, err := events.Next()
		switch {
		case errors.Is(err, io.EOF) && answer.EndsWithConnection && !begun:
			// Broken off before the first event. After two such attempts the item starts
			// over, since no event may be left after the last one.
			if ri.brokenInRow > 0 {
				ri.reset(0)
			}
			return dispatch.Broken, attemptBroken
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.Raw)) == 0:
			return dispatch.Served, attemptDone
		case errors.Is(err, event.ErrIdle):
			return dispatch.Broken, attemptSilent
		case errors.Is(err, event.ErrTooLong), errors.Is(err, memory.ErrExhausted):
			return dispatch.Broken, attemptUnusable + " " + err.Error()
		case err != nil:
			return dispatch.Broken, attemptBroken
		case !event.Follows(ri.lastID(), e.ID):
			return dispatch.Broken, attemptUnusable
		}
		if e.Empty() {
			continue
		}
		begun = true
		grant.Progress()
		if err := ri.addEvent(&e, grant.Upstream); err != nil {
			ri.reset(0) // an answer without end holds nothing to resume from
			return dispatch.Broken, attemptUnusable + " " + err.Error()
		}
	}
}

// timeout returns the time that the item's upstream may be silent. It doubles with
// each attempt that broke without an event, so that an item which only slow upstreams
// run is done as well.
func (ri *runningItem) timeout(base time.Duration) time.Duration {
	return base << min(ri.brokenInRow, maxTimeoutDoublings)
}

// handleAttemptResult finishes or requeues an item after an attempt. An item is never
// the cause of a crash, however many happen while it runs: it is tried again until it
// is done or may be given up.
func (s *Service) handleAttemptResult(r *runningJob, ri *runningItem, result attemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	done, _ := ri.snapshot()
	s.pace.recordAttempt(result.duration, max(done.Events-result.before.events, 0))
	if ri.state != itemActive {
		return // its result was listed by a write that took effect late
	}
	switch result.status {
	case attemptDone:
		if result.before != (position{}) && done.doubtful(s.cfg.Holder.View()) {
			s.cfg.Log.Info().Str("job", r.submission.ID).Str("request", r.submission.Items[ri.index].ID).
				Msg("the output may come from two software versions; the item starts over")
			ri.reset(0)
			s.requeue(ri, 0)
			return
		}
		s.pace.recordItem(done.Events)
		s.finishItem(r, ri, Result{Output: string(done.Output)})
		return
	case attemptImpossible, attemptFailed:
		t, ok := s.termsOf(r)
		if result.status == attemptFailed {
			ri.failures++
		}
		if ok && (result.status == attemptImpossible || t.exhausted(ri)) {
			s.abandonItem(t, ri, result.status)
			return
		}
		s.requeue(ri, backoffAfter(ri.failures))
		return
	}
	if result.outcome == dispatch.Broken && done.position() == result.before {
		ri.brokenInRow++
		s.requeue(ri, backoffAfter(ri.brokenInRow))
		return
	}
	ri.brokenInRow = 0
	s.requeue(ri, 0)
}

// backoffAfter returns the delay after a number of failed attempts in a row.
func backoffAfter(failures int) time.Duration {
	const doublings = 5 // failureBackoff << doublings exceeds failureBackoffMax
	return min(failureBackoff<<min(failures, doublings), failureBackoffMax)
}

// requeue makes an item eligible to start again after a delay. The caller holds s.mu.
func (s *Service) requeue(ri *runningItem, delay time.Duration) {
	ri.state = itemWaiting
	ri.notBefore = time.Now().Add(delay)
	s.wakeScheduler()
}
