package demo

import (
	"sync"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/operator"
	"github.com/magnoliausher/magnoliausher/standin/engine"
)

const (
	newModelVersion = "2"
	weightRate      = 4 * engine.ModelBytes // per second
	// loadLimit is a quarter of the service's four engines.
	loadLimit = 1
)

// serving counts the engines that serve the new version, and those that load.
func serving(f *Fleet) (current, loading int) {
	for _, node := range f.Engines {
		state := node.Engine.Serving()
		if state.Loading {
			loading++
		} else if state.Version == newModelVersion {
			current++
		}
	}
	return current, loading
}

// Guards against a new model version that does not reach every engine, that
// takes all engines of a service away at once, or that costs an online answer.
func TestModelVersionRollsOutUnderLoad(t *testing.T) {
	f, clients := startFleet(t, engine.NewWeightStore(weightRate))
	var addresses []string
	for _, e := range f.Entries {
		addresses = append(addresses, e.Address())
	}
	c := newCaller(addresses, testKey, "assistant")
	done := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		tick := time.NewTicker(50 * time.Millisecond)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-tick.C:
				c.start(t.Context(), prompt("during the change", n), 20)
			}
		}
	})
	change := operator.Change{Base: 1}
	change.Put.Services = []contract.Service{
		{Name: "assistant", Kind: contract.KindEngine, Model: "assistant", ModelVersion: newModelVersion},
	}
	if _, err := clients[0].Change(t.Context(), change, ""); err != nil {
		t.Fatal(err)
	}
	mostLoading := 0
	for current := 0; current < len(f.Engines); {
		var loading int
		current, loading = serving(f)
		mostLoading = max(mostLoading, loading)
		select {
		case <-t.Context().Done():
			t.Fatalf("%d of %d engines serve the new version", current, len(f.Engines))
		case <-time.After(10 * time.Millisecond):
		}
	}
	close(done)
	sending.Wait()
	c.load.Wait()
	if mostLoading != loadLimit {
		t.Errorf("%d engines loaded at once, want %d", mostLoading, loadLimit)
	}
	counts := c.load.Counts()
	if counts.Failed() > 0 || counts.Whole == 0 {
		t.Errorf("%s: %q", counts, c.load.Failures())
	}
	t.Logf("%s, at most %d engines loading at once", counts, mostLoading)
}
