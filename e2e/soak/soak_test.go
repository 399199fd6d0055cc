// Package soak injects random faults into a deployment whose gateways are separate
// processes, and checks the results at callers and engines. The faults are
// external: signals to the gateways, relays in front of the store and the engines,
// and faults of the store itself. Reports between gateways are datagrams, which do
// not pass through relays.
//
//	go test ./e2e/soak                                  the short run in CI
//	go test ./e2e/soak -soak.first 900 -soak.seeds 50   fifty seeds, run manually
//	go test ./e2e/soak -soak.gateways 16 -soak.seeds 4  many processes
//	go test ./e2e/soak -soak.previous /path/to/program  mixed with an earlier build
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/cli"
	"github.com/magnoliausher/magnoliausher/platform/platformtest"
	"github.com/magnoliausher/magnoliausher/standin/network"
)

var (
	firstSeed     = flag.Uint64("soak.first", firstStaleOwnerSeed, "first seed")
	seedCount     = flag.Uint64("soak.seeds", 4, "number of seeds")
	parallel      = flag.Int("soak.parallel", 3, "maximum number of seeds run in parallel")
	gateways      = flag.Int("soak.gateways", 0, "number of gateways; 0 for that of the seed")
	logs          = flag.String("soak.logs", "", "directory for the logs of the gateways")
	previousBuild = flag.String("soak.previous", "", "path of an earlier build, which runs about half of the gateways")
)

// firstUnresponsiveStoreSeed is the first seed whose faults include an unresponsive
// store. Earlier seeds do without it, so that their sequences of faults stay the
// same and past failures can be reproduced.
const firstUnresponsiveStoreSeed = 500

// firstTwoDataCentreSeed is the first seed with gateways and engines in two data
// centres. Their gateways exchange reports through collectors.
const firstTwoDataCentreSeed = 600

// firstDeadlyPartSeed is the first seed in which a part of prompts crashes engines,
// engines say that they leave, and callers use open connections until the process is
// gone.
const firstDeadlyPartSeed = 700

// firstStaleOwnerSeed is the first seed in which gateways are stopped while they are
// frozen, commits take effect late, resumed streams fail, engines send bytes without end,
// and results are read while faults last.
const firstStaleOwnerSeed = 800

// firstRefusedJobSeed is the first seed in which jobs are submitted in bursts and at
// several gateways at a time, gateways lose the results of commits while the store refuses
// calls, and signals come in series.
const firstRefusedJobSeed = 900

// firstVersionsSeed is the first seed with engines of several software versions, releases
// of other versions, and callers that take broken streams up at any gateway.
const firstVersionsSeed = 1100

// maxCommitDelay is the maximum time after which a late commit takes effect.
const maxCommitDelay = 6 * time.Second

// deadlyPart and sharedPart are parts of prompts: the one that crashes engines, and one
// that all prompts share.
const (
	deadlyPart = "dead"
	sharedPart = "aa"
)

// regressions maps seeds that failed in the past to the cause of the failure. Every
// run includes them.
var regressions = map[uint64]string{
	114: "an item waited without limit for an engine that accepted it and sent no data",
	532: "SIGHUP terminated a gateway that was starting",
	919: "a job ran though every submission was refused: a relayed commit conflicted with itself",
}

// runEnvironment is the environment variable that makes the test binary run the
// product's command line instead of the tests.
const runEnvironment = "MAGNOLIAUSHER_SOAK_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runEnvironment) != "" {
		os.Exit(cli.Main(os.Args))
	}
	os.Exit(m.Run())
}

const (
	gatewayCount = 3 // 4 from firstTwoDataCentreSeed on, two per data centre
	engineCount  = 4
	faultTime    = 7 * time.Second
	restartDelay = 700 * time.Millisecond // of an engine that crashed
	// freezeTime is how long a gateway that is stopped meanwhile stands still: others
	// claim its jobs in that time.
	freezeTime = 3500 * time.Millisecond
	// recoveryTime is the maximum time from the end of the faults to full service.
	recoveryTime = 12 * time.Second
	// faultFreeTime is the time without faults after the recovery, in which every
	// request must be served.
	faultFreeTime = time.Second
)

// Guards against any violation of the guarantees to callers under a mix of faults.
func TestSoak(t *testing.T) {
	seeds := make(map[uint64]bool)
	for seed := range regressions {
		seeds[seed] = true
	}
	for i := range *seedCount {
		seeds[*firstSeed+i] = true
	}
	if *firstSeed == firstStaleOwnerSeed {
		seeds[firstRefusedJobSeed+1], seeds[firstRefusedJobSeed+2], seeds[firstVersionsSeed+1] = true, true, true
	}
	running := make(chan struct{}, *parallel)
	t.Run("seeds", func(t *testing.T) {
		for seed := range seeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				running <- struct{}{}
				defer func() { <-running }()
				runSeed(t, seed)
			})
		}
	})
	if seeds[firstRefusedJobSeed+1] && relayedCommits.Load() == 0 {
		t.Error("no commit went through a peer, so that the check of refused jobs had little to check")
	}
	if expected, continued := expectedTakeUps.Load(), continuedTakeUps.Load(); 2*continued < expected {
		t.Errorf("%d of %d streams went on that were taken up at a sound gateway, with engines of their version", continued, expected)
	} else if seeds[firstVersionsSeed+1] && expected == 0 {
		t.Error("no stream was taken up at a sound gateway, with engines of its version")
	}
}

