package platform

import (
	"math/rand/v2"
	"time"
)

// faults holds what is currently injected.
type faults struct {
	outage  bool
	latency time.Duration
	throttle,
	failure,
	loss,
	late trigger
	lateBy time.Duration
}

// trigger fires for the next n calls, or for calls with a probability.
type trigger struct {
	next        int
	probability float64
}

func (t *trigger) take(random *rand.Rand) bool {
	if t.next > 0 {
		t.next--
		return true
	}
	return t.probability > 0 && random.Float64() < t.probability
}

func (f *faults) takeThrottle(random *rand.Rand) bool { return f.throttle.take(random) }
func (f *faults) takeFailure(random *rand.Rand) bool  { return f.failure.take(random) }
func (f *faults) takeLoss(random *rand.Rand) bool     { return f.loss.take(random) }

func (f *faults) takeLate(random *rand.Rand) time.Duration {
	if !f.late.take(random) {
		return 0
	}
	return f.lateBy
}

// SetOutage starts or ends an outage: every call fails with ErrUnavailable and has no effect.
func (p *Platform) SetOutage(down bool) {
	p.change(func(f *faults) { f.outage = down })
}

// SetLatency adds a delay to every call.
func (p *Platform) SetLatency(d time.Duration) {
	p.change(func(f *faults) { f.latency = d })
}

// ThrottleNextCalls throttles the next n calls.
func (p *Platform) ThrottleNextCalls(n int) {
	p.change(func(f *faults) { f.throttle.next = n })
}

// SetThrottleProbability throttles calls with the probability.
func (p *Platform) SetThrottleProbability(probability float64) {
	p.change(func(f *faults) { f.throttle.probability = probability })
}

// FailNextCalls makes the next n calls fail with ErrUnavailable without effect.
func (p *Platform) FailNextCalls(n int) {
	p.change(func(f *faults) { f.failure.next = n })
}

// SetFailureProbability makes calls fail with ErrUnavailable without effect with the probability.
func (p *Platform) SetFailureProbability(probability float64) {
	p.change(func(f *faults) { f.failure.probability = probability })
}

// LoseNextResponses loses the responses of the next n writes after they took effect.
func (p *Platform) LoseNextResponses(n int) {
	p.change(func(f *faults) { f.loss.next = n })
}

// SetResponseLossProbability loses the responses of writes that took effect with the probability.
func (p *Platform) SetResponseLossProbability(probability float64) {
	p.change(func(f *faults) { f.loss.probability = probability })
}

// DelayNextWrites makes the next n writes fail with ErrUnavailable at once and take
// effect after the delay, if their conditions then still hold.
func (p *Platform) DelayNextWrites(n int, by time.Duration) {
	p.change(func(f *faults) { f.late.next, f.lateBy = n, by })
}

// SetWriteDelayProbability is DelayNextWrites for writes chosen with the probability.
func (p *Platform) SetWriteDelayProbability(probability float64, by time.Duration) {
	p.change(func(f *faults) { f.late.probability, f.lateBy = probability, by })
}

// ClearFaults ends all faults and added latency.
func (p *Platform) ClearFaults() {
	p.change(func(f *faults) { *f = faults{} })
}

func (p *Platform) change(set func(*faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set(&p.faults)
}
