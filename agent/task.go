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

// Causes that end an attempt in progress.
var (
	errPreempted    = errors.New("cancelled to give way to online work")
	errCrashed      = errors.New("upstream crashed")
	errSilent       = errors.New("upstream made no progress")
	errSlowReader   = errors.New("output was not read")
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

// task is one attempt at this agent.
type task struct {
	entryID string // "" when unknown
	req     *rpc.RunRequest
	class   contract.Class
	ask     *admission.Queued
	out     *outbox
	ctx     context.Context
	cancel  context.CancelCauseFunc
	verdict chan admission.Reason // ReasonNone: the slot is reserved

	// Written by the worker, read by the watch loop.
	progress atomic.Int64 // agent's monotonic time of the last progress
	answered atomic.Bool  // the upstream has answered

	// Guarded by Agent.mu.
	seq           *admission.Sequence
	handed        bool // the upstream may have the request
	released      bool
	crashed       bool          // was running when a crash was noticed
	endedAt       time.Duration // when Ending was set
	epoch         uint64        // crashes noticed before the hand-over
	besideSeqs    int           // sequences at the hand-over
	pendingPrompt int           // prompt tokens of all at the hand-over, own included
	handedAt      time.Duration

	// Used by the worker only.
	lastToken time.Duration
	produced  int
}

func (a *Agent) newTask(ctx context.Context, entryID string, req *rpc.RunRequest) *task {
	now := a.now()
	t := &task{
		entryID: entryID,
		req:     req,
		class:   contract.ClassOnline,
		out:     newOutbox(a.cfg.BufferBytes),
		verdict: make(chan admission.Reason, 1),
	}
	if req.Class == rpc.Class_CLASS_BATCH {
		t.class = contract.ClassBatch
	}
	t.ask = &admission.Queued{
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
	t.ask.Deadline = now + left
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

func (t *task) refused(r admission.Reason) *rpc.RunEvent {
	e := t.event()
	e.Event = &rpc.RunEvent_Refused{Refused: &rpc.Refused{
		Reason:       string(r),
		RetryAfterMs: uint32(r.RetryAfter() / time.Millisecond),
	}}
	return e
}

func (t *task) failed(reason string, executed rpc.Executed) *rpc.RunEvent {
	e := t.event()
	e.Event = &rpc.RunEvent_Failed{Failed: &rpc.Failed{
		Reason:          reason,
		Executed:        executed,
		UpstreamCrashed: reason == FailedCrashed,
		Preempted:       reason == FailedPreempted,
	}}
	return e
}

// executed is what is known after the request was passed to the client.
func (t *task) executed() rpc.Executed {
	if t.answered.Load() {
		return rpc.Executed_EXECUTED_YES
	}
	return rpc.Executed_EXECUTED_UNKNOWN
}

// failure turns the error of an upstream call into the attempt's last event.
func (t *task) failure(err error) *rpc.RunEvent {
	executed := t.executed()
	if errors.Is(err, upstream.ErrNotSent) {
		executed = rpc.Executed_EXECUTED_NO
	}
	if t.ctx.Err() != nil {
		return t.failed(causeReason(context.Cause(t.ctx)), executed)
	}
	var status *upstream.StatusError
	switch {
	case errors.As(err, &status):
		return t.failed(FailedStatus, rpc.Executed_EXECUTED_NO)
	case errors.Is(err, upstream.ErrNotSent):
		return t.failed(FailedNotSent, executed)
	case errors.Is(err, upstream.ErrCrashed):
		return t.failed(FailedCrashed, executed)
	case errors.Is(err, upstream.ErrProgressTimeout):
		return t.failed(FailedSilent, executed)
	case errors.Is(err, upstream.ErrTruncated):
		return t.failed(FailedTruncated, executed)
	}
	return t.failed(FailedOther, executed)
}

// notHandedOver is the last event of an attempt that ended between the
// reservation of its slot and the hand-over.
func (t *task) notHandedOver(cause error) *rpc.RunEvent {
	switch {
	case errors.Is(cause, errCrashed):
		return t.refused(admission.ReasonUpstreamDown)
	case errors.Is(cause, errStopped):
		return t.refused(admission.ReasonLeaving)
	}
	return t.failed(causeReason(cause), rpc.Executed_EXECUTED_NO)
}

func causeReason(cause error) string {
	switch {
	case errors.Is(cause, errPreempted):
		return FailedPreempted
	case errors.Is(cause, errCrashed):
		return FailedCrashed
	case errors.Is(cause, errSilent):
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
