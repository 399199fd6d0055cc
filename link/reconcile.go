package link

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/magnoliausher/magnoliausher/instance"
	"github.com/magnoliausher/magnoliausher/storage"
)

const (
	// Bounds on the interval at which links are reconciled with the instance
	// table.
	minReconcileInterval = 50 * time.Millisecond
	maxReconcileInterval = time.Second
	// expansionHoldTime is how long a service's subset stays doubled after the
	// original links have recovered, so that it does not flap.
	expansionHoldTime = 30 * time.Second
	// drainTimeout is how long a link that left the subset stays open while
	// attempts still run on it.
	drainTimeout = 10 * time.Minute
)

// subsetPlan is the subset computed from one instance list.
type subsetPlan struct {
	valid     bool
	listCount uint64                        // number of instance lists received
	agents    map[string][]storage.Instance // listed and not leaving, by service
	subset    map[string][]storage.Instance // by service
	cache     instance.SubsetCache
}

// reconcile opens and closes links to match the wanted agents.
func (e *EntryClient) reconcile(ctx context.Context, now time.Time) {
	wanted := e.wantedAgents(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, in := range wanted {
		if l := e.links[id]; l == nil || l.agent.Address != in.Address {
			e.openLink(ctx, in)
		} else {
			l.setRetired(false, now)
		}
	}
	for id, l := range e.links {
		if _, ok := wanted[id]; ok {
			continue
		}
		m, ok := e.cfg.Members.Member(id, now)
		if ok && !m.Listed && !m.Leaving {
			continue // not listed, but its link works
		}
		l.setRetired(true, now)
		if l.drained(now) {
			l.stop()
			delete(e.links, id)
		}
	}
	e.rebuildIndex()
}

// openLink starts a link and stops one to a previous address of the agent.
func (e *EntryClient) openLink(ctx context.Context, in storage.Instance) {
	if old := e.links[in.ID]; old != nil {
		old.stop()
	}
	l := newEntryLink(e, in)
	ctx, l.stop = context.WithCancel(ctx)
	e.links[in.ID] = l
	go l.run(ctx)
}

// rebuildIndex rebuilds the lists of links by service.
func (e *EntryClient) rebuildIndex() {
	byService := make(map[string][]*entryLink, len(e.byService))
	for _, l := range e.links {
		byService[l.agent.Service] = append(byService[l.agent.Service], l)
	}
	for _, links := range byService {
		slices.SortFunc(links, func(a, b *entryLink) int { return cmp.Compare(a.agent.ID, b.agent.ID) })
	}
	e.byService = byService
}

// wantedAgents returns the agents to link to, by id.
func (e *EntryClient) wantedAgents(now time.Time) map[string]storage.Instance {
	e.updatePlan(now)
	wanted := make(map[string]storage.Instance)
	for service, subset := range e.plan.subset {
		for _, in := range subset {
			wanted[in.ID] = in
		}
		if !e.isExpanded(service, subset, now) {
			continue
		}
		for _, in := range instance.ExpandSubset(e.self(), e.plan.agents[service], subset, len(subset)) {
			wanted[in.ID] = in
		}
	}
	return wanted
}

// updatePlan recomputes the subset after the platform's list has changed.
func (e *EntryClient) updatePlan(now time.Time) {
	listCount := e.cfg.Members.ListCount()
	if e.plan.valid && listCount == e.plan.listCount {
		return
	}
	members := e.cfg.Members.Members(storage.RoleAgent, now)
	agents := make([]storage.Instance, 0, len(members))
	for _, m := range members {
		if m.Listed && m.State != storage.InstanceLeaving {
			agents = append(agents, m.Instance)
		}
	}
	subset := e.plan.cache.Subset(e.listedEntries(now), agents, e.cfg.ID, e.cfg.LinksPerService)
	e.plan.agents = groupByService(agents)
	e.plan.subset = groupByService(subset)
	e.plan.listCount = listCount
	e.plan.valid = true
}

func groupByService(list []storage.Instance) map[string][]storage.Instance {
	groups := make(map[string][]storage.Instance)
	for _, in := range list {
		groups[in.Service] = append(groups[in.Service], in)
	}
	return groups
}

// self describes this entry, which a lagging list may not contain yet.
func (e *EntryClient) self() storage.Instance {
	return storage.Instance{ID: e.cfg.ID, Role: storage.RoleEntry, DataCentre: e.cfg.DataCentre}
}

// listedEntries returns the listed entries and this entry itself.
func (e *EntryClient) listedEntries(now time.Time) []storage.Instance {
	members := e.cfg.Members.Members(storage.RoleEntry, now)
	entries := make([]storage.Instance, 0, len(members)+1)
	for _, m := range members {
		if m.ID != e.cfg.ID && m.Listed && m.State != storage.InstanceLeaving {
			entries = append(entries, m.Instance)
		}
	}
	return append(entries, e.self())
}

// isExpanded reports whether a service's subset is doubled: while none of its
// links is usable, and for expansionHoldTime after one is usable again.
func (e *EntryClient) isExpanded(service string, linked []storage.Instance, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	lost := true
	for _, in := range linked {
		if l := e.links[in.ID]; l == nil || l.isUsable(now) {
			lost = false
			break
		}
	}
	if lost {
		e.expanded[service] = now
		return true
	}
	since, ok := e.expanded[service]
	if ok && now.Sub(since) >= expansionHoldTime {
		delete(e.expanded, service)
		return false
	}
	return ok
}

// SubsetRefused reports that all linked agents of a service refused work,
// which doubles its subset for at least expansionHoldTime.
func (e *EntryClient) SubsetRefused(service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expanded[service] = time.Now()
}

// isUsable reports whether the link can take work, or was opened so recently
// that it may still become able to.
func (l *entryLink) isUsable(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.upstream.Leaving {
		return false
	}
	if l.upstream.LastHeard.IsZero() {
		return now.Sub(l.openedAt) < silenceTimeout
	}
	return l.upstream.Connected && now.Sub(l.upstream.LastHeard) <= silenceTimeout
}

func (l *entryLink) setRetired(retired bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired == retired {
		return
	}
	l.retired = retired
	l.retiredAt = now
	if l.peer != nil {
		l.peer.wakeUp() // withdraws or announces the batch demand
	}
}

// drained reports whether a retired link can be closed.
func (l *entryLink) drained(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts == 0 || now.Sub(l.retiredAt) >= drainTimeout
}
