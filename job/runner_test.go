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

// rig is a platform, a fleet and one entry in a bubble of virtual time.
type rig struct {
	*testing.T
	f  *fake
	fl *fleet
	s  *Store
	e  *entry
}

type answerer func(context.Context, *rpc.RunRequest) []*rpc.RunEvent

func inRig(t *testing.T, slots int, answer answerer, body func(r rig)) {
	synctest.Test(t, func(t *testing.T) {
		f, fl := newFake(), newFleet(slots)
		fl.answer = answer
		r := rig{t, f, fl, NewStore(f), startEntry(t, f, fl, 0, 1)}
		body(r)
		r.e.stop(t)
	})
}

// TestCancelStopsItems guards against items that run on after a cancel: with a
// notice at once, without one after the next read of the index.
func TestCancelStopsItems(t *testing.T) {
	for _, notice := range []bool{true, false} {
		inRig(t, 10, completes(time.Second), func(r rig) {
			job := submit(r, r.s, 500, "")
			time.Sleep(10 * time.Second)
			if _, err := r.s.Cancel(r.Context(), job.ID); err != nil {
				r.Fatal(err)
			}
			if notice {
				r.e.port.cancelled <- job.ID
				synctest.Wait()
			} else {
				time.Sleep(3 * time.Second)
			}
			started := r.fl.total()
			time.Sleep(time.Minute)
			if now := r.fl.total(); now != started || started == 0 {
				r.Errorf("notice %v: %d items started by the cancel, %d later", notice, started, now)
			}
		})
	}
}

// TestOutage guards against claimed work that stops or is lost while the
// platform is down.
func TestOutage(t *testing.T) {
	inRig(t, 10, completes(time.Second), func(r rig) {
		job := submit(r, r.s, 100, "")
		time.Sleep(7 * time.Second)
		r.f.setFault(func(string, string) fault { return faultDown })
		time.Sleep(5 * time.Minute)
		if n := r.fl.total(); n != 100 {
			r.Errorf("%d items ran in the outage, want all 100 of the claimed chunk", n)
		}
		if st := r.e.Stats(); !st.Outage || st.Chunks != 1 || st.Services[testModel].Done != 100 {
			r.Errorf("stats in the outage: %+v", st)
		}
		r.f.setFault(nil)
		await(r, r.s, job.ID, time.Minute)
		if n := r.fl.total(); n != 100 {
			r.Errorf("%d runs, want no recomputation after the outage", n)
		}
	})
}

// TestMemoryBound guards against claims without a bound, and against items that
// start above the bound while results cannot leave.
func TestMemoryBound(t *testing.T) {
	inRig(t, 2000, func(context.Context, *rpc.RunRequest) []*rpc.RunEvent { return []*rpc.RunEvent{nil} }, func(r rig) {
		r.e.mu.Lock()
		r.e.cfg.MemoryBytes = 200 << 10
		r.e.mu.Unlock()
		submit(r, r.s, 2000, "")
		time.Sleep(time.Minute)
		st := r.e.Stats()
		if perChunk := st.Bytes / int64(st.Chunks); st.Bytes < st.Limit-perChunk || st.Bytes > st.Limit+perChunk {
			r.Errorf("%d bytes in %d chunks, bound %d", st.Bytes, st.Chunks, st.Limit)
		}
		r.e.mu.Lock()
		for _, h := range r.e.held {
			h.items[0].running = false // an item of which the agent was lost
			h.recount()
		}
		r.e.used, r.e.failing = r.e.cfg.MemoryBytes, true
		r.e.mu.Unlock()
		if _, it := r.e.reserve(testModel, time.Now()); it != nil {
			r.Error("starts an item above the bound in an outage")
		}
	})
}

