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
	historySeeds = flag.Int("history.seeds", 60, "number of seeds of the randomized history tests")
	historyFirst = flag.Uint64("history.first", 1, "first seed of the randomized history tests")
)

const (
	faultDuration    = 30 * time.Minute
	recoveryDuration = 3 * time.Hour // time without faults to reach the target
	maxProcessPause  = 3 * time.Minute
	maxLoadTime      = 4 * time.Minute
	maxDrainTime     = 40 * time.Second
	maxCallLatency   = 2 * time.Second // of the engine and of the platform
)

// simulation is one randomized history of engines, their agents' processes, and
// faults.
type simulation struct {
	t          *testing.T
	random     *rand.Rand
	platform   *standin.Platform
	holder     *contract.Holder
	locations  []Location
	engines    []*fakeEngine
	agents     []*process
	delaySends atomic.Bool

	mu      sync.Mutex // guards the fields below
	loading int
	peak    int
}

// newSimulation starts the given number of engines, each with agentsPerEngine
// agents.
func newSimulation(t *testing.T, seed uint64, engines, agentsPerEngine int, checks bool) *simulation {
	w := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), holder: &contract.Holder{},
		platform: standin.New(standin.Config{Seed: seed}),
	}
	for i := range engines {
		e := &fakeEngine{checksFencing: checks, onLoading: w.addLoading}
		e.loadTime = func() time.Duration { return time.Second + rand.N(maxLoadTime) }
		e.state.Model, e.state.Version, e.state.Role = "m", "0", "r0"
		w.engines = append(w.engines, e)
		for range agentsPerEngine {
			w.agents = append(w.agents, &process{engine: e, table: w.platform, sendDelay: w.networkDelay})
			w.locations = append(w.locations, Location{AgentID: fmt.Sprintf("s-%d", i), Service: "s", DataCentre: "a"})
		}
	}
	w.configure(0)
	for i := range w.agents {
		w.agents[i].start(t.Context(), w.locations[i], w.holder)
	}
	return w
}

func (w *simulation) addLoading(by int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loading += by
	w.peak = max(w.peak, w.loading)
}

func (w *simulation) networkDelay() time.Duration {
	if !w.delaySends.Load() || rand.IntN(4) > 0 {
		return 0
	}
	return rand.N(2 * time.Minute)
}

// configure activates a configuration whose version, adapter and role derive from
// n.
func (w *simulation) configure(n int) {
	s := contract.Service{Name: "s", Kind: contract.KindEngine, Model: "m", ModelVersion: fmt.Sprint(n / 2)}
	if n%3 == 1 {
		s.Adapter = "a"
	}
	g := contract.UpstreamGroup{Name: "s", Service: "s", DataCentre: "a", Count: len(w.engines), Role: fmt.Sprint("r", n/5)}
	w.holder.SetIfNewer(&contract.Document{
		Version: w.holder.Version() + 1, Services: []contract.Service{s}, Groups: []contract.UpstreamGroup{g},
	})
}

// injectFaults generates random faults and configuration changes, then clears the
// faults and waits for recovery.
func (w *simulation) injectFaults() {
	outage, changes := false, 0
	w.platform.SetLatency(maxCallLatency)
	for begin := time.Now(); time.Since(begin) < faultDuration; time.Sleep(time.Second + time.Duration(w.random.Int64N(int64(40*time.Second)))) {
		i := w.random.IntN(len(w.agents))
		switch w.random.IntN(7) {
		case 0:
			w.agents[i].pause()
			time.AfterFunc(time.Duration(w.random.Int64N(int64(maxProcessPause))), w.agents[i].unpause)
		case 1:
			w.agents[i].cancel()
			w.agents[i].unpause()
			<-w.agents[i].ended
			w.agents[i] = &process{engine: w.agents[i].engine, table: w.platform, sendDelay: w.networkDelay}
			w.agents[i].start(w.t.Context(), w.locations[i], w.holder)
		case 2:
			w.engines[w.random.IntN(len(w.engines))].restart()
		case 3:
			outage = !outage
			w.platform.SetOutage(outage)
		case 4:
			w.platform.SetResponseLossProbability(w.random.Float64() / 2)
			w.platform.SetFailureProbability(w.random.Float64() / 3)
			w.platform.SetWriteDelayProbability(w.random.Float64()/3, time.Duration(w.random.Int64N(int64(time.Minute))))
		default:
			changes++
			w.configure(changes)
		}
	}
	w.platform.ClearFaults()
	for _, p := range w.agents {
		p.unpause()
	}
	time.Sleep(recoveryDuration)
}

