package replay

import (
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/contract"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// reportLoop sends load reports until all work has ended.
func (a *agent) reportLoop() {
	if a.w.done() {
		return
	}
	a.report()
	a.w.after(reportInterval, a.reportLoop)
}

// report sends the load to all entries.
func (a *agent) report() {
	if a.lost {
		return
	}
	a.readCache()
	s := &a.snap
	load := &rpc.LoadReport{
		Service: a.service, State: a.state(), Slots: uint32(s.Slots),
		AgentTimeMs:  uint64(a.w.now / time.Millisecond),
		OnlineActive: uint32(s.Counts.Online), BatchActive: uint32(s.Counts.Batch),
		OnlineQueued:       uint32(len(s.Queued)),
		TokenIntervalUs:    uint32(s.TokenInterval / time.Microsecond),
		PromptTokensQueued: uint64(s.Counts.OnlinePromptTokens + s.Counts.BatchPromptTokens),
	}
	prefixes := a.prefixes
	incarnation := a.incarnation
	a.w.after(oneWay, func() {
		for _, e := range a.w.entries {
			e.heard(a, incarnation, load, prefixes)
		}
	})
}

func (a *agent) state() rpc.UpstreamState {
	switch {
	case a.snap.Leaving:
		return rpc.UpstreamState_UPSTREAM_STATE_LEAVING
	case a.snap.Ready:
		return rpc.UpstreamState_UPSTREAM_STATE_READY
	}
	return rpc.UpstreamState_UPSTREAM_STATE_DOWN
}

// readCache takes the engine's cache events. After a gap it reads the complete
// list. Reports keep the map, so a change makes a new one.
func (a *agent) readCache() {
	if a.plain || a.silent {
		return
	}
	a.catchUp()
	events, next, complete := a.model.CacheEvents(a.w.now, a.cacheSeq)
	for i, e := range events {
		if !complete && e.Sequence != a.cacheSeq+uint64(i)+1 {
			events, next, complete = a.model.CacheEvents(a.w.now, 0)
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

// relieve corrects a model that predicts too little, as package agent does.
func (a *agent) relieve() {
	if a.w.cfg.Policy == FIFO || a.samples < relieveSamples {
		return
	}
	if q := admission.PreemptForInterval(&a.snap); q != nil {
		a.preempt(q)
	}
}

// grantLoop looks for room while entries have demand, because lapsed grants and
// the prompt budget free room with time.
func (a *agent) grantLoop() {
	if a.w.done() {
		return
	}
	a.relieve()
	a.grantRoom()
	a.w.after(grantInterval, a.grantLoop)
}

// grantRoom divides the room among the entries with demand.
func (a *agent) grantRoom() {
	if a.lost || a.noBatch || a.w.cfg.Policy == FIFO || a.w.cfg.Policy == OnlineOnly {
		return
	}
	open := make([]admission.EntryDemand, 0, len(a.demands))
	for i, d := range a.demands {
		if d.items == 0 || !a.w.entries[i].alive {
			continue
		}
		items := d.items
		for _, g := range a.grants {
			if g.entry == i && g.until > a.w.now {
				items -= g.items
			}
		}
		if items > 0 {
			open = append(open, admission.EntryDemand{EntryID: a.w.entries[i].id, Items: items, Due: d.due})
		}
	}
	if len(open) == 0 {
		return
	}
	a.refresh()
	room := admission.BatchCapacity(&a.snap)
	if room == 0 {
		return
	}
	a.grantTurn++
	until := a.w.now + grantValidity
	for _, g := range admission.AllocateGrants(room, open, a.grantTurn) {
		e := a.w.entryByID(g.EntryID)
		a.grants = append(a.grants, grant{entry: e.index, items: g.Items, until: until})
		incarnation := e.incarnation
		a.w.after(oneWay, func() {
			if e.incarnation == incarnation {
				e.batch.granted(a, g.Items, until)
			}
		})
	}
}

// useGrant counts one item of the oldest grant as started.
func (a *agent) useGrant() {
	for i := range a.grants {
		if a.grants[i].items > 0 {
			a.grants[i].items--
			a.snap.Granted = max(0, a.snap.Granted-1)
			return
		}
	}
}

// running lists the attempts in progress, oldest first, then the queued ones.
func (a *agent) running() []*task {
	list := make([]*task, 0, len(a.snap.Running)+len(a.snap.Queued))
	for _, q := range a.snap.Running {
		list = append(list, a.tasks[string(q.ID)])
	}
	for _, q := range a.snap.Queued {
		list = append(list, a.tasks[string(q.ID)])
	}
	return list
}

// cancelJob cancels the items of a job.
func (a *agent) cancelJob(j *jobRow) {
	for _, t := range a.running() {
		if t.class == contract.ClassBatch && t.job == j {
			a.stop(t, failure{reason: "job_cancelled"})
		}
	}
}
