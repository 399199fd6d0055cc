package job

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// randomSnapshot returns jobs of four organisations and three services.
func randomSnapshot(seed uint64, now time.Time) Snapshot {
	r := rand.New(rand.NewPCG(seed, 0))
	s := Snapshot{Services: make(map[string]ServiceView)}
	for i := range 3 {
		s.Services[fmt.Sprint(i)] = ServiceView{Ready: r.IntN(100), Running: r.IntN(50), Reachable: r.IntN(4) > 0}
	}
	for i := range r.IntN(12) {
		created := now.Add(-time.Duration(r.IntN(24*60)) * time.Minute)
		s.Jobs = append(s.Jobs, JobView{
			ID: fmt.Sprint(i), Organisation: fmt.Sprint(r.IntN(4)), Service: fmt.Sprint(r.IntN(3)),
			Created: created, Deadline: created.Add(24 * time.Hour).Add(-time.Duration(r.IntN(60)) * time.Minute),
			Held: r.IntN(4), Exhausted: r.IntN(4) == 0,
		})
	}
	return s
}

// TestNextProperties guards against idle capacity while a job has free chunks,
// against urgent jobs that wait behind others, against an organisation that gets more
// than its share, and against a later deadline that goes first within one.
func TestNextProperties(t *testing.T) {
	now := time.Now()
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("order of claims", prop.ForAll(func(seed uint64) string {
		s := randomSnapshot(seed, now)
		held := make(map[string]int)
		for _, j := range s.Jobs {
			held[j.Organisation] += j.Held
		}
		can := func(j JobView) bool {
			return !j.Exhausted && now.Before(j.Deadline) && NeedsChunk(s.Services[j.Service])
		}
		urgent := func(j JobView) bool { return Urgent(j.Created, j.Deadline, now) }
		i := NextJob(s, now)
		if i >= 0 && !can(s.Jobs[i]) {
			return "chose a job that cannot be claimed"
		}
		for _, j := range s.Jobs {
			if !can(j) {
				continue
			}
			if i < 0 {
				return "idle while a job has free chunks"
			}
			best := s.Jobs[i]
			switch {
			case urgent(best) && !urgent(j):
			case urgent(j) && !urgent(best):
				return "an urgent job waits"
			case urgent(best) && j.Deadline.Before(best.Deadline):
				return "a later urgent deadline goes first"
			case urgent(best):
			case held[j.Organisation] < held[best.Organisation]:
				return "an organisation with fewer chunks waits"
			case j.Organisation == best.Organisation && j.Deadline.Before(best.Deadline):
				return "a later deadline goes first within an organisation"
			}
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// TestFairStarts guards against an organisation with early deadlines that starves
// the items of others.
func TestFairStarts(t *testing.T) {
	withRunner(t, 10, completeAfter(time.Second), func(r runnerTest) {
		var jobs []*Job
		for _, org := range []string{"early", "late"} {
			file, err := r.store.Upload(r.Context(), org, org, "in", inputReader(5000))
			if err != nil {
				r.Fatal(err)
			}
			sub := submission(file, "")
			sub.Window = map[string]time.Duration{"early": 10 * time.Hour, "late": 20 * time.Hour}[org]
			j, err := r.store.Submit(r.Context(), sub)
			if err != nil {
				r.Fatal(err)
			}
			jobs = append(jobs, j)
		}
		time.Sleep(10 * time.Minute)
		var done [2]int
		for i, j := range jobs {
			chunks, _ := r.store.DoneChunks(r.Context(), j)
			done[i] = len(chunks)
		}
		r.Logf("chunks done %v", done)
		if total := done[0] + done[1]; total < 50 || done[1] < total/2-2 || done[0] < total/2-2 {
			r.Error("want equal shares")
		}
	})
}

// TestStartSpread guards against entries that start to scan at the same chunk of a
// job, and against jobs watched by no entry or by every entry.
func TestStartSpread(t *testing.T) {
	for _, c := range []struct{ chunks, entries int }{{2000, 330}, {330, 330}, {50, 330}, {7, 3}, {1, 1}} {
		starts := make(map[int]int)
		watchers := 0
		for rank := range c.entries {
			start := ScanStart("batch_x", c.chunks, rank, c.entries)
			if start < 0 || start >= c.chunks {
				t.Fatalf("%+v: start %d", c, start)
			}
			starts[start]++
			if IsWatcher("batch_x", rank, c.entries) {
				watchers++
			}
		}
		most := (c.entries + c.chunks - 1) / c.chunks
		for start, n := range starts {
			if n > most {
				t.Errorf("%+v: %d entries start at chunk %d, want at most %d", c, n, start, most)
			}
		}
		if watchers != min(c.entries, watchersPerJob) {
			t.Errorf("%+v: %d watchers", c, watchers)
		}
	}
}

// TestIndexCost guards against an index refresh that reads all running jobs.
func TestIndexCost(t *testing.T) {
	ctx := t.Context()
	f := newFakePlatform()
	s := NewStore(f)
	file, err := s.Upload(ctx, "org", "caller", "in", inputReader(1))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 1000 {
		if _, err := s.Submit(ctx, submission(file, fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
	}
	x := NewIndexReader(f)
	measure := func(what string, jobs, maxReads int) {
		reads, rows, bytes := f.reads, f.rowsRead, f.bytesRead
		list, err := x.Refresh(ctx)
		if err != nil || len(list) != jobs {
			t.Fatalf("%s: %d jobs, %v", what, len(list), err)
		}
		t.Logf("%s: %d reads, %d rows, %d bytes", what, f.reads-reads, f.rowsRead-rows, f.bytesRead-bytes)
		if f.reads-reads > maxReads {
			t.Errorf("%s: %d reads, want at most %d", what, f.reads-reads, maxReads)
		}
	}
	measure("first refresh, 1,000 jobs", 1000, 1+indexBuckets)
	measure("refresh without a change", 1000, 1)
	if _, err := s.Cancel(ctx, keyedID("caller", "7")); err != nil {
		t.Fatal(err)
	}
	measure("refresh after one job ended", 999, 2)
}
