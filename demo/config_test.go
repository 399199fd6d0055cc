package demo

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/operator"
	"github.com/magnoliausher/magnoliausher/operator/client"
	"github.com/magnoliausher/magnoliausher/standin/engine"
)

const testKey = "test-key"

// startDefaultFleet starts a small fleet whose models load immediately, and returns
// it with a client of each entry.
func startDefaultFleet(t *testing.T) (*Fleet, []*client.Client) {
	t.Helper()
	return startFleet(t, nil)
}

func startFleet(t *testing.T, weights *engine.WeightStore) (*Fleet, []*client.Client) {
	t.Helper()
	doc := WithCaller(&contract.Document{
		SheetDate: "2026-03-02", Revision: 1,
		Services: []contract.Service{
			{Name: "assistant", Kind: contract.KindEngine, Model: "assistant"},
			{Name: "portal", Kind: contract.KindPlain},
		},
		Groups: []contract.UpstreamGroup{
			{Name: "assistant-a", Service: "assistant", DataCentre: "a", Role: "serve", Count: 2},
			{Name: "assistant-b", Service: "assistant", DataCentre: "b", Role: "serve", Count: 2},
			{Name: "portal-a", Service: "portal", DataCentre: "a", Count: 1},
		},
	}, testKey)
	ctx, stop := context.WithCancel(context.Background())
	f, err := Start(ctx, FleetConfig{Document: doc, Entries: 3, Weights: weights, Logger: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		if err := f.Wait(); err != nil {
			t.Error(err)
		}
	})
	if err := f.WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	var clients []*client.Client
	for _, e := range f.Entries {
		clients = append(clients, &client.Client{BaseURL: "http://" + e.Address(), Key: testKey})
	}
	return f, clients
}

// deadlineChange returns a change that sets the deadline of the portal.
func deadlineChange(base uint64, deadline int) operator.Change {
	c := operator.Change{Base: base}
	c.Put.Services = []contract.Service{{Name: "portal", Kind: contract.KindPlain, DeadlineMS: deadline}}
	return c
}

// Guards against a change that stays on the entry that accepted it, or that needs
// the platform to reach the other instances. The platform is down from the commit
// on.
func TestChangePropagatesWithoutPlatform(t *testing.T) {
	f, clients := startDefaultFleet(t)
	for i, c := range clients {
		base := uint64(i) + 1
		outageErr := make(chan error, 1)
		go func() { outageErr <- startOutageAfter(t.Context(), f, base) }()
		response, err := c.Change(t.Context(), deadlineChange(base, 1000+i), "")
		if err != nil || response.Version != base+1 {
			t.Fatalf("entry %d: %+v, %v", i, response, err)
		}
		if err := <-outageErr; err != nil {
			t.Fatal(err)
		}
		if err := f.WaitVersion(t.Context(), base+1); err != nil {
			t.Fatal(err)
		}
		f.Platform.SetOutage(false)
	}
	for status, err := clients[0].Status(t.Context()); ; status, err = clients[0].Status(t.Context()) {
		if err != nil {
			t.Fatal(err)
		}
		if status.Converged(uint64(len(clients)) + 1) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// startOutageAfter starts an outage of the platform once a version newer than base
// is accepted.
func startOutageAfter(ctx context.Context, f *Fleet, base uint64) error {
	store := contract.NewStore(f.Platform)
	for {
		version, err := store.Version(ctx)
		if err != nil {
			return err
		}
		if version > base {
			f.Platform.SetOutage(true)
			return nil
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// Guards against concurrent changes on two entries that both succeed, against a
// rejected change without the difference in its response, and against a fleet that
// ends on another version.
func TestConcurrentChangesOnTwoEntries(t *testing.T) {
	const rounds = 3
	f, clients := startDefaultFleet(t)
	for round := range rounds {
		base := uint64(round) + 1
		var errs [2]error
		var senders sync.WaitGroup
		for i := range errs {
			senders.Go(func() {
				_, errs[i] = clients[i].Change(t.Context(), deadlineChange(base, 1000*(round+1)+i), "")
			})
		}
		senders.Wait()
		loser := errs[0]
		if loser == nil {
			loser = errs[1]
		}
		var conflict *client.Error
		if !errors.As(loser, &conflict) || errs[0] != nil && errs[1] != nil {
			t.Fatalf("round %d: %v; %v", round, errs[0], errs[1])
		}
		if conflict.Status != 409 || conflict.Executed != "no" || len(conflict.Details.Difference) != 1 {
			t.Fatalf("round %d: %+v", round, conflict)
		}
		if err := f.WaitVersion(t.Context(), base+1); err != nil {
			t.Fatal(err)
		}
	}
	if doc, err := contract.NewStore(f.Platform).Load(t.Context()); err != nil || doc.Version != rounds+1 {
		t.Fatalf("%+v, %v", doc, err)
	}
}
