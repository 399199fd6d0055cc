package dispatch

import (
	"time"

	"github.com/magnoliausher/magnoliausher/placement"
)

// peerExpiry drops the report of a peer that has gone silent; reports come at
// least every 250 ms.
const peerExpiry = time.Second

// Report returns the own work in progress.
func (d *Dispatcher) Report() Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	report := Report{DataCentre: d.cfg.DataCentre, Backlog: d.backlog, Outcomes: d.ownEvidence(time.Now())}
	for service, q := range d.queues {
		if len(q.waiters) > 0 {
			if report.Waiting == nil {
				report.Waiting = make(map[Key]int)
			}
			report.Waiting[KeyOf(service)] = len(q.waiters)
		}
	}
	for _, s := range d.upstreams {
		if s.online > 0 || s.batch > 0 {
			report.Loads = append(report.Loads, UpstreamLoad{Key: s.key, Online: s.online, Batch: s.batch})
		}
	}
	return report
}

// MergeReport takes over the report of a peer in place of its earlier one.
func (d *Dispatcher) MergeReport(name string, report Report, now time.Time) {
	d.mu.Lock()
	if old := d.peers[name]; old != nil {
		d.add(old.report, -1)
	}
	d.peers[name] = &peer{report: report, heard: now}
	d.add(report, 1)
	services := d.waiting()
	var news []ejected
	if len(report.Outcomes) > 0 {
		news = d.judge(now)
	}
	d.mu.Unlock()
	d.logEjected(news)
	d.peersChanged(services, now)
}

// peersChanged acts on news of the work of others; services are those with
// requests that wait.
func (d *Dispatcher) peersChanged(services []string, now time.Time) {
	for _, service := range services {
		d.serve(service, now)
	}
	d.PreemptBatch()
	d.wakeBatch()
}

// Expire drops the reports of peers that have gone silent, and what was known
// of upstreams that are no longer listed.
func (d *Dispatcher) Expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetUnlisted()
	for name, p := range d.peers {
		if now.Sub(p.heard) > peerExpiry {
			d.add(p.report, -1)
			delete(d.peers, name)
		}
	}
	d.expireGroups(now)
}

func (d *Dispatcher) forgetUnlisted() {
	view := d.cfg.Holder.View()
	for id, s := range d.upstreams {
		if len(s.grants) == 0 && !view.Contains(id) {
			delete(d.upstreams, id)
		}
	}
}

func (d *Dispatcher) add(report Report, sign int) {
	for _, c := range report.Loads {
		d.addRemote(c.Key, sign*c.Online, sign*c.Batch)
	}
}

// addRemote changes the sum of the work of others on an upstream.
func (d *Dispatcher) addRemote(key Key, online, batch int) {
	sum := d.remote[key]
	if sum == nil {
		sum = &UpstreamLoad{Key: key}
		d.remote[key] = sum
	}
	sum.Online += online
	sum.Batch += batch
	if sum.Online == 0 && sum.Batch == 0 {
		delete(d.remote, key)
	}
}

func (d *Dispatcher) waiting() []string {
	var services []string
	for service, q := range d.queues {
		if len(q.waiters) > 0 {
			services = append(services, service)
		}
	}
	return services
}

// PreemptBatch gives up batch grants on upstreams that hold more than their slots.
func (d *Dispatcher) PreemptBatch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.upstreams {
		if s.batch == 0 {
			continue
		}
		d.yield(s)
	}
}

func (d *Dispatcher) yield(s *upstream) {
	g := s.youngestBatch()
	if g == nil {
		return
	}
	online, batch := d.work(s)
	u := placement.Upstream{Slots: g.Upstream.Slots, Online: online, Batch: batch - s.yielding}
	if u.Online+u.Batch <= u.Slots {
		return
	}
	give := placement.Preemptions(&u, d.holders(s.key, s.batch-s.yielding), d.cfg.DataCentre, d.cfg.Self)
	for ; give > 0 && g != nil; give-- {
		g.preempt()
		g = s.youngestBatch()
	}
}

// holders lists who has batch items on an upstream: gateways of the own data
// centre by name, and other data centres as a whole.
func (d *Dispatcher) holders(key Key, mine int) []placement.BatchCount {
	holders := []placement.BatchCount{{DataCentre: d.cfg.DataCentre, Name: d.cfg.Self, Items: mine}}
	for name, p := range d.peers {
		for _, c := range p.report.Loads {
			if c.Key == key && c.Batch > 0 {
				holders = append(holders, placement.BatchCount{DataCentre: p.report.DataCentre, Name: name, Items: c.Batch})
			}
		}
	}
	for name, g := range d.groups {
		if w := g.work[key]; w.Batch > 0 {
			holders = append(holders, placement.BatchCount{DataCentre: name, Items: w.Batch})
		}
	}
	return holders
}
