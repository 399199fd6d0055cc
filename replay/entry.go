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

// entry simulates an entry instance. Its view of the agents comes from their load
// reports and lags behind their state.
type entry struct {
	sim                *simulation
	index              int
	id, dc             string
	alive              bool
	incarnation        int
	weights            routing.Weights
	views              map[string]*upstreamView // by service; never iterated, since map order is random
	suspects           *poison.Table
	suspectsInProgress []int      // this entry's suspects in progress by agent index
	requests           []*request // in progress
	runner             *runner
}

// upstreamView is what an entry knows about the agents of one service.
type upstreamView struct {
	agents    []*agent
	upstreams []link.Upstream
	budget    limit.RetryBudgetState
}

func newEntry(sim *simulation, index int, p workload.Place) *entry {
	e := &entry{sim: sim, index: index, id: p.ID, dc: p.DataCentre, alive: true, weights: routing.DefaultWeights()}
	e.runner = newRunner(e)
	return e
}

// connect resets the entry's state and links it to all agents.
func (e *entry) connect() {
	e.views = make(map[string]*upstreamView)
	for _, s := range e.sim.services {
		e.views[s] = &upstreamView{}
	}
	e.suspects = poison.NewTable(poison.Config{})
	e.loadSuspects()
	e.suspectsInProgress = make([]int, len(e.sim.agents))
	for _, a := range e.sim.agents {
		v := e.views[a.service]
		v.agents = append(v.agents, a)
		v.upstreams = append(v.upstreams, link.Upstream{
			AgentID: a.id, DataCentre: a.dc, Service: a.service, Connected: !a.lost,
			LastHeard: e.sim.wallTime(), Load: &rpc.LoadReport{}, Weight: 1,
		})
	}
}

func (sim *simulation) entryByID(id string) *entry {
	for _, e := range sim.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

// upstream returns what the entry knows about the agent's upstream.
func (e *entry) upstream(a *agent) *link.Upstream {
	v := e.views[a.service]
	for i := range v.agents {
		if v.agents[i] == a {
			return &v.upstreams[i]
		}
	}
	return nil
}

// receiveReport applies a load report.
func (e *entry) receiveReport(a *agent, incarnation uint64, load *rpc.LoadReport, prefixes map[uint64]struct{}) {
	if !e.alive || a.lost {
		return
	}
	u := e.upstream(a)
	u.Connected = true
	u.Incarnation = incarnation
	u.Leaving = load.State == rpc.UpstreamState_UPSTREAM_STATE_LEAVING
	u.LastHeard = e.sim.wallTime()
	u.Load = load
	u.LoadAt = e.sim.wallTime()
	u.SentSince = 0
	u.Prefixes = prefixes
}

// routingRandom supplies routing with the replay's random numbers.
type routingRandom struct{ sim *simulation }

// IntN returns a number in [0, n).
func (r routingRandom) IntN(n int) int { return r.sim.random.IntN(n) }

// chooseAgent selects the agent for an online attempt. It returns nil if there is none.
func (e *entry) chooseAgent(rq *request, suspect bool) *agent {
	v := e.views[rq.spec.Service]
	r := routing.Request{
		DataCentre: e.dc, Prefix: rq.prefix, Excluded: e.excludedAgents(v, rq),
		Suspect: suspect, SuspectsAt: e.suspectAgents(v), Now: e.sim.wallTime(),
	}
	d := routing.Choose(v.upstreams, &r, &e.weights, routingRandom{e.sim})
	if !d.Found() && d.Counts.Excluded > 0 && rq.mayHaveRun && !rq.exclusionsCleared {
		rq.exclusionsCleared = true
		rq.excluded = nil
		r.Excluded = e.excludedAgents(v, rq)
		d = routing.Choose(v.upstreams, &r, &e.weights, routingRandom{e.sim})
	}
	if !d.Found() {
		return nil
	}
	return v.agents[d.Index]
}

func (e *entry) excludedAgents(v *upstreamView, rq *request) []string {
	list := rq.excluded
	for _, a := range v.agents {
		if a.batchOnly {
			list = append(list[:len(list):len(list)], a.id)
		}
	}
	return list
}

func (e *entry) suspectAgents(v *upstreamView) []string {
	var list []string
	for _, a := range v.agents {
		if e.suspectsInProgress[a.index] > 0 {
			list = append(list, a.id)
		}
	}
	return list
}

// sendAttempt sends an attempt to an agent.
func (e *entry) sendAttempt(a *agent, t *simAttempt) {
	e.sim.scheduleAfter(linkDelay, func() { a.receive(t) })
}

// cancelAttempt sends the cancellation of an attempt to its agent.
func (e *entry) cancelAttempt(t *simAttempt) {
	e.sim.scheduleAfter(linkDelay, func() {
		if t.agent != nil && !t.agent.lost {
			t.agent.cancelAttempt(t, failure{})
			return
		}
		t.ended = true
	})
}

// takeRetry takes a retry from the service's retry budget and reports whether one
// was available.
func (e *entry) takeRetry(service string) bool {
	v := e.views[service]
	budget, ok := v.budget.TakeRetry(e.sim.wallTime())
	v.budget = budget
	return ok
}

// shareSuspects sends an agent's suspects to all entries and agents.
func (sim *simulation) shareSuspects(from *agent) {
	list := from.suspects.Export(sim.wallTime())
	sim.scheduleAfter(linkDelay, func() {
		for _, e := range sim.entries {
			if e.alive {
				e.suspects.Merge(list, sim.wallTime())
				e.saveSuspects(list)
			}
		}
	})
	sim.scheduleAfter(2*linkDelay, func() {
		for _, a := range sim.agents {
			if !a.lost {
				a.suspects.Merge(list, sim.wallTime())
			}
		}
	})
}

// saveSuspects writes suspects to the platform's table, as poison.Persister does.
func (e *entry) saveSuspects(list []*rpc.Suspect) {
	sim := e.sim
	incarnation := e.incarnation
	alive := func() bool { return e.alive && e.incarnation == incarnation }
	apply := func() bool { return sim.storedSuspects.Merge(list, sim.wallTime()) }
	sim.platform.write(0, alive, apply, alive, func(bool) {})
}

// loadSuspects reads the stored suspects as soon as the platform is available.
func (e *entry) loadSuspects() {
	sim := e.sim
	if sim.now < sim.platform.downUntil {
		sim.scheduleAfter(sim.platform.downUntil-sim.now, e.loadSuspects)
		return
	}
	e.suspects.Merge(sim.storedSuspects.Export(sim.wallTime()), sim.wallTime())
}

// pickEntry simulates the platform's load balancer: it returns a random entry that
// is alive, or nil.
func (sim *simulation) pickEntry() *entry {
	alive := 0
	for _, e := range sim.entries {
		if e.alive {
			alive++
		}
	}
	if alive == 0 {
		return nil
	}
	n := sim.random.IntN(alive)
	for _, e := range sim.entries {
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

// backoff returns the delay before the next call to an unavailable platform.
func (sim *simulation) backoff(tries int) time.Duration {
	const base, longest = 100 * time.Millisecond, 10 * time.Second
	limit := min(longest, base<<min(tries, 10))
	return time.Duration(sim.random.Int64N(int64(limit))) + 1
}