// relayedCommits is the number of commits of all seeds that went through a peer.
var relayedCommits atomic.Int64

// runSeed runs one seed. Every fourth seed has planned operations only, during
// which no response may be lost.
func runSeed(t *testing.T, seed uint64) {
	d := newDeployment(t, seed, seed%4 == 0)
	d.startCallers()
	if seed >= firstDeadlyPartSeed && !d.plannedOnly {
		d.logEvent("prompts crash engines for %v", faultTime)
		d.applyFor(faultTime, func() { d.deadlyPrompts.Add(1) }, func() { d.deadlyPrompts.Add(-1) })
	}
	end := time.Now().Add(faultTime)
	for time.Now().Before(end) {
		d.injectFault()
		time.Sleep(time.Duration(50+d.random.IntN(700)) * time.Millisecond)
	}
	d.awaitFaultsEnd()
	d.checkRecovery()
	d.checkFaultFreeService()
	d.stopCallers()
	d.checkJobs()
	d.checkRefusedJobs()
	d.checkRequests()
	d.checkStreams()
}

// injectFault injects one random fault. Faults overlap: most end in the background
// after a random time.
func (d *deployment) injectFault() {
	g := d.gateways[d.random.IntN(len(d.gateways))]
	e := d.random.IntN(len(d.engines))
	duration := time.Duration(200+d.random.IntN(2500)) * time.Millisecond
	planned := []func(){
		func() { d.logEvent("SIGTERM to %s", g.name); g.restart(syscall.SIGTERM) },
		func() { d.logEvent("SIGHUP to %s", g.name); g.signal(syscall.SIGHUP) },
		func() { d.reconfigure() },
	}
	unplanned := []func(){
		func() { d.logEvent("SIGKILL to %s", g.name); g.restart(syscall.SIGKILL) },
		func() { d.logEvent("pause %s for %v", g.name, duration); g.pause(duration) },
		func() { d.logEvent("SIGKILL to all gateways"); d.killAndRestartGateways() },
		func() {
			faults := randomFaults(d.random)
			d.logEvent("connections of %s to the store: %+v for %v", g.name, faults, duration)
			d.applyFor(duration, func() { g.store.SetFaults(faults) }, func() { g.store.SetFaults(network.Faults{}) })
		},
		func() {
			d.logEvent("connections of %s to the store unresponsive", g.name)
			g.store.BlackholeOpenConnections()
		},
		func() { d.logEvent("connections of %s to the store reset", g.name); g.store.Reset() },
		func() {
			faults := randomFaults(d.random)
			d.logEvent("connections to engine %d: %+v for %v", e, faults, duration)
			d.applyFor(duration, func() { d.relays[e].SetFaults(faults) }, func() { d.relays[e].SetFaults(network.Faults{}) })
		},
		func() { d.logEvent("connections to engine %d unresponsive", e); d.relays[e].BlackholeOpenConnections() },
		func() { d.logEvent("connections to engine %d reset", e); d.relays[e].Reset() },
		func() {
			fault := platformtest.Fault(1 + d.random.IntN(int(platformtest.Crash)))
			if fault == platformtest.Unprocessable || fault == platformtest.InternalError {
				fault = platformtest.Overloaded // the two others make items of jobs fail, as they should
			}
			d.logEvent("engine %d: fault %d for %v", e, fault, duration)
			d.applyFor(duration, func() { d.engines[e].SetFault(fault) }, func() { d.engines[e].SetFault(platformtest.NoFault) })
		},
		func() {
			d.logEvent("store responds with 503 for %v", duration)
			d.applyFor(duration, func() { d.store.FailWith(503) }, func() { d.store.FailWith(0) })
		},
		func() { n := 1 + d.random.IntN(4); d.logEvent("%d responses lost", n); d.store.LoseResponses(n) },
		func() { n := 1 + d.random.IntN(4); d.logEvent("%d commits dropped", n); d.store.DropCommits(n) },
		func() { d.logEvent("history of the store truncated"); d.store.TruncateHistory() },
		func() {
			d.logEvent("engine %d drains for %v", e, duration)
			d.applyFor(duration, func() { d.registerEngine(e, "draining") }, func() { d.registerEngine(e, "ready") })
		},
	}
	if d.seed >= firstUnresponsiveStoreSeed {
		unplanned = append(unplanned, func() {
			d.logEvent("store unresponsive for %v", duration)
			d.applyFor(duration, func() { d.store.SetUnresponsive(true) }, func() { d.store.SetUnresponsive(false) })
		})
	}
	if d.seed >= firstDeadlyPartSeed {
		unplanned = append(unplanned, func() {
			d.logEvent("prompts crash engines for %v", duration)
			d.applyFor(duration, func() { d.deadlyPrompts.Add(1) }, func() { d.deadlyPrompts.Add(-1) })
		}, func() {
			d.logEvent("engine %d says that it leaves and is replaced after %v", e, duration)
			d.applyFor(duration, d.engines[e].SetLeaving, d.engines[e].Crash)
		})
	}
	if d.seed >= firstStaleOwnerSeed {
		unplanned = append(unplanned, func() {
			d.logEvent("SIGTERM to %s while it is frozen", g.name)
			g.stopWhileFrozen(time.Duration(d.random.IntN(int(freezeTime))))
		}, func() {
			n, delay := 1+d.random.IntN(6), time.Second+time.Duration(d.random.IntN(5000))*time.Millisecond
			d.logEvent("%d commits take effect after %v", n, delay)
			d.store.DelayCommits(n, delay)
		}, func() {
			fault := platformtest.EndlessBytes + platformtest.Fault(d.random.IntN(2))
			d.logEvent("engine %d: fault %d for %v", e, fault, duration)
			d.applyFor(duration, func() { d.engines[e].SetFault(fault) }, func() { d.engines[e].SetFault(platformtest.NoFault) })
		}, func() {
			d.logEvent("engines break off, and others fail what is resumed, for %v", duration)
			other := (e + 1) % (len(d.engines) - 1)
			d.applyFor(duration, func() {
				d.engines[e].SetFault(platformtest.TruncatedResponse)
				d.engines[other].SetFault(platformtest.FailedResumption)
			}, func() {
				d.engines[e].SetFault(platformtest.NoFault)
				d.engines[other].SetFault(platformtest.NoFault)
			})
		})
	}
	if d.seed >= firstVersionsSeed && d.random.IntN(2) == 0 {
		d.injectVersionFault(g, e%(len(d.engines)-1))
		return
	}
	if d.seed >= firstRefusedJobSeed {
		planned = append(planned, d.signalInSeries)
		if !d.plannedOnly && d.random.IntN(3) == 0 {
			d.loseCommits(g, duration)
			return
		}
	}
	if d.plannedOnly || d.random.IntN(4) == 0 {
		planned[d.random.IntN(len(planned))]()
		return
	}
	unplanned[d.random.IntN(len(unplanned))]()
}

