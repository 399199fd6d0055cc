package job

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// indexSizes lists the measured numbers of running jobs.
var indexSizes = []int{10, 100, 1000, 10_000}

// fillIndex returns a fake platform whose index lists n running jobs.
func fillIndex(n int) *fakePlatform {
	f := newFakePlatform()
	var lists [indexBuckets][]RunningJob
	created := time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	for i := range n {
		id := fmt.Sprintf("batch_%032x", i)
		b := bucketOf(id)
		lists[b] = append(lists[b], RunningJob{
			ID: id, Organisation: fmt.Sprint("organisation-", i%3800), Service: fmt.Sprintf("model-%02d", i%32),
			Chunks: 126, Created: created, Deadline: created.Add(24 * time.Hour),
		})
	}
	for b, list := range lists {
		if len(list) > 0 {
			f.set(bucketKey(b), mustJSON(list))
			f.set(versionKey(b), []byte("1"))
		}
	}
	return f
}

// set writes a row unconditionally.
func (f *fakePlatform) set(key string, value []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	row := f.rows[key]
	f.version++
	row.Key, row.Version, row.Value = key, f.version, value
	f.rows[key] = row
}

// BenchmarkIndexFirst measures the first read of the index and the reader's memory.
func BenchmarkIndexFirst(b *testing.B) {
	for _, n := range indexSizes {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			f := fillIndex(n)
			before, _ := heap()
			var x *IndexReader
			b.ReportAllocs()
			for b.Loop() {
				x = NewIndexReader(f)
				refresh(b, x, n)
			}
			b.ReportMetric(float64(f.reads)/float64(b.N), "reads/op")
			b.ReportMetric(float64(f.bytesRead)/float64(b.N), "read-B/op")
			after, _ := heap()
			b.ReportMetric(max(0, float64(after)-float64(before))/1024, "KiB")
			runtime.KeepAlive(x)
		})
	}
}

// BenchmarkIndexUnchanged measures the periodic read of an unchanged index.
func BenchmarkIndexUnchanged(b *testing.B) {
	for _, n := range indexSizes {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			f := fillIndex(n)
			x := NewIndexReader(f)
			refresh(b, x, n)
			f.reads, f.bytesRead = 0, 0
			b.ReportAllocs()
			for b.Loop() {
				refresh(b, x, n)
			}
			b.ReportMetric(float64(f.reads)/float64(b.N), "reads/op")
			b.ReportMetric(float64(f.bytesRead)/float64(b.N), "read-B/op")
		})
	}
}

// BenchmarkIndexChanged measures a read after one job was added.
func BenchmarkIndexChanged(b *testing.B) {
	for _, n := range indexSizes {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			f := fillIndex(n)
			x := NewIndexReader(f)
			refresh(b, x, n)
			f.reads, f.bytesRead = 0, 0
			key := versionKey(bucketOf(fmt.Sprintf("batch_%032x", 0)))
			b.ReportAllocs()
			for b.Loop() {
				f.set(key, []byte("1"))
				refresh(b, x, n)
			}
			b.ReportMetric(float64(f.reads)/float64(b.N), "reads/op")
			b.ReportMetric(float64(f.bytesRead)/float64(b.N), "read-B/op")
		})
	}
}

func refresh(b *testing.B, x *IndexReader, n int) {
	list, err := x.Refresh(b.Context())
	if err != nil || len(list) != n {
		b.Fatalf("%d jobs of %d, error %v", len(list), n, err)
	}
}

// BenchmarkSchedule measures one scheduling decision over the running jobs.
func BenchmarkSchedule(b *testing.B) {
	for _, n := range indexSizes {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			now := time.Now()
			s := Snapshot{Services: map[string]ServiceView{"m": {Reachable: true}}}
			for i := range n {
				s.Jobs = append(s.Jobs, JobView{
					ID: fmt.Sprint(i), Organisation: fmt.Sprint(i % 3800), Service: "m",
					Created: now, Deadline: now.Add(time.Duration(i+60) * time.Minute),
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				NextJob(s, now)
			}
		})
	}
}
