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

// batchPromptSmoothing is the weight of a new batch item in the smoothed size.
const batchPromptSmoothing = 0.1

// maxIDBytes bounds the memory of a seen id.
const maxIDBytes = 64

// arrive decides on a new attempt. With ReasonNone the verdict arrives on
// t.verdict, possibly at once.
func (a *Agent) arrive(t *task) admission.Reason {
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
	d := admission.Decide(&a.snap, t.ask, now)
	for _, q := range d.Cancel {
		a.end(q, errPreempted)
	}
	switch d.Action {
	case admission.Refuse:
		return d.Reason
	case admission.Admit:
		a.start(t, now)
	default:
		a.snap.Queued = append(a.snap.Queued, t.ask)
		a.queue[t.ask] = t
		a.dispatch(now)
	}
	a.notify()
	return admission.ReasonNone
}

// precheck refuses early what the hand-over would refuse anyway.
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
	switch a.suspicion(t) {
	case poison.Blocked:
		return admission.ReasonBlocked
	case poison.Suspect:
		t.ask.Suspect = true
	}
	return admission.ReasonNone
}

// handOver makes the last checks before the request is passed to the upstream.
func (a *Agent) handOver(t *task) admission.Reason {
	suspicion := a.suspicion(t)
	if suspicion == poison.Blocked {
		return admission.ReasonBlocked
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.snap.Ready {
		return admission.ReasonUpstreamDown
	}
	if suspicion == poison.Suspect && !a.markSuspect(t.seq) {
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
	t.handed = true
	t.handedAt = now
	t.epoch = a.epoch
	t.besideSeqs = a.snap.Counts.Online + a.snap.Counts.Batch
	t.pendingPrompt = a.snap.Counts.OnlinePromptTokens + a.snap.Counts.BatchPromptTokens
	t.progress.Store(int64(now))
	return admission.ReasonNone
}

// suspicion looks the request up among the suspects. A request without
// a fingerprint is never one.
func (a *Agent) suspicion(t *task) poison.Status {
	if t.req.Fingerprint == 0 {
		return poison.Clear
	}
	return a.cfg.Suspects.Status(t.req.Fingerprint, time.Now())
}

// markSuspect counts a sequence as a suspect that became one while it waited.
// It reports false when another suspect runs. Needs mu.
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

// refresh brings the time-dependent parts of the snapshot up to now. Needs mu.
func (a *Agent) refresh(now time.Duration) {
	s := &a.snap
	step := s.Model.Step(s.Counts.Online + s.Counts.Batch)
	s.Budget = s.Budget.Advance(now, step, s.Counts.Online > 0, s.Counts.BatchPromptTokens)
	s.Granted = a.pruneGrants(now)
}

// start reserves a slot. Needs mu.
func (a *Agent) start(t *task, now time.Duration) {
	a.refresh(now)
	t.seq = &admission.Sequence{
		ID:           t.ask.ID,
		Caller:       t.ask.Caller,
		Class:        t.class,
		Start:        now,
		PromptTokens: t.ask.PromptTokens,
		Suspect:      t.ask.Suspect,
	}
	a.running[t.seq] = t
	a.snap.Running = append(a.snap.Running, t.seq)
	a.snap.Counts.Add(t.seq)
	if t.class == contract.ClassBatch {
		a.useGrant(t.entryID)
		a.observeBatchPrompt(t.ask.PromptTokens)
		a.snap.Budget = a.snap.Budget.Charge(t.ask.PromptTokens)
	} else {
		a.snap.Callers.Started(t.ask.Caller)
		a.refresh(now)
	}
	t.verdict <- admission.ReasonNone
}

func (a *Agent) observeBatchPrompt(tokens int) {
	s := &a.snap
	if s.BatchItemPromptTokens == 0 {
		s.BatchItemPromptTokens = tokens
		return
	}
	s.BatchItemPromptTokens += int(batchPromptSmoothing * float64(tokens-s.BatchItemPromptTokens))
}

// end cancels a running sequence; its slot is free once its worker releases it.
// Needs mu.
func (a *Agent) end(q *admission.Sequence, cause error) {
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
			a.meter.resetInterval(&a.snap)
			metric.Preempted(a.cfg.Service)
		}
	}
	t.cancel(cause)
}

// release frees the slot and starts what waits for it.
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

// dispatch starts queued online attempts that fit and drops late ones. Needs mu.
func (a *Agent) dispatch(now time.Duration) {
	if len(a.snap.Queued) == 0 {
		return
	}
	a.refresh(now)
	for _, q := range admission.UnableToMeetDeadline(&a.snap, now) {
		a.unqueue(q).verdict <- admission.ReasonDeadline
	}
	for q := admission.NextQueued(&a.snap, now); q != nil; q = admission.NextQueued(&a.snap, now) {
		a.start(a.unqueue(q), now)
	}
	for _, q := range admission.Preempt(&a.snap, nil) {
		a.end(q, errPreempted)
	}
}

// unqueue removes a queued attempt and returns its task. Needs mu.
func (a *Agent) unqueue(q *admission.Queued) *task {
	t := a.queue[q]
	delete(a.queue, q)
	i := slices.Index(a.snap.Queued, q)
	a.snap.Queued = slices.Delete(a.snap.Queued, i, i+1)
	return t
}

// refuseQueued refuses everything that waits. Needs mu.
func (a *Agent) refuseQueued(r admission.Reason) {
	for len(a.snap.Queued) > 0 {
		a.unqueue(a.snap.Queued[0]).verdict <- r
	}
}

// abandon takes back an attempt whose entry or deadline ended while it waited.
// It reports false when the slot was reserved or a refusal was decided meanwhile.
func (a *Agent) abandon(t *task) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.queue[t.ask]; !ok {
		return false
	}
	a.unqueue(t.ask)
	a.notify()
	return true
}
