package admission

import (
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
)

// waiting is the online work that is about to start.
type waiting struct {
	count        int
	promptTokens int
}

// bounds are the limits that a set of sequences must keep. A target that online
// work alone exceeds is replaced by what online work alone needs.
type bounds struct {
	slots      int
	step       time.Duration // of a step with a piece of the prompts counted below
	onlinePart bool          // step counts pieces of online prompts too
	firstToken time.Duration
}

// firstTokenMargin is the part of the target that is not left to batch prompts,
// for the step in progress, the way to the agent and errors of the model.
const firstTokenMargin = FirstTokenTarget / 2

// Preempt returns the batch sequences to cancel so that the queued online
// attempts and arriving (nil for none) start within the targets: the smallest
// number, newest first, because the newest lose the least work. Calls of plain
// services are not cancelled.
func Preempt(s *Snapshot, arriving *Queued) []*Sequence {
	if s.Kind != contract.KindEngine || s.Counts.Batch == 0 {
		return nil
	}
	w := startable(s, arriving)
	if w.count == 0 {
		return nil
	}
	t := s.Counts
	limit := boundsFor(s, w)
	var cancel []*Sequence
	for i := len(s.Running) - 1; i >= 0 && t.Batch > 0; i-- {
		if fits(s.Model, t, w, limit) {
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

// PreemptForInterval returns the newest batch sequence when the measured time between
// tokens exceeds the target while online sequences run, or nil. It corrects
// a model that predicts too little, one sequence per call.
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

// startable counts the waiting attempts that the online limit lets start.
func startable(s *Snapshot, arriving *Queued) waiting {
	var w waiting
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

func boundsFor(s *Snapshot, w waiting) bounds {
	online := s.Counts
	online.Batch, online.BatchPromptTokens = 0, 0
	n := online.Online + w.count
	onlinePrompt := online.OnlinePromptTokens + w.promptTokens
	b := bounds{slots: s.Slots, step: StepTarget}
	b.onlinePart = n > lightOnline && s.Model.StepWithPrefill(n, onlinePrompt) <= StepTarget
	b.step = max(b.step, s.Model.Step(n))
	b.firstToken = max(FirstTokenTarget-firstTokenMargin, s.Model.FirstToken(n+decodingBatch(s), onlinePrompt))
	return b
}

// decodingBatch counts batch sequences past their prompt.
func decodingBatch(s *Snapshot) int {
	n := 0
	for _, q := range s.Running {
		if q.Class == contract.ClassBatch && !q.Cancelled && q.Produced > 0 {
			n++
		}
	}
	return n
}

func fits(m StepModel, t SequenceCounts, w waiting, b bounds) bool {
	n := t.Online + t.Batch + w.count
	if n > b.slots {
		return false
	}
	onlinePrompt := t.OnlinePromptTokens + w.promptTokens
	piece := 0
	if b.onlinePart {
		piece = onlinePrompt
	}
	if m.StepWithPrefill(n, piece) > b.step {
		return false
	}
	return m.FirstToken(n, onlinePrompt+t.BatchPromptTokens) <= b.firstToken
}
