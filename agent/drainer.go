package agent

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
)

// Drainer drains the engine while an order loads weights.
type Drainer struct{ agent *Agent }

// Drain reports the engine as not ready, refuses new and queued work, preempts
// batch attempts and waits until the others have finished or ctx is done. Resume
// must be called in either case.
func (d Drainer) Drain(ctx context.Context) error {
	a := d.agent
	a.mu.Lock()
	a.drainedForOrder = true
	a.markNotReady(zerolog.InfoLevel, "draining engine for an order")
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

// Resume lets the engine accept work again after its next successful probe.
func (d Drainer) Resume() {
	a := d.agent
	a.mu.Lock()
	a.drainedForOrder = false
	a.mu.Unlock()
	signal(a.probeNow)
}
