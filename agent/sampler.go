package agent

import (
	"sync/atomic"
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/contract"
)

const (
	// sampleInterval is the minimum time between samples of the token interval. All
	// sequences of an engine share its steps, so more samples add no information.
	sampleInterval    = 5 * time.Millisecond
	intervalSmoothing = 0.1
	// minReliefSamples is the number of samples required since the last preemption
	// before another attempt is preempted for an excessive token interval.
	minReliefSamples = 20
)

// intervalSampler limits how often the token interval is sampled.
type intervalSampler struct {
	last    atomic.Int64 // agent's monotonic time of the last sample
	samples int          // since the last reset; guarded by Agent.mu
}

// shouldSample reports whether the caller should take a sample now.
func (s *intervalSampler) shouldSample(now time.Duration) bool {
	last := s.last.Load()
	return now-time.Duration(last) >= sampleInterval && s.last.CompareAndSwap(last, int64(now))
}

// resetInterval discards the samples from before a preemption.
func (s *intervalSampler) resetInterval(snap *admission.Snapshot) {
	snap.TokenInterval = 0
	s.samples = 0
}

// recordTokens updates the progress and the measurements of an attempt after
// output of the engine.
func (a *Agent) recordTokens(t *task, tokens int) {
	now := a.now()
	t.progress.Store(int64(now))
	first := t.produced == 0
	interval := (now - t.lastToken) / time.Duration(max(tokens, 1))
	t.lastToken = now
	t.produced += tokens
	switch {
	case first:
		a.recordFirstToken(t, now)
	case a.sampler.shouldSample(now):
		a.observeInterval(t, interval)
	}
}

func (a *Agent) recordFirstToken(t *task, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.snap
	if !t.released {
		s.Counts.Remove(t.seq)
		t.seq.Produced = t.produced
		s.Counts.Add(t.seq)
	}
	elapsed := now - t.sentAt
	if t.pendingPromptTokens == t.queued.PromptTokens { // no other prompt was pending
		s.Model = s.Model.ObserveFirstToken(t.concurrentSequences, t.pendingPromptTokens, elapsed)
	}
	if t.class == contract.ClassOnline {
		s.TimeToFirstToken = smooth(s.TimeToFirstToken, now-t.queued.Arrival)
		return
	}
	a.notify() // a computed batch prompt frees capacity for the next
}

func (a *Agent) observeInterval(t *task, interval time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.snap
	t.seq.Produced = t.produced // the counts distinguish only zero and nonzero, so need no update
	s.TokenInterval = smooth(s.TokenInterval, interval)
	a.sampler.samples++
	// While prompts are computed, their time would be attributed to the number of
	// sequences.
	if s.Counts.OnlinePromptTokens+s.Counts.BatchPromptTokens == 0 {
		s.Model = s.Model.ObserveStep(s.Counts.Used(), interval)
	}
}

func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(intervalSmoothing*float64(sample-old))
}
