package replay

import (
	"slices"
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/poison"
	"github.com/magnoliausher/magnoliausher/workload"
)

// applyFault applies a fault of the trace and schedules its end.
func (sim *simulation) applyFault(f *workload.Fault) {
	sim.stats.recordFault(sim.now, f)
	switch f.Kind {
	case workload.FaultPlatformDown:
		sim.platform.downUntil = max(sim.platform.downUntil, sim.now+f.For)
	case workload.FaultPlatformSlow:
		sim.platform.slowUntil = max(sim.platform.slowUntil, sim.now+f.For)
	case workload.FaultAnswerLost:
		sim.platform.responsesToLose++
	case workload.FaultInstanceLost:
		for _, e := range sim.entries {
			if e.id == f.Target {
				e.lose(f.For)
			}
		}
	case workload.FaultDataCentreLost:
		for _, e := range sim.entries {
			if e.dc == f.Target {
				e.lose(f.For)
			}
		}
		for _, a := range sim.agents {
			if a.dc == f.Target {
				a.lose(f.For)
			}
		}
	default:
		for _, a := range sim.agents {
			if a.id == f.Target && !a.lost {
				a.applyFault(f)
			}
		}
	}
}

func (a *agent) applyFault(f *workload.Fault) {
	switch f.Kind {
	case workload.FaultUpstreamCrash:
		a.crash(f.For, nil)
	case workload.FaultUpstreamSilent:
		a.silence(f.For)
	case workload.FaultUpstreamLeaving:
		a.leave(f.For)
	}
}

// crash ends the upstream and all its running attempts, which become suspects. cause
// is the poison attempt that crashed it, nil for an injected fault.
func (a *agent) crash(restart time.Duration, cause *simAttempt) {
	sim := a.sim
	if !a.snapshot.Ready {
		return
	}
	list := a.attemptsInProgress()
	a.snapshot.Ready = false
	a.silent = false
	var fingerprints []uint64
	for _, t := range list {
		if t.sequence == nil {
			t.refuse(admission.ReasonUpstreamDown)
			continue
		}
		fingerprints = append(fingerprints, t.fingerprint)
		if t.ended {
			continue
		}
		t.ended = true
		f := failure{reason: "upstream_crashed", crashed: true, delivered: t.produced}
		sim.scheduleAfter(linkDelay, func() { t.observer.onFailed(t, f) })
	}
	if cause != nil {
		sim.stats.crashes[cause.fingerprint]++
	}
	a.suspects.RecordCrash(sim.newID(), fingerprints, sim.wallTime())
	sim.shareSuspects(a)
	a.reset()
	a.report()
	boot := a.boot
	sim.scheduleAfter(restart, func() {
		if a.boot == boot && !a.lost {
			a.snapshot.Ready = true
			a.report()
			a.grantBatchCapacity()
		}
	})
}

// reset discards all attempts and starts a new engine.
func (a *agent) reset() {
	a.resetEngine()
	for _, q := range a.snapshot.Running {
		if q.Class == contract.ClassOnline {
			a.snapshot.Callers.Ended(q.Caller)
		}
	}
	a.attempts = make(map[string]*simAttempt)
	a.snapshot.Running = nil
	a.snapshot.Queued = nil
	a.snapshot.Counts = admission.SequenceCounts{}
	a.grants = nil
	a.snapshot.TokenInterval = 0
	a.snapshot.TimeToFirstToken = 0
	a.intervalSamples = 0
}

// silence stops the upstream's output. Health probes report it as down after
// probeDownDelay; attempts in progress fail after silentAttemptTimeout.
func (a *agent) silence(length time.Duration) {
	if a.silent || !a.snapshot.Ready {
		return
	}
	a.runDueSteps()
	a.silent = true
	boot := a.boot
	a.sim.scheduleAfter(probeDownDelay, func() {
		if a.boot != boot || !a.silent {
			return
		}
		a.snapshot.Ready = false
		for _, q := range slices.Clone(a.snapshot.Queued) {
			a.dequeue(q).refuse(admission.ReasonUpstreamDown)
		}
		a.report()
	})
	a.sim.scheduleAfter(silentAttemptTimeout, func() {
		if a.boot == boot && a.silent {
			a.failSilentAttempts()
		}
	})
	a.sim.scheduleAfter(length, func() {
		if a.boot == boot && a.silent {
			a.endSilence()
		}
	})
}

