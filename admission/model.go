package admission

import (
	"math"
	"time"
)

// Initial parameters of a StepModel, replaced as measurements arrive. They describe a
// slow engine, so that an unknown one is not overloaded.
const (
	initialBase        = 0.012  // seconds
	initialPerSequence = 0.0006 // seconds
	initialPrefillRate = 10000  // tokens per second
)

// Parameters for updating a StepModel from measurements.
const (
	decay                = 0.995  // factor on the weight of earlier measurements at each new one
	initialWeight        = 8      // weight of the initial parameters, in measurements
	outlierFactor        = 8      // a measurement is capped at this multiple of the prediction
	minBase              = 0.0002 // seconds
	prefillRateSmoothing = 0.1
	minPrefillRateTokens = 256 // tokens; the time of a shorter prompt is dominated by the step itself
	minPrefillRate       = 500 // tokens per second
	maxPrefillRate       = 2e6 // tokens per second
	varianceEpsilon      = 1e-6
)

// StepModel predicts the duration of an engine step as a base time plus a time per
// sequence plus the prompt tokens divided by the prefill rate. It is immutable; the
// Observe methods return an updated copy.
type StepModel struct {
	Base        float64 // seconds
	PerSequence float64 // seconds
	PrefillRate float64 // tokens per second

	weight, sumN, sumNN, sumT, sumNT float64 // least squares with exponential decay
}

// NewStepModel returns a model with the initial parameters.
func NewStepModel() StepModel {
	m := StepModel{Base: initialBase, PerSequence: initialPerSequence, PrefillRate: initialPrefillRate}
	for _, n := range []float64{1, 64} {
		m = m.accumulate(n, initialBase+initialPerSequence*n, initialWeight/2)
	}
	return m
}

// Step predicts the duration of a step of n sequences without prefill.
func (m StepModel) Step(n int) time.Duration {
	return seconds(m.Base + m.PerSequence*float64(n))
}

// StepWithPrefill predicts the duration of a step of n sequences that also computes
// one chunk of a prompt.
func (m StepModel) StepWithPrefill(n, promptTokens int) time.Duration {
	return m.Step(n) + m.prefill(min(promptTokens, PrefillChunkTokens))
}

// FirstToken predicts the time to compute promptTokens in chunks while n sequences run.
func (m StepModel) FirstToken(n, promptTokens int) time.Duration {
	return time.Duration(prefillChunks(promptTokens))*m.Step(n) + m.prefill(promptTokens)
}

// MaxSequences returns the largest n, at most limit, for which a step with the prompt
// tokens stays within the target.
func (m StepModel) MaxSequences(target time.Duration, promptTokens, limit int) int {
	left := target.Seconds() - m.Base - m.prefill(min(promptTokens, PrefillChunkTokens)).Seconds()
	if left < 0 {
		return 0
	}
	if m.PerSequence <= 0 {
		return limit
	}
	return int(min(left/m.PerSequence, float64(limit)))
}

// ObserveStep updates the model from a measured time between tokens with n sequences
// and no prefill.
func (m StepModel) ObserveStep(n int, interval time.Duration) StepModel {
	if n < 1 || interval <= 0 {
		return m
	}
	t := min(interval.Seconds(), outlierFactor*m.Step(n).Seconds())
	return m.accumulate(float64(n), t, 1).fit()
}

// ObserveFirstToken updates the prefill rate from the measured time to first token of
// a prompt sent while n sequences run and no other prompt is pending. The prompt
// waits half a step on average before a step includes it.
func (m StepModel) ObserveFirstToken(n, promptTokens int, elapsed time.Duration) StepModel {
	if promptTokens < minPrefillRateTokens {
		return m
	}
	left := (elapsed - time.Duration(prefillChunks(promptTokens))*m.Step(n) - m.Step(n)/2).Seconds()
	rate := float64(maxPrefillRate)
	if left > 0 {
		rate = float64(promptTokens) / left
	}
	// A cached prefix or a stalled engine results in an extreme rate.
	rate = clamp(rate, m.PrefillRate/2, m.PrefillRate*2)
	m.PrefillRate = clamp(m.PrefillRate+prefillRateSmoothing*(rate-m.PrefillRate), minPrefillRate, maxPrefillRate)
	return m
}

func (m StepModel) prefill(tokens int) time.Duration {
	if tokens <= 0 {
		return 0
	}
	return seconds(float64(tokens) / m.PrefillRate)
}

func (m StepModel) accumulate(n, t, weight float64) StepModel {
	m.weight = m.weight*decay + weight
	m.sumN = m.sumN*decay + weight*n
	m.sumNN = m.sumNN*decay + weight*n*n
	m.sumT = m.sumT*decay + weight*t
	m.sumNT = m.sumNT*decay + weight*n*t
	return m
}

// fit computes the base and per-sequence time. Measurements at a single number of
// sequences determine only the step time at that number, so the slope is then kept.
func (m StepModel) fit() StepModel {
	meanN, meanT := m.sumN/m.weight, m.sumT/m.weight
	variance := m.sumNN/m.weight - meanN*meanN
	if variance > varianceEpsilon*(1+meanN*meanN) {
		slope := (m.sumNT/m.weight - meanN*meanT) / variance
		m.PerSequence = math.Max(slope, 0)
	}
	if m.PerSequence*meanN > meanT-minBase {
		m.PerSequence = math.Max(meanT-minBase, 0) / meanN
	}
	m.Base = math.Max(meanT-m.PerSequence*meanN, minBase)
	return m
}

// prefillChunks returns the number of steps that the prefill of a prompt takes, at
// least one.
func prefillChunks(promptTokens int) int {
	return max(1, (promptTokens+PrefillChunkTokens-1)/PrefillChunkTokens)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func clamp(v, low, high float64) float64 { return math.Min(math.Max(v, low), high) }
