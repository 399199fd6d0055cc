package e2e

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/job/client"
	"github.com/magnoliausher/magnoliausher/loadgen"
)

const (
	requests    = 200
	tokens      = 30
	sendPause   = 10 * time.Millisecond
	faultAt     = 80 // requests sent before the fault
	batchItems  = 400
	invoices    = 30
	pollBatches = 200 * time.Millisecond
)

// sendThrough sends requests over both entries, with a fault on the way, and
// requires every answer to be whole.
func (f *fleet) sendThrough(t *testing.T, fault func()) {
	t.Helper()
	l := newLoad()
	for i := range requests {
		if i == faultAt {
			fault()
		}
		l.Send(t.Context(), f.entries[i%2].address, fmt.Sprintf("question %d", i), tokens)
		time.Sleep(sendPause)
	}
	l.Wait()
	report(t, l)
	if l.Counts().Whole != requests {
		t.Errorf("%d of %d answers are whole", l.Counts().Whole, requests)
	}
}

// Guards against wrong, truncated or lost answers when an agent is killed with
// streams in progress: all of them must resume elsewhere.
func TestKilledAgentLosesNoAnswer(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.sendThrough(t, func() { f.agents[0].signal(t, syscall.SIGKILL) })
}

// Guards against an agent that is frozen, so that its connections stay open
// without a byte: streams must move and none may end as whole when it is not.
func TestFrozenAgentLosesNoAnswer(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.sendThrough(t, func() { f.agents[0].signal(t, syscall.SIGSTOP) })
	f.agents[0].signal(t, syscall.SIGCONT)
}

// Guards against a graceful shutdown that cuts off a request in progress, and
// against refusals that do not say that the request was not run.
func TestGracefulShutdownCutsOffNothing(t *testing.T) {
	f := newFleet(t, 3, 2)
	l := newLoad()
	for i := range requests {
		if i == faultAt {
			f.agents[0].signal(t, syscall.SIGTERM)
			f.entries[0].signal(t, syscall.SIGTERM)
		}
		entry := f.entries[i%2]
		if i >= faultAt {
			entry = f.entries[1] // as the balancer does once the entry is not ready
		}
		l.SendOrResend(t.Context(), entry.address, f.entries[1].address, fmt.Sprintf("question %d", i), tokens)
		time.Sleep(sendPause)
	}
	l.Wait()
	report(t, l)
	if l.Counts().Whole != requests {
		t.Errorf("%d of %d answers are whole", l.Counts().Whole, requests)
	}
	for _, p := range []*process{f.agents[0], f.entries[0]} {
		<-p.done
		if p.err != nil {
			t.Errorf("%s ended with %v", p.id, p.err)
		}
	}
}

// Guards against a call that runs twice when its entry is frozen, the caller
// resends it through another entry, and the first entry wakes up.
func TestFrozenEntryRunsNoCallTwice(t *testing.T) {
	f := newFleet(t, 1, 2)
	body := func(i int) []byte { return []byte(fmt.Sprintf(`{"invoice":%d}`, i)) }
	send := func(entry *process, i int) error {
		resp, err := post(t.Context(), entry.address, "/services/portal/invoices", fmt.Sprintf("invoice-%d", i), body(i))
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return &loadgen.RefusedError{Status: resp.StatusCode, Body: string(text)}
		}
		return nil
	}
	var first sync.WaitGroup
	for i := range invoices {
		if i == invoices/2 {
			f.entries[0].signal(t, syscall.SIGSTOP)
		}
		first.Go(func() { _ = send(f.entries[0], i) }) // its outcome is checked by the executions
	}
	refused := 0
	for i := range invoices {
		var r *loadgen.RefusedError
		if errors.As(send(f.entries[1], i), &r) {
			refused++
			if r.Status != http.StatusConflict {
				t.Errorf("invoice %d: %v", i, r)
			}
		}
	}
	f.entries[0].signal(t, syscall.SIGCONT)
	first.Wait()
	t.Logf("%d of %d resends refused with a conflict", refused, invoices)
	for i := range invoices {
		if n := f.portal.ByBody(body(i)); n > 1 {
			t.Errorf("invoice %d ran %d times", i, n)
		}
	}
}

// Guards against items lost or completed twice when the entry that accepted the
// job is killed at once after the acknowledgement, and an agent with it.
func TestKilledEntryLosesNoItem(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 2)
	c := &client.Client{BaseURL: "http://" + f.entries[0].address, Key: key}
	batch := createBatch(t, c, batchItems)
	time.Sleep(time.Second) // chunks are claimed and items run
	f.entries[0].signal(t, syscall.SIGKILL)
	f.agents[0].signal(t, syscall.SIGKILL)
	c.BaseURL = "http://" + f.entries[1].address
	f.awaitBatch(t, c, batch, batchItems)
}
