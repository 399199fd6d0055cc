package job

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// gate delays an entry's calls while it is paused, and fails all of them after
// the call at which it is lost.
type gate struct {
	mu    sync.Mutex
	until time.Time
	last  string // op after which the entry is lost, once put has been seen
	put   bool
	cut   bool
}

func (g *gate) pass(op string) fault {
	g.mu.Lock()
	wait := time.Until(g.until)
	cut := g.cut
	g.put = g.put || g.last != "" && op == "put"
	g.cut = cut || g.put && op == g.last
	g.mu.Unlock()
	time.Sleep(wait)
	if cut {
		return faultDown
	}
	return faultNone
}

// scene is a job on three entries that failures act on.
type scene struct {
	t       *testing.T
	fake    *fake
	fleet   *fleet
	rng     *rand.Rand
	mu      sync.Mutex
	gates   []*gate
	entries []*entry
	share   [5]float64 // of each fault
	outage  time.Time  // end of it
	attempt []func(req *rpc.RunRequest) *rpc.RunEvent
	failed  bool // single items may fail
}

func (s *scene) start(rank int) {
	g := &gate{}
	s.gates = append(s.gates, g)
	f := &fake{fakeState: s.fake.fakeState, gate: g.pass}
	s.entries = append(s.entries, startEntry(s.t, f, s.fleet, rank, 3))
}

func (s *scene) meet(string, string) fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.outage) {
		return faultDown
	}
	for kind, share := range s.share {
		if share > 0 && s.rng.Float64() < share {
			return fault(kind)
		}
	}
	return faultNone
}

func (s *scene) answer(ctx context.Context, req *rpc.RunRequest) []*rpc.RunEvent {
	events := completes(time.Second)(ctx, req)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.attempt {
		if e := f(req); e != nil {
			return []*rpc.RunEvent{delta("o", 1), e}
		}
	}
	if req.DeliveredTokens > 0 {
		return []*rpc.RunEvent{end()}
	}
	return events
}

func (s *scene) stopEntry(i int) {
	if s.entries[i] != nil {
		s.entries[i].stop(s.t)
		s.entries[i] = nil
	}
}

func (s *scene) stopAll() {
	for i := range s.entries {
		s.stopEntry(i)
	}
}

// failures act on a scene 9 s after the job's submission, when chunks are in progress.
var failures = []struct {
	name string
	act  func(s *scene)
}{
	{"entry lost", func(s *scene) { s.stopEntry(0) }},
	{"entry paused", func(s *scene) { s.gates[1].set(time.Now().Add(100*time.Second), "") }},
	{"entry lost after object write", func(s *scene) { s.gates[2].set(time.Time{}, "put") }},
	{"entry lost after commit", func(s *scene) { s.gates[2].set(time.Time{}, "commit") }},
	{"entry drains", func(s *scene) {
		if s.entries[0] == nil {
			return
		}
		ctx, cancel := context.WithTimeout(s.t.Context(), 5*time.Second)
		defer cancel()
		_ = s.entries[0].Drain(ctx) // fails in an outage; the claims expire
		s.stopEntry(0)
	}},
	{"all entries lost", func(s *scene) {
		s.stopAll()
		for rank := range 3 {
			s.start(rank)
		}
	}},
	{"outage", func(s *scene) { s.set(func() { s.outage = time.Now().Add(90 * time.Second) }) }},
	{"lost answers", func(s *scene) { s.set(func() { s.share[faultLost] = 0.3 }) }},
	{"late answers", func(s *scene) { s.set(func() { s.share[faultLate] = 0.3 }) }},
	{"throttling", func(s *scene) { s.set(func() { s.share[faultThrottled] = 0.3 }) }},
	{"preemption", func(s *scene) {
		s.onAttempt(func(*rpc.RunRequest) *rpc.RunEvent { return s.sometimes(&rpc.Failed{Preempted: true}) })
	}},
	{"failing attempts", func(s *scene) {
		s.failed = true
		s.onAttempt(func(*rpc.RunRequest) *rpc.RunEvent { return s.sometimes(&rpc.Failed{Reason: "broken"}) })
	}},
	{"item that crashes upstreams", func(s *scene) {
		s.failed = true
		s.onAttempt(func(req *rpc.RunRequest) *rpc.RunEvent {
			if !strings.Contains(string(req.Body), `"i300"`) {
				return nil
			}
			return failed(&rpc.Failed{UpstreamCrashed: true})
		})
	}},
}

func (s *scene) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *scene) onAttempt(f func(*rpc.RunRequest) *rpc.RunEvent) {
	s.set(func() { s.attempt = append(s.attempt, f) })
}

func (s *scene) sometimes(f *rpc.Failed) *rpc.RunEvent {
	if s.rng.Float64() < 0.2 {
		return failed(f)
	}
	return nil
}

func (g *gate) set(until time.Time, last string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.until, g.last = until, last
}

// TestFailurePairs guards against items that are lost, doubled or out of order
// when each failure occurs alone, twice, or together with another one.
func TestFailurePairs(t *testing.T) {
	none := func(*scene) {}
	t.Run("none", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			if runs := runScene(t, 0, none, none); runs != sceneItems {
				t.Errorf("%d runs of %d items without a failure", runs, sceneItems)
			}
		})
	})
	for i, a := range failures {
		for _, b := range failures[i:] {
			t.Run(a.name+" and "+b.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runScene(t, uint64(i), a.act, b.act) })
			})
		}
		t.Run(a.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScene(t, uint64(i), a.act, none) })
		})
	}
}

// sceneItems is the size of a scene's job.
const sceneItems = 500

// runScene returns the number of attempts.
func runScene(t *testing.T, seed uint64, first, second func(*scene)) int {
	const items = sceneItems
	s := &scene{t: t, fake: newFake(), fleet: newFleet(10), rng: rand.New(rand.NewPCG(seed, 7))}
	s.fleet.answer = s.answer
	s.fleet.poll = 100 * time.Millisecond
	s.fake.setFault(s.meet)
	for rank := range 3 {
		s.start(rank)
	}
	store := NewStore(s.fake)
	job := submit(t, store, items, "")
	time.Sleep(9 * time.Second)
	first(s)
	second(s)
	j := await(t, store, job.ID, time.Hour)
	s.stopAll()
	s.fake.setFault(nil)
	if j.Counts.Completed+j.Counts.Failed != items || j.Counts.Failed > 0 && !s.failed {
		t.Errorf("counts %+v", j.Counts)
	}
	last := map[bool]int{}
	seen := make(map[string]bool)
	for _, isErrors := range []bool{false, true} {
		var out bytes.Buffer
		if err := store.WriteResults(t.Context(), j, isErrors, &out); err != nil {
			t.Fatal(err)
		}
		for _, raw := range strings.Split(strings.TrimSpace(out.String()), "\n") {
			var l resultLine
			if raw == "" {
				continue
			}
			if err := json.Unmarshal([]byte(raw), &l); err != nil || seen[l.CustomID] {
				t.Fatalf("line %q: %v", raw, err)
			}
			seen[l.CustomID] = true
			n, err := strconv.Atoi(l.CustomID[1:])
			if err != nil || n < last[isErrors] {
				t.Errorf("item %s is out of order", l.CustomID)
			}
			last[isErrors] = n
		}
	}
	if len(seen) != items {
		t.Errorf("%d items in the output files", len(seen))
	}
	return s.fleet.total()
}
