package platform

import (
	"math/rand/v2"
	"time"
)

// faults holds the faults that are currently injected.
type faults struct {
	outage  bool
	latency time.Duration
	throttle,
	failure,
	loss,
	writeDelay trigger
	writeDelayTime time.Duration
}

// trigger selects the next calls, and after those, calls at random.
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

func (f *faults) takeWriteDelay(random *rand.Rand) time.Duration {
	if !f.writeDelay.take(random) {
		return 0
	}
	return f.writeDelayTime
}

// SetOutage starts or ends an outage: every call fails with ErrUnavailable and has no effect.
func (p *Platform) SetOutage(down bool) {
	p.updateFaults(func(f *faults) { f.outage = down })
}

// SetLatency adds a delay to every call.
func (p *Platform) SetLatency(d time.Duration) {
	p.updateFaults(func(f *faults) { f.latency = d })
}

// ThrottleNextCalls makes the next n calls fail with ErrThrottled.
func (p *Platform) ThrottleNextCalls(n int) {
	p.updateFaults(func(f *faults) { f.throttle.next = n })
}

// SetThrottleProbability makes calls fail with ErrThrottled with the given
// probability.
func (p *Platform) SetThrottleProbability(probability float64) {
	p.updateFaults(func(f *faults) { f.throttle.probability = probability })
}

// FailNextCalls makes the next n calls fail with ErrUnavailable without effect.
func (p *Platform) FailNextCalls(n int) {
	p.updateFaults(func(f *faults) { f.failure.next = n })
}

// SetFailureProbability makes calls fail with ErrUnavailable without effect
// with the given probability.
func (p *Platform) SetFailureProbability(probability float64) {
	p.updateFaults(func(f *faults) { f.failure.probability = probability })
}

// LoseNextResponses loses the responses of the next n writes after they have taken
// effect.
func (p *Platform) LoseNextResponses(n int) {
	p.updateFaults(func(f *faults) { f.loss.next = n })
}

// SetResponseLossProbability loses the responses of writes that have taken effect
// with the given probability.
func (p *Platform) SetResponseLossProbability(probability float64) {
	p.updateFaults(func(f *faults) { f.loss.probability = probability })
}

// DelayNextWrites makes the next n writes fail with ErrUnavailable immediately and
// take effect after the delay, if their conditions still hold then.
func (p *Platform) DelayNextWrites(n int, by time.Duration) {
	p.updateFaults(func(f *faults) { f.writeDelay.next, f.writeDelayTime = n, by })
}

// SetWriteDelayProbability is like DelayNextWrites, but for writes selected with
// the given probability.
func (p *Platform) SetWriteDelayProbability(probability float64, by time.Duration) {
	p.updateFaults(func(f *faults) { f.writeDelay.probability, f.writeDelayTime = probability, by })
}

// ClearFaults removes all faults and added latency.
func (p *Platform) ClearFaults() {
	p.updateFaults(func(f *faults) { *f = faults{} })
}

func (p *Platform) updateFaults(set func(*faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set(&p.faults)
}
