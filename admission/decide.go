package admission

import (
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
)

// plainReserve is the divisor of a plain service's slots that batch work leaves
// to online work, because calls of plain services are not cancelled to give way.
const plainReserve = 4

// Action is what happens to an attempt that asks for a slot.
type Action int

// Actions.
const (
	Refuse Action = iota
	Queue
	Admit
)

// Decision is the outcome for one attempt.
type Decision struct {
	Action Action
	Reason Reason      // of a refusal
	Cancel []*Sequence // batch sequences that give way, newest first
}

func refuse(r Reason) Decision { return Decision{Action: Refuse, Reason: r} }

// Decide decides on an attempt that is neither running nor queued.
func Decide(s *Snapshot, a *Queued, now time.Duration) Decision {
	if r := unable(s, a); r != ReasonNone {
		return refuse(r)
	}
	if a.Class == contract.ClassBatch {
		return arriveBatch(s, a)
	}
	if late(s, a, now) {
		return refuse(ReasonDeadline)
	}
	cancel := Preempt(s, a)
	if len(s.Queued) == 0 && slotForOnline(s) {
		return Decision{Action: Admit, Cancel: cancel}
	}
	// Slots that cancelled batch work is about to free do not count as a queue.
	if len(s.Queued)-s.Counts.Cancelled-len(cancel) >= s.QueueLimit {
		return refuse(ReasonQueueFull)
	}
	return Decision{Action: Queue, Cancel: cancel}
}

