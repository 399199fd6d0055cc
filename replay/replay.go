// Package replay is a discrete-event simulation. It runs the decisions of routing,
// admission, retry budgets, job scheduling and poison isolation in virtual time
// against simulated engines. It is a single-threaded event loop: the same trace,
// fleet, policy and seed produce the same bytes. The only model of networks and
// hosts is a fixed delay between entries and agents.
package replay

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/finding"
	"github.com/magnoliausher/magnoliausher/poison"
	"github.com/magnoliausher/magnoliausher/workload"
)

// Policy selects the rules by which work is started.
type Policy string

// Policies.
const (
	// PolicyDefault starts work as the daemons do.
	PolicyDefault Policy = "default"
	// PolicyFIFO sends every item at once. Engines serve work in order of arrival.
	PolicyFIFO Policy = "fifo"
	// PolicyPartition assigns every second engine to online work and the others to
	// batch work. With an odd number of engines, online work gets one more.
	PolicyPartition Policy = "partition"
	// PolicyOnlineOnly never starts batch work.
	PolicyOnlineOnly Policy = "online-only"
)

// Policies lists all policies.
var Policies = []Policy{PolicyDefault, PolicyFIFO, PolicyPartition, PolicyOnlineOnly}

// Config holds the parameters of a replay.
type Config struct {
	Fleet  workload.Fleet
	Policy Policy
	Seed   uint64
}

// Delays and timeouts of the simulation.
const (
	linkDelay          = time.Millisecond       // between entry and agent
	platformLatency    = 5 * time.Millisecond   // of a call to the table or object store
	platformSlowFactor = 200                    // multiplies platformLatency while the platform is slow
	reportInterval     = 500 * time.Millisecond // between load reports; the minimum between demand messages
	grantInterval      = 100 * time.Millisecond // between checks for free batch capacity
	lossDetectionDelay = 3500 * time.Millisecond
	engineRestartDelay = 2 * time.Second // after a crash by a request
	// stallTimeout ends a replay without any completion for this long. Unfinished
	// work then counts as lost. It is longer than the expiry of a claim and the time
	// for which suspects are isolated.
	stallTimeout = 30 * time.Minute
)

// epoch is the wall time at the start of the replay, for decisions that take a wall
// time.
var epoch = time.Unix(1_700_000_000, 0)

// simulation is the state of a replay.
type simulation struct {
	eventLoop
	cfg            Config
	random         *rand.Rand
	services       []string
	entries        []*entry
	agents         []*agent
	platform       store
	storedSuspects *poison.Table // in the platform's table
	jobs           []*jobRow
	requests       map[string]*request
	stats          stats
	traceEnded     bool
	openWork       int           // number of requests and jobs in progress
	lastProgress   time.Duration // time of the last completion or trace event
	lastID         uint64
}

// Run replays the events, which must be sorted by time. The error is
// a finding.List.
func Run(cfg Config, events []workload.Event) (*Outcome, error) {
	layout, ok := workload.LayoutOf(cfg.Fleet)
	if !ok {
		return nil, finding.List{{Key: "fleet", Value: string(cfg.Fleet), Reason: "unknown fleet"}}
	}
	if err := validate(cfg, layout, events); err != nil {
		return nil, err
	}
	sim := &simulation{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 0x5eed)), requests: make(map[string]*request)}
	sim.platform.sim = sim
	sim.storedSuspects = poison.NewTable(poison.Config{})
	sim.stats.refusals = make(map[admission.Reason]int)
	sim.stats.crashes = make(map[uint64]int)
	sim.buildFleet(layout)
	sim.scheduleTrace(events)
	for sim.runNext() {
		if sim.allDone() || sim.now-sim.lastProgress > stallTimeout {
			break
		}
	}
	return sim.outcome(), nil
}

func validate(cfg Config, layout workload.Layout, events []workload.Event) error {
	var list finding.List
	known := make(map[string]bool)
	for _, s := range layout.Services {
		known[s.Name] = true
	}
	targets := make(map[string]bool)
	for _, dc := range layout.DataCentres {
		targets[dc] = true
	}
	for _, e := range layout.Entries {
		targets[e.ID] = true
	}
	for _, s := range layout.Services {
		for _, u := range s.Upstreams {
			targets[u.ID] = true
		}
	}
	policy := false
	for _, p := range Policies {
		policy = policy || p == cfg.Policy
	}
	if !policy {
		list.Add(finding.Finding{Key: "policy", Value: string(cfg.Policy), Reason: "unknown policy"})
	}
	for _, e := range events {
		switch {
		case e.Request != nil && !known[e.Request.Service]:
			list.Add(finding.Finding{Key: e.ID, Value: e.Request.Service, Reason: "the fleet has no such service"})
		case e.Job != nil && !known[e.Job.Service]:
			list.Add(finding.Finding{Key: e.ID, Value: e.Job.Service, Reason: "the fleet has no such service"})
		case e.Fault != nil && e.Fault.Kind.NeedsTarget() && !targets[e.Fault.Target]:
			list.Add(finding.Finding{Key: "target", Value: e.Fault.Target, Reason: "the fleet has no such target"})
		}
	}
	return list.Err()
}

func (sim *simulation) wallTime() time.Time { return epoch.Add(sim.now) }

func (sim *simulation) allDone() bool { return sim.traceEnded && sim.openWork == 0 }

func (sim *simulation) newID() uint64 {
	sim.lastID++
	return sim.lastID
}

func (sim *simulation) buildFleet(layout workload.Layout) {
	for i, p := range layout.Entries {
		sim.entries = append(sim.entries, newEntry(sim, i, p))
	}
	for _, s := range layout.Services {
		sim.services = append(sim.services, s.Name)
		for i, p := range s.Upstreams {
			a := newAgent(sim, len(sim.agents), s, p)
			if sim.cfg.Policy == PolicyPartition && s.Engine {
				a.batchOnly = i%2 == 1
				a.onlineOnly = !a.batchOnly
			}
			sim.agents = append(sim.agents, a)
		}
	}
	for _, e := range sim.entries {
		e.connect()
	}
	for _, a := range sim.agents {
		stagger := reportInterval * time.Duration(a.index) / time.Duration(len(sim.agents))
		sim.scheduleAt(0, a.report)
		sim.scheduleAt(stagger, a.reportLoop)
		sim.scheduleAt(stagger%grantInterval, a.grantLoop)
	}
	for _, e := range sim.entries {
		sim.scheduleAt(0, e.runner.claimLoop)
	}
}

// scheduleTrace schedules the first event, which schedules the following ones in
// turn, so that the queue holds one trace event at a time.
func (sim *simulation) scheduleTrace(events []workload.Event) {
	if len(events) == 0 {
		sim.traceEnded = true
		sim.scheduleAt(sim.now, func() {})
		return
	}
	e := events[0]
	sim.scheduleAt(e.At, func() {
		sim.lastProgress = sim.now
		sim.applyEvent(e)
		sim.scheduleTrace(events[1:])
	})
}

func (sim *simulation) applyEvent(e workload.Event) {
	switch e.Kind {
	case workload.KindRequest:
		sim.startRequest(e.ID, e.Request)
	case workload.KindJob:
		sim.submitJob(e.ID, e.Job)
	case workload.KindCancel:
		sim.cancelByID(e.ID)
	case workload.KindFault:
		sim.applyFault(e.Fault)
	}
}

func (sim *simulation) cancelByID(id string) {
	if rq := sim.requests[id]; rq != nil {
		rq.end(requestCancelled)
		return
	}
	for _, j := range sim.jobs {
		if j.id == id {
			sim.cancelJob(j)
		}
	}
}
