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

// relayAgent makes entries reach an agent through a relay.
func (f *fleet) relayAgent(p *process, svc string) *network.Relay {
	r, err := network.StartRelay(p.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	f.platform.SetInstance(storage.Instance{ID: p.id, Role: storage.RoleAgent, DataCentre: dataCentre,
		Address: r.Address(), Service: svc, State: storage.InstanceLive})
	return r
}

// invoiceOutcome is what a caller learns of a call that must not be repeated.
type invoiceOutcome struct {
	whole    bool
	executed string // "" when the answer is whole or its connection broke
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
	return invoiceOutcome{whole: resp.StatusCode == http.StatusOK, executed: resp.Header.Get(apierror.ExecutedHeader)}
}

// checkInvoice compares an outcome with the executions at the service.
func (f *fleet) checkInvoice(t *testing.T, body []byte, got invoiceOutcome) {
	t.Helper()
	n := f.portal.ByBody(body)
	if n > 1 {
		t.Errorf("%s ran %d times", body, n)
	}
	if got.whole && n != 1 {
		t.Errorf("%s was answered and ran %d times", body, n)
	}
	if got.executed == string(attempt.ExecutedNo) && n != 0 {
		t.Errorf("%s was refused as not run and ran %d times", body, n)
	}
}

// Guards against streams, calls and control streams that hang on connections
// between entry and agent which went silent while new connections work.
func TestSilentConnectionsToAgents(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 2)
	engineRelay := f.relayAgent(f.agents[0], model)
	portalRelay := f.relayAgent(f.agents[3], "portal")
	f.portal.SetFault(service.FaultSlow, -1, 20*time.Millisecond)
	time.Sleep(3 * time.Second) // the list is read and the links go through the relays
	for _, e := range f.entries {
		f.awaitServing(e)
	}
	l := newLoad()
	var calls sync.WaitGroup
	outcomes := make([]invoiceOutcome, requests)
	body := func(i int) []byte { return []byte(fmt.Sprintf(`{"silent":%d}`, i)) }
	for i := range requests {
		if i == faultAt {
			engineRelay.Silence()
			portalRelay.Silence()
		}
		l.Send(t.Context(), f.entries[i%2].address, fmt.Sprintf("question %d", i), tokens)
		calls.Go(func() { outcomes[i] = sendInvoice(t.Context(), f.entries[i%2], "", body(i)) })
		time.Sleep(sendPause)
	}
	l.Wait()
	calls.Wait()
	report(t, l)
	if l.Counts().Whole != requests {
		t.Errorf("%d of %d answers are whole", l.Counts().Whole, requests)
	}
	count := make(map[invoiceOutcome]int)
	for i, got := range outcomes {
		f.checkInvoice(t, body(i), got)
		count[got]++
	}
	t.Logf("calls: %v", count)
	for _, e := range f.entries { // the links work again
		f.awaitServing(e)
	}
	f.awaitConfigOverLinks(t)
}

// awaitConfigOverLinks accepts a change at the first entry, takes the platform
// away, so that only the links can carry the change, and waits for the others.
func (f *fleet) awaitConfigOverLinks(t *testing.T) {
	t.Helper()
	change := operator.Change{Base: configVersion(t, f.entries[0])}
	change.Put.Services = []contract.Service{{Name: model, Kind: contract.KindEngine, Model: model, DeadlineMS: 30_000}}
	c := &client.Client{BaseURL: "http://" + f.entries[0].address, Key: key}
	answer, err := c.Change(t.Context(), change, "")
	f.platform.SetOutage(true)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range f.entries {
		for configVersion(t, e) < answer.Version {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// Guards against streams that hang or are cut when an agent's connections to its
// engine go silent while new connections work.
func TestSilentConnectionsToEngine(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 2)
	f.sendThrough(t, f.engines[0].SilenceOpen)
}
