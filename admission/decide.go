package admission

import (
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/limit"
)

// plainReservePercent is the percentage of the slots of a plain service that are reserved
// for online work, see limit.Reserve. It is high because calls of plain services cannot
// be preempted.
const plainReservePercent = 25

// Action says what to do with an attempt that requests a slot.
type Action int

// Actions.
const (
	Refuse Action = iota
	Queue
	Admit
)

// Decision is the result of Decide for one attempt.
type Decision struct {
	Action Action
	Reason Reason      // set when Action is Refuse
	Cancel []*Sequence // batch sequences to preempt, newest first
}

func refuse(r Reason) Decision { return Decision{Action: Refuse, Reason: r} }

// Decide decides on a new attempt, which is neither running nor queued.
func Decide(s *Snapshot, a *Queued, now time.Duration) Decision {
	if r := refusalReason(s, a); r != ReasonNone {
		return refuse(r)
	}
	if a.Class == contract.ClassBatch {
		return decideBatch(s, a)
	}
	if cannotMeetDeadline(s, a, now) {
		return refuse(ReasonDeadline)
	}
	cancel := Preempt(s, a)
	if len(s.Queued) == 0 && onlineSlotFree(s) {
		return Decision{Action: Admit, Cancel: cancel}
	}
	// Attempts that will get the slots of cancelled batch work do not count as queued.
	if len(s.Queued)-s.Counts.Cancelled-len(cancel) >= s.QueueLimit {
		return refuse(ReasonQueueFull)
	}
	return Decision{Action: Queue, Cancel: cancel}
}

func refusalReason(s *Snapshot, a *Queued) Reason {
	switch {
	case s.Leaving:
		return ReasonLeaving
	case !s.Ready:
		return ReasonUpstreamDown
	case a.Suspect && s.Counts.Suspects > 0:
		return ReasonSuspectRunning
	}
	return ReasonNone
}

// decideBatch admits or refuses a batch attempt. Batch attempts are not queued at the
// agent; the entry keeps them until it has a grant.
func decideBatch(s *Snapshot, a *Queued) Decision {
	if len(s.Queued) > 0 {
		return refuse(ReasonOnlineWaiting)
	}
	if batchSlots(s) < 1 {
		return refuse(ReasonNoBatchRoom)
	}
	if s.Kind == contract.KindEngine && s.Counts.Online > 0 && !batchPromptAllowed(s, a.PromptTokens) {
		return refuse(ReasonNoBatchRoom)
	}
	return Decision{Action: Admit}
}

// BatchCapacity returns the number of batch items that may be granted now.
func BatchCapacity(s *Snapshot) int {
	if s.Leaving || !s.Ready || len(s.Queued) > 0 {
		return 0
	}
	capacity := batchSlots(s)
	if s.Kind == contract.KindEngine && s.Counts.Online > 0 {
		prompt := max(s.BatchItemPromptTokens, 1)
		capacity = min(capacity, max(promptsWithinTarget(s, prompt), s.Budget.allowedItems(prompt)))
	}
	if s.Kind == contract.KindEngine {
		capacity = min(capacity, pendingPrefillCapacity(s))
	}
	return max(0, capacity-s.Granted)
}

// Limits of the pending batch prefill; the larger one applies. They keep an engine
// busy until the capacity is next computed. More pending prefill would only delay an
// arriving online request or be cancelled in its favour.
const (
	maxPendingPrefillChunks = 8
	maxPendingPrefillTime   = 200 * time.Millisecond
)

// pendingPrefillCapacity returns the number of batch prompts of average size that may
// be added to the pending prefill.
func pendingPrefillCapacity(s *Snapshot) int {
	limit := max(maxPendingPrefillChunks*PrefillChunkTokens, int(s.Model.PrefillRate*maxPendingPrefillTime.Seconds()))
	prompt := max(s.BatchItemPromptTokens, 1)
	return max(0, (limit-s.Counts.BatchPromptTokens+prompt-1)/prompt)
}

// batchPromptAllowed reports whether a batch prompt may start while online work runs:
// its prefill keeps the step target, or the budget allows longer steps.
func batchPromptAllowed(s *Snapshot, promptTokens int) bool {
	return promptsWithinTarget(s, promptTokens) > 0 || s.Budget.Allows(promptTokens)
}

