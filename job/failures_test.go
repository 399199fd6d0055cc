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

// callGate delays an entry's platform calls while it is paused, and fails all calls
// after the one at which the entry is lost.
type callGate struct {
	mu    sync.Mutex
	until time.Time
	last  string // op after which the entry is lost, from the first put on
	put   bool
	lost  bool
}

func (g *callGate) pass(op string) fault {
	g.mu.Lock()
	wait := time.Until(g.until)
	cut := g.lost
	g.put = g.put || g.last != "" && op == "put"
	g.lost = cut || g.put && op == g.last
	g.mu.Unlock()
	time.Sleep(wait)
	if cut {
		return faultUnavailable
	}
	return faultNone
}

// failureScenario is a job on three entries into which failures are injected.
type failureScenario struct {
	t            *testing.T
	fake         *fakePlatform
	fleet        *fakeAgents
	rng          *rand.Rand
	mu           sync.Mutex
	gates        []*callGate
	entries      []*testEntry
	faultShares  [5]float64 // probability of each fault
	outage       time.Time  // end of the outage
	attempt      []func(req *rpc.RunRequest) *rpc.RunEvent
	mayFailItems bool // single items may fail
}

func (s *failureScenario) start(rank int) {
	g := &callGate{}
	s.gates = append(s.gates, g)
	f := &fakePlatform{platformState: s.fake.platformState, gate: g.pass}
	s.entries = append(s.entries, startEntry(s.t, f, s.fleet, rank, 3))
}

func (s *failureScenario) nextFault(string, string) fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.outage) {
		return faultUnavailable
	}
	for kind, share := range s.faultShares {
		if share > 0 && s.rng.Float64() < share {
			return fault(kind)
		}
	}
	return faultNone
}

func (s *failureScenario) answer(ctx context.Context, req *rpc.RunRequest) []*rpc.RunEvent {
	events := completeAfter(time.Second)(ctx, req)
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

// stopEntry stops an entry without draining it, unless it has been stopped before.
func (s *failureScenario) stopEntry(i int) {
	if s.entries[i] != nil {
		s.entries[i].stop(s.t)
		s.entries[i] = nil
	}
}

func (s *failureScenario) stopAll() {
	for i := range s.entries {
		s.stopEntry(i)
	}
}

// failures are injected 9 s after the job's submission, when chunks are in progress.
var failures = []struct {
	name string
	act  func(s *failureScenario)
}{
	{"entry lost", func(s *failureScenario) { s.stopEntry(0) }},
	{"entry paused", func(s *failureScenario) { s.gates[1].set(time.Now().Add(100*time.Second), "") }},
	{"entry lost after object write", func(s *failureScenario) { s.gates[2].set(time.Time{}, "put") }},
	{"entry lost after commit", func(s *failureScenario) { s.gates[2].set(time.Time{}, "commit") }},
	{"entry drains", func(s *failureScenario) {
		if s.entries[0] == nil {
			return
		}
		ctx, cancel := context.WithTimeout(s.t.Context(), 5*time.Second)
		defer cancel()
		_ = s.entries[0].Drain(ctx) // fails in an outage; the claims expire
		s.stopEntry(0)
	}},
	{"all entries lost", func(s *failureScenario) {
		s.stopAll()
		for rank := range 3 {
			s.start(rank)
		}
	}},
	{"outage", func(s *failureScenario) { s.withLock(func() { s.outage = time.Now().Add(90 * time.Second) }) }},
	{"lost answers", func(s *failureScenario) { s.withLock(func() { s.faultShares[faultAnswerLost] = 0.3 }) }},
	{"late answers", func(s *failureScenario) { s.withLock(func() { s.faultShares[faultAppliedLate] = 0.3 }) }},
	{"throttling", func(s *failureScenario) { s.withLock(func() { s.faultShares[faultThrottled] = 0.3 }) }},
	{"preemption", func(s *failureScenario) {
		s.onAttempt(func(*rpc.RunRequest) *rpc.RunEvent { return s.sometimes(&rpc.Failed{Preempted: true}) })
	}},
	{"failing attempts", func(s *failureScenario) {
		s.mayFailItems = true
		s.onAttempt(func(*rpc.RunRequest) *rpc.RunEvent { return s.sometimes(&rpc.Failed{Reason: "broken"}) })
	}},
	{"item under which upstreams crash", func(s *failureScenario) {
		crashes := 0
		s.onAttempt(func(req *rpc.RunRequest) *rpc.RunEvent {
			if crashes == 6 || !strings.Contains(string(req.Body), `"i300"`) {
				return nil
			}
			crashes++
			return failed(&rpc.Failed{UpstreamCrashed: true})
		})
	}},
}

func (s *failureScenario) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *failureScenario) onAttempt(f func(*rpc.RunRequest) *rpc.RunEvent) {
	s.withLock(func() { s.attempt = append(s.attempt, f) })
}

func (s *failureScenario) sometimes(f *rpc.Failed) *rpc.RunEvent {
	if s.rng.Float64() < 0.2 {
		return failed(f)
	}
	return nil
}

func (g *callGate) set(until time.Time, last string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.until, g.last = until, last
}

// Guards against items that are lost, duplicated or out of order when a failure occurs
// alone, twice, or together with another one.
func TestFailureCombinations(t *testing.T) {
	none := func(*failureScenario) {}
	t.Run("none", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			if runs := runScenario(t, 0, none, none); runs != scenarioItems {
				t.Errorf("%d runs of %d items without a failure", runs, scenarioItems)
			}
		})
	})
	for i, a := range failures {
		for _, b := range failures[i:] {
			t.Run(a.name+" and "+b.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runScenario(t, uint64(i), a.act, b.act) })
			})
		}
		t.Run(a.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScenario(t, uint64(i), a.act, none) })
		})
	}
}

// scenarioItems is the number of items of a scenario's job.
const scenarioItems = 500

// runScenario runs a job with two failures, checks its results and returns the
// number of attempts.
func runScenario(t *testing.T, seed uint64, first, second func(*failureScenario)) int {
	const items = scenarioItems
	s := &failureScenario{t: t, fake: newFakePlatform(), fleet: newFakeAgents(10), rng: rand.New(rand.NewPCG(seed, 7))}
	s.fleet.answer = s.answer
	s.fleet.poll = 100 * time.Millisecond
	s.fake.setFault(s.nextFault)
	for rank := range 3 {
		s.start(rank)
	}
	store := NewStore(s.fake)
	job := submit(t, store, items, "")
	time.Sleep(9 * time.Second)
	first(s)
	second(s)
	j := awaitJob(t, store, job.ID, time.Hour)
	s.stopAll()
	s.fake.setFault(nil)
	if j.Counts.Completed+j.Counts.Failed != items || j.Counts.Failed > 0 && !s.mayFailItems {
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