// signalInSeries reloads and reconfigures all gateways while one of them is restarted.
func (d *deployment) signalInSeries() {
	d.logEvent("SIGHUP to all gateways, a restart and configurations in series")
	restarted := d.random.IntN(len(d.gateways))
	for i, g := range d.gateways {
		g.signal(syscall.SIGHUP)
		d.reconfigure()
		if i == restarted {
			g.restart(syscall.SIGTERM)
		}
		time.Sleep(time.Duration(d.random.IntN(100)) * time.Millisecond)
	}
}

// loseCommits makes a gateway lose answers of the store while the store performs commits
// late or without an answer and refuses calls for spells, so that gateways relay commits
// whose outcome is not known. A signal may come meanwhile.
func (d *deployment) loseCommits(g *gateway, duration time.Duration) {
	random := rand.New(rand.NewPCG(d.seed, d.random.Uint64())) // steps follow in the background
	upTo := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	if random.IntN(2) == 0 {
		d.applyFor(duration, func() { g.store.SetFaults(network.Faults{DropFromTarget: true}) }, func() { g.store.SetFaults(network.Faults{}) })
	}
	order, after := []syscall.Signal{0, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGKILL}[random.IntN(4)], upTo(duration)
	d.logEvent("%s loses commits for %v; signal %d after %v", g.name, duration, order, after)
	d.pending.Go(func() {
		time.Sleep(after)
		switch order {
		case 0:
		case syscall.SIGHUP:
			g.signal(order)
		default:
			g.restart(order)
		}
	})
	steps := []func(){
		g.store.Reset,
		func() { d.store.LoseResponses(1 + random.IntN(4)) },
		func() { d.store.DelayCommits(1+random.IntN(4), upTo(maxCommitDelay/2)) },
		func() { d.store.DropCommits(1 + random.IntN(2)) },
		func() {
			d.applyFor(upTo(time.Second), func() { d.store.RefuseReads(true) }, func() { d.store.RefuseReads(false) })
		},
		func() {
			d.applyFor(upTo(time.Second/2), func() { d.store.FailWith(503) }, func() { d.store.FailWith(0) })
		},
	}
	d.pending.Go(func() {
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(upTo(200 * time.Millisecond)) {
			steps[random.IntN(len(steps))]()
		}
	})
}

func randomFaults(random *rand.Rand) network.Faults {
	switch random.IntN(4) {
	case 0:
		return network.Faults{Delay: time.Duration(20+random.IntN(400)) * time.Millisecond}
	case 1:
		return network.Faults{Refuse: true}
	case 2:
		return network.Faults{DropToTarget: true}
	default:
		return network.Faults{DropFromTarget: true}
	}
}
