package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// Guards against work that is routed to an engine while weights load, online
// work that a load cuts off, and an engine that stays closed afterwards.
func TestGateEmptiesTheEngine(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		gate := Drainer{r.Agent}
		running := r.submit(t, r.request(online))
		waiting := r.submit(t, r.request(online))
		closed := make(chan error, 1)
		go func() { closed <- gate.Drain(t.Context()) }()
		synctest.Wait()
		if got := waiting.last().GetRefused().GetReason(); got != string(admission.ReasonUpstreamDown) {
			t.Errorf("waiting attempt ended with %q", got)
		}
		if err := <-closed; err != nil || r.engine.open() != 0 {
			t.Errorf("closed with %v and %d streams", err, r.engine.open())
		}
		if running.last().GetEnd() == nil {
			t.Errorf("running attempt ended with %v", running.last())
		}
		time.Sleep(time.Minute) // probes succeed meanwhile
		if got := r.Load().State; got != rpc.UpstreamState_UPSTREAM_STATE_STARTING {
			t.Errorf("state %v while closed", got)
		}
		if r.submit(t, r.request(online)).last().GetRefused() == nil {
			t.Error("a closed engine accepted work")
		}
		gate.Resume()
		synctest.Wait()
		if got := r.Load().State; got != rpc.UpstreamState_UPSTREAM_STATE_READY {
			t.Errorf("state %v after the load", got)
		}
	})
}

// Guards against an order that waits without end for an attempt that goes on,
// and against a closure that survives the failed wait.
func TestGateGivesUpWithItsContext(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		r.engine.set(func() { r.engine.length = 0 })
		o := r.submit(t, r.request(online))
		gate := Drainer{r.Agent}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := gate.Drain(ctx); err == nil || r.engine.open() != 1 {
			t.Errorf("closed with %v and %d streams", err, r.engine.open())
		}
		gate.Resume()
		synctest.Wait()
		if got := r.Load().State; got != rpc.UpstreamState_UPSTREAM_STATE_READY {
			t.Errorf("state %v after the failed wait", got)
		}
		o.cancel()
		<-o.done
	})
}

// Guards against a new agent that reports an engine as ready while it loads on
// an order of the agent before it.
func TestLoadingEngineIsNotReady(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		r.engine.set(func() { r.engine.loading = true })
		time.Sleep(2 * DefaultProbeInterval)
		if got := r.Load().State; got == rpc.UpstreamState_UPSTREAM_STATE_READY {
			t.Errorf("state %v while the engine loads", got)
		}
		r.engine.set(func() { r.engine.loading = false })
		time.Sleep(2 * DefaultProbeInterval)
		if got := r.Load().State; got != rpc.UpstreamState_UPSTREAM_STATE_READY {
			t.Errorf("state %v after the load", got)
		}
	})
}
