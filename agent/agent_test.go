package agent

import (
	"testing"
	"time"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

const (
	online = rpc.Class_CLASS_ONLINE
	batch  = rpc.Class_CLASS_BATCH
)

// Guards against lost or reordered events of a complete response, and against
// events of other attempts.
func TestRunSendsWholeAnswer(t *testing.T) {
	runWithAgent(t, 4, func(t *testing.T, r *testAgent) {
		req := r.request(online)
		o := r.submit(t, req)
		if o.last().GetEnd() == nil {
			t.Fatalf("last event %v", o.last())
		}
		text := ""
		for _, e := range o.events {
			if e.AttemptId != req.AttemptId {
				t.Errorf("event of attempt %q", e.AttemptId)
			}
			text += e.GetDelta().GetText()
		}
		if text != "9 8 7 6 5 4 3 2 1 0 " {
			t.Errorf("text %q", text)
		}
		if o.events[0].GetAccepted() == nil || o.events[0].Load == nil {
			t.Errorf("first event %v", o.events[0])
		}
	})
}

// Guards against running an attempt whose ticket has expired, is for another
// incarnation or has been used, and against refusing an attempt that was sent to
// the upstream.
func TestTicketsAreCheckedBeforeSend(t *testing.T) {
	runWithAgent(t, 1, func(t *testing.T, r *testAgent) {
		foreign, expired := r.request(online), r.request(online)
		foreign.Ticket.AgentIncarnation++
		time.Sleep(time.Second)
		expired.Ticket.NotAfterMs = 500
		waits := r.request(online)
		waits.Ticket.NotAfterMs = uint64(r.now()/time.Millisecond) + 100
		used := r.request(online)
		first := r.submit(t, used)
		outcomes := map[string]*outcome{
			"wrong_incarnation": r.submit(t, foreign),
			"ticket_expired":    r.submit(t, expired),
		}
		queued := r.submit(t, waits) // the slot is freed 200 ms later
		repeated := r.submit(t, used)
		first.ended(t)
		for want, o := range outcomes {
			if got := o.last().GetRefused().GetReason(); got != want {
				t.Errorf("got %v, want %s", o.last(), want)
			}
		}
		queued.refused(t, "ticket_expired")
		repeated.refused(t, "already_seen")
		for _, req := range []*rpc.RunRequest{foreign, expired, waits} {
			if r.engine.generateCount(req.AttemptId) != 0 {
				t.Error("a refused attempt was sent to the upstream")
			}
		}
		if n := r.engine.generateCount(used.AttemptId); n != 1 {
			t.Errorf("sent to the upstream %d times", n)
		}
	})
}

// Guards against online work that waits for batch work, against preempting an
// older batch attempt before a newer one, and against more sequences than slots
// while a cancelled one ends.
func TestPreemptsNewestBatchFirst(t *testing.T) {
	runWithAgent(t, 2, func(t *testing.T, r *testAgent) {
		r.engine.set(func() { r.engine.length = 100 })
		older := r.submit(t, r.request(batch))
		time.Sleep(100 * time.Millisecond)
		newer := r.submit(t, r.request(batch))
		time.Sleep(100 * time.Millisecond)
		o := r.submit(t, r.request(online))
		newer.failed(t, FailedPreempted, rpc.Executed_EXECUTED_YES)
		if o.last().GetEnd() == nil || older.last().GetEnd() == nil {
			t.Errorf("online %v, older batch %v", o.last(), older.last())
		}
		if r.engine.peak > 2 {
			t.Errorf("%d sequences on 2 slots", r.engine.peak)
		}
	})
}
