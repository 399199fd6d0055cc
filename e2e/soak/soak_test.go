// Package soak plays random faults against gateways that run as processes of
// their own, and checks what callers and engines see. The faults come from
// outside: signals, relays in front of the store and the engines, and a store
// that misbehaves. Reports between gateways are datagrams and are not relayed.
//
//	go test ./e2e/soak                                  the short run of CI
//	go test ./e2e/soak -soak.first 100 -soak.seeds 50   fifty seeds by hand
//	go test ./e2e/soak -soak.previous /path/to/program  beside an earlier build
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/cli"
	"github.com/magnoliausher/magnoliausher/platform/platformtest"
	"github.com/magnoliausher/magnoliausher/standin/network"
)

var (
	firstSeed = flag.Uint64("soak.first", firstSpreadSeed, "first seed")
	seedCount = flag.Uint64("soak.seeds", 3, "number of seeds")
	parallel  = flag.Int("soak.parallel", 3, "seeds played at once")
	logs      = flag.String("soak.logs", "", "folder that keeps the logs of the gateways")
	previous  = flag.String("soak.previous", "", "program of an earlier build that runs about half of the gateways")
)

// firstSilentSeed is the first seed with outages in which the store is silent.
// Seeds before it keep the faults that they had when they were played.
const firstSilentSeed = 500

// firstSpreadSeed is the first seed with gateways and engines in two data
// centres, whose gateways hear of each other through collectors.
const firstSpreadSeed = 600

// regressions are seeds that failed once, each with its cause.
var regressions = map[uint64]string{
	114: "an item waited for ever at an engine that accepted it and sent nothing",
	532: "a hang-up ended a gateway that was starting",
}

// runEnvironment makes the test binary run the command line instead of the tests.
const runEnvironment = "MAGNOLIAUSHER_SOAK_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runEnvironment) != "" {
		os.Exit(cli.Main(os.Args))
	}
	os.Exit(m.Run())
}

const (
	gatewayCount = 3 // 4 from firstSpreadSeed on, two in each data centre
	engineCount  = 4
	faultTime    = 7 * time.Second
	// recoveryTime is allowed between the end of the faults and full service.
	recoveryTime = 12 * time.Second
	// calmTime is played after the recovery without a fault.
	calmTime = time.Second
)

// Guards against every promise to callers that a mix of faults could break.
func TestSoak(t *testing.T) {
	seeds := make(map[uint64]bool)
	for seed := range regressions {
		seeds[seed] = true
	}
	for i := range *seedCount {
		seeds[*firstSeed+i] = true
	}
	turns := make(chan struct{}, *parallel)
	t.Run("seeds", func(t *testing.T) {
		for seed := range seeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				turns <- struct{}{}
				defer func() { <-turns }()
				play(t, seed)
			})
		}
	})
}

// play runs one seed. Every fourth seed has planned work only, beside which no
// answer may be lost.
func play(t *testing.T, seed uint64) {
	w := newWorld(t, seed, seed%4 == 0)
	w.startCallers()
	end := time.Now().Add(faultTime)
	for time.Now().Before(end) {
		w.fault()
		time.Sleep(time.Duration(50+w.random.IntN(700)) * time.Millisecond)
	}
	w.heal()
	w.checkRecovery()
	w.checkCalm()
	w.stopCallers()
	w.checkJobs()
	w.checkRequests()
}

// fault makes one random change. Faults overlap: most end by themselves later.
func (w *world) fault() {
	g := w.gateways[w.random.IntN(len(w.gateways))]
	e := w.random.IntN(len(w.engines))
	span := time.Duration(200+w.random.IntN(2500)) * time.Millisecond
	planned := []func(){
		func() { w.note("terminate %s", g.name); g.restart(syscall.SIGTERM) },
		func() { w.note("hang up %s", g.name); g.signal(syscall.SIGHUP) },
		func() { w.reconfigure() },
	}
	unplanned := []func(){
		func() { w.note("kill %s", g.name); g.restart(syscall.SIGKILL) },
		func() { w.note("pause %s for %v", g.name, span); g.pause(span) },
		func() { w.note("kill all"); w.killAll() },
		func() {
			faults := randomFaults(w.random)
			w.note("store of %s: %+v for %v", g.name, faults, span)
			w.during(span, func() { g.store.SetFaults(faults) }, func() { g.store.SetFaults(network.Faults{}) })
		},
		func() { w.note("store of %s silent", g.name); g.store.Silence() },
		func() { w.note("store of %s reset", g.name); g.store.Reset() },
		func() {
			faults := randomFaults(w.random)
			w.note("engine %d: %+v for %v", e, faults, span)
			w.during(span, func() { w.relays[e].SetFaults(faults) }, func() { w.relays[e].SetFaults(network.Faults{}) })
		},
		func() { w.note("engine %d silent", e); w.relays[e].Silence() },
		func() { w.note("engine %d reset", e); w.relays[e].Reset() },
		func() {
			fault := platformtest.Fault(1 + w.random.IntN(int(platformtest.Crash)))
			if fault == platformtest.Unprocessable || fault == platformtest.InternalError {
				fault = platformtest.Overloaded // would end items of jobs rightly
			}
			w.note("engine %d: fault %d for %v", e, fault, span)
			w.during(span, func() { w.engines[e].SetFault(fault) }, func() { w.engines[e].SetFault(platformtest.NoFault) })
		},
		func() {
			w.note("store refuses for %v", span)
			w.during(span, func() { w.store.FailWith(503) }, func() { w.store.FailWith(0) })
		},
		func() { n := 1 + w.random.IntN(4); w.note("%d answers lost", n); w.store.LoseResponses(n) },
		func() { n := 1 + w.random.IntN(4); w.note("%d commits dropped", n); w.store.DropCommits(n) },
		func() { w.note("history gone"); w.store.TruncateHistory() },
		func() {
			w.note("engine %d drains for %v", e, span)
			w.during(span, func() { w.register(e, "draining") }, func() { w.register(e, "ready") })
		},
	}
	if w.seed >= firstSilentSeed {
		unplanned = append(unplanned, func() {
			w.note("store silent for %v", span)
			w.during(span, func() { w.store.SetUnresponsive(true) }, func() { w.store.SetUnresponsive(false) })
		})
	}
	if w.plannedOnly || w.random.IntN(4) == 0 {
		planned[w.random.IntN(len(planned))]()
		return
	}
	unplanned[w.random.IntN(len(unplanned))]()
}

func randomFaults(random *rand.Rand) network.Faults {
	switch random.IntN(4) {
	case 0:
		return network.Faults{Delay: time.Duration(20+random.IntN(400)) * time.Millisecond}
	case 1:
		return network.Faults{Refuse: true}
	case 2:
		return network.Faults{LoseTo: true}
	default:
		return network.Faults{LoseFrom: true}
	}
}