// promptsWithinTarget returns the number of batch prompts of the given size that can
// be computed in one step with the pending prompts without exceeding the target.
func promptsWithinTarget(s *Snapshot, promptTokens int) int {
	pending := s.Counts.OnlinePromptTokens + s.Counts.BatchPromptTokens
	running := s.Counts.Online + s.Counts.Batch
	n := 0
	for n < s.Slots && pending+(n+1)*promptTokens <= PrefillChunkTokens &&
		s.Model.StepWithPrefill(running+n+1, pending+(n+1)*promptTokens) <= StepTarget {
		n++
	}
	return n
}

// batchSlots returns the number of batch sequences that can be added, given the free
// slots and the time of a step without prefill.
func batchSlots(s *Snapshot) int {
	used := s.Counts.Used()
	if s.Kind == contract.KindPlain {
		return s.Slots - limit.Reserve(s.Slots, plainReservePercent) - used
	}
	free := s.Slots - used
	if s.Counts.Online == 0 {
		return free
	}
	if s.TokenInterval > StepTarget {
		return 0
	}
	// Batch work can only be the cause of a slow first token while it is running.
	if s.TimeToFirstToken > FirstTokenTarget && s.Counts.Batch > 0 {
		return 0
	}
	if s.Counts.Online > maxOnlineBesideBatch {
		return 0 // online prompts alone use up the share of steps that may be lengthened
	}
	fitting := s.Model.MaxSequences(StepTarget, 0, s.Slots)
	return min(free, fitting-s.Counts.Online-s.Counts.Batch)
}

// onlineSlotFree reports whether another online sequence may start now.
func onlineSlotFree(s *Snapshot) bool {
	return s.Counts.Used() < s.Slots && s.Counts.Online < onlineLimit(s)
}

// onlineLimit returns the number of online sequences that keep the step target. If
// a single one already exceeds it, the limit is the number of slots, because waiting
// would not help.
func onlineLimit(s *Snapshot) int {
	if s.Kind == contract.KindPlain {
		return s.Slots
	}
	if n := s.Model.MaxSequences(StepTarget, 0, s.Slots); n > 0 {
		return n
	}
	return s.Slots
}

// cannotMeetDeadline reports whether the first token would come after the deadline
// even if the attempt started now and no batch work ran.
func cannotMeetDeadline(s *Snapshot, a *Queued, now time.Duration) bool {
	if a.Deadline == 0 {
		return false
	}
	need := time.Duration(0)
	if s.Kind == contract.KindEngine {
		need = s.Model.FirstToken(s.Counts.Online+1, a.PromptTokens)
	}
	return now+need > a.Deadline
}

// UnableToMeetDeadline returns the queued attempts that can no longer meet their deadline.
func UnableToMeetDeadline(s *Snapshot, now time.Duration) []*Queued {
	var out []*Queued
	for _, a := range s.Queued {
		if cannotMeetDeadline(s, a, now) {
			out = append(out, a)
		}
	}
	return out
}

// NextQueued returns the queued online attempt to start now, or nil. It prefers the
// caller with the fewest running sequences, then the caller least recently served,
// and among one caller's attempts the earliest deadline.
func NextQueued(s *Snapshot, now time.Duration) *Queued {
	if s.Leaving || !s.Ready || !onlineSlotFree(s) {
		return nil
	}
	var best *Queued
	for _, a := range s.Queued {
		if a.Suspect && s.Counts.Suspects > 0 {
			continue
		}
		if cannotMeetDeadline(s, a, now) {
			continue
		}
		if best == nil || startsBefore(s.Callers, a, best) {
			best = a
		}
	}
	return best
}

func startsBefore(c *CallerUsage, a, b *Queued) bool {
	if a.Caller != b.Caller {
		if ra, rb := c.Running(a.Caller), c.Running(b.Caller); ra != rb {
			return ra < rb
		}
		if ta, tb := c.lastStart(a.Caller), c.lastStart(b.Caller); ta != tb {
			return ta < tb
		}
		return a.Arrival < b.Arrival
	}
	if da, db := deadlineOrMax(a), deadlineOrMax(b); da != db {
		return da < db
	}
	return a.Arrival < b.Arrival
}

func deadlineOrMax(a *Queued) time.Duration {
	if a.Deadline == 0 {
		return 1<<63 - 1
	}
	return a.Deadline
}
