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
	requests            = 200
	tokens              = 30
	sendInterval        = 10 * time.Millisecond
	requestsBeforeFault = 80
	batchItems          = 400
	invoices            = 30
	batchPollInterval   = 200 * time.Millisecond
)

// sendWithFault sends requests to both entries in turn, injects a fault among them,
// and requires every response to be complete.
func (f *fleet) sendWithFault(t *testing.T, fault func()) {
	t.Helper()
	l := newLoad()
	for i := range requests {
		if i == requestsBeforeFault {
			fault()
		}
		l.Send(t.Context(), f.entries[i%2].address, fmt.Sprintf("question %d", i), tokens)
		time.Sleep(sendInterval)
	}
	l.Wait()
	report(t, l)
	if l.Counts().Correct != requests {
		t.Errorf("%d of %d responses are correct", l.Counts().Correct, requests)
	}
}

// Guards against wrong, truncated or lost responses when an agent is killed with
// streams in progress. All streams must resume at other agents.
func TestKilledAgentLosesNoResponse(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.sendWithFault(t, func() { f.agents[0].signal(t, syscall.SIGKILL) })
}

// Guards against truncated responses when an agent is stopped with SIGSTOP, so that
// its connections stay open without data. Streams must move to other agents, and
// no truncated response may look complete.
func TestStoppedAgentLosesNoResponse(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.sendWithFault(t, func() { f.agents[0].signal(t, syscall.SIGSTOP) })
	f.agents[0].signal(t, syscall.SIGCONT)
}

// Guards against a graceful shutdown that interrupts a request in progress, and
// against rejections that do not state that the request was not executed.
func TestGracefulShutdownInterruptsNoRequest(t *testing.T) {
	f := newFleet(t, 3, 2)
	l := newLoad()
	for i := range requests {
		if i == requestsBeforeFault {
			f.agents[0].signal(t, syscall.SIGTERM)
			f.entries[0].signal(t, syscall.SIGTERM)
		}
		entry := f.entries[i%2]
		if i >= requestsBeforeFault {
			entry = f.entries[1] // like a load balancer once the first entry is not ready
		}
		l.SendWithRetry(t.Context(), entry.address, f.entries[1].address, fmt.Sprintf("question %d", i), tokens)
		time.Sleep(sendInterval)
	}
	l.Wait()
	report(t, l)
	if l.Counts().Correct != requests {
		t.Errorf("%d of %d responses are correct", l.Counts().Correct, requests)
	}
	for _, p := range []*process{f.agents[0], f.entries[0]} {
		<-p.done
		if p.err != nil {
			t.Errorf("%s exited with %v", p.id, p.err)
		}
	}
}

// Guards against executing a call twice when its entry is stopped with SIGSTOP, the
// caller resends it through another entry, and the first entry continues.
func TestStoppedEntryExecutesNoCallTwice(t *testing.T) {
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
		first.Go(func() { _ = send(f.entries[0], i) }) // the number of executions is checked below
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
	t.Logf("%d of %d resends rejected with a conflict", refused, invoices)
	for i := range invoices {
		if n := f.portal.ExecutionsByBody(body(i)); n > 1 {
			t.Errorf("invoice %d was executed %d times", i, n)
		}
	}
}

// Guards against items that are lost or completed twice when the entry that
// accepted the job is killed soon after the acknowledgement, along with an agent.
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
