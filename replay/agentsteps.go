package replay

import (
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/standin/engine"
)

// scheduleStep schedules the end of the engine's current step.
func (a *agent) scheduleStep() {
	next, ok := a.engineModel.Next()
	if !ok || next == a.plannedStep || a.silent {
		return
	}
	a.plannedStep = next
	boot := a.boot
	a.sim.scheduleAt(next, func() {
		if a.boot != boot || a.plannedStep != next {
			return
		}
		a.runDueSteps()
		a.scheduleStep()
	})
}

// runDueSteps runs the engine steps that end at or before the current time.
func (a *agent) runDueSteps() {
	boot := a.boot
	for !a.silent && !a.lost && a.boot == boot {
		next, ok := a.engineModel.Next()
		if !ok || next > a.sim.now {
			return
		}
		outputs := append(a.outputs[:0], a.engineModel.Step()...)
		a.outputs = nil // nested calls must not reuse the buffer
		a.handleOutputs(outputs)
		a.outputs = outputs
	}
}

// handleOutputs handles the outputs of one step. The online tokens of a step reach
// the entries in one event.
func (a *agent) handleOutputs(outputs []engine.Output) {
	boot := a.boot
	var online []tokenArrival
	for _, o := range outputs {
		if t := a.attempts[o.ID]; t != nil && t.poison {
			a.crash(engineRestartDelay, t)
			return
		}
	}
	for _, o := range outputs {
		t := a.attempts[o.ID]
		if t == nil || t.ended {
			continue
		}
		if t.failing {
			a.failAttempt(t, failure{reason: "upstream_status", errorStatus: true})
			continue
		}
		a.recordToken(t)
		if t.class == contract.ClassOnline {
			online = append(online, tokenArrival{t: t, index: o.Index, last: o.Last})
		}
		if o.Last {
			a.finish(t)
		}
		if a.boot != boot {
			return
		}
	}
	if len(online) == 0 {
		return
	}
	a.sim.scheduleAfter(linkDelay, func() {
		for _, x := range online {
			x.t.observer.onToken(x.t, x.index)
			if x.last {
				x.t.observer.onCompleted(x.t)
			}
		}
	})
}

type tokenArrival struct {
	t     *simAttempt
	index int
	last  bool
}

// recordToken updates the latency measurements in the same way as package agent.
func (a *agent) recordToken(t *simAttempt) {
	s := &a.snapshot
	now := a.sim.now
	interval := now - t.lastToken
	first := t.produced == 0
	t.lastToken = now
	t.produced++
	if first {
		if !t.sequence.Cancelled {
			s.Counts.Remove(t.sequence)
			t.sequence.Produced = t.produced
			s.Counts.Add(t.sequence)
		}
		if t.promptTokensAhead == t.queued.PromptTokens { // no other prompt was ahead of this one
			s.Model = s.Model.ObserveFirstToken(t.runningAtStart, t.promptTokensAhead, now-t.startedAt)
		}
		if t.class == contract.ClassOnline {
			s.TimeToFirstToken = smooth(s.TimeToFirstToken, now-t.queued.Arrival)
		}
		return
	}
	t.sequence.Produced = t.produced
	if now-a.lastSampleAt < sampleInterval {
		return
	}
	a.lastSampleAt = now
	s.TokenInterval = smooth(s.TokenInterval, interval)
	a.intervalSamples++
	if s.Counts.OnlinePromptTokens+s.Counts.BatchPromptTokens == 0 {
		s.Model = s.Model.ObserveStep(s.Counts.Used(), interval)
	}
}

func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(smoothingWeight*float64(sample-old))
}
