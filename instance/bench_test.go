package instance

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/storage"
)

// benchFleet returns n instances with the ratio of entries to agents and the 32
// models of the target size.
func benchFleet(n int) (entries, agents []storage.Instance) {
	count := max(1, n*330/3030)
	entries, agents = makeInstances("entry", count, 1), makeInstances("agent", n-count, 32)
	for i := range entries {
		complete(&entries[i], storage.RoleEntry, i)
	}
	for i := range agents {
		complete(&agents[i], storage.RoleAgent, i)
	}
	return entries, agents
}

func complete(in *storage.Instance, role storage.Role, i int) {
	in.Role, in.State = role, storage.InstanceLive
	in.Address = fmt.Sprintf("10.%d.%d.20:9443", i/250, i%250)
}

// BenchmarkApplyList measures applying a changed platform list and reading the
// members afterwards, the memory of the table, and the size of the list in JSON.
func BenchmarkApplyList(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			entries, agents := benchFleet(n)
			list := append(append([]storage.Instance{}, entries...), agents...)
			before := heapBytes()
			t := NewTable(Config{})
			revision := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				revision++
				now := time.Now()
				t.ApplyList(list, revision, now)
				t.Members(storage.RoleEntry, now)
				t.Members(storage.RoleAgent, now)
			}
			b.ReportMetric((heapBytes()-before)/1024, "KiB")
			body, err := json.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(body)), "list-B")
			runtime.KeepAlive(t)
			runtime.KeepAlive(list)
		})
	}
}

// BenchmarkSubset measures computing the subset of one entry without a cache.
func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			entries, agents := benchFleet(n)
			b.ReportAllocs()
			for b.Loop() {
				Subset(entries, agents, entries[0].ID, 3)
			}
		})
	}
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // one cycle does not free objects held by finalizers and pools
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
