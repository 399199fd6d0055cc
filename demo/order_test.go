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
	newModelVersion      = "2"
	weightBytesPerSecond = 4 * engine.ModelBytes
	// maxConcurrentLoads is a quarter of the service's four engines.
	maxConcurrentLoads = 1
)

// countServing counts the engines that serve the new version and those that load a
// model.
func countServing(f *Fleet) (current, loading int) {
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

// Guards against a rollout of a model version that does not reach every engine,
// that takes all engines of a service out of service at once, or that fails an
// online request.
func TestModelVersionRollsOutUnderLoad(t *testing.T) {
	f, clients := startFleet(t, engine.NewWeightStore(weightBytesPerSecond))
	var addresses []string
	for _, e := range f.Entries {
		addresses = append(addresses, e.Address())
	}
	c := newCaller(addresses, testKey, "assistant")
	done := make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() {
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-ticker.C:
				c.sendChat(t.Context(), prompt("during the change", n), 20)
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
	peakLoading := 0
	for current := 0; current < len(f.Engines); {
		var loading int
		current, loading = countServing(f)
		peakLoading = max(peakLoading, loading)
		select {
		case <-t.Context().Done():
			t.Fatalf("%d of %d engines serve the new version", current, len(f.Engines))
		case <-time.After(10 * time.Millisecond):
		}
	}
	close(done)
	senders.Wait()
	c.load.Wait()
	if peakLoading != maxConcurrentLoads {
		t.Errorf("%d engines loaded at once, want %d", peakLoading, maxConcurrentLoads)
	}
	counts := c.load.Counts()
	if counts.Failed() > 0 || counts.Correct == 0 {
		t.Errorf("%s: %q", counts, c.load.Failures())
	}
	t.Logf("%s, at most %d engines loading at once", counts, peakLoading)
}