// checkAndStop checks that every engine has reached its target, and stops the
// processes.
func (w *simulation) checkAndStop(seed uint64) {
	for i, e := range w.engines {
		target, _ := TargetOf(w.holder.Current(), w.locations[0])
		if pending := PendingOrders(target, e.currentState()); len(pending) > 0 {
			w.t.Errorf("seed %d: engine %d still has pending orders %s", seed, i, describe(pending))
		}
	}
	for i, p := range w.agents {
		p.cancel()
		<-p.ended
		if p.openDrains != 0 {
			w.t.Errorf("seed %d: agent %d ended with %d drains of its engine not resumed", seed, i, p.openDrains)
		}
	}
	w.platform.WaitDelayedWrites()
	time.Sleep(maxLoadTime) // lets the load timers fire
}

func forSeeds(t *testing.T, run func(t *testing.T, seed uint64)) {
	for n := range *historySeeds {
		synctest.Test(t, func(t *testing.T) { run(t, *historyFirst+uint64(n)) })
	}
}

// Guards against orders of a holder whose lease another holder has acquired,
// against decreasing fencing numbers, and against a target that is never reached.
// In half of the seeds the network delays some orders after the sender's lease
// check. Only delayed orders may be stale. A decreasing fencing number is allowed
// only for a delayed order at an engine that ignores fencing numbers.
func TestLeaseHistories(t *testing.T) {
	applied, late, stale := 0, 0, 0
	forSeeds(t, func(t *testing.T, seed uint64) {
		checks := seed%2 == 0
		w := newSimulation(t, seed, 1, 2, checks)
		w.delaySends.Store(seed%4 < 2)
		w.injectFaults()
		w.checkAndStop(seed)
		var last appliedOrder
		senders := map[uint64]*process{}
		for i, a := range w.engines[0].applied {
			applied++
			if a.delayed {
				late++
			}
			fell := i > 0 && a.boot == last.boot && a.fencing < last.fencing
			if fell || a.stale {
				stale++
			}
			if fell && (checks || !a.delayed) {
				t.Errorf("seed %d: order %d has fencing number %d after %d", seed, i, a.fencing, last.fencing)
			}
			if a.stale && !a.delayed {
				t.Errorf("seed %d: order %d was sent under a lost lease: %+v", seed, i, a)
			}
			if other := senders[a.fencing]; other != nil && other != a.sender {
				t.Errorf("seed %d: two processes sent orders with fencing number %d", seed, a.fencing)
			}
			senders[a.fencing] = a.sender
			if a.boot != last.boot || a.fencing > last.fencing {
				last = a
			}
		}
	})
	t.Logf("%d orders applied, %d delayed in the network, %d stale", applied, late, stale)
}

// Guards against weight loads at more engines of a service than allowed, under
// faults of agents, engines and the platform.
func TestRolloutHistories(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		engines := 2 + int(seed%11)
		w := newSimulation(t, seed, engines, 1, seed%2 == 0)
		w.injectFaults()
		w.checkAndStop(seed)
		if w.peak > MaxConcurrentLoads(engines) {
			t.Errorf("seed %d: %d of %d engines loaded at once, limit %d", seed, w.peak, engines, MaxConcurrentLoads(engines))
		}
	})
}
