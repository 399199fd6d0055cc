package limit

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
)

func benchCallers(n int) []*contract.Caller {
	callers := make([]*contract.Caller, n)
	for i := range callers {
		callers[i] = &contract.Caller{ID: fmt.Sprintf("caller-%d", i), RatePerSecond: 1e9, Burst: 1000, MaxInProgress: 1000}
	}
	return callers
}

// BenchmarkCallers measures admitting and releasing requests of many callers.
func BenchmarkCallers(b *testing.B) {
	for _, n := range []int{100, 1000, 3800, 10_000} {
		b.Run(fmt.Sprintf("callers=%d", n), func(b *testing.B) {
			callers := benchCallers(n)
			c := NewCallerLimiter()
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				i := rand.IntN(n)
				now := time.Now()
				for pb.Next() {
					i = (i + 1) % n
					if c.Admit(callers[i], now).Reason == Allowed {
						c.Release(callers[i].ID)
					}
				}
			})
		})
	}
}

// BenchmarkCallersMemory measures the heap used by callers that each have a
// request in progress.
func BenchmarkCallersMemory(b *testing.B) {
	for _, n := range []int{100, 1000, 3800, 10_000} {
		b.Run(fmt.Sprintf("callers=%d", n), func(b *testing.B) {
			callers := benchCallers(n)
			now := time.Now()
			before := heapBytes()
			var c *CallerLimiter
			for b.Loop() {
				c = NewCallerLimiter()
				for _, caller := range callers {
					c.Admit(caller, now)
				}
			}
			b.ReportMetric((heapBytes()-before)/1024, "KiB")
			runtime.KeepAlive(c)
			runtime.KeepAlive(callers)
		})
	}
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // objects held by finalizers and pools are freed by the second collection
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
