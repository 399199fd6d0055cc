package agent

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// Guards against in-flight attempts that survive a crash, a crash that is recorded
// more than once, and suspects that were not running at the upstream.
func TestCrashFailsAttemptsAndRecordsSuspects(t *testing.T) {
	evidence := map[string]func(e *fakeEngine){
		"broken streams":   func(e *fakeEngine) { e.crash("2") },
		"boot id":          func(e *fakeEngine) { e.set(func() { e.boot = "2"; e.stalled = true }) },
		"connection fails": func(e *fakeEngine) { e.set(func() { e.healthy = upstream.ErrNotSent; e.stalled = true }) },
	}
	for name, crash := range evidence {
		runWithAgent(t, 2, func(t *testing.T, r *testAgent) {
			t.Log(name)
			r.engine.set(func() { r.engine.length = 0 })
			var running []*outcome
			for i := range 3 {
				req := r.request(online)
				req.Fingerprint = uint64(i + 1)
				running = append(running, r.submit(t, req))
			}
			time.Sleep(100 * time.Millisecond)
			crash(r.engine)
			for _, o := range running[:2] {
				o.failed(t, FailedCrashed, rpc.Executed_EXECUTED_YES)
			}
			running[2].refused(t, "upstream_down")
			time.Sleep(3 * time.Second)
			r.suspects.wantCrashes(t, "[[1 2]]")
			r.engine.set(func() { r.engine.healthy, r.engine.stalled, r.engine.length = nil, false, 3 })
			time.Sleep(time.Second)
			r.submit(t, r.request(online)).ended(t)
		})
	}
}

// Guards against an unresponsive upstream that holds attempts forever, and against
// recording suspects when no crash is known.
func TestStallFailsAttemptsWithoutSuspects(t *testing.T) {
	runWithAgent(t, 2, func(t *testing.T, r *testAgent) {
		req := r.request(online)
		req.Fingerprint = 5
		o := r.submit(t, req)
		time.Sleep(50 * time.Millisecond)
		r.engine.set(func() { r.engine.stalled, r.engine.healthy = true, context.DeadlineExceeded })
		o.failed(t, FailedSilent, rpc.Executed_EXECUTED_YES)
		if r.suspects.crashList() != "[]" {
			t.Errorf("suspects %s", r.suspects.crashList())
		}
	})
}

// Guards against a drain that interrupts online work, accepts new work, or
// waits for batch work.
func TestDrain(t *testing.T) {
	runWithAgent(t, 2, func(t *testing.T, r *testAgent) {
		r.engine.set(func() { r.engine.length = 50 })
		item, running := r.submit(t, r.request(batch)), r.submit(t, r.request(online))
		drained := make(chan error, 1)
		go func() { drained <- r.Drain(t.Context()) }()
		synctest.Wait()
		late := r.submit(t, r.request(online))
		late.refused(t, "leaving")
		item.failed(t, FailedPreempted, rpc.Executed_EXECUTED_YES)
		running.ended(t)
		if err := <-drained; err != nil {
			t.Errorf("drain: %v", err)
		}
	})
}

// Guards against a drain that hangs after a crash or a stall of the upstream, and
// against a second crash that is not recorded because it follows shortly after the
// first.
func TestCombinedFaults(t *testing.T) {
	faults := map[string]func(e *fakeEngine){
		"crash":   func(e *fakeEngine) { e.crash("2") },
		"silence": func(e *fakeEngine) { e.set(func() { e.stalled = true }) },
	}
	for name, fault := range faults {
		runWithAgent(t, 2, func(t *testing.T, r *testAgent) {
			r.engine.set(func() { r.engine.length = 0 })
			o := r.submit(t, r.request(online))
			drained := make(chan error, 1)
			go func() { drained <- r.Drain(t.Context()) }()
			time.Sleep(100 * time.Millisecond)
			fault(r.engine)
			if o.last().GetFailed() == nil {
				t.Errorf("%s: %v", name, o.last())
			}
			if err := <-drained; err != nil {
				t.Errorf("%s: drain: %v", name, err)
			}
		})
	}
	runWithAgent(t, 2, func(t *testing.T, r *testAgent) {
		r.engine.set(func() { r.engine.length = 0 })
		for i := range 2 {
			req := r.request(online)
			req.Fingerprint = 9
			o := r.submit(t, req)
			time.Sleep(100 * time.Millisecond)
			r.engine.crash(fmt.Sprint("boot", i))
			_ = o.last()
			time.Sleep(time.Second)
		}
		r.suspects.wantCrashes(t, "[[9] [9]]")
	})
}

// Guards against a second failure by the progress timeout when a stalled upstream
// restarts: its attempts must fail once, as crashed.
func TestStallThenCrash(t *testing.T) {
	runWithAgent(t, 2, func(t *testing.T, r *testAgent) {
		r.engine.set(func() { r.engine.stalled = true })
		req := r.request(online)
		req.Fingerprint = 3
		o := r.submit(t, req)
		time.Sleep(5 * time.Second)
		r.engine.crash("2")
		if !o.last().GetFailed().GetUpstreamCrashed() || len(o.events) != 2 {
			t.Errorf("events %v", o.events)
		}
		time.Sleep(20 * time.Second)
		r.suspects.wantCrashes(t, "[[3]]")
	})
}

