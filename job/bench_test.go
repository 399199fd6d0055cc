package job

import (
	"context"
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

var largeJob = flag.Bool("job.large", false, "also measure a job of 200,000 items in TestPlatformCalls")

// writesPerChunk is the write limit of the design: claim, results object and commit.
const writesPerChunk = 3

// TestPlatformCalls measures platform calls per 1,000 items and guards against
// writes above the limit of the design: three per chunk, the creation and end of
// the job, and one renewal transaction per entry and RenewInterval.
func TestPlatformCalls(t *testing.T) {
	for _, size := range []struct{ items, entries, slots int }{{10, 1, 50}, {1000, 2, 50}, {10_000, 2, 500}, {MaxItems, 4, 500}} {
		if size.items == MaxItems && !*largeJob {
			continue
		}
		synctest.Test(t, func(t *testing.T) {
			f := newFakePlatform()
			fl := newFakeAgents(size.slots)
			fl.answer = completeAfter(2 * time.Second)
			s := NewStore(f)
			var entries []*testEntry
			for rank := range size.entries {
				entries = append(entries, startEntry(t, f, fl, rank, size.entries))
			}
			file, err := s.Upload(t.Context(), "org", "caller", "in", strings.NewReader(inputLines(size.items)))
			if err != nil {
				t.Fatal(err)
			}
			f.mu.Lock()
			parts := f.puts
			f.mu.Unlock()
			start := time.Now()
			job, err := s.Submit(t.Context(), submission(file, ""))
			if err != nil {
				t.Fatal(err)
			}
			f.mu.Lock() // runners read while the test does
			reads := f.reads
			f.mu.Unlock()
			j := awaitJob(t, s, job.ID, 5*time.Hour)
			took := time.Since(start)
			polls := int(took / time.Second) // of awaitJob, one read each
			for _, e := range entries {
				e.stop(t)
			}
			chunks := j.Chunks()
			per := func(n int) float64 { return float64(n) * 1000 / float64(size.items) }
			t.Logf("%d items, %d entries, %s: per 1,000 items %.1f commits, %.1f result objects, %.1f part objects, %.1f reads; %d rows and %d KB read in all",
				size.items, size.entries, took.Round(time.Second), per(f.commits), per(f.puts-parts), per(parts),
				per(f.reads-reads-polls), f.rowsRead, f.bytesRead>>10)
			renewals := size.entries * int(took/(RenewInterval*4/5)+2)
			if n := f.commits + f.puts - parts; n > writesPerChunk*chunks+3+renewals*(1+2*size.slots/ChunkItems) {
				t.Errorf("%d writes for %d chunks", n, chunks)
			}
		})
	}
}

// instant responds without delay.
func instant(context.Context, *rpc.RunRequest) []*rpc.RunEvent {
	return []*rpc.RunEvent{delta("ok", 2), end()}
}

// BenchmarkItems measures the execution of items from the first claim to the
// last commit, with agents that respond without delay and a platform without latency.
func BenchmarkItems(b *testing.B) {
	const items = 20_000
	for b.Loop() {
		b.StopTimer()
		f := newFakePlatform()
		fl := newFakeAgents(1000)
		fl.answer = instant
		fl.poll = time.Millisecond
		s := NewStore(f)
		j := submit(b, s, items, "")
		e := startEntry(b, f, fl, 0, 1)
		for !e.holdsChunks() {
			time.Sleep(100 * time.Microsecond)
		}
		b.StartTimer()
		for done := 0; done < j.Chunks(); time.Sleep(5 * time.Millisecond) {
			chunks, _ := s.DoneChunks(b.Context(), j)
			done = len(chunks)
		}
		b.StopTimer()
		e.stop(b)
		b.StartTimer()
	}
	b.ReportMetric(float64(items)*float64(b.N)/b.Elapsed().Seconds(), "items/s")
}

// BenchmarkUpload measures the validation and storage of an input file.
func BenchmarkUpload(b *testing.B) {
	input := inputLines(MaxItems)
	b.SetBytes(int64(len(input)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := NewStore(newFakePlatform()).Upload(b.Context(), "org", "caller", "in", strings.NewReader(input)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMemory measures the heap and stacks of one entry with items in progress.
func BenchmarkMemory(b *testing.B) {
	for _, items := range []int{500, 1000, 3000, 10_000} {
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) { benchmarkMemory(b, items) })
	}
}

func benchmarkMemory(b *testing.B, items int) {
	f := newFakePlatform()
	s := NewStore(f)
	fl := newFakeAgents(items)
	fl.answer = func(context.Context, *rpc.RunRequest) []*rpc.RunEvent { return []*rpc.RunEvent{nil} }
	submit(b, s, items, "")
	before, _ := heap()
	e := startEntry(b, f, fl, 0, 1)
	for fl.total() < items {
		time.Sleep(10 * time.Millisecond)
	}
	after, stacks := heap()
	for b.Loop() {
		runtime.KeepAlive(e)
	}
	b.ReportMetric(float64(after-before)/1024, "KiB")
	b.ReportMetric(float64(stacks)/1024, "KiB-stacks")
	e.stop(b)
}

// heap returns the bytes of heap and stacks together, and of stacks alone.
func heap() (all, stacks uint64) {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse, m.StackInuse
}
