package job

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// runnerTest is a fake platform, fake agents and one entry in virtual time.
type runnerTest struct {
	*testing.T
	fake   *fakePlatform
	agents *fakeAgents
	store  *Store
	entry  *testEntry
}

type answerer func(context.Context, *rpc.RunRequest) []*rpc.RunEvent

func withRunner(t *testing.T, slots int, answer answerer, body func(r runnerTest)) {
	synctest.Test(t, func(t *testing.T) {
		f, fl := newFakePlatform(), newFakeAgents(slots)
		fl.answer = answer
		r := runnerTest{t, f, fl, NewStore(f), startEntry(t, f, fl, 0, 1)}
		body(r)
		r.entry.stop(t)
	})
}

// TestCancelStopsItems guards against items that start after a cancel. With a
// notification they stop immediately, without one after the next index read.
func TestCancelStopsItems(t *testing.T) {
	for _, notice := range []bool{true, false} {
		withRunner(t, 10, completeAfter(time.Second), func(r runnerTest) {
			job := submit(r, r.store, 500, "")
			time.Sleep(10 * time.Second)
			if _, err := r.store.Cancel(r.Context(), job.ID); err != nil {
				r.Fatal(err)
			}
			if notice {
				r.entry.port.cancelled <- job.ID
				synctest.Wait()
			} else {
				time.Sleep(3 * time.Second)
			}
			started := r.agents.total()
			time.Sleep(time.Minute)
			if now := r.agents.total(); now != started || started == 0 {
				r.Errorf("notice %v: %d items started by the cancel, %d later", notice, started, now)
			}
		})
	}
}

// TestOutage guards against held items that stop or are lost while the platform is
// unavailable.
func TestOutage(t *testing.T) {
	withRunner(t, 10, completeAfter(time.Second), func(r runnerTest) {
		job := submit(r, r.store, 100, "")
		time.Sleep(7 * time.Second)
		r.fake.setFault(func(string, string) fault { return faultUnavailable })
		time.Sleep(5 * time.Minute)
		if n := r.agents.total(); n != 100 {
			r.Errorf("%d items ran in the outage, want all 100 of the claimed chunk", n)
		}
		if st := r.entry.Stats(); !st.Outage || st.Chunks != 1 || st.Services[testModel].Done != 100 {
			r.Errorf("stats in the outage: %+v", st)
		}
		r.fake.setFault(nil)
		awaitJob(r, r.store, job.ID, time.Minute)
		if n := r.agents.total(); n != 100 {
			r.Errorf("%d runs, want no recomputation after the outage", n)
		}
	})
}

// TestMemoryBound guards against claims above the memory limit, and against items
// that start above it while results cannot be committed.
func TestMemoryBound(t *testing.T) {
	withRunner(t, 2000, func(context.Context, *rpc.RunRequest) []*rpc.RunEvent { return []*rpc.RunEvent{nil} }, func(r runnerTest) {
		r.entry.mu.Lock()
		r.entry.cfg.MemoryBytes = 200 << 10
		r.entry.mu.Unlock()
		submit(r, r.store, 2000, "")
		time.Sleep(time.Minute)
		st := r.entry.Stats()
		if perChunk := st.Bytes / int64(st.Chunks); st.Bytes < st.Limit-perChunk || st.Bytes > st.Limit+perChunk {
			r.Errorf("%d bytes in %d chunks, bound %d", st.Bytes, st.Chunks, st.Limit)
		}
		r.entry.mu.Lock()
		for _, h := range r.entry.held {
			h.items[0].running = false // as if its agent was lost
			h.updateReady()
		}
		r.entry.usedBytes, r.entry.outage = r.entry.cfg.MemoryBytes, true
		r.entry.mu.Unlock()
		if _, it := r.entry.reserveItem(testModel, time.Now()); it != nil {
			r.Error("started an item above the memory limit in an outage")
		}
	})
}

