package admission

import (
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
)

// pendingOnline sums the waiting online attempts that are about to start.
type pendingOnline struct {
	count        int
	promptTokens int
}

// bounds are the limits that a set of sequences must keep. If online work alone
// exceeds a target, the bound is what online work alone needs.
type bounds struct {
	slots         int
	step          time.Duration // bound of a step's duration
	onlinePrefill bool          // step includes a chunk of the online prompts
	firstToken    time.Duration
}

// firstTokenMargin is the part of the target reserved for the step in progress, the
// network delay to the agent and errors of the model.
const firstTokenMargin = FirstTokenTarget / 2

// Preempt returns the batch sequences to cancel so that the queued online attempts
// and the arriving one (nil for none) can start within the targets. It returns as
// few as possible, newest first because these lose the least work. Calls of plain
// services are not cancelled.
func Preempt(s *Snapshot, arriving *Queued) []*Sequence {
	if s.Kind != contract.KindEngine || s.Counts.Batch == 0 {
		return nil
	}
	w := startableOnline(s, arriving)
	if w.count == 0 {
		return nil
	}
	t := s.Counts
	limit := boundsFor(s, w)
	var cancel []*Sequence
	for i := len(s.Running) - 1; i >= 0 && t.Batch > 0; i-- {
		if withinBounds(s.Model, t, w, limit) {
			break
		}
		q := s.Running[i]
		if q.Class != contract.ClassBatch || q.Cancelled {
			continue
		}
		t.Remove(q)
		cancel = append(cancel, q)
	}
	return cancel
}

// PreemptForInterval returns the newest batch sequence if the measured time between
// tokens exceeds the target while online sequences run, otherwise nil. It compensates
// for a model that underestimates the step time, by one sequence per call.
func PreemptForInterval(s *Snapshot) *Sequence {
	if s.Kind != contract.KindEngine || s.Counts.Online == 0 || s.Counts.Batch == 0 {
		return nil
	}
	if s.TokenInterval <= StepTarget {
		return nil
	}
	for i := len(s.Running) - 1; i >= 0; i-- {
		if q := s.Running[i]; q.Class == contract.ClassBatch && !q.Cancelled {
			return q
		}
	}
	return nil
}

// startableOnline sums the waiting attempts that may start within the online limit.
func startableOnline(s *Snapshot, arriving *Queued) pendingOnline {
	var w pendingOnline
	limit := onlineLimit(s) - s.Counts.Online
	suspect := s.Counts.Suspects > 0
	add := func(a *Queued) {
		if w.count >= limit || (a.Suspect && suspect) {
			return
		}
		suspect = suspect || a.Suspect
		w.count++
		w.promptTokens += a.PromptTokens
	}
	for _, a := range s.Queued {
		add(a)
	}
	if arriving != nil {
		add(arriving)
	}
	return w
}

func boundsFor(s *Snapshot, w pendingOnline) bounds {
	online := s.Counts
	online.Batch, online.BatchPromptTokens = 0, 0
	n := online.Online + w.count
	onlinePrompt := online.OnlinePromptTokens + w.promptTokens
	b := bounds{slots: s.Slots, step: StepTarget}
	b.onlinePrefill = n > maxOnlineBesideBatch && s.Model.StepWithPrefill(n, onlinePrompt) <= StepTarget
	b.step = max(b.step, s.Model.Step(n))
	b.firstToken = max(FirstTokenTarget-firstTokenMargin, s.Model.FirstToken(n+decodingBatch(s), onlinePrompt))
	return b
}

// decodingBatch counts the batch sequences that have completed their prefill and
// are not cancelled. The count enters only the predicted time to the first token
// of online requests.
func decodingBatch(s *Snapshot) int {
	n := 0
	for _, q := range s.Running {
		if q.Class == contract.ClassBatch && !q.Cancelled && q.Produced > 0 {
			n++
		}
	}
	return n
}

func withinBounds(m StepModel, t SequenceCounts, w pendingOnline, b bounds) bool {
	n := t.Online + t.Batch + w.count
	if n > b.slots {
		return false
	}
	onlinePrompt := t.OnlinePromptTokens + w.promptTokens
	prefillTokens := 0
	if b.onlinePrefill {
		prefillTokens = onlinePrompt
	}
	if m.StepWithPrefill(n, prefillTokens) > b.step {
		return false
	}
	return m.FirstToken(n, onlinePrompt+t.BatchPromptTokens) <= b.firstToken
}
