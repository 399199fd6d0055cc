package contract

import (
	"fmt"
	"runtime"
	"testing"
)

// benchDocument returns a document with 32 engine services of one group each and
// n callers, each in its own organisation.
func benchDocument(n int) *Document {
	doc := &Document{Version: 1, ChangeID: "change", SheetDate: "2026-03-02"}
	for i := range 32 {
		name := fmt.Sprintf("model-%02d", i)
		doc.Services = append(doc.Services, Service{Name: name, Kind: KindEngine, Model: name, ModelVersion: "1"})
		doc.Groups = append(doc.Groups, UpstreamGroup{Service: name})
	}
	for i := range n {
		doc.Callers = append(doc.Callers, Caller{
			ID: fmt.Sprint("caller-", i), Organisation: fmt.Sprint("organisation-", i), KeySHA256: HashKey(fmt.Sprint(i)),
			RatePerSecond: float64(i % 50), Burst: i % 100, MaxInProgress: i % 20, Classes: []Class{ClassOnline, ClassBatch},
		})
	}
	return doc
}

// BenchmarkDecode measures decoding and indexing a configuration and the memory
// that a process retains for it.
func BenchmarkDecode(b *testing.B) {
	for _, n := range []int{100, 1000, 3800, 10_000} {
		b.Run(fmt.Sprintf("callers=%d", n), func(b *testing.B) {
			body, err := Encode(benchDocument(n))
			if err != nil {
				b.Fatal(err)
			}
			before := heapBytes()
			var index *Index
			b.ReportAllocs()
			for b.Loop() {
				doc, err := Decode(body)
				if err != nil {
					b.Fatal(err)
				}
				index = NewIndex(doc)
			}
			b.ReportMetric((heapBytes()-before)/1024, "KiB")
			b.ReportMetric(float64(len(body)), "body-B")
			runtime.KeepAlive(index)
			runtime.KeepAlive(body)
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