// Guards against two suspects that run at once and against running a blocked
// request.
func TestSuspectsRunAloneAndBlockedDoNotRun(t *testing.T) {
	runWithAgent(t, 3, func(t *testing.T, r *testAgent) {
		r.suspects.status[1], r.suspects.status[2], r.suspects.status[3] = poison.Suspect, poison.Suspect, poison.Blocked
		want := map[uint64]string{1: "", 2: "suspect_already_running", 3: "blocked"}
		for fp := uint64(1); fp <= 3; fp++ {
			req := r.request(online)
			req.Fingerprint = fp
			o := r.submit(t, req)
			if want[fp] != "" && o.last().GetRefused().GetReason() != want[fp] {
				t.Errorf("fingerprint %d: %v", fp, o.last())
			}
		}
	})
}

// Guards against work that continues at the upstream after its entry has
// disconnected or its deadline has passed.
func TestCancellationAndDeadlineReachUpstream(t *testing.T) {
	runWithAgent(t, 2, func(t *testing.T, r *testAgent) {
		r.engine.set(func() { r.engine.length = 0 })
		gone := r.submit(t, r.request(online))
		limited := r.request(online)
		limited.DeadlineMs = 500
		late := r.submit(t, limited)
		gone.cancel()
		synctest.Wait()
		if n := r.engine.openStreams(); n != 1 {
			t.Errorf("%d streams after the entry disconnected", n)
		}
		late.failed(t, FailedDeadline, rpc.Executed_EXECUTED_YES)
		if n := r.engine.openStreams(); n != 0 {
			t.Errorf("%d streams after the deadline", n)
		}
	})
}

// Guards against a stalled reader that delays other attempts or keeps its slot.
func TestSlowReaderDoesNotBlockOthers(t *testing.T) {
	runWithAgent(t, 2, func(t *testing.T, r *testAgent) {
		r.cfg.BufferBytes = 200
		r.engine.set(func() { r.engine.length = 0 })
		blocked := make(chan struct{})
		served := make(chan struct{})
		var last *rpc.RunEvent
		go func() {
			defer close(served)
			_ = r.serve(t.Context(), "", r.request(online), func(e *rpc.RunEvent) error {
				<-blocked
				last = e
				return nil
			})
		}()
		synctest.Wait()
		r.engine.set(func() { r.engine.length = 5 })
		r.submit(t, r.request(online)).ended(t)
		time.Sleep(3 * time.Second)
		if n := r.engine.openStreams(); n != 0 {
			t.Errorf("%d streams with a stalled reader", n)
		}
		close(blocked)
		<-served
		if last.GetFailed().GetReason() != FailedSlowReader {
			t.Errorf("last event %v", last)
		}
	})
}

// Guards against an execution status other than EXECUTED_NO when the engine did no
// work.
func TestErrorsBeforeWork(t *testing.T) {
	runWithAgent(t, 2, func(t *testing.T, r *testAgent) {
		for want, err := range map[string]error{
			FailedNotSent: fmt.Errorf("dial: %w", upstream.ErrNotSent),
			FailedStatus:  &upstream.StatusError{Status: 400, Body: []byte("bad")},
		} {
			r.engine.set(func() { r.engine.genErr = err })
			o := r.submit(t, r.request(online))
			o.failed(t, want, rpc.Executed_EXECUTED_NO)
		}
	})
}

// Guards against a server error of an engine that counts as "not executed", although it
// may come after the engine ran the request.
func TestOnlyRefusingStatusesCountAsNotExecuted(t *testing.T) {
	runWithAgent(t, 2, func(t *testing.T, r *testAgent) {
		for status, want := range map[int]rpc.Executed{
			400: rpc.Executed_EXECUTED_NO, 429: rpc.Executed_EXECUTED_NO, 503: rpc.Executed_EXECUTED_NO,
			500: rpc.Executed_EXECUTED_UNKNOWN, 502: rpc.Executed_EXECUTED_UNKNOWN, 504: rpc.Executed_EXECUTED_UNKNOWN,
		} {
			r.engine.set(func() { r.engine.genErr = &upstream.StatusError{Status: status} })
			r.submit(t, r.request(online)).failed(t, FailedStatus, want)
		}
	})
}

// Guards against late evidence of a crash that stops the restarted upstream, and
// against assuming a crash while attempts still produce output.
func TestInconclusiveCrashEvidence(t *testing.T) {
	runWithAgent(t, 2, func(t *testing.T, r *testAgent) {
		r.engine.set(func() { r.engine.length = 0 })
		r.handleCrash(0, "test")
		r.recordProbeSuccess("2", false)
		r.handleCrash(0, "the same crash")
		o := r.submit(t, r.request(online))
		r.engine.set(func() { r.engine.healthy = upstream.ErrNotSent })
		time.Sleep(5 * time.Second)
		select {
		case <-o.done:
			t.Errorf("ended with %v", o.last())
		default:
		}
		r.submit(t, r.request(online)).refused(t, "upstream_down")
		o.cancel()
	})
}

// Guards against blaming the parts of a prompt whose answer had begun, or of an item.
func TestSuspectsOfTask(t *testing.T) {
	req := &rpc.RunRequest{Fingerprint: 1, Parts: []uint64{5, 6}}
	for _, c := range []struct {
		class   contract.Class
		outputs int32
		want    string
	}{
		{contract.ClassOnline, 0, "[1 5 6]"}, {contract.ClassOnline, poison.SuspectOutputs, "[1 5 6]"},
		{contract.ClassOnline, poison.SuspectOutputs + 1, "[1]"}, {contract.ClassBatch, 0, "[1]"},
	} {
		task := &task{req: req, class: c.class}
		task.outputs.Store(c.outputs)
		if got := fmt.Sprint(task.suspects()); got != c.want {
			t.Errorf("%s after %d outputs: %s, want %s", c.class, c.outputs, got, c.want)
		}
	}
}
