package replay

import (
	"slices"
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/poison"
	"github.com/magnoliausher/magnoliausher/workload"
)

// fault applies a fault of the trace and registers its end.
func (w *world) fault(f *workload.Fault) {
	w.stats.faulted(w.now, f)
	switch f.Kind {
	case workload.FaultPlatformDown:
		w.platform.downUntil = max(w.platform.downUntil, w.now+f.For)
	case workload.FaultPlatformSlow:
		w.platform.slowUntil = max(w.platform.slowUntil, w.now+f.For)
	case workload.FaultAnswerLost:
		w.platform.loseAnswer++
	case workload.FaultInstanceLost:
		for _, e := range w.entries {
			if e.id == f.Target {
				e.lose(f.For)
			}
		}
	case workload.FaultDataCentreLost:
		for _, e := range w.entries {
			if e.dc == f.Target {
				e.lose(f.For)
			}
		}
		for _, a := range w.agents {
			if a.dc == f.Target {
				a.lose(f.For)
			}
		}
	default:
		for _, a := range w.agents {
			if a.id == f.Target && !a.lost {
				a.fault(f)
			}
		}
	}
}

func (a *agent) fault(f *workload.Fault) {
	switch f.Kind {
	case workload.FaultUpstreamCrash:
		a.crash(f.For, nil)
	case workload.FaultUpstreamSilent:
		a.silence(f.For)
	case workload.FaultUpstreamLeaving:
		a.leave(f.For)
	}
}

// crash ends the upstream with all its attempts, which become suspects. cause is
// the poison attempt, nil for a fault.
func (a *agent) crash(restart time.Duration, cause *task) {
	w := a.w
	if !a.snap.Ready {
		return
	}
	list := a.running()
	a.snap.Ready = false
	a.silent = false
	var fingerprints []uint64
	for _, t := range list {
		if t.seq == nil {
			t.refuse(admission.ReasonUpstreamDown)
			continue
		}
		fingerprints = append(fingerprints, t.fingerprint)
		if t.over {
			continue
		}
		t.over = true
		f := failure{reason: "upstream_crashed", crashed: true, delivered: t.produced}
		w.after(oneWay, func() { t.sink.failed(t, f) })
	}
	if cause != nil {
		w.stats.crashes[cause.fingerprint]++
	}
	a.suspects.RecordCrash(w.id(), fingerprints, w.wall())
	w.spreadSuspects(a)
	a.clear()
	a.report()
	boot := a.boot
	w.after(restart, func() {
		if a.boot == boot && !a.lost {
			a.snap.Ready = true
			a.report()
			a.grantRoom()
		}
	})
}

// clear forgets all attempts and starts a new engine.
func (a *agent) clear() {
	a.newModel()
	for _, q := range a.snap.Running {
		if q.Class == contract.ClassOnline {
			a.snap.Callers.Ended(q.Caller)
		}
	}
	a.tasks = make(map[string]*task)
	a.snap.Running = nil
	a.snap.Queued = nil
	a.snap.Counts = admission.SequenceCounts{}
	a.grants = nil
	a.snap.TokenInterval = 0
	a.snap.TimeToFirstToken = 0
	a.samples = 0
}

// silence makes the upstream give no output. Probes find it down after downAfter,
// attempts in progress fail after progressTimeout.
func (a *agent) silence(length time.Duration) {
	if a.silent || !a.snap.Ready {
		return
	}
	a.catchUp()
	a.silent = true
	boot := a.boot
	a.w.after(downAfter, func() {
		if a.boot != boot || !a.silent {
			return
		}
		a.snap.Ready = false
		for _, q := range slices.Clone(a.snap.Queued) {
			a.unqueue(q).refuse(admission.ReasonUpstreamDown)
		}
		a.report()
	})
	a.w.after(progressTimeout, func() {
		if a.boot == boot && a.silent {
			a.failSilent()
		}
	})
	a.w.after(length, func() {
		if a.boot == boot && a.silent {
			a.speak()
		}
	})
}

func (a *agent) failSilent() {
	for _, t := range a.running() {
		if t.over {
			continue
		}
		t.over = true
		f := failure{reason: "upstream_silent", delivered: t.produced}
		a.w.after(oneWay, func() { t.sink.failed(t, f) })
	}
	a.clear()
	boot := a.boot
	a.snap.Ready = false
	// The fault goes on; its end was registered for the boot before.
	a.w.after(progressTimeout, func() {
		if a.boot == boot && a.silent && !a.lost {
			a.speak()
		}
	})
}

func (a *agent) speak() {
	a.silent = false
	a.snap.Ready = true
	a.catchUp()
	a.planned = -1
	a.plan()
	a.dispatch()
	a.report()
	a.grantRoom()
}

// leave makes the upstream finish its work and take no more until its
// replacement is ready.
func (a *agent) leave(length time.Duration) {
	if a.snap.Leaving {
		return
	}
	a.snap.Leaving = true
	for _, q := range slices.Clone(a.snap.Queued) {
		a.unqueue(q).refuse(admission.ReasonLeaving)
	}
	a.report()
	a.w.after(length, func() {
		a.snap.Leaving = false
		a.report()
		a.grantRoom()
	})
}

// lose ends an agent with its upstream. Entries notice it by their pings.
func (a *agent) lose(length time.Duration) {
	if a.lost {
		return
	}
	a.lost = true
	a.snap.Ready = false
	a.silent = false
	list := a.running()
	a.clear()
	w := a.w
	boot := a.boot
	w.after(lossNoticed, func() {
		for _, t := range list {
			t.fail(failure{reason: "connection_lost"})
		}
		if a.boot != boot || !a.lost {
			return
		}
		for _, e := range w.entries {
			if e.alive {
				e.view(a).Connected = false
			}
		}
	})
	w.after(length, func() {
		a.lost = false
		a.incarnation++
		a.snap.Ready = true
		a.suspects = poison.NewTable(poison.Config{})
		for _, e := range w.entries {
			if e.alive {
				a.suspects.Merge(e.suspects.Export(w.wall()), w.wall())
			}
		}
		a.demands = make([]demand, len(w.entries))
		a.report()
		for _, e := range w.entries {
			e.batch.announce()
		}
	})
}

// lose ends an entry. The streams of its callers break, its claims lapse, and
// a new instance takes its place later.
func (e *entry) lose(length time.Duration) {
	if !e.alive {
		return
	}
	w := e.w
	e.alive = false
	e.incarnation++
	for _, rq := range slices.Clone(e.requests) {
		rq.end(endFailed)
	}
	for _, h := range e.batch.held {
		h.lost = true
		for _, it := range h.items {
			if it.current != nil {
				e.cancel(it.current)
				it.current = nil
			}
		}
	}
	for _, a := range w.agents {
		a.demands[e.index] = demand{}
	}
	w.after(length, func() {
		e.alive = true
		e.batch = newRunner(e)
		e.connect()
		for _, a := range w.agents {
			if !a.lost {
				e.suspects.Merge(a.suspects.Export(w.wall()), w.wall())
			}
		}
		for _, a := range w.agents {
			a.report()
		}
		for _, j := range w.jobs {
			e.batch.learn(j)
		}
		e.batch.claimLoop()
	})
}
