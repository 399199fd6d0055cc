package agent

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
)

// Drainer closes the engine to work while an order loads weights.
type Drainer struct{ agent *Agent }

// Drain reports the engine as not ready, refuses new and queued work, ends batch
// attempts as preempted and waits until the others have finished or ctx ends.
// Resume must follow in any case.
func (d Drainer) Drain(ctx context.Context) error {
	a := d.agent
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

// Resume lets the engine work again after its next successful probe.
func (d Drainer) Resume() {
	a := d.agent
	a.mu.Lock()
	a.gated = false
	a.mu.Unlock()
	signal(a.probeNow)
}
