package agent

import (
	"sync/atomic"
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/contract"
)

const (
	// sampleInterval is the least time between measurements of the time between
	// tokens. All sequences of an engine share its steps, so more add nothing.
	sampleInterval = 5 * time.Millisecond
	smoothing      = 0.1
	// relieveSamples is the number of measurements since the last preemption
	// that a further one for a measured excess needs.
	relieveSamples = 20
)

// meter limits how often token times are measured.
type meter struct {
	last    atomic.Int64 // agent's monotonic time of the last measurement
	samples int          // since the last reset; guarded by Agent.mu
}

// due reports whether the caller is to measure now.
func (m *meter) due(now time.Duration) bool {
	last := m.last.Load()
	return now-time.Duration(last) >= sampleInterval && m.last.CompareAndSwap(last, int64(now))
}

// resetInterval forgets measurements from before a preemption.
func (m *meter) resetInterval(s *admission.Snapshot) {
	s.TokenInterval = 0
	m.samples = 0
}

// token accounts for output of an engine.
func (a *Agent) token(t *task, tokens int) {
	now := a.now()
	t.progress.Store(int64(now))
	first := t.produced == 0
	interval := (now - t.lastToken) / time.Duration(max(tokens, 1))
	t.lastToken = now
	t.produced += tokens
	switch {
	case first:
		a.firstToken(t, now)
	case a.meter.due(now):
		a.observeInterval(t, interval)
	}
}

func (a *Agent) firstToken(t *task, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.snap
	if !t.released {
		s.Counts.Remove(t.seq)
		t.seq.Produced = t.produced
		s.Counts.Add(t.seq)
	}
	elapsed := now - t.handedAt
	if t.pendingPrompt == t.ask.PromptTokens { // no other prompt was before it
		s.Model = s.Model.ObserveFirstToken(t.besideSeqs, t.pendingPrompt, elapsed)
	}
	if t.class == contract.ClassOnline {
		s.TimeToFirstToken = smooth(s.TimeToFirstToken, now-t.ask.Arrival)
		return
	}
	a.notify() // a computed batch prompt makes room for the next
}

func (a *Agent) observeInterval(t *task, interval time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.snap
	t.seq.Produced = t.produced // a tally depends only on zero or not
	s.TokenInterval = smooth(s.TokenInterval, interval)
	a.meter.samples++
	// Prompts in computation would be attributed to the number of sequences.
	if s.Counts.OnlinePromptTokens+s.Counts.BatchPromptTokens == 0 {
		s.Model = s.Model.ObserveStep(s.Counts.Used(), interval)
	}
}

func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(smoothing*float64(sample-old))
}
