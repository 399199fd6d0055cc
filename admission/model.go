package admission

import (
	"math"
	"time"
)

// Starting values of a StepModel. They describe a slow engine, so that an
// unknown one is not overloaded; measurements replace them.
const (
	startBase        = 0.012  // seconds
	startPerSequence = 0.0006 // seconds
	startPromptRate  = 10000  // tokens per second
)

// Learning of a StepModel.
const (
	forgetting      = 0.995 // weight kept by earlier measurements at each new one
	startWeight     = 8     // measurements that the starting values count for
	outlierFactor   = 8     // a measurement counts for at most this multiple of the prediction
	minBase         = 0.0002
	rateSmoothing   = 0.1
	minRatePrompt   = 256 // shorter prompts are dominated by the step itself
	minPromptRate   = 500
	maxPromptRate   = 2e6
	varianceEpsilon = 1e-6
)

// StepModel predicts the time of an engine's step: base time plus a time per
// sequence, plus prompt tokens at the prompt rate. It is a value; Observe
// returns an updated copy.
type StepModel struct {
	Base        float64 // seconds
	PerSequence float64 // seconds
	PrefillRate float64 // tokens per second

	weight, sumN, sumNN, sumT, sumNT float64 // least squares with forgetting
}

// NewStepModel returns a model with starting values.
func NewStepModel() StepModel {
	m := StepModel{Base: startBase, PerSequence: startPerSequence, PrefillRate: startPromptRate}
	for _, n := range []float64{1, 64} {
		m = m.accumulate(n, startBase+startPerSequence*n, startWeight/2)
	}
	return m
}

// Step predicts a step of n sequences without prompts.
func (m StepModel) Step(n int) time.Duration {
	return seconds(m.Base + m.PerSequence*float64(n))
}

// StepWithPrefill predicts a step of n sequences that also computes one piece
// of a prompt.
func (m StepModel) StepWithPrefill(n, promptTokens int) time.Duration {
	return m.Step(n) + m.prompt(min(promptTokens, PrefillChunkTokens))
}

// FirstToken predicts the time until promptTokens are computed in pieces beside
// n sequences.
func (m StepModel) FirstToken(n, promptTokens int) time.Duration {
	return time.Duration(pieces(promptTokens))*m.Step(n) + m.prompt(promptTokens)
}

// MaxSequences is the largest n, at most limit, whose step with the prompt
// tokens stays within the target.
func (m StepModel) MaxSequences(target time.Duration, promptTokens, limit int) int {
	left := target.Seconds() - m.Base - m.prompt(min(promptTokens, PrefillChunkTokens)).Seconds()
	if left < 0 {
		return 0
	}
	if m.PerSequence <= 0 {
		return limit
	}
	return int(min(left/m.PerSequence, float64(limit)))
}

// ObserveStep learns from one measured time between tokens with n sequences
// and no prompt in computation.
func (m StepModel) ObserveStep(n int, interval time.Duration) StepModel {
	if n < 1 || interval <= 0 {
		return m
	}
	t := min(interval.Seconds(), outlierFactor*m.Step(n).Seconds())
	return m.accumulate(float64(n), t, 1).solve()
}

// ObserveFirstToken learns the prompt rate from one measured time to first
// token of a prompt beside n sequences. No other prompt may be pending when it
// is handed over. It waits half a step on average until a step takes it.
func (m StepModel) ObserveFirstToken(n, promptTokens int, elapsed time.Duration) StepModel {
	if promptTokens < minRatePrompt {
		return m
	}
	left := (elapsed - time.Duration(pieces(promptTokens))*m.Step(n) - m.Step(n)/2).Seconds()
	rate := float64(maxPromptRate)
	if left > 0 {
		rate = float64(promptTokens) / left
	}
	// A cached prefix or a stalled engine shows as an extreme rate.
	rate = clamp(rate, m.PrefillRate/2, m.PrefillRate*2)
	m.PrefillRate = clamp(m.PrefillRate+rateSmoothing*(rate-m.PrefillRate), minPromptRate, maxPromptRate)
	return m
}

func (m StepModel) prompt(tokens int) time.Duration {
	if tokens <= 0 {
		return 0
	}
	return seconds(float64(tokens) / m.PrefillRate)
}

func (m StepModel) accumulate(n, t, weight float64) StepModel {
	m.weight = m.weight*forgetting + weight
	m.sumN = m.sumN*forgetting + weight*n
	m.sumNN = m.sumNN*forgetting + weight*n*n
	m.sumT = m.sumT*forgetting + weight*t
	m.sumNT = m.sumNT*forgetting + weight*n*t
	return m
}

// solve fits base and per-sequence time. Measurements at a single number of
// sequences determine only their sum, so the slope is then kept.
func (m StepModel) solve() StepModel {
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

// pieces is the number of steps that a prompt takes, at least one.
func pieces(promptTokens int) int {
	return max(1, (promptTokens+PrefillChunkTokens-1)/PrefillChunkTokens)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func clamp(v, low, high float64) float64 { return math.Min(math.Max(v, low), high) }
