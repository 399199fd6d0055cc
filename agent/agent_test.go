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

// Guards against lost, reordered or foreign events of a complete answer.
func TestRunSendsWholeAnswer(t *testing.T) {
	inBubble(t, 4, func(t *testing.T, r *rig) {
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

// Guards against running an attempt whose ticket is expired, foreign or used,
// and against a refusal of an attempt that was handed over.
func TestTicketsAreCheckedAtHandOver(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
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
		queued := r.submit(t, waits) // the slot frees 200 ms later
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
			if r.engine.count(req.AttemptId) != 0 {
				t.Error("a refused attempt was handed over")
			}
		}
		if n := r.engine.count(used.AttemptId); n != 1 {
			t.Errorf("handed over %d times", n)
		}
	})
}

// Guards against online work that waits behind batch work, and against more
// sequences than slots while a cancelled one ends.
func TestBatchGivesWayNewestFirst(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, r *rig) {
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
