package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/pause"
)

// suspectRetryDelay is the mean delay before a suspect looks again for an upstream
// without another suspect.
const suspectRetryDelay = 50 * time.Millisecond

// suspectBusy reports whether the agent refused because another suspect runs on the
// upstream.
func (r *result) suspectBusy() bool {
	return r.outcome == outcomeRefused && r.reason == string(admission.ReasonSuspectRunning)
}

// waitSuspectRetry delays a request that another suspect kept from an upstream: either
// no upstream could be chosen and at least one runs a suspect, or the chosen agent
// refused because it runs one. Neither a failed choice nor a refused attempt counts as
// an attempt or against the retry budget, since no upstream received the request; the
// deadline bounds the delays. It returns false if the request cannot wait.
func waitSuspectRetry(ctx context.Context, rq *request) bool {
	wait := suspectRetryDelay/2 + rand.N(suspectRetryDelay)
	if !rq.repeatable || time.Now().Add(wait).After(rq.deadline) {
		return false
	}
	return pause.For(ctx, wait)
}

// suspectTracker records which agents run a suspect of this entry, so that two suspects
// do not share an upstream. Agents enforce this across entries.
type suspectTracker struct {
	mu      sync.Mutex
	running map[string]int // number of suspects by agent ID
}

// chooseAndMark calls f with the agents that run suspects and marks the agent it
// returns. An empty ID marks none.
func (t *suspectTracker) chooseAndMark(f func(busy []string) string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	busy := make([]string, 0, len(t.running))
	for id := range t.running {
		busy = append(busy, id)
	}
	if id := f(busy); id != "" {
		t.running[id]++
	}
}

func (t *suspectTracker) end(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[id]--
	if t.running[id] <= 0 {
		delete(t.running, id)
	}
}
