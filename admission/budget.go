package admission

import "time"

// PrefillStepShare is the share of steps that the prefill of batch prompts may
// lengthen while online sequences run. Lengthening up to 5% of the steps does not
// affect the 95th percentile; the rest is left to online prompts.
const PrefillStepShare = 0.03

// maxSavedSteps caps the unused budget, so that no long burst of lengthened steps
// follows a quiet period.
const maxSavedSteps = 8

// PrefillBudget is the number of steps that batch prompts may still lengthen. It is
// immutable; methods that change it return an updated copy.
type PrefillBudget struct {
	Steps     float64       // negative while prompts that were charged in advance are computed
	UpdatedAt time.Duration // time of the last Advance
	Online    bool          // online sequences have run since UpdatedAt
}

// Advance adds the budget earned up to now at the given step time. online says
// whether online work runs from now on. When online work begins, the pending batch
// prompt tokens are charged, because their prefill lengthens the next steps.
func (b PrefillBudget) Advance(now, step time.Duration, online bool, pendingBatchPrompt int) PrefillBudget {
	switch {
	case b.Online && step > 0 && now > b.UpdatedAt:
		passed := float64(now-b.UpdatedAt) / float64(step)
		b.Steps = min(b.Steps+PrefillStepShare*passed, maxSavedSteps)
	case !b.Online && online:
		b.Steps = -float64(prefillChunksOrZero(pendingBatchPrompt))
	}
	b.UpdatedAt = now
	b.Online = online
	return b
}

// Charge charges a batch prompt that starts while online sequences run. Prompts that
// lengthen no step beyond the target start regardless of the budget and are charged
// too, so the negative balance is bounded.
func (b PrefillBudget) Charge(promptTokens int) PrefillBudget {
	if b.Online {
		n := float64(prefillChunks(promptTokens))
		b.Steps = max(b.Steps-n, min(b.Steps, -max(n, maxSavedSteps)))
	}
	return b
}

// Allows reports whether a batch prompt may start while online sequences run. A
// prompt with more chunks than maxSavedSteps starts when the budget is full and
// makes it negative.
func (b PrefillBudget) Allows(promptTokens int) bool {
	return b.Steps >= min(float64(prefillChunks(promptTokens)), maxSavedSteps)
}

// allowedItems returns the number of prompts of the given size that the budget allows.
func (b PrefillBudget) allowedItems(promptTokens int) int {
	if !b.Allows(promptTokens) {
		return 0
	}
	return max(1, int(b.Steps)/prefillChunks(promptTokens))
}

func prefillChunksOrZero(promptTokens int) int {
	if promptTokens <= 0 {
		return 0
	}
	return prefillChunks(promptTokens)
}