// TestItemRules guards against wrong ends of single items.
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
		{"two crashes", func(int, *rpc.RunRequest) []*rpc.RunEvent {
			return []*rpc.RunEvent{failed(&rpc.Failed{UpstreamCrashed: true})}
		}, 2, codeCrashes},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := 0
			inRig(t, 1, func(_ context.Context, req *rpc.RunRequest) []*rpc.RunEvent {
				n++
				return c.events(n, req)
			}, func(r rig) {
				j := await(r, r.s, submit(r, r.s, 1, "").ID, time.Minute)
				var out bytes.Buffer
				_ = r.s.WriteResults(r.Context(), j, j.Counts.Failed > 0, &out)
				if n != c.runs || !strings.Contains(out.String(), c.want) {
					r.Errorf("%d runs, want %d: %s", n, c.runs, out.String())
				}
			})
		})
	}
}

// TestNonRepeatable guards against a second run of an item that must not be
// repeated, after a failure in doubt and after the loss of its entry.
func TestNonRepeatable(t *testing.T) {
	line := `{"custom_id":"i%","method":"POST","url":"/services/orders/post","body":%}` + "\n"
	var input strings.Builder
	for i := range 40 {
		input.WriteString(strings.ReplaceAll(line, "%", itoa(i)))
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		fl := newFleet(3)
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
		first.stop(t) // without a drain, with items in progress
		second := startEntry(t, f, fl, 0, 1)
		j := await(t, s, job.ID, 10*time.Minute)
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

// TestDrain guards against chunks that stay claimed by a leaving entry and
// against the loss of delivered output.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		fl := newFleet(10)
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
		j := await(t, s, job.ID, 30*time.Second) // no wait for an expiry
		second.stop(t)
		var out bytes.Buffer
		_ = s.WriteResults(t.Context(), j, false, &out)
		if n := strings.Count(out.String(), `"content":"ab"`); n != 10 {
			t.Errorf("%d items resumed, want the 10 in progress", n)
		}
	})
}

// TestRenewal guards against the loss of a live holder's claim while its items
// take longer than a claim's expiry.
func TestRenewal(t *testing.T) {
	inRig(t, 30, completes(200*time.Second), func(r rig) {
		second := startEntry(r, r.f, r.fl, 1, 2)
		await(r, r.s, submit(r, r.s, 200, "").ID, time.Hour)
		second.stop(r)
		if n := r.fl.total(); n != 200 {
			r.Errorf("%d runs of 200 items", n)
		}
	})
}

// TestExpiry guards against jobs that run on after their deadline, and against
// items that have no line in any file.
func TestExpiry(t *testing.T) {
	inRig(t, 10, func(context.Context, *rpc.RunRequest) []*rpc.RunEvent { return []*rpc.RunEvent{nil} }, func(r rig) {
		file, _ := r.s.Upload(r.Context(), "org", "caller", "in", stringsReader(150))
		sub := submission(file, "")
		sub.Window = time.Hour
		job, err := r.s.Submit(r.Context(), sub)
		if err != nil {
			r.Fatal(err)
		}
		time.Sleep(time.Hour)
		j := await(r, r.s, job.ID, time.Minute)
		var out bytes.Buffer
		if err := r.s.WriteResults(r.Context(), j, true, &out); err != nil || j.Status != StatusExpired ||
			strings.Count(out.String(), codeExpired) != 150 {
			r.Errorf("%s, %d bytes, %v", j.Status, out.Len(), err)
		}
	})
}

// TestStaleHolder guards against new items of a claim that may have expired
// while this process was paused, and against idle claims in an outage.
func TestStaleHolder(t *testing.T) {
	inRig(t, 0, nil, func(r rig) {
		submit(r, r.s, 100, "")
		time.Sleep(7 * time.Second)
		ready := func(failing bool) bool {
			r.e.mu.Lock()
			for _, h := range r.e.held {
				h.renewed = time.Now().Add(-ClaimExpiry)
			}
			r.e.failing = failing
			r.e.mu.Unlock()
			h, it, _ := r.e.take(testModel, time.Now())
			if it != nil {
				r.e.release(h, it)
				r.e.items.Done()
			}
			return it != nil
		}
		if ready(false) || !ready(true) {
			r.Error("starts items of a stale claim, or none in an outage")
		}
	})
}
