package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/operator"
	"github.com/magnoliausher/magnoliausher/operator/client"
	"github.com/magnoliausher/magnoliausher/standin/network"
	"github.com/magnoliausher/magnoliausher/standin/service"
	"github.com/magnoliausher/magnoliausher/storage"
)

// startAgentRelay makes the entries connect to an agent through a relay.
func (f *fleet) startAgentRelay(p *process, svc string) *network.Relay {
	r, err := network.StartRelay(p.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	f.platform.SetInstance(storage.Instance{ID: p.id, Role: storage.RoleAgent, DataCentre: dataCentre,
		Address: r.Address(), Service: svc, State: storage.InstanceLive})
	return r
}

// invoiceOutcome is what the caller of a non-repeatable call learns about it.
type invoiceOutcome struct {
	complete bool
	executed string // empty if the response is complete or the connection broke
}

func sendInvoice(ctx context.Context, entry *process, idempotencyKey string, body []byte) invoiceOutcome {
	resp, err := post(ctx, entry.address, "/services/portal/invoices", idempotencyKey, body)
	if err != nil {
		return invoiceOutcome{}
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return invoiceOutcome{}
	}
	return invoiceOutcome{complete: resp.StatusCode == http.StatusOK, executed: resp.Header.Get(apierror.ExecutedHeader)}
}

// checkInvoice compares an outcome with the number of executions at the service.
func (f *fleet) checkInvoice(t *testing.T, body []byte, got invoiceOutcome) {
	t.Helper()
	n := f.portal.ExecutionsByBody(body)
	if n > 1 {
		t.Errorf("%s was executed %d times", body, n)
	}
	if got.complete && n != 1 {
		t.Errorf("%s got a complete response and was executed %d times", body, n)
	}
	if got.executed == string(attempt.ExecutedNo) && n != 0 {
		t.Errorf("%s was rejected as not executed and was executed %d times", body, n)
	}
}

// Guards against streams, calls and control streams that hang when existing
// connections between entries and agents stop passing data while new ones work.
func TestUnresponsiveConnectionsToAgents(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 2)
	engineRelay := f.startAgentRelay(f.agents[0], model)
	portalRelay := f.startAgentRelay(f.agents[3], "portal")
	f.portal.SetFault(service.FaultSlow, -1, 20*time.Millisecond)
	time.Sleep(3 * time.Second) // until the list has been read and the links use the relays
	for _, e := range f.entries {
		f.awaitServing(e)
	}
	l := newLoad()
	var calls sync.WaitGroup
	outcomes := make([]invoiceOutcome, requests)
	body := func(i int) []byte { return []byte(fmt.Sprintf(`{"silent":%d}`, i)) }
	for i := range requests {
		if i == requestsBeforeFault {
			engineRelay.BlackholeOpenConnections()
			portalRelay.BlackholeOpenConnections()
		}
		l.Send(t.Context(), f.entries[i%2].address, fmt.Sprintf("question %d", i), tokens)
		calls.Go(func() { outcomes[i] = sendInvoice(t.Context(), f.entries[i%2], "", body(i)) })
		time.Sleep(sendInterval)
	}
	l.Wait()
	calls.Wait()
	report(t, l)
	if l.Counts().Correct != requests {
		t.Errorf("%d of %d responses are correct", l.Counts().Correct, requests)
	}
	count := make(map[invoiceOutcome]int)
	for i, got := range outcomes {
		f.checkInvoice(t, body(i), got)
		count[got]++
	}
	t.Logf("calls: %v", count)
	for _, e := range f.entries { // checks that the links work again
		f.awaitServing(e)
	}
	f.awaitConfigOverLinks(t)
}

// awaitConfigOverLinks sends a change to the first entry, takes the platform down,
// so that only the links can transfer the change, and waits until all entries have it.
func (f *fleet) awaitConfigOverLinks(t *testing.T) {
	t.Helper()
	change := operator.Change{Base: configVersion(t, f.entries[0])}
	change.Put.Services = []contract.Service{{Name: model, Kind: contract.KindEngine, Model: model, DeadlineMS: 30_000}}
	c := &client.Client{BaseURL: "http://" + f.entries[0].address, Key: key}
	result, err := c.Change(t.Context(), change, "")
	f.platform.SetOutage(true)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range f.entries {
		for configVersion(t, e) < result.Version {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// Guards against streams that hang or are truncated when an agent's connections to
// its engine stop passing data while new ones work.
func TestUnresponsiveConnectionsToEngine(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 2)
	f.sendWithFault(t, f.engines[0].HangOpenConnections)
}
