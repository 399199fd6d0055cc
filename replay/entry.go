package replay

import (
	"time"

	"github.com/magnoliausher/magnoliausher/limit"
	"github.com/magnoliausher/magnoliausher/link"
	"github.com/magnoliausher/magnoliausher/poison"
	"github.com/magnoliausher/magnoliausher/routing"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/workload"
)

// entry is an instance with its lagging view of the agents.
type entry struct {
	w           *world
	index       int
	id, dc      string
	alive       bool
	incarnation int
	weights     routing.Weights
	views       map[string]*fleetView // by service; never iterated
	suspects    *poison.Table
	suspectsAt  []int      // own suspects in progress by agent
	requests    []*request // open ones
	batch       *runner
}

// fleetView is what an entry knows of the agents of one service.
type fleetView struct {
	agents    []*agent
	upstreams []link.Upstream
	budget    limit.RetryBudgetState
}

func newEntry(w *world, index int, p workload.Place) *entry {
	e := &entry{w: w, index: index, id: p.ID, dc: p.DataCentre, alive: true, weights: routing.DefaultWeights()}
	e.batch = newRunner(e)
	return e
}

// connect gives the entry links to all agents and forgets what it knew.
func (e *entry) connect() {
	e.views = make(map[string]*fleetView)
	for _, s := range e.w.services {
		e.views[s] = &fleetView{}
	}
	e.suspects = poison.NewTable(poison.Config{})
	e.loadSuspects()
	e.suspectsAt = make([]int, len(e.w.agents))
	for _, a := range e.w.agents {
		v := e.views[a.service]
		v.agents = append(v.agents, a)
		v.upstreams = append(v.upstreams, link.Upstream{
			AgentID: a.id, DataCentre: a.dc, Service: a.service, Connected: !a.lost,
			LastHeard: e.w.wall(), Load: &rpc.LoadReport{}, Weight: 1,
		})
	}
}

func (w *world) entryByID(id string) *entry {
	for _, e := range w.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

// view returns what the entry knows of the agent.
func (e *entry) view(a *agent) *link.Upstream {
	v := e.views[a.service]
	for i := range v.agents {
		if v.agents[i] == a {
			return &v.upstreams[i]
		}
	}
	return nil
}

// heard takes a load report.
func (e *entry) heard(a *agent, incarnation uint64, load *rpc.LoadReport, prefixes map[uint64]struct{}) {
	if !e.alive || a.lost {
		return
	}
	u := e.view(a)
	u.Connected = true
	u.Incarnation = incarnation
	u.Leaving = load.State == rpc.UpstreamState_UPSTREAM_STATE_LEAVING
	u.LastHeard = e.w.wall()
	u.Load = load
	u.LoadAt = e.w.wall()
	u.SentSince = 0
	u.Prefixes = prefixes
}

// fleetRandom lends the replay's random numbers to routing.
type fleetRandom struct{ w *world }

// IntN returns a number in [0, n).
func (r fleetRandom) IntN(n int) int { return r.w.random.IntN(n) }

// choose selects an upstream for an online attempt, or nil.
func (e *entry) choose(rq *request, suspect bool) *agent {
	v := e.views[rq.in.Service]
	r := routing.Request{
		DataCentre: e.dc, Prefix: rq.prefix, Excluded: e.excluded(v, rq),
		Suspect: suspect, SuspectsAt: e.suspectAgents(v), Now: e.w.wall(),
	}
	d := routing.Choose(v.upstreams, &r, &e.weights, fleetRandom{e.w})
	if !d.Found() && d.Counts.Excluded > 0 && rq.handedOver && !rq.relaxed {
		rq.relaxed = true
		rq.excluded = nil
		r.Excluded = e.excluded(v, rq)
		d = routing.Choose(v.upstreams, &r, &e.weights, fleetRandom{e.w})
	}
	if !d.Found() {
		return nil
	}
	return v.agents[d.Index]
}

func (e *entry) excluded(v *fleetView, rq *request) []string {
	list := rq.excluded
	for _, a := range v.agents {
		if a.noOnline {
			list = append(list[:len(list):len(list)], a.id)
		}
	}
	return list
}

func (e *entry) suspectAgents(v *fleetView) []string {
	var list []string
	for _, a := range v.agents {
		if e.suspectsAt[a.index] > 0 {
			list = append(list, a.id)
		}
	}
	return list
}

// send passes an attempt to an agent.
func (e *entry) send(a *agent, t *task) {
	e.w.after(oneWay, func() { a.arrive(t) })
}

// cancel tells the agent that an attempt is no longer wanted.
func (e *entry) cancel(t *task) {
	e.w.after(oneWay, func() {
		if t.agent != nil && !t.agent.lost {
			t.agent.stop(t, failure{})
			return
		}
		t.over = true
	})
}

// retry takes a retry from the service's budget.
func (e *entry) retry(service string) bool {
	v := e.views[service]
	budget, ok := v.budget.TakeRetry(e.w.wall())
	v.budget = budget
	return ok
}

// spreadSuspects shares new suspects of an agent with all processes.
func (w *world) spreadSuspects(from *agent) {
	list := from.suspects.Export(w.wall())
	w.after(oneWay, func() {
		for _, e := range w.entries {
			if e.alive {
				e.suspects.Merge(list, w.wall())
				e.saveSuspects(list)
			}
		}
	})
	w.after(2*oneWay, func() {
		for _, a := range w.agents {
			if !a.lost {
				a.suspects.Merge(list, w.wall())
			}
		}
	})
}

// saveSuspects writes new suspects to the platform, as poison.Persister does.
func (e *entry) saveSuspects(list []*rpc.Suspect) {
	w := e.w
	life := e.incarnation
	alive := func() bool { return e.alive && e.incarnation == life }
	apply := func() bool { return w.kept.Merge(list, w.wall()) }
	w.platform.write(0, alive, apply, alive, func(bool) {})
}

// loadSuspects reads the kept suspects once the platform answers.
func (e *entry) loadSuspects() {
	w := e.w
	if w.now < w.platform.downUntil {
		w.after(w.platform.downUntil-w.now, e.loadSuspects)
		return
	}
	e.suspects.Merge(w.kept.Export(w.wall()), w.wall())
}

// pickEntry is the platform's load balancer.
func (w *world) pickEntry() *entry {
	alive := 0
	for _, e := range w.entries {
		if e.alive {
			alive++
		}
	}
	if alive == 0 {
		return nil
	}
	n := w.random.IntN(alive)
	for _, e := range w.entries {
		if !e.alive {
			continue
		}
		if n == 0 {
			return e
		}
		n--
	}
	return nil
}

// backoff is the pause before another call to a failing platform.
func (w *world) backoff(tries int) time.Duration {
	const base, longest = 100 * time.Millisecond, 10 * time.Second
	limit := min(longest, base<<min(tries, 10))
	return time.Duration(w.random.Int64N(int64(limit))) + 1
}
