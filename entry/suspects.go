package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/pause"
)

// suspectPause is the mean pause of a suspect before it asks again for an
// upstream without another suspect.
const suspectPause = 50 * time.Millisecond

// suspectBusy reports a refusal because another suspect runs on the upstream.
func (r *result) suspectBusy() bool {
	return r.ending == endRefused && r.reason == string(admission.ReasonSuspectRunning)
}

// waitForTurn pauses a request that found every upstream busy with another
// suspect. Such a turn counts neither as an attempt nor against the retry
// budget, since nothing was handed over; the deadline ends the wait. It reports
// false when the request cannot wait.
func waitForTurn(ctx context.Context, rq *request) bool {
	wait := suspectPause/2 + rand.N(suspectPause)
	if !rq.repeatable || time.Now().Add(wait).After(rq.deadline) {
		return false
	}
	return pause.For(ctx, wait)
}

// suspectTracker knows which agents run a suspect of this entry, so that two
// suspects do not share an upstream. The agent enforces it for all entries.
type suspectTracker struct {
	mu      sync.Mutex
	running map[string]int // by agent id
}

// choose calls f with the agents that run suspects and marks the one it
// returns. An empty id marks none.
func (t *suspectTracker) choose(f func(busy []string) string) {
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
