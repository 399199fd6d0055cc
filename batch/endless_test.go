package batch_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/batch"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/memory"
	"github.com/magnoliausher/magnoliausher/platform/platformtest"
)

// Guards against the outputs without end of several engines that together exceed the
// memory of an instance, and against outputs that are too long to be listed, behind
// which the other results of their job wait for good.
func TestEnginesWithEndlessOutputs(t *testing.T) {
	const engines, slots, items = 16, 8, 150
	data := strings.Repeat("x", 8<<10)
	endless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(platformtest.RequestIDHeader)
		w.Header().Set(platformtest.RequestIDHeader, id)
		w.Header().Set(platformtest.SignatureHeader, "seal-"+id)
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; r.Context().Err() == nil; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond) // so that all outputs grow together
		}
	}))
	t.Cleanup(endless.Close)
	store, e := newStore(t), newEngine(t, "e1")
	g := startWithConfig(t, store, "a", 1, noPeers, func(c *batch.Config) { c.Memory = memory.NewBudget(24 << 20) }, e)
	records := []fleet.Record{{Version: 1, Upstream: fleet.Upstream{ID: e.ID, Service: e.Service, Address: e.Address(), Slots: 4}}}
	for i := range engines {
		records = append(records, fleet.Record{Version: uint64(i + 2), Upstream: fleet.Upstream{ID: fmt.Sprint("endless", i), Service: e.Service,
			Address: strings.TrimPrefix(endless.URL, "http://"), Slots: slots}})
	}
	g.holder.Replace(records, 200, time.Now())
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	var peak atomic.Uint64
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak.Store(max(peak.Load(), m.HeapAlloc))
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	if got := submit(t, g, submission("j", items, 1)); got != batch.Accepted {
		t.Fatalf("got %v", got)
	}
	time.Sleep(4 * time.Second)
	t.Logf("%d MB while the outputs grow", (peak.Load()-before.HeapAlloc)>>20)
	g.holder.Replace(records[:1], 300, time.Now()) // the others are taken out
	t.Cleanup(func() { close(stop); <-stopped })
	listed := map[string]bool{}
	for _, r := range awaitResults(t, g, "j", 20*time.Second) {
		listed[r.Item] = true
	}
	if len(listed) != items {
		t.Errorf("%d of %d items listed", len(listed), items)
	}
	grown := (peak.Load() - before.HeapAlloc) >> 20
	if grown > 120 { // the smallest instances have 184 MB
		t.Errorf("%d engines took %d MB", engines, grown)
	}
}
