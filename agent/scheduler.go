package agent

import (
	"errors"
	"slices"
	"sort"
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/poison"
)

// batchPromptSmoothing is the weight of a new batch item in the moving average of
// prompt sizes.
const batchPromptSmoothing = 0.1

// maxIDBytes bounds the memory per attempt ID in the seen set.
const maxIDBytes = 64

// decide admits, queues or refuses a new attempt. If it returns ReasonNone, the
// decision is sent on t.decision, possibly at once.
func (a *Agent) decide(t *task) admission.Reason {
	if r := a.precheck(t); r != admission.ReasonNone {
		return r
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.cancelledJobs.Get(t.req.JobId); ok && t.req.JobId != "" {
		return admission.ReasonJobCancelled
	}
	now := a.now()
	a.refresh(now)
	d := admission.Decide(&a.snap, t.queued, now)
	for _, q := range d.Cancel {
		a.cancelSequence(q, errPreempted)
	}
	switch d.Action {
	case admission.Refuse:
		return d.Reason
	case admission.Admit:
		a.start(t, now)
	default:
		a.snap.Queued = append(a.snap.Queued, t.queued)
		a.queue[t.queued] = t
		a.dispatch(now)
	}
	a.notify()
	return admission.ReasonNone
}

// precheck refuses early what prepareSend would refuse anyway.
func (a *Agent) precheck(t *task) admission.Reason {
	if t.req.Service != a.cfg.Service {
		return admission.ReasonWrongService
	}
	if t.req.AttemptId == "" || len(t.req.AttemptId) > maxIDBytes {
		return admission.ReasonInvalid
	}
	if err := attempt.CheckTicket(t.ticket(), a.incarnation, a.now()); err != nil {
		return ticketReason(err)
	}
	switch a.suspectStatus(t) {
	case poison.Blocked:
		return admission.ReasonBlocked
	case poison.Suspect:
		t.queued.Suspect = true
	}
	return admission.ReasonNone
}

// prepareSend makes the last checks before the request is sent to the upstream, marks
// the attempt as sent, and records the upstream's load and crash count at that time.
func (a *Agent) prepareSend(t *task) admission.Reason {
	status := a.suspectStatus(t)
	if status == poison.Blocked {
		return admission.ReasonBlocked
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.snap.Ready {
		return admission.ReasonUpstreamDown
	}
	if status == poison.Suspect && !a.markSuspect(t.seq) {
		return admission.ReasonSuspectRunning
	}
	now := a.now()
	ticket := t.ticket()
	if err := attempt.CheckTicket(ticket, a.incarnation, now); err != nil {
		return ticketReason(err)
	}
	if err := a.seen.Add(attempt.ID(t.req.AttemptId), ticket.NotAfter, now); err != nil {
		return ticketReason(err)
	}
	t.sent = true
	t.sentAt = now
	t.crashCount = a.crashCount
	t.concurrentSequences = a.snap.Counts.Online + a.snap.Counts.Batch
	t.pendingPromptTokens = a.snap.Counts.OnlinePromptTokens + a.snap.Counts.BatchPromptTokens
	t.progress.Store(int64(now))
	return admission.ReasonNone
}

// suspectStatus looks up whether the request is a suspect. A request without a
// fingerprint is never one.
func (a *Agent) suspectStatus(t *task) poison.Status {
	if t.req.Fingerprint == 0 {
		return poison.Clear
	}
	return a.cfg.Suspects.Status(t.req.Fingerprint, time.Now())
}

// markSuspect marks a sequence whose request became a suspect while it waited. It
// reports false when another suspect is running. It requires a.mu.
func (a *Agent) markSuspect(q *admission.Sequence) bool {
	if q.Suspect {
		return true
	}
	if a.snap.Counts.Suspects > 0 {
		return false
	}
	a.snap.Counts.Remove(q)
	q.Suspect = true
	a.snap.Counts.Add(q)
	return true
}

func ticketReason(err error) admission.Reason {
	switch {
	case errors.Is(err, attempt.ErrWrongIncarnation):
		return admission.ReasonWrongIncarnation
	case errors.Is(err, attempt.ErrTicketExpired):
		return admission.ReasonTicketExpired
	case errors.Is(err, attempt.ErrAlreadySeen):
		return admission.ReasonAlreadySeen
	}
	return admission.ReasonSeenSetFull
}

// refresh updates the time-dependent parts of the snapshot. It requires a.mu.
func (a *Agent) refresh(now time.Duration) {
	s := &a.snap
	step := s.Model.Step(s.Counts.Online + s.Counts.Batch)
	s.Budget = s.Budget.Advance(now, step, s.Counts.Online > 0, s.Counts.BatchPromptTokens)
	s.Granted = a.pruneGrants(now)
}

// start reserves a slot for an attempt. It requires a.mu.
func (a *Agent) start(t *task, now time.Duration) {
	a.refresh(now)
	t.seq = &admission.Sequence{
		ID:           t.queued.ID,
		Caller:       t.queued.Caller,
		Class:        t.class,
		Start:        now,
		PromptTokens: t.queued.PromptTokens,
		Suspect:      t.queued.Suspect,
	}
	a.running[t.seq] = t
	a.snap.Running = append(a.snap.Running, t.seq)
	a.snap.Counts.Add(t.seq)
	if t.class == contract.ClassBatch {
		a.useGrant(t.entryID)
		a.observeBatchPrompt(t.queued.PromptTokens)
		a.snap.Budget = a.snap.Budget.Charge(t.queued.PromptTokens)
	} else {
		a.snap.Callers.Started(t.queued.Caller)
		a.refresh(now)
	}
	t.decision <- admission.ReasonNone
}

func (a *Agent) observeBatchPrompt(tokens int) {
	s := &a.snap
	if s.BatchItemPromptTokens == 0 {
		s.BatchItemPromptTokens = tokens
		return
	}
	s.BatchItemPromptTokens += int(batchPromptSmoothing * float64(tokens-s.BatchItemPromptTokens))
}

// cancelSequence cancels a running sequence. The slot is freed when its worker
// calls release. It requires a.mu.
func (a *Agent) cancelSequence(q *admission.Sequence, cause error) {
	t := a.running[q]
	if t == nil {
		return
	}
	if !q.Cancelled {
		a.snap.Counts.Remove(q)
		q.Cancelled = true
		a.snap.Counts.Add(q)
		t.endedAt = a.now()
		if cause == errPreempted {
			a.sampler.resetInterval(&a.snap)
			metric.Preempted(a.cfg.Service)
		}
	}
	t.cancel(cause)
}

// release frees the slot of an attempt and starts queued attempts that fit.
func (a *Agent) release(t *task) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releaseLocked(t)
}

func (a *Agent) releaseLocked(t *task) {
	if t.released {
		return
	}
	t.released = true
	now := a.now()
	a.refresh(now)
	q := t.seq
	a.snap.Counts.Remove(q)
	a.removeRunning(q)
	delete(a.running, q)
	if t.class == contract.ClassOnline {
		a.snap.Callers.Ended(q.Caller)
	}
	a.dispatch(now)
	if a.idle != nil && len(a.running) == 0 {
		close(a.idle)
		a.idle = nil
	}
	a.notify()
}

func (a *Agent) removeRunning(q *admission.Sequence) {
	list := a.snap.Running
	i := sort.Search(len(list), func(i int) bool { return list[i].Start >= q.Start })
	for list[i] != q {
		i++
	}
	a.snap.Running = slices.Delete(list, i, i+1)
}

// dispatch starts queued online attempts that fit and refuses those that cannot
// meet their deadline. It requires a.mu.
func (a *Agent) dispatch(now time.Duration) {
	if len(a.snap.Queued) == 0 {
		return
	}
	a.refresh(now)
	for _, q := range admission.UnableToMeetDeadline(&a.snap, now) {
		a.dequeue(q).decision <- admission.ReasonDeadline
	}
	for q := admission.NextQueued(&a.snap, now); q != nil; q = admission.NextQueued(&a.snap, now) {
		a.start(a.dequeue(q), now)
	}
	for _, q := range admission.Preempt(&a.snap, nil) {
		a.cancelSequence(q, errPreempted)
	}
}

// dequeue removes a queued attempt and returns its task. It requires a.mu.
func (a *Agent) dequeue(q *admission.Queued) *task {
	t := a.queue[q]
	delete(a.queue, q)
	i := slices.Index(a.snap.Queued, q)
	a.snap.Queued = slices.Delete(a.snap.Queued, i, i+1)
	return t
}

// refuseQueued refuses all queued attempts. It requires a.mu.
func (a *Agent) refuseQueued(r admission.Reason) {
	for len(a.snap.Queued) > 0 {
		a.dequeue(a.snap.Queued[0]).decision <- r
	}
}

// withdraw removes an attempt from the queue whose entry left or whose deadline
// passed. It reports false if the attempt was admitted or refused in the meantime.
func (a *Agent) withdraw(t *task) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.queue[t.queued]; !ok {
		return false
	}
	a.dequeue(t.queued)
	a.notify()
	return true
}
