package e2e

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/job/client"
	"github.com/magnoliausher/magnoliausher/standin/service"
)

// Guards against executing a call twice, or reporting a wrong outcome, when its
// entry is stopped with SIGSTOP, the caller resends it through another entry, and
// the platform loses responses to writes that took effect.
func TestResendWhilePlatformLosesResponses(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 2)
	f.portal.SetFault(service.FaultSlow, -1, 50*time.Millisecond)
	f.platform.SetResponseLossProbability(0.3)
	body := func(i int) []byte { return []byte(fmt.Sprintf(`{"resent":%d}`, i)) }
	idempotencyKey := func(i int) string { return fmt.Sprintf("resent-%d", i) }
	const calls, resends = 60, 3
	first := make([]invoiceOutcome, calls)
	var sending sync.WaitGroup
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for i := range calls {
		sending.Go(func() { first[i] = sendInvoice(ctx, f.entries[0], idempotencyKey(i), body(i)) })
		time.Sleep(sendInterval)
		if i == calls/2 {
			f.entries[0].signal(t, syscall.SIGSTOP)
		}
	}
	var resent [calls][resends]invoiceOutcome
	var resending sync.WaitGroup
	for i := range calls {
		resending.Go(func() {
			for n := range resends {
				resent[i][n] = sendInvoice(ctx, f.entries[1], idempotencyKey(i), body(i))
			}
		})
	}
	resending.Wait()
	f.entries[0].signal(t, syscall.SIGCONT)
	sending.Wait()
	f.platform.ClearFaults()
	count := make(map[invoiceOutcome]int)
	for i := range calls {
		// A rejection as not executed refers to one send only, and another send may
		// execute the call, so only executions and complete responses are compared.
		n := f.portal.ExecutionsByBody(body(i))
		if n > 1 {
			t.Errorf("%s was executed %d times", body(i), n)
		}
		for _, got := range append(resent[i][:], first[i]) {
			count[got]++
			if got.complete && n != 1 {
				t.Errorf("%s got a complete response and was executed %d times", body(i), n)
			}
		}
	}
	t.Logf("outcomes: %v, %d calls executed", count, f.portal.Executions())
}

// Guards against items that complete twice, and against an output that changes,
// when an entry continues after a pause longer than its chunk leases.
func TestEntryPausedLongerThanLeases(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2)
	c := &client.Client{BaseURL: "http://" + f.entries[0].address, Key: key}
	const items = 2000
	before := f.submitted()
	id := createBatch(t, c, items)
	for f.submitted() < before+100 || f.chunksClaimedBy(t, f.entries[0]) == 0 {
		time.Sleep(20 * time.Millisecond)
	}
	f.entries[0].signal(t, syscall.SIGSTOP)
	t.Logf("%d chunks claimed by the paused entry", f.chunksClaimedBy(t, f.entries[0]))
	c.BaseURL = "http://" + f.entries[1].address
	f.awaitBatch(t, c, id, items) // after the leases expired
	ended, err := c.Get(t.Context(), id)
	if err != nil {
		t.Fatal(err)
	}
	first := download(t, f.entries[1], ended.OutputFileID)
	f.entries[0].signal(t, syscall.SIGCONT)
	time.Sleep(5 * time.Second)
	for _, e := range f.entries {
		if !bytes.Equal(first, download(t, e, ended.OutputFileID)) {
			t.Errorf("%s returns a different output than the first read", e.id)
		}
	}
	after, err := c.Get(t.Context(), id)
	if err != nil {
		t.Fatal(err)
	}
	if after.RequestCounts != ended.RequestCounts || after.RequestCounts.Completed != items {
		t.Errorf("counts %+v, then %+v, want %d completed", ended.RequestCounts, after.RequestCounts, items)
	}
}

// Guards against mixed-up responses, gaps and repetitions when an agent repeatedly
// stops for longer than the acceptance timeout. Its attempts move to other agents,
// and their late events arrive when it continues.
func TestLateEventsAfterReroute(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 2)
	const pause = 400 * time.Millisecond // above the acceptance timeout of 250 ms
	stop := make(chan struct{})
	var pausing sync.WaitGroup
	pausing.Go(func() {
		for {
			for _, s := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
				_ = f.agents[0].cmd.Process.Signal(s) // the process exists until the cleanup
				select {
				case <-stop:
					_ = f.agents[0].cmd.Process.Signal(syscall.SIGCONT)
					return
				case <-time.After(pause):
				}
			}
		}
	})
	l := newLoad()
	f.sendUntil(t, l, time.Now().Add(5*time.Second))
	l.Wait()
	close(stop)
	pausing.Wait()
	report(t, l)
	if l.Counts().Correct != l.Counts().Sent {
		t.Errorf("%d of %d responses are correct", l.Counts().Correct, l.Counts().Sent)
	}
}