// TestItemRules guards against wrong retry decisions and results of single items.
func TestItemRules(t *testing.T) {
	cases := []struct {
		name   string
		events func(n int, req *rpc.RunRequest) []*rpc.RunEvent
		runs   int
		want   string
	}{
		{"preempted five times, resumes", func(n int, req *rpc.RunRequest) []*rpc.RunEvent {
			if n <= 5 {
				return []*rpc.RunEvent{delta("a", 1), failed(&rpc.Failed{Preempted: true})}
			}
			if req.DeliveredTokens != 5 || req.DeliveredText != "aaaaa" {
				return []*rpc.RunEvent{delta("not resumed", 1), end()}
			}
			return []*rpc.RunEvent{delta("b", 1), end()}
		}, 6, `"content":"aaaaab"`},
		{"refusals do not count", func(n int, _ *rpc.RunRequest) []*rpc.RunEvent {
			if n <= 5 {
				return []*rpc.RunEvent{refused()}
			}
			return []*rpc.RunEvent{delta("b", 1), end()}
		}, 6, `"content":"b"`},
		{"three failures", func(int, *rpc.RunRequest) []*rpc.RunEvent {
			return []*rpc.RunEvent{failed(&rpc.Failed{Reason: "broken"})}
		}, 3, codeAttempts},
		{"stream without end", func(int, *rpc.RunRequest) []*rpc.RunEvent {
			return []*rpc.RunEvent{delta("a", 1)}
		}, 3, codeAttempts},
		{"five crashes, resumes", func(n int, req *rpc.RunRequest) []*rpc.RunEvent {
			if n <= 5 {
				return []*rpc.RunEvent{delta("a", 1), failed(&rpc.Failed{UpstreamCrashed: true})}
			}
			if req.Fingerprint != 0 || req.Suspect {
				return []*rpc.RunEvent{delta("blamed", 1), end()}
			}
			return []*rpc.RunEvent{delta("b", 1), end()}
		}, 6, `"content":"aaaaab"`},
		{"crashes between failures", func(n int, _ *rpc.RunRequest) []*rpc.RunEvent {
			return []*rpc.RunEvent{failed(&rpc.Failed{Reason: "broken", UpstreamCrashed: n%2 == 1})}
		}, 6, codeAttempts},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := 0
			withRunner(t, 1, func(_ context.Context, req *rpc.RunRequest) []*rpc.RunEvent {
				n++
				return c.events(n, req)
			}, func(r runnerTest) {
				j := awaitJob(r, r.store, submit(r, r.store, 1, "").ID, time.Minute)
				var out bytes.Buffer
				_ = r.store.WriteResults(r.Context(), j, j.Counts.Failed > 0, &out)
				if n != c.runs || !strings.Contains(out.String(), c.want) {
					r.Errorf("%d runs, want %d: %s", n, c.runs, out.String())
				}
			})
		})
	}
}

// TestNonRepeatable guards against a second run of a non-repeatable item after a
// failure with unknown outcome and after the loss of its entry.
func TestNonRepeatable(t *testing.T) {
	line := `{"custom_id":"i%","method":"POST","url":"/services/orders/post","body":%}` + "\n"
	var input strings.Builder
	for i := range 40 {
		input.WriteString(strings.ReplaceAll(line, "%", itoa(i)))
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFakePlatform()
		fl := newFakeAgents(3)
		fl.answer = func(ctx context.Context, req *rpc.RunRequest) []*rpc.RunEvent {
			if string(req.Body) == "1" {
				return []*rpc.RunEvent{failed(&rpc.Failed{Executed: rpc.Executed_EXECUTED_UNKNOWN})}
			}
			if string(req.Body) == "2" && fl.count("2") == 1 {
				return []*rpc.RunEvent{failed(&rpc.Failed{Executed: rpc.Executed_EXECUTED_NO})}
			}
			time.Sleep(time.Second)
			return []*rpc.RunEvent{{Event: &rpc.RunEvent_Data{Data: []byte(`{}`)}}, end()}
		}
		s := NewStore(f)
		file, err := s.Upload(t.Context(), "org", "caller", "in", strings.NewReader(input.String()))
		if err != nil {
			t.Fatal(err)
		}
		sub := submission(file, "")
		sub.Service = "orders"
		job, err := s.Submit(t.Context(), sub)
		if err != nil {
			t.Fatal(err)
		}
		first := startEntry(t, f, fl, 0, 1)
		time.Sleep(5 * time.Second)
		first.stop(t) // no drain; items are in progress
		second := startEntry(t, f, fl, 0, 1)
		j := awaitJob(t, s, job.ID, 10*time.Minute)
		second.stop(t)
		for body, n := range fl.runs {
			if want := map[string]int{"2": 2}[body]; n != max(want, 1) {
				t.Errorf("item %s ran %d times", body, n)
			}
		}
		if j.Counts.Completed+j.Counts.Failed != 40 || j.Counts.Failed == 0 || j.Counts.Completed == 0 {
			t.Errorf("counts %+v", j.Counts)
		}
		var out bytes.Buffer
		_ = s.WriteResults(t.Context(), j, true, &out)
		if n := strings.Count(out.String(), codeUnknown); n != j.Counts.Failed {
			t.Errorf("%d unknown of %d errors", n, j.Counts.Failed)
		}
	})
}

