package replay

import (
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/contract"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// reportLoop sends load reports until all work has ended.
func (a *agent) reportLoop() {
	if a.sim.allDone() {
		return
	}
	a.report()
	a.sim.scheduleAfter(reportInterval, a.reportLoop)
}

// report sends a load report to all entries.
func (a *agent) report() {
	if a.lost {
		return
	}
	a.updatePrefixes()
	s := &a.snapshot
	load := &rpc.LoadReport{
		Service: a.service, State: a.state(), Slots: uint32(s.Slots),
		AgentTimeMs:  uint64(a.sim.now / time.Millisecond),
		OnlineActive: uint32(s.Counts.Online), BatchActive: uint32(s.Counts.Batch),
		OnlineQueued:       uint32(len(s.Queued)),
		TokenIntervalUs:    uint32(s.TokenInterval / time.Microsecond),
		PromptTokensQueued: uint64(s.Counts.OnlinePromptTokens + s.Counts.BatchPromptTokens),
	}
	prefixes := a.prefixes
	incarnation := a.incarnation
	a.sim.scheduleAfter(linkDelay, func() {
		for _, e := range a.sim.entries {
			e.receiveReport(a, incarnation, load, prefixes)
		}
	})
}

func (a *agent) state() rpc.UpstreamState {
	switch {
	case a.snapshot.Leaving:
		return rpc.UpstreamState_UPSTREAM_STATE_LEAVING
	case a.snapshot.Ready:
		return rpc.UpstreamState_UPSTREAM_STATE_READY
	}
	return rpc.UpstreamState_UPSTREAM_STATE_DOWN
}

// updatePrefixes applies the engine's cache events to the list of cached prefixes.
// After a gap in the sequence it reads the complete list. Sent reports refer to
// the map, so a change replaces the map instead of modifying it.
func (a *agent) updatePrefixes() {
	if a.plain || a.silent {
		return
	}
	a.runDueSteps()
	events, next, complete := a.engineModel.CacheEvents(a.sim.now, a.cacheSeq)
	for i, e := range events {
		if !complete && e.Sequence != a.cacheSeq+uint64(i)+1 {
			events, next, complete = a.engineModel.CacheEvents(a.sim.now, 0)
			break
		}
	}
	a.cacheSeq = next
	if len(events) == 0 && !complete {
		return
	}
	prefixes := make(map[uint64]struct{}, len(a.prefixes)+len(events))
	if !complete {
		for p := range a.prefixes {
			prefixes[p] = struct{}{}
		}
	}
	for _, e := range events {
		if e.Evicted {
			delete(prefixes, e.Prefix)
			continue
		}
		prefixes[e.Prefix] = struct{}{}
	}
	a.prefixes = prefixes
}

// preemptForInterval preempts a batch sequence if the measured token interval exceeds
// the target. It compensates for a step model that predicts too short a step, as
// package agent does.
func (a *agent) preemptForInterval() {
	if a.sim.cfg.Policy == PolicyFIFO || a.intervalSamples < minIntervalSamples {
		return
	}
	if q := admission.PreemptForInterval(&a.snapshot); q != nil {
		a.preempt(q)
	}
}

// grantLoop periodically grants batch capacity, because expiring grants and the
// prefill budget free capacity over time without an event.
func (a *agent) grantLoop() {
	if a.sim.allDone() {
		return
	}
	a.preemptForInterval()
	a.grantBatchCapacity()
	a.sim.scheduleAfter(grantInterval, a.grantLoop)
}

// grantBatchCapacity divides the free batch capacity among the entries with demand.
func (a *agent) grantBatchCapacity() {
	if a.lost || a.onlineOnly || a.sim.cfg.Policy == PolicyFIFO || a.sim.cfg.Policy == PolicyOnlineOnly {
		return
	}
	open := make([]admission.EntryDemand, 0, len(a.demands))
	for i, d := range a.demands {
		if d.items == 0 || !a.sim.entries[i].alive {
			continue
		}
		items := d.items
		for _, g := range a.grants {
			if g.entry == i && g.until > a.sim.now {
				items -= g.items
			}
		}
		if items > 0 {
			open = append(open, admission.EntryDemand{EntryID: a.sim.entries[i].id, Items: items, Due: d.due})
		}
	}
	if len(open) == 0 {
		return
	}
	a.refreshSnapshot()
	capacity := admission.BatchCapacity(&a.snapshot)
	if capacity == 0 {
		return
	}
	a.grantRotation++
	until := a.sim.now + grantValidity
	for _, g := range admission.AllocateGrants(capacity, open, a.grantRotation) {
		e := a.sim.entryByID(g.EntryID)
		a.grants = append(a.grants, grant{entry: e.index, items: g.Items, until: until})
		incarnation := e.incarnation
		a.sim.scheduleAfter(linkDelay, func() {
			if e.incarnation == incarnation {
				e.runner.startGranted(a, g.Items, until)
			}
		})
	}
}

// consumeGrant counts one item of the oldest grant as started.
func (a *agent) consumeGrant() {
	for i := range a.grants {
		if a.grants[i].items > 0 {
			a.grants[i].items--
			a.snapshot.Granted = max(0, a.snapshot.Granted-1)
			return
		}
	}
}

// attemptsInProgress lists the running attempts, oldest first, then the queued ones.
func (a *agent) attemptsInProgress() []*simAttempt {
	list := make([]*simAttempt, 0, len(a.snapshot.Running)+len(a.snapshot.Queued))
	for _, q := range a.snapshot.Running {
		list = append(list, a.attempts[string(q.ID)])
	}
	for _, q := range a.snapshot.Queued {
		list = append(list, a.attempts[string(q.ID)])
	}
	return list
}

// cancelJob cancels the attempts of a job's items.
func (a *agent) cancelJob(j *jobRow) {
	for _, t := range a.attemptsInProgress() {
		if t.class == contract.ClassBatch && t.job == j {
			a.cancelAttempt(t, failure{reason: "job_cancelled"})
		}
	}
}
