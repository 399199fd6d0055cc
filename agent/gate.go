package agent

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
)

// Gate closes the engine to work while an order loads weights.
type Gate struct{ agent *Agent }

// Close reports the engine as not ready, refuses new and queued work, ends batch
// attempts as preempted and waits until the others have finished or ctx ends.
// Open must follow in any case.
func (g Gate) Close(ctx context.Context) error {
	a := g.agent
	a.mu.Lock()
	a.gated = true
	a.notReady(zerolog.InfoLevel, "engine is closed to work for an order")
	a.preemptBatch()
	idle := a.whenIdle()
	a.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Open lets the engine work again after its next successful probe.
func (g Gate) Open() {
	a := g.agent
	a.mu.Lock()
	a.gated = false
	a.mu.Unlock()
	signal(a.probeNow)
}
