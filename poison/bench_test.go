package poison

import (
	"fmt"
	"runtime"
	"testing"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"google.golang.org/protobuf/proto"
)

// BenchmarkMerge measures merging suspects that are already known, as received over
// every link but the first, and the memory of the table.
func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{16, 256, 1024, 4096} {
		b.Run(fmt.Sprintf("suspects=%d", n), func(b *testing.B) {
			list := make([]*rpc.Suspect, n)
			for i := range list {
				list[i] = &rpc.Suspect{Fingerprint: uint64(i) * 0x9E3779B97F4A7C15, CrashIds: []uint64{uint64(i / 256)}, ExpiresInMs: 600_000}
			}
			before := heapBytes()
			t := NewTable(Config{})
			t.Merge(list, start)
			b.ReportAllocs()
			for b.Loop() {
				t.Merge(list, start)
			}
			b.ReportMetric((heapBytes()-before)/1024, "KiB")
			b.ReportMetric(float64(proto.Size(&rpc.ControlMessage{Suspects: list})), "wire-B")
			runtime.KeepAlive(t)
		})
	}
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // a second cycle frees what finalizers and pools still hold after the first
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
