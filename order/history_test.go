package order

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
	standin "github.com/magnoliausher/magnoliausher/standin/platform"
)

var (
	historySeeds = flag.Int("history.seeds", 60, "number of seeds of the histories")
	historyFirst = flag.Uint64("history.first", 1, "first seed of the histories")
)

const (
	historyLength = 30 * time.Minute
	historySettle = 3 * time.Hour // without faults
	longestPause  = 3 * time.Minute
	longestLoad   = 4 * time.Minute
	longestDrain  = 40 * time.Second
	longestAnswer = 2 * time.Second // of an engine; the platform takes as long
)

// world is one history: engines, their agents' processes, and faults.
type world struct {
	t        *testing.T
	random   *rand.Rand
	platform *standin.Platform
	holder   *contract.Holder
	places   []Place
	engines  []*fakeEngine
	agents   []*process
	lateSend atomic.Bool

	mu      sync.Mutex // guards the fields below
	loading int
	peak    int
}

// newWorld has that many engines, each with that many agents.
func newWorld(t *testing.T, seed uint64, engines, agentsPerEngine int, checks bool) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), holder: &contract.Holder{},
		platform: standin.New(standin.Config{Seed: seed}),
	}
	for i := range engines {
		e := &fakeEngine{checks: checks, loads: w.loads}
		e.loadTime = func() time.Duration { return time.Second + rand.N(longestLoad) }
		e.state.Model, e.state.Version, e.state.Role = "m", "0", "r0"
		w.engines = append(w.engines, e)
		for range agentsPerEngine {
			w.agents = append(w.agents, &process{engine: e, table: w.platform, lateSend: w.late})
			w.places = append(w.places, Place{AgentID: fmt.Sprintf("s-%d", i), Service: "s", DataCentre: "a"})
		}
	}
	w.configure(0)
	for i := range w.agents {
		w.agents[i].start(t.Context(), w.places[i], w.holder)
	}
	return w
}

func (w *world) loads(by int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loading += by
	w.peak = max(w.peak, w.loading)
}

func (w *world) late() time.Duration {
	if !w.lateSend.Load() || rand.IntN(4) > 0 {
		return 0
	}
	return rand.N(2 * time.Minute)
}

// configure puts a configuration with another version, adapter or role in force.
func (w *world) configure(n int) {
	s := contract.Service{Name: "s", Kind: contract.KindEngine, Model: "m", ModelVersion: fmt.Sprint(n / 2)}
	if n%3 == 1 {
		s.Adapter = "a"
	}
	g := contract.UpstreamGroup{Name: "s", Service: "s", DataCentre: "a", Count: len(w.engines), Role: fmt.Sprint("r", n/5)}
	w.holder.SetIfNewer(&contract.Document{
		Version: w.holder.Version() + 1, Services: []contract.Service{s}, Groups: []contract.UpstreamGroup{g},
	})
}

// disturb runs random events for a time, then lets everything settle.
func (w *world) disturb() {
	outage, changes := false, 0
	w.platform.SetLatency(longestAnswer)
	for begin := time.Now(); time.Since(begin) < historyLength; time.Sleep(time.Second + time.Duration(w.random.Int64N(int64(40*time.Second)))) {
		i := w.random.IntN(len(w.agents))
		switch w.random.IntN(7) {
		case 0:
			w.agents[i].pause()
			time.AfterFunc(time.Duration(w.random.Int64N(int64(longestPause))), w.agents[i].unpause)
		case 1:
			w.agents[i].cancel()
			w.agents[i].unpause()
			<-w.agents[i].ended
			w.agents[i] = &process{engine: w.agents[i].engine, table: w.platform, lateSend: w.late}
			w.agents[i].start(w.t.Context(), w.places[i], w.holder)
		case 2:
			w.engines[w.random.IntN(len(w.engines))].restart()
		case 3:
			outage = !outage
			w.platform.SetOutage(outage)
		case 4:
			w.platform.LoseProbability(w.random.Float64() / 2)
			w.platform.FailProbability(w.random.Float64() / 3)
			w.platform.DelayProbability(w.random.Float64()/3, time.Duration(w.random.Int64N(int64(time.Minute))))
		default:
			changes++
			w.configure(changes)
		}
	}
	w.platform.ClearFaults()
	for _, p := range w.agents {
		p.unpause()
	}
	time.Sleep(historySettle)
}

// finish checks that every engine serves its target, and ends the processes.
func (w *world) finish(seed uint64) {
	for i, e := range w.engines {
		target, _ := TargetOf(w.holder.Current(), w.places[0])
		if due := Due(target, e.serving()); len(due) > 0 {
			w.t.Errorf("seed %d: engine %d is still due %s", seed, i, describe(due))
		}
	}
	for i, p := range w.agents {
		p.cancel()
		<-p.ended
		if p.gates != 0 {
			w.t.Errorf("seed %d: agent %d ended with %d open closures of its engine", seed, i, p.gates)
		}
	}
	w.platform.WaitLate()
	time.Sleep(longestLoad) // timers of loads
}

func forSeeds(t *testing.T, run func(t *testing.T, seed uint64)) {
	for n := range *historySeeds {
		synctest.Test(t, func(t *testing.T) { run(t, *historyFirst+uint64(n)) })
	}
}

// Guards against an order of a holder whose lease another one has taken over,
// against fencing numbers that fall, and against a target that is never reached.
// In half of the seeds orders are held back after the sender's check; only those
// may be stale, and only at engines that ignore fencing numbers.
func TestLeaseHistories(t *testing.T) {
	applied, late, stale := 0, 0, 0
	forSeeds(t, func(t *testing.T, seed uint64) {
		checks := seed%2 == 0
		w := newWorld(t, seed, 1, 2, checks)
		w.lateSend.Store(seed%4 < 2)
		w.disturb()
		w.finish(seed)
		var last arrival
		senders := map[uint64]*process{}
		for i, a := range w.engines[0].arrivals {
			applied++
			if a.late {
				late++
			}
			fell := i > 0 && a.boot == last.boot && a.fencing < last.fencing
			if fell || a.stale {
				stale++
			}
			if fell && (checks || !a.late) {
				t.Errorf("seed %d: order %d has number %d after %d", seed, i, a.fencing, last.fencing)
			}
			if a.stale && !a.late {
				t.Errorf("seed %d: order %d of a lost lease: %+v", seed, i, a)
			}
			if other := senders[a.fencing]; other != nil && other != a.sender {
				t.Errorf("seed %d: two processes sent orders with number %d", seed, a.fencing)
			}
			senders[a.fencing] = a.sender
			if a.boot != last.boot || a.fencing > last.fencing {
				last = a
			}
		}
	})
	t.Logf("%d orders applied, %d held back on their way, %d of those stale", applied, late, stale)
}

// Guards against a change that loads weights at more engines of a service than
// allowed, whatever happens to agents, engines and the platform.
func TestRolloutHistories(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		engines := 2 + int(seed%11)
		w := newWorld(t, seed, engines, 1, seed%2 == 0)
		w.disturb()
		w.finish(seed)
		if w.peak > Limit(engines) {
			t.Errorf("seed %d: %d of %d engines loaded at once, limit %d", seed, w.peak, engines, Limit(engines))
		}
	})
}