// TestDrain guards against chunks that stay claimed by a drained entry and against
// the loss of their partial output.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakePlatform()
		fl := newFakeAgents(10)
		drained := false
		fl.answer = func(ctx context.Context, req *rpc.RunRequest) []*rpc.RunEvent {
			if !drained {
				return []*rpc.RunEvent{delta("a", 1), nil}
			}
			return []*rpc.RunEvent{delta("b", 1), end()}
		}
		s := NewStore(f)
		job := submit(t, s, 100, "")
		first := startEntry(t, f, fl, 0, 1)
		time.Sleep(7 * time.Second)
		if err := first.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		first.stop(t)
		if rows, _ := s.AllChunks(t.Context(), job.ID, job.Chunks()); len(rows) != 1 || rows[0].State != ChunkReturned {
			t.Fatalf("%+v", rows)
		}
		drained = true
		second := startEntry(t, f, fl, 0, 1)
		j := awaitJob(t, s, job.ID, 30*time.Second) // less than ClaimExpiry
		second.stop(t)
		var out bytes.Buffer
		_ = s.WriteResults(t.Context(), j, false, &out)
		if n := strings.Count(out.String(), `"content":"ab"`); n != 10 {
			t.Errorf("%d items resumed, want the 10 in progress", n)
		}
	})
}

// TestRenewal guards against the loss of a live holder's claim while its items take
// longer than ClaimExpiry.
func TestRenewal(t *testing.T) {
	withRunner(t, 30, completeAfter(200*time.Second), func(r runnerTest) {
		second := startEntry(r, r.fake, r.agents, 1, 2)
		awaitJob(r, r.store, submit(r, r.store, 200, "").ID, time.Hour)
		second.stop(r)
		if n := r.agents.total(); n != 200 {
			r.Errorf("%d runs of 200 items", n)
		}
	})
}

// TestExpiry guards against jobs that continue after their deadline, and against
// items without a line in any result file.
func TestExpiry(t *testing.T) {
	withRunner(t, 10, func(context.Context, *rpc.RunRequest) []*rpc.RunEvent { return []*rpc.RunEvent{nil} }, func(r runnerTest) {
		file, _ := r.store.Upload(r.Context(), "org", "caller", "in", inputReader(150))
		sub := submission(file, "")
		sub.Window = time.Hour
		job, err := r.store.Submit(r.Context(), sub)
		if err != nil {
			r.Fatal(err)
		}
		time.Sleep(time.Hour)
		j := awaitJob(r, r.store, job.ID, time.Minute)
		var out bytes.Buffer
		if err := r.store.WriteResults(r.Context(), j, true, &out); err != nil || j.Status != StatusExpired ||
			strings.Count(out.String(), codeExpired) != 150 {
			r.Errorf("%s, %d bytes, %v", j.Status, out.Len(), err)
		}
	})
}

// TestStaleHolder guards against items started under a claim that may have expired
// while the process was paused, and against held chunks that stay idle in an outage.
func TestStaleHolder(t *testing.T) {
	withRunner(t, 0, nil, func(r runnerTest) {
		submit(r, r.store, 100, "")
		time.Sleep(7 * time.Second)
		ready := func(failing bool) bool {
			r.entry.mu.Lock()
			for _, h := range r.entry.held {
				h.renewedAt = time.Now().Add(-ClaimExpiry)
			}
			r.entry.outage = failing
			r.entry.mu.Unlock()
			h, it, _ := r.entry.takeItem(testModel, time.Now())
			if it != nil {
				r.entry.releaseItem(h, it)
				r.entry.tasks.Done()
			}
			return it != nil
		}
		if ready(false) || !ready(true) {
			r.Error("started items of a stale claim, or none in an outage")
		}
	})
}
