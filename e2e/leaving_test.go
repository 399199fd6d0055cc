package e2e

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/loadgen"
	"github.com/magnoliausher/magnoliausher/storage"
)

// maxLeavingDelay is the time after which a leaving upstream must receive no new
// requests.
const maxLeavingDelay = 3 * time.Second

// sendUntil sends requests to all entries in turn until the end time.
func (f *fleet) sendUntil(t *testing.T, l *loadgen.Generator, end time.Time) {
	t.Helper()
	for i := 0; time.Now().Before(end); i++ {
		l.Send(t.Context(), f.entries[i%len(f.entries)].address, fmt.Sprintf("question %d", i), tokens)
		time.Sleep(sendInterval)
	}
}

// Guards against new requests to an upstream that the platform's list has shown as
// leaving for 3 s. The agent itself is not told.
func TestListedAsLeavingGetsNothingNew(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 2)
	l := newLoad()
	f.sendUntilBusy(t, l, 0, tokens) // an entry may link to the agent late; without a request nothing would be tested
	f.sendUntil(t, l, time.Now().Add(time.Second))
	f.platform.SetInstance(storage.Instance{ID: f.agents[0].id, Role: storage.RoleAgent, DataCentre: dataCentre,
		Address: f.agents[0].address, Service: model, State: storage.InstanceLeaving})
	f.sendUntil(t, l, time.Now().Add(maxLeavingDelay))
	before := f.engines[0].Submitted()
	f.sendUntil(t, l, time.Now().Add(3*time.Second))
	l.Wait()
	report(t, l)
	if n := f.engines[0].Submitted() - before; n != 0 {
		t.Errorf("%d requests started at the engine after the maximum delay", n)
	}
	if before == 0 || l.Counts().Correct != l.Counts().Sent {
		t.Errorf("%d requests at the engine before; %d of %d responses are correct", before, l.Counts().Correct, l.Counts().Sent)
	}
}

// sendUntilBusy sends streams until the engine has one in progress. On a busy
// machine an entry may connect to its agent later than to the others.
func (f *fleet) sendUntilBusy(t *testing.T, l *loadgen.Generator, engine, tokens int) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for i := 0; f.engines[engine].InProgress() == 0; i++ {
		if time.Now().After(deadline) {
			t.Fatal("no request in progress at the engine")
		}
		l.Send(t.Context(), f.entries[i%2].address, fmt.Sprintf("more %d", i), tokens)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond) // lets the other streams start as well
}

// Guards against new requests to an upstream whose agent received SIGTERM 3 s ago
// and is kept running by long streams.
func TestTerminatedAgentGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 2)
	long := newLoad()
	for i := range 30 {
		long.Send(t.Context(), f.entries[i%2].address, fmt.Sprintf("long %d", i), 400)
	}
	f.sendUntilBusy(t, long, 0, 400)
	f.agents[0].signal(t, syscall.SIGTERM)
	l := newLoad()
	f.sendUntil(t, l, time.Now().Add(maxLeavingDelay))
	before := f.engines[0].Submitted()
	f.sendUntil(t, l, time.Now().Add(3*time.Second))
	l.Wait()
	long.Wait()
	report(t, l)
	report(t, long)
	if n := f.engines[0].Submitted() - before; n != 0 {
		t.Errorf("%d requests started at the engine after the maximum delay", n)
	}
	if before == 0 || l.Counts().Correct != l.Counts().Sent || long.Counts().Correct != long.Counts().Sent {
		t.Errorf("%d requests at the engine before; %d of %d and %d of %d responses are complete",
			before, l.Counts().Correct, l.Counts().Sent, long.Counts().Correct, long.Counts().Sent)
	}
	<-f.agents[0].done
}

// Guards against lost responses when an engine crashes while its agent drains.
func TestEngineCrashDuringDrain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 2)
	l := newLoad()
	for i := range 60 {
		l.Send(t.Context(), f.entries[i%2].address, fmt.Sprintf("long %d", i), 100)
	}
	f.sendUntilBusy(t, l, 0, 100)
	f.agents[0].signal(t, syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	f.engines[0].Crash(restartDelay)
	l.Wait()
	report(t, l)
	if l.Counts().Correct != l.Counts().Sent {
		t.Errorf("%d of %d responses are correct", l.Counts().Correct, l.Counts().Sent)
	}
	<-f.agents[0].done
	if err := f.agents[0].err; err != nil {
		t.Errorf("the agent exited with %v", err)
	}
}

// Guards against executing a call twice, or reporting a wrong outcome, when its
// agent is killed and restarted with the same address.
func TestAgentRestartedUnderSameAddress(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 2)
	portal := f.agents[1]
	body := func(i int) []byte { return []byte(fmt.Sprintf(`{"restarted":%d}`, i)) }
	outcomes := make([]invoiceOutcome, 600)
	var calls sync.WaitGroup
	for i := range outcomes {
		if i == 100 || i == 350 {
			portal.signal(t, syscall.SIGKILL)
			<-portal.done
			portal = f.restartAgent(portal)
		}
		idempotencyKey := ""
		if i%2 == 0 {
			idempotencyKey = fmt.Sprintf("restarted-%d", i)
		}
		calls.Go(func() { outcomes[i] = sendInvoice(t.Context(), f.entries[i/2%2], idempotencyKey, body(i)) })
		time.Sleep(sendInterval)
	}
	calls.Wait()
	count := make(map[invoiceOutcome]int)
	for i, got := range outcomes {
		f.checkInvoice(t, body(i), got)
		count[got]++
	}
	t.Logf("calls: %v", count)
	for _, e := range f.entries {
		f.awaitServing(e)
	}
}

// restartAgent starts an agent that has exited, with its settings and address.
func (f *fleet) restartAgent(p *process) *process {
	f.t.Helper()
	settings := strings.Replace(p.settings, "listen=127.0.0.1:0", "listen="+p.address, 1)
	return f.start(p.id, "agent", settings)
}
