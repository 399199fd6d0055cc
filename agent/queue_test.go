package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/link"
	"github.com/magnoliausher/magnoliausher/poison"
)

// Guards against grants to an entry for more items than it has.
func TestGrantsAreBoundedByDemand(t *testing.T) {
	runWithAgent(t, 3, func(t *testing.T, r *testAgent) {
		r.control.demand(link.EntryDemand{EntryID: "a", Items: 1, EarliestDue: time.Now()})
		r.control.wantGranted(t, "map[a:1]", "")
		time.Sleep(3 * grantInterval)
		r.control.wantGranted(t, "map[]", "beyond the demand")
	})
}

// Guards against an upstream call that ignores its cancellation and keeps its slot
// from online work.
func TestStuckCallFreesItsSlot(t *testing.T) {
	runWithAgent(t, 1, func(t *testing.T, r *testAgent) {
		r.engine.set(func() { r.engine.stuck = true })
		r.submit(t, r.request(batch))
		r.engine.set(func() { r.engine.stuck = false })
		r.submit(t, r.request(online)).ended(t)
		r.engine.crash("2") // lets the stuck call return
	})
}

// Guards against two suspects that run at once when one became a suspect while it
// was queued.
func TestBecomesSuspectWhileQueued(t *testing.T) {
	runWithAgent(t, 2, func(t *testing.T, r *testAgent) {
		r.suspects.status[1] = poison.Suspect
		first := r.request(online)
		first.Fingerprint = 1
		short := r.submit(t, r.request(online))
		r.engine.set(func() { r.engine.length = 0 })
		running := r.submit(t, first)
		queued := r.request(online)
		queued.Fingerprint = 2
		o := r.submit(t, queued)
		r.suspects.mu.Lock()
		r.suspects.status[2] = poison.Suspect
		r.suspects.mu.Unlock()
		short.last()
		o.refused(t, "suspect_already_running")
		running.cancel()
	})
}

// Guards against a queued attempt that is not refused although computing its
// prompt would take longer than the time left to its deadline.
func TestQueuedAttemptIsRefusedBeforeItsDeadline(t *testing.T) {
	runWithAgent(t, 1, func(t *testing.T, r *testAgent) {
		r.engine.set(func() { r.engine.length = 0 })
		running := r.submit(t, r.request(online))
		req := r.request(online)
		req.PromptTokens, req.DeadlineMs = 20000, 3000
		o := r.submit(t, req)
		time.Sleep(2500 * time.Millisecond)
		synctest.Wait()
		select {
		case <-o.done:
			o.refused(t, "deadline_cannot_be_met")
		default:
			t.Error("still queued")
		}
		running.cancel()
	})
}