func unable(s *Snapshot, a *Queued) Reason {
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

// arriveBatch admits a batch attempt or refuses it. Batch attempts do not wait
// at the agent, because their entry holds them until a grant.
func arriveBatch(s *Snapshot, a *Queued) Decision {
	if len(s.Queued) > 0 {
		return refuse(ReasonOnlineWaiting)
	}
	if batchSlots(s) < 1 {
		return refuse(ReasonNoBatchRoom)
	}
	if s.Kind == contract.KindEngine && s.Counts.Online > 0 && !promptAllowed(s, a.PromptTokens) {
		return refuse(ReasonNoBatchRoom)
	}
	return Decision{Action: Admit}
}

// BatchCapacity is the number of batch items that may be granted.
func BatchCapacity(s *Snapshot) int {
	if s.Leaving || !s.Ready || len(s.Queued) > 0 {
		return 0
	}
	room := batchSlots(s)
	if s.Kind == contract.KindEngine && s.Counts.Online > 0 {
		prompt := max(s.BatchItemPromptTokens, 1)
		room = min(room, max(promptsWithin(s, prompt), s.Budget.items(prompt)))
	}
	if s.Kind == contract.KindEngine {
		room = min(room, pendingRoom(s))
	}
	return max(0, room-s.Granted)
}

// Bounds of the batch prompts in computation, the larger one applies. They keep
// an engine busy between two looks for room. More would only make an arriving
// online request wait, or be cancelled for it.
const (
	pendingPieces = 8
	pendingTime   = 200 * time.Millisecond
)

// pendingRoom is the number of batch prompts of the usual size that may join
// those in computation.
func pendingRoom(s *Snapshot) int {
	limit := max(pendingPieces*PrefillChunkTokens, int(s.Model.PrefillRate*pendingTime.Seconds()))
	prompt := max(s.BatchItemPromptTokens, 1)
	return max(0, (limit-s.Counts.BatchPromptTokens+prompt-1)/prompt)
}

// promptAllowed reports whether a batch prompt may start beside online work:
// no step exceeds the target, or the budget allows a lengthened one.
func promptAllowed(s *Snapshot, promptTokens int) bool {
	return promptsWithin(s, promptTokens) > 0 || s.Budget.Allows(promptTokens)
}

// promptsWithin is the number of batch prompts of that size that can be computed
// in one step, with the prompts in computation, without exceeding the target.
func promptsWithin(s *Snapshot, promptTokens int) int {
	pending := s.Counts.OnlinePromptTokens + s.Counts.BatchPromptTokens
	running := s.Counts.Online + s.Counts.Batch
	n := 0
	for n < s.Slots && pending+(n+1)*promptTokens <= PrefillChunkTokens &&
		s.Model.StepWithPrefill(running+n+1, pending+(n+1)*promptTokens) <= StepTarget {
		n++
	}
	return n
}

// batchSlots is the number of batch sequences that fit beside the running ones,
// by slots and the time of a step without prompts.
func batchSlots(s *Snapshot) int {
	used := s.Counts.Used()
	if s.Kind == contract.KindPlain {
		return s.Slots - (s.Slots+plainReserve-1)/plainReserve - used
	}
	free := s.Slots - used
	if s.Counts.Online == 0 {
		return free
	}
	if s.TokenInterval > StepTarget {
		return 0
	}
	// A slow first token without batch work running is not caused by batch work.
	if s.TimeToFirstToken > FirstTokenTarget && s.Counts.Batch > 0 {
		return 0
	}
	if s.Counts.Online > lightOnline {
		return 0 // online prompts alone use up the steps that may be lengthened
	}
	fitting := s.Model.MaxSequences(StepTarget, 0, s.Slots)
	return min(free, fitting-s.Counts.Online-s.Counts.Batch)
}

// slotForOnline reports whether one more online sequence may start now.
func slotForOnline(s *Snapshot) bool {
	return s.Counts.Used() < s.Slots && s.Counts.Online < onlineLimit(s)
}

// onlineLimit is the number of online sequences that keep the step target. When
// not even one does, only the slots limit, since waiting would not help.
func onlineLimit(s *Snapshot) int {
	if s.Kind == contract.KindPlain {
		return s.Slots
	}
	if n := s.Model.MaxSequences(StepTarget, 0, s.Slots); n > 0 {
		return n
	}
	return s.Slots
}

// late reports whether the first token would come after the deadline even if
// the attempt started now and without batch work.
func late(s *Snapshot, a *Queued, now time.Duration) bool {
	if a.Deadline == 0 {
		return false
	}
	need := time.Duration(0)
	if s.Kind == contract.KindEngine {
		need = s.Model.FirstToken(s.Counts.Online+1, a.PromptTokens)
	}
	return now+need > a.Deadline
}

// UnableToMeetDeadline returns the queued attempts whose deadline can no longer be met.
func UnableToMeetDeadline(s *Snapshot, now time.Duration) []*Queued {
	var out []*Queued
	for _, a := range s.Queued {
		if late(s, a, now) {
			out = append(out, a)
		}
	}
	return out
}

// NextQueued returns the queued online attempt that starts now, or nil. Callers with
// fewer running sequences go first, among equals the one served least lately,
// and within a caller the earliest deadline.
func NextQueued(s *Snapshot, now time.Duration) *Queued {
	if s.Leaving || !s.Ready || !slotForOnline(s) {
		return nil
	}
	var best *Queued
	for _, a := range s.Queued {
		if a.Suspect && s.Counts.Suspects > 0 {
			continue
		}
		if late(s, a, now) {
			continue
		}
		if best == nil || before(s.Callers, a, best) {
			best = a
		}
	}
	return best
}

func before(c *CallerUsage, a, b *Queued) bool {
	if a.Caller != b.Caller {
		if ra, rb := c.Running(a.Caller), c.Running(b.Caller); ra != rb {
			return ra < rb
		}
		if ta, tb := c.lastTurn(a.Caller), c.lastTurn(b.Caller); ta != tb {
			return ta < tb
		}
		return a.Arrival < b.Arrival
	}
	if da, db := deadlineOrLast(a), deadlineOrLast(b); da != db {
		return da < db
	}
	return a.Arrival < b.Arrival
}

func deadlineOrLast(a *Queued) time.Duration {
	if a.Deadline == 0 {
		return 1<<63 - 1
	}
	return a.Deadline
}
