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

// leavingBound is the time after which a leaving upstream gets nothing new.
const leavingBound = 3 * time.Second

// loadUntil sends requests to all entries in turn.
func (f *fleet) loadUntil(t *testing.T, l *loadgen.Load, end time.Time) {
	t.Helper()
	for i := 0; time.Now().Before(end); i++ {
		l.Send(t.Context(), f.entries[i%len(f.entries)].address, fmt.Sprintf("question %d", i), tokens)
		time.Sleep(sendPause)
	}
}

// Guards against new work at an upstream that the platform's list has shown as
// leaving for 3 s. Its agent never hears of it.
func TestListedAsLeavingGetsNothingNew(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 2)
	l := newLoad()
	f.loadUntil(t, l, time.Now().Add(time.Second))
	f.platform.SetInstance(storage.Instance{ID: f.agents[0].id, Role: storage.RoleAgent, DataCentre: dataCentre,
		Address: f.agents[0].address, Service: model, State: storage.InstanceLeaving})
	f.loadUntil(t, l, time.Now().Add(leavingBound))
	before := f.engines[0].Submitted()
	f.loadUntil(t, l, time.Now().Add(3*time.Second))
	l.Wait()
	report(t, l)
	if n := f.engines[0].Submitted() - before; n != 0 {
		t.Errorf("%d requests began at the engine after the bound", n)
	}
	if before == 0 || l.Counts().Whole != l.Counts().Sent {
		t.Errorf("%d requests at the engine before; %d of %d answers are whole", before, l.Counts().Whole, l.Counts().Sent)
	}
}

// sendUntilBusy sends streams until an engine has one in progress. On a busy
// machine an entry may reach its agent later than the others.
func (f *fleet) sendUntilBusy(t *testing.T, l *loadgen.Load, engine, tokens int) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for i := 0; f.engines[engine].InProgress() == 0; i++ {
		if time.Now().After(deadline) {
			t.Fatal("nothing in progress at the engine")
		}
		l.Send(t.Context(), f.entries[i%2].address, fmt.Sprintf("more %d", i), tokens)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond) // the others are in progress as well
}

// Guards against new work at an upstream whose agent was told to end 3 s ago,
// while long streams keep the agent running.
func TestTerminatedAgentGetsNothingNew(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 2)
	long := newLoad()
	for i := range 30 {
		long.Send(t.Context(), f.entries[i%2].address, fmt.Sprintf("long %d", i), 400)
	}
	f.sendUntilBusy(t, long, 0, 400)
	f.agents[0].signal(t, syscall.SIGTERM)
	l := newLoad()
	f.loadUntil(t, l, time.Now().Add(leavingBound))
	before := f.engines[0].Submitted()
	f.loadUntil(t, l, time.Now().Add(3*time.Second))
	l.Wait()
	long.Wait()
	report(t, l)
	report(t, long)
	if n := f.engines[0].Submitted() - before; n != 0 {
		t.Errorf("%d requests began at the engine after the bound", n)
	}
	if before == 0 || l.Counts().Whole != l.Counts().Sent || long.Counts().Whole != long.Counts().Sent {
		t.Errorf("%d requests at the engine before; %d of %d and %d of %d answers are whole",
			before, l.Counts().Whole, l.Counts().Sent, long.Counts().Whole, long.Counts().Sent)
	}
	<-f.agents[0].done
}

// Guards against lost answers when an engine crashes while its agent drains.
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
	if l.Counts().Whole != l.Counts().Sent {
		t.Errorf("%d of %d answers are whole", l.Counts().Whole, l.Counts().Sent)
	}
	<-f.agents[0].done
	if err := f.agents[0].err; err != nil {
		t.Errorf("the agent ended with %v", err)
	}
}

// Guards against a call that runs twice, or whose outcome is told wrongly, when
// its agent is killed and started again under the same address.
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
		time.Sleep(sendPause)
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

// restartAgent starts an ended agent with its settings and its address.
func (f *fleet) restartAgent(p *process) *process {
	f.t.Helper()
	settings := strings.Replace(p.settings, "listen=127.0.0.1:0", "listen="+p.address, 1)
	return f.start(p.id, "agent", settings)
}
