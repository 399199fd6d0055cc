package agent

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an entry that is granted more items than it holds.
func TestGrantsAreBoundedByDemand(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, r *rig) {
		r.control.demand(EntryDemand{"a", 1, time.Now()})
		r.control.want(t, "map[a:1]", "")
		time.Sleep(3 * grantInterval)
		r.control.want(t, "map[]", "beyond the demand")
	})
}

// Guards against an upstream call that ignores its cancellation keeping its slot
// from online work.
func TestStuckCallFreesItsSlot(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		r.engine.set(func() { r.engine.stuck = true })
		r.submit(t, r.request(batch))
		r.engine.set(func() { r.engine.stuck = false })
		r.submit(t, r.request(online)).ended(t)
		r.engine.crash("2") // lets the stuck call return
	})
}

// Guards against two suspects at once when one became a suspect in the queue.
func TestBecomesSuspectWhileQueued(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, r *rig) {
		r.suspects.status[1] = Suspect
		first := r.request(online)
		first.Fingerprint = 1
		short := r.submit(t, r.request(online))
		r.engine.set(func() { r.engine.length = 0 })
		running := r.submit(t, first)
		queued := r.request(online)
		queued.Fingerprint = 2
		o := r.submit(t, queued)
		r.suspects.mu.Lock()
		r.suspects.status[2] = Suspect
		r.suspects.mu.Unlock()
		short.last()
		o.refused(t, "suspect_already_running")
		running.cancel()
	})
}

// Guards against a queued attempt that is held although its prompt alone takes
// longer than its deadline leaves.
func TestQueuedAttemptIsRefusedBeforeItsDeadline(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
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