func (a *agent) failSilentAttempts() {
	for _, t := range a.attemptsInProgress() {
		if t.ended {
			continue
		}
		t.ended = true
		f := failure{reason: "upstream_silent", delivered: t.produced}
		a.sim.scheduleAfter(linkDelay, func() { t.observer.onFailed(t, f) })
	}
	a.reset()
	boot := a.boot
	a.snapshot.Ready = false
	// The fault continues. Its scheduled end belongs to the previous boot and is
	// ignored, so the end is scheduled again.
	a.sim.scheduleAfter(silentAttemptTimeout, func() {
		if a.boot == boot && a.silent && !a.lost {
			a.endSilence()
		}
	})
}

func (a *agent) endSilence() {
	a.silent = false
	a.snapshot.Ready = true
	a.runDueSteps()
	a.plannedStep = -1
	a.scheduleStep()
	a.dispatch()
	a.report()
	a.grantBatchCapacity()
}

// leave makes the upstream finish its running work and refuse new work until its
// replacement is ready.
func (a *agent) leave(length time.Duration) {
	if a.snapshot.Leaving {
		return
	}
	a.snapshot.Leaving = true
	for _, q := range slices.Clone(a.snapshot.Queued) {
		a.dequeue(q).refuse(admission.ReasonLeaving)
	}
	a.report()
	a.sim.scheduleAfter(length, func() {
		a.snapshot.Leaving = false
		a.report()
		a.grantBatchCapacity()
	})
}

// lose ends an agent and its upstream. Entries detect the loss by missing pings after
// lossDetectionDelay.
func (a *agent) lose(length time.Duration) {
	if a.lost {
		return
	}
	a.lost = true
	a.snapshot.Ready = false
	a.silent = false
	list := a.attemptsInProgress()
	a.reset()
	sim := a.sim
	boot := a.boot
	sim.scheduleAfter(lossDetectionDelay, func() {
		for _, t := range list {
			t.fail(failure{reason: "connection_lost"})
		}
		if a.boot != boot || !a.lost {
			return
		}
		for _, e := range sim.entries {
			if e.alive {
				e.upstream(a).Connected = false
			}
		}
	})
	sim.scheduleAfter(length, func() {
		a.lost = false
		a.incarnation++
		a.snapshot.Ready = true
		a.suspects = poison.NewTable(poison.Config{})
		for _, e := range sim.entries {
			if e.alive {
				a.suspects.Merge(e.suspects.Export(sim.wallTime()), sim.wallTime())
			}
		}
		a.demands = make([]demand, len(sim.entries))
		a.report()
		for _, e := range sim.entries {
			e.runner.scheduleDemand()
		}
	})
}

// lose ends an entry. The streams of its callers break, its claims expire, and
// a new instance replaces it later.
func (e *entry) lose(length time.Duration) {
	if !e.alive {
		return
	}
	sim := e.sim
	e.alive = false
	e.incarnation++
	for _, rq := range slices.Clone(e.requests) {
		rq.end(requestFailed)
	}
	for _, h := range e.runner.chunks {
		h.dropped = true
		for _, it := range h.items {
			if it.currentAttempt != nil {
				e.cancelAttempt(it.currentAttempt)
				it.currentAttempt = nil
			}
		}
	}
	for _, a := range sim.agents {
		a.demands[e.index] = demand{}
	}
	sim.scheduleAfter(length, func() {
		e.alive = true
		e.runner = newRunner(e)
		e.connect()
		for _, a := range sim.agents {
			if !a.lost {
				e.suspects.Merge(a.suspects.Export(sim.wallTime()), sim.wallTime())
			}
		}
		for _, a := range sim.agents {
			a.report()
		}
		for _, j := range sim.jobs {
			e.runner.addJob(j)
		}
		e.runner.claimLoop()
	})
}
