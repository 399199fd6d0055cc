package agent

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// Causes of the cancellation of a running attempt.
var (
	errPreempted    = errors.New("preempted by online work")
	errCrashed      = errors.New("upstream crashed")
	errNoProgress   = errors.New("upstream made no progress")
	errSlowReader   = errors.New("reader did not read the output in time")
	errJobCancelled = errors.New("job cancelled")
	errStopped      = errors.New("agent stopped")
	errEntryGone    = errors.New("entry closed the stream")
)

// Reasons of failed events.
const (
	FailedPreempted    = "preempted"
	FailedCrashed      = "upstream_crashed"
	FailedSilent       = "upstream_silent"
	FailedTruncated    = "answer_truncated"
	FailedNotSent      = "not_sent"
	FailedStatus       = "upstream_status"
	FailedDeadline     = "deadline_exceeded"
	FailedSlowReader   = "slow_reader"
	FailedJobCancelled = "job_cancelled"
	FailedStopped      = "agent_stopped"
	FailedCancelled    = "cancelled"
	FailedOther        = "upstream_error"
)

// task is the state of one attempt at this agent.
type task struct {
	entryID  string // "" when unknown
	req      *rpc.RunRequest
	class    contract.Class
	queued   *admission.Queued
	out      *eventBuffer
	ctx      context.Context
	cancel   context.CancelCauseFunc
	decision chan admission.Reason // ReasonNone means that a slot is reserved

	// Written by the worker, read by the watch loop.
	progress atomic.Int64 // agent's monotonic time of the last output
	answered atomic.Bool  // the upstream has sent a response
	outputs  atomic.Int32 // pieces of output that the upstream has sent

	// Guarded by Agent.mu.
	seq                 *admission.Sequence
	sent                bool // the upstream may have received the request
	released            bool
	crashed             bool          // was running when a crash was detected
	endedAt             time.Duration // when seq.Ending was set
	crashCount          uint64        // crashes detected before the request was sent
	concurrentSequences int           // sequences when the request was sent, including this one
	pendingPromptTokens int           // prompt tokens of all sequences when the request was sent, including this one
	sentAt              time.Duration

	// Used by the worker only.
	lastToken time.Duration
	produced  int
}

func (a *Agent) newTask(ctx context.Context, entryID string, req *rpc.RunRequest) *task {
	now := a.now()
	t := &task{
		entryID:  entryID,
		req:      req,
		class:    contract.ClassOnline,
		out:      newEventBuffer(a.cfg.BufferBytes),
		decision: make(chan admission.Reason, 1),
	}
	if req.Class == rpc.Class_CLASS_BATCH {
		t.class = contract.ClassBatch
	}
	t.queued = &admission.Queued{
		ID:           attempt.ID(req.AttemptId),
		Caller:       req.Caller,
		Class:        t.class,
		Arrival:      now,
		PromptTokens: int(req.PromptTokens + req.DeliveredTokens),
		Suspect:      req.Suspect,
	}
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	if req.DeadlineMs == 0 {
		return t
	}
	left := time.Duration(req.DeadlineMs) * time.Millisecond
	t.queued.Deadline = now + left
	limited, stop := context.WithTimeout(t.ctx, left)
	cancel := t.cancel
	t.ctx = limited
	t.cancel = func(cause error) {
		cancel(cause) // first, so that it is the cause that limited reports
		stop()
	}
	return t
}

func (t *task) ticket() attempt.Ticket {
	return attempt.Ticket{
		AgentIncarnation: t.req.Ticket.GetAgentIncarnation(),
		NotAfter:         time.Duration(t.req.Ticket.GetNotAfterMs()) * time.Millisecond,
	}
}

func (t *task) event() *rpc.RunEvent { return &rpc.RunEvent{AttemptId: t.req.AttemptId} }

func (t *task) refusedEvent(r admission.Reason) *rpc.RunEvent {
	e := t.event()
	e.Event = &rpc.RunEvent_Refused{Refused: &rpc.Refused{
		Reason:       string(r),
		RetryAfterMs: uint32(r.RetryAfter() / time.Millisecond),
	}}
	return e
}

func (t *task) failedEvent(reason string, executed rpc.Executed) *rpc.RunEvent {
	e := t.event()
	e.Event = &rpc.RunEvent_Failed{Failed: &rpc.Failed{
		Reason:          reason,
		Executed:        executed,
		UpstreamCrashed: reason == FailedCrashed,
		Preempted:       reason == FailedPreempted,
	}}
	return e
}

// executed returns what is known about execution once the request was sent.
func (t *task) executed() rpc.Executed {
	if t.answered.Load() {
		return rpc.Executed_EXECUTED_YES
	}
	return rpc.Executed_EXECUTED_UNKNOWN
}

// failureEvent converts the error of an upstream call to the attempt's last event.
func (t *task) failureEvent(err error) *rpc.RunEvent {
	executed := t.executed()
	if errors.Is(err, upstream.ErrNotSent) {
		executed = rpc.Executed_EXECUTED_NO
	}
	if t.ctx.Err() != nil {
		return t.failedEvent(causeReason(context.Cause(t.ctx)), executed)
	}
	var status *upstream.StatusError
	switch {
	case errors.As(err, &status):
		if status.Refusal() {
			executed = rpc.Executed_EXECUTED_NO
		}
		return t.failedEvent(FailedStatus, executed)
	case errors.Is(err, upstream.ErrNotSent):
		return t.failedEvent(FailedNotSent, executed)
	case errors.Is(err, upstream.ErrCrashed):
		return t.failedEvent(FailedCrashed, executed)
	case errors.Is(err, upstream.ErrProgressTimeout):
		return t.failedEvent(FailedSilent, executed)
	case errors.Is(err, upstream.ErrTruncated):
		return t.failedEvent(FailedTruncated, executed)
	}
	return t.failedEvent(FailedOther, executed)
}

// endBeforeSend returns the last event of an attempt that was cancelled after its
// slot was reserved and before it was sent to the upstream.
func (t *task) endBeforeSend(cause error) *rpc.RunEvent {
	switch {
	case errors.Is(cause, errCrashed):
		return t.refusedEvent(admission.ReasonUpstreamDown)
	case errors.Is(cause, errStopped):
		return t.refusedEvent(admission.ReasonLeaving)
	}
	return t.failedEvent(causeReason(cause), rpc.Executed_EXECUTED_NO)
}

func causeReason(cause error) string {
	switch {
	case errors.Is(cause, errPreempted):
		return FailedPreempted
	case errors.Is(cause, errCrashed):
		return FailedCrashed
	case errors.Is(cause, errNoProgress):
		return FailedSilent
	case errors.Is(cause, errSlowReader):
		return FailedSlowReader
	case errors.Is(cause, errJobCancelled):
		return FailedJobCancelled
	case errors.Is(cause, errStopped):
		return FailedStopped
	case errors.Is(cause, context.DeadlineExceeded):
		return FailedDeadline
	}
	return FailedCancelled
}
