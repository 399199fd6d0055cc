package dispatch

import (
	"time"

	"github.com/magnoliausher/magnoliausher/placement"
)

// peerExpiry is the time after which the report of a silent peer is dropped;
// reports arrive at least every 250 ms.
const peerExpiry = time.Second

// Report returns the current report of this gateway.
func (d *Dispatcher) Report() Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	report := Report{DataCentre: d.cfg.DataCentre, Backlog: d.backlog, Outcomes: d.ownOutcomeStats(time.Now()), Speeds: d.speedCounters(false)}
	for service, q := range d.queues {
		if q.waiters.Len() > 0 {
			if report.Waiting == nil {
				report.Waiting = make(map[Key]int)
			}
			report.Waiting[KeyOf(service)] = q.waiters.Len()
		}
	}
	for _, s := range d.upstreams {
		if s.online > 0 || s.batch > 0 {
			report.Loads = append(report.Loads, UpstreamLoad{Key: s.key, Online: s.online, Batch: s.batch})
		}
	}
	return report
}

// MergeReport replaces the report of a peer.
func (d *Dispatcher) MergeReport(name string, report Report, now time.Time) {
	d.mu.Lock()
	if old := d.peers[name]; old != nil {
		d.addReport(old.report, -1)
	}
	d.peers[name] = &peerState{report: report, lastHeard: now}
	d.addReport(report, 1)
	d.mergeSpeeds(name, &report, now)
	services := d.servicesWithWaiters()
	var ejections []ejectionEvent
	if len(report.Outcomes) > 0 {
		ejections = d.evaluateEjections(now)
	}
	d.mu.Unlock()
	d.logEjections(ejections)
	d.handlePeerUpdate(services, now)
}

// handlePeerUpdate serves waiting requests and preempts batch work after the load of
// peers has changed. services are those with waiting requests.
func (d *Dispatcher) handlePeerUpdate(services []string, now time.Time) {
	for _, service := range services {
		d.serve(service, now)
	}
	d.PreemptBatch()
	d.wakeBatch()
}

// Expire drops the reports of silent peers and the state of upstreams that are no
// longer listed.
func (d *Dispatcher) Expire(now time.Time) {
	defer d.publishSpeeds(now) // without the lock
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropUnlisted()
	for name, p := range d.peers {
		if now.Sub(p.lastHeard) > peerExpiry {
			d.addReport(p.report, -1)
			delete(d.peers, name)
		}
	}
	d.expireDataCentres(now)
	d.expireShares(now)
	d.expireSpeeds(now)
}

func (d *Dispatcher) dropUnlisted() {
	view := d.cfg.Holder.View()
	for id, s := range d.upstreams {
		if len(s.grants) == 0 && !view.Contains(id) {
			delete(d.upstreams, id)
		}
	}
}

func (d *Dispatcher) addReport(report Report, sign int) {
	for _, c := range report.Loads {
		d.addRemoteLoad(c.Key, sign*c.Online, sign*c.Batch)
	}
}

// addRemoteLoad adjusts the total load of other gateways on an upstream.
func (d *Dispatcher) addRemoteLoad(key Key, online, batch int) {
	sum := d.remoteTotals[key]
	if sum == nil {
		sum = &UpstreamLoad{Key: key}
		d.remoteTotals[key] = sum
	}
	sum.Online += online
	sum.Batch += batch
	if sum.Online == 0 && sum.Batch == 0 {
		delete(d.remoteTotals, key)
	}
}

func (d *Dispatcher) servicesWithWaiters() []string {
	var services []string
	for service, q := range d.queues {
		if q.waiters.Len() > 0 {
			services = append(services, service)
		}
	}
	return services
}

// PreemptBatch preempts local batch grants on upstreams that have more work than
// slots.
func (d *Dispatcher) PreemptBatch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.upstreams {
		if s.batch == 0 {
			continue
		}
		d.preemptOn(s)
	}
}

func (d *Dispatcher) preemptOn(s *upstreamState) {
	g := s.newestBatchGrant()
	if g == nil {
		return
	}
	online, batch := d.totalLoad(s)
	u := placement.Upstream{Slots: g.Upstream.Slots, Online: online, Batch: batch - s.preempting}
	if u.Online+u.Batch <= u.Slots {
		return
	}
	remaining := placement.Preemptions(&u, d.batchCounts(s.key, s.batch-s.preempting), d.cfg.DataCentre, d.cfg.Self)
	for ; remaining > 0 && g != nil; remaining-- {
		g.preempt()
		g = s.newestBatchGrant()
	}
}

// batchCounts returns the batch items on an upstream: of gateways by name, and of other
// data centres as a whole.
func (d *Dispatcher) batchCounts(key Key, own int) []placement.BatchCount {
	counts := []placement.BatchCount{{DataCentre: d.cfg.DataCentre, Name: d.cfg.Self, Items: own}}
	for name, p := range d.peers {
		for _, c := range p.report.Loads {
			if c.Key == key && c.Batch > 0 {
				counts = append(counts, placement.BatchCount{DataCentre: p.report.DataCentre, Name: name, Items: c.Batch})
			}
		}
	}
	for name, g := range d.dataCentres {
		if w := g.loads[key]; w.Batch > 0 {
			counts = append(counts, placement.BatchCount{DataCentre: name, Items: w.Batch})
		}
	}
	return counts
}
