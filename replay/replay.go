// Package replay runs the decisions of routing, admission, retry budgets, job
// scheduling and poison isolation in virtual time against simulated engines. It
// is one single-threaded event loop: equal traces, fleets, policies and seeds
// give equal bytes. Networks and hosts are not modelled beyond one fixed delay
// between entries and agents.
package replay

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/finding"
	"github.com/magnoliausher/magnoliausher/poison"
	"github.com/magnoliausher/magnoliausher/workload"
)

// Policy names the rules by which work is started.
type Policy string

// Policies.
const (
	// Default is what the daemons do.
	Default Policy = "default"
	// FIFO sends every item at once; engines serve first come, first served.
	FIFO Policy = "fifo"
	// Partition gives every second engine to online work, the others to batch
	// work; at an odd number online work gets one more.
	Partition Policy = "partition"
	// OnlineOnly never starts batch work.
	OnlineOnly Policy = "online-only"
)

// Policies lists all policies.
var Policies = []Policy{Default, FIFO, Partition, OnlineOnly}

// Config selects a replay.
type Config struct {
	Fleet  workload.Fleet
	Policy Policy
	Seed   uint64
}

// Delays of the replay.
const (
	oneWay          = time.Millisecond       // between entry and agent
	platformLatency = 5 * time.Millisecond   // of one call of the table or object store
	slowFactor      = 200                    // of platformLatency while the platform is slow
	reportInterval  = 500 * time.Millisecond // of load reports and demands
	grantInterval   = 100 * time.Millisecond // of looks for batch room without a change
	lossNoticed     = 3500 * time.Millisecond
	restartTime     = 2 * time.Second // of an engine after a request crashed it
	// stallLimit ends a replay in which nothing has been completed for so long;
	// what is open then counts as lost. It exceeds the expiry of a claim and
	// the time for which suspects are isolated.
	stallLimit = 30 * time.Minute
)

// epoch stands for the start of the replay where decisions take a wall time.
var epoch = time.Unix(1_700_000_000, 0)

// world is the state of one replay.
type world struct {
	loop
	cfg      Config
	random   *rand.Rand
	services []string
	entries  []*entry
	agents   []*agent
	platform store
	kept     *poison.Table // suspects in the platform's table
	jobs     []*jobRow
	requests map[string]*request
	stats    stats
	traceEnd bool
	open     int           // requests and jobs in progress
	progress time.Duration // of the last completion
	nextID   uint64
}

// Run replays the events, which must be in order of time. The error is
// a finding.List.
func Run(cfg Config, events []workload.Event) (*Outcome, error) {
	layout, ok := workload.LayoutOf(cfg.Fleet)
	if !ok {
		return nil, finding.List{{Key: "fleet", Value: string(cfg.Fleet), Reason: "unknown fleet"}}
	}
	if err := check(cfg, layout, events); err != nil {
		return nil, err
	}
	w := &world{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 0x5eed)), requests: make(map[string]*request)}
	w.platform.w = w
	w.kept = poison.NewTable(poison.Config{})
	w.stats.refusals = make(map[admission.Reason]int)
	w.stats.crashes = make(map[uint64]int)
	w.build(layout)
	w.feed(events)
	for w.next() {
		if w.done() || w.now-w.progress > stallLimit {
			break
		}
	}
	return w.outcome(), nil
}

func check(cfg Config, layout workload.Layout, events []workload.Event) error {
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

func (w *world) wall() time.Time { return epoch.Add(w.now) }

func (w *world) done() bool { return w.traceEnd && w.open == 0 }

func (w *world) id() uint64 {
	w.nextID++
	return w.nextID
}

func (w *world) build(layout workload.Layout) {
	for i, p := range layout.Entries {
		w.entries = append(w.entries, newEntry(w, i, p))
	}
	for _, s := range layout.Services {
		w.services = append(w.services, s.Name)
		for i, p := range s.Upstreams {
			a := newAgent(w, len(w.agents), s, p)
			if w.cfg.Policy == Partition && s.Engine {
				a.noOnline = i%2 == 1
				a.noBatch = !a.noOnline
			}
			w.agents = append(w.agents, a)
		}
	}
	for _, e := range w.entries {
		e.connect()
	}
	for _, a := range w.agents {
		stagger := reportInterval * time.Duration(a.index) / time.Duration(len(w.agents))
		w.at(0, a.report)
		w.at(stagger, a.reportLoop)
		w.at(stagger%grantInterval, a.grantLoop)
	}
	for _, e := range w.entries {
		w.at(0, e.batch.claimLoop)
	}
}

// feed registers one trace event at a time.
func (w *world) feed(events []workload.Event) {
	if len(events) == 0 {
		w.traceEnd = true
		w.at(w.now, func() {})
		return
	}
	e := events[0]
	w.at(e.At, func() {
		w.progress = w.now
		w.trace(e)
		w.feed(events[1:])
	})
}

func (w *world) trace(e workload.Event) {
	switch e.Kind {
	case workload.KindRequest:
		w.arrive(e.ID, e.Request)
	case workload.KindJob:
		w.submit(e.ID, e.Job)
	case workload.KindCancel:
		w.cancel(e.ID)
	case workload.KindFault:
		w.fault(e.Fault)
	}
}

func (w *world) cancel(id string) {
	if rq := w.requests[id]; rq != nil {
		rq.end(endCancelled)
		return
	}
	for _, j := range w.jobs {
		if j.id == id {
			w.cancelJob(j)
		}
	}
}
