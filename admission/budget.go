package admission

import "time"

// PrefillStepShare is the share of steps that batch prompts may lengthen while online
// sequences run. Up to 5% of the steps may be lengthened without an effect on
// the 95th percentile; prompts of online work take the rest.
const PrefillStepShare = 0.03

// maxBudgetSteps bounds the saved budget, so that a quiet period does not allow
// a long burst of lengthened steps.
const maxBudgetSteps = 8

// PrefillBudget counts the steps that batch prompts may still lengthen. It is
// a value; every method returns an updated copy.
type PrefillBudget struct {
	Steps     float64       // may be negative: the debt of prompts in progress
	UpdatedAt time.Duration // of the last Advance
	Online    bool          // online sequences ran since At
}

// Advance accounts for the time up to now, with online work running or not
// from now on, at a step time. pendingBatchPrompt is charged when online work
// begins, because its remaining pieces lengthen the coming steps.
func (b PrefillBudget) Advance(now, step time.Duration, online bool, pendingBatchPrompt int) PrefillBudget {
	switch {
	case b.Online && step > 0 && now > b.UpdatedAt:
		passed := float64(now-b.UpdatedAt) / float64(step)
		b.Steps = min(b.Steps+PrefillStepShare*passed, maxBudgetSteps)
	case !b.Online && online:
		b.Steps = -float64(piecesOrNone(pendingBatchPrompt))
	}
	b.UpdatedAt = now
	b.Online = online
	return b
}

// Charge charges a batch prompt that starts while online sequences run. Prompts
// that lengthen no step beyond the target start without regard to the budget but
// are charged too, so the debt is bounded.
func (b PrefillBudget) Charge(promptTokens int) PrefillBudget {
	if b.Online {
		n := float64(pieces(promptTokens))
		b.Steps = max(b.Steps-n, min(b.Steps, -max(n, maxBudgetSteps)))
	}
	return b
}

// Allows reports whether a batch prompt may start beside online sequences. A
// prompt with more pieces than the budget can hold starts at a full budget and
// leaves a debt.
func (b PrefillBudget) Allows(promptTokens int) bool {
	return b.Steps >= min(float64(pieces(promptTokens)), maxBudgetSteps)
}

// items is the number of prompts of that size that the budget allows.
func (b PrefillBudget) items(promptTokens int) int {
	if !b.Allows(promptTokens) {
		return 0
	}
	return max(1, int(b.Steps)/pieces(promptTokens))
}

func piecesOrNone(promptTokens int) int {
	if promptTokens <= 0 {
		return 0
	}
	return pieces(promptTokens)
}
