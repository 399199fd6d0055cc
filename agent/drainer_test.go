package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// Guards against work that is admitted while weights load, online work that a load
// interrupts, and an engine that stays not ready afterwards.
func TestDrainerWaitsForRunningWork(t *testing.T) {
	runWithAgent(t, 1, func(t *testing.T, r *testAgent) {
		drainer := Drainer{r.Agent}
		running := r.submit(t, r.request(online))
		waiting := r.submit(t, r.request(online))
		closed := make(chan error, 1)
		go func() { closed <- drainer.Drain(t.Context()) }()
		synctest.Wait()
		if got := waiting.last().GetRefused().GetReason(); got != string(admission.ReasonUpstreamDown) {
			t.Errorf("waiting attempt ended with %q", got)
		}
		if err := <-closed; err != nil || r.engine.openStreams() != 0 {
			t.Errorf("drain returned %v with %d streams", err, r.engine.openStreams())
		}
		if running.last().GetEnd() == nil {
			t.Errorf("running attempt ended with %v", running.last())
		}
		time.Sleep(time.Minute) // probes succeed in the meantime
		if got := r.Load().State; got != rpc.UpstreamState_UPSTREAM_STATE_STARTING {
			t.Errorf("state %v while drained", got)
		}
		if r.submit(t, r.request(online)).last().GetRefused() == nil {
			t.Error("a drained engine accepted work")
		}
		drainer.Resume()
		synctest.Wait()
		if got := r.Load().State; got != rpc.UpstreamState_UPSTREAM_STATE_READY {
			t.Errorf("state %v after the load", got)
		}
	})
}

// Guards against a drain that waits forever for a running attempt, and against an
// engine that stays not ready after the drain has failed.
func TestDrainerStopsWaitingAtContextEnd(t *testing.T) {
	runWithAgent(t, 1, func(t *testing.T, r *testAgent) {
		r.engine.set(func() { r.engine.length = 0 })
		o := r.submit(t, r.request(online))
		drainer := Drainer{r.Agent}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := drainer.Drain(ctx); err == nil || r.engine.openStreams() != 1 {
			t.Errorf("drain returned %v with %d streams", err, r.engine.openStreams())
		}
		drainer.Resume()
		synctest.Wait()
		if got := r.Load().State; got != rpc.UpstreamState_UPSTREAM_STATE_READY {
			t.Errorf("state %v after the failed drain", got)
		}
		o.cancel()
		<-o.done
	})
}

// Guards against a restarted agent that reports an engine as ready while it still
// loads on an order of the previous agent.
func TestLoadingEngineIsNotReady(t *testing.T) {
	runWithAgent(t, 1, func(t *testing.T, r *testAgent) {
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
