package dispatch

import (
	"time"

	"github.com/magnoliausher/magnoliausher/speed"
)

const (
	// dataCentreExpiry is the time without digests after which a data centre is
	// dropped; refreshes are sent every 250 ms.
	dataCentreExpiry = 1500 * time.Millisecond
	// refreshLimit is the maximum number of upstreams that a refresh repeats, about
	// 800 bytes.
	refreshLimit = 80
	// loadExpiry is the time after which the load of an upstream is dropped if it is
	// not repeated, although digests of its data centre arrive. In 10 s refreshes
	// repeat 3,200 upstreams.
	loadExpiry = 10 * time.Second
	// zeroRepeats is how often refreshes repeat a load of zero, because the datagram
	// that sent it first may have been lost.
	zeroRepeats = 4
)

// Digest is the summary of the reports of all gateways in a data centre.
type Digest struct {
	DataCentre string
	Gateways   int
	Backlog    Backlog
	Waiting    map[Key]int    // online requests waiting for a slot, by service
	Loads      []UpstreamLoad // of some or all upstreams; zero means that an upstream has no more load
	Outcomes   []OutcomeStats // complete, unlike Loads
	// SpeedSource identifies the collector, which has counted Speeds since its start.
	SpeedSource uint64
	Speeds      []speed.Counter // some of those that have changed, in rotation
}

// remoteDataCentre is the state received from another data centre.
type remoteDataCentre struct {
	Digest
	lastHeard time.Time
	loads     map[Key]remoteLoad
}

type remoteLoad struct {
	UpstreamLoad
	lastHeard time.Time
}

// advertisedLoad is the load of an upstream as last sent in a digest.
type advertisedLoad struct {
	UpstreamLoad
	zerosSent int // number of digests that sent zero since the load ended
}

// Digest summarises the local data centre for others: the upstreams whose load has
// changed since the last digest and, in a refresh, the next ones in rotation. It
// also reports whether anything has changed.
func (d *Dispatcher) Digest(refresh bool) (Digest, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	g := Digest{DataCentre: d.cfg.DataCentre, Gateways: 1, Waiting: make(map[Key]int)}
	g.Backlog.add(d.backlog)
	outcomes := sumStats(d.ownOutcomeStats(now))
	sums := make(map[Key]UpstreamLoad, len(d.advertised))
	add := func(c UpstreamLoad) {
		sum := sums[c.Key]
		sums[c.Key] = UpstreamLoad{Key: c.Key, Online: sum.Online + c.Online, Batch: sum.Batch + c.Batch}
	}
	for _, s := range d.upstreams {
		if s.online > 0 || s.batch > 0 {
			add(UpstreamLoad{Key: s.key, Online: s.online, Batch: s.batch})
		}
	}
	for service, q := range d.queues {
		if q.waiters.Len() > 0 {
			g.Waiting[KeyOf(service)] += q.waiters.Len()
		}
	}
	for _, p := range d.peers {
		if p.report.DataCentre != d.cfg.DataCentre {
			continue
		}
		g.Gateways++
		g.Backlog.add(p.report.Backlog)
		for service, n := range p.report.Waiting {
			g.Waiting[service] += n
		}
		for _, c := range p.report.Loads {
			add(c)
		}
		if now.Sub(p.lastHeard) <= outcomeWindow {
			outcomes.add(p.report.Outcomes)
		}
	}
	for _, e := range outcomes {
		g.Outcomes = append(g.Outcomes, e)
	}
	changed := !g.Backlog.equal(d.lastDigest.Backlog) || g.Gateways != d.lastDigest.Gateways || len(g.Waiting)+len(d.lastDigest.Waiting) > 0 ||
		len(g.Outcomes)+len(d.lastDigest.Outcomes) > 0
	g.Loads = d.advertise(sums, refresh)
	changed = changed || len(g.Loads) > 0
	d.lastDigest = g
	g.Speeds = d.speedCounters(true)
	return g, changed
}

// advertise returns the loads to send in a digest and records them as sent. d.mu
// must be held.
func (d *Dispatcher) advertise(sums map[Key]UpstreamLoad, refresh bool) []UpstreamLoad {
	var loads []UpstreamLoad
	for key, sum := range sums {
		last, known := d.advertised[key]
		if known && last.UpstreamLoad == sum {
			continue
		}
		if !known {
			d.refreshQueue = append(d.refreshQueue, key)
		}
		loads = append(loads, sum)
		d.advertised[key] = advertisedLoad{UpstreamLoad: sum}
	}
	for key, last := range d.advertised {
		if _, active := sums[key]; !active && last.zerosSent == 0 {
			loads = append(loads, UpstreamLoad{Key: key})
			d.advertised[key] = advertisedLoad{UpstreamLoad: UpstreamLoad{Key: key}, zerosSent: 1}
		}
	}
	if refresh {
		loads = append(loads, d.nextRefresh()...)
	}
	return loads
}

// nextRefresh returns the next upstreams in rotation with the loads last sent. d.mu
// must be held.
func (d *Dispatcher) nextRefresh() []UpstreamLoad {
	n := min(len(d.refreshQueue), refreshLimit)
	next := d.refreshQueue[:n]
	d.refreshQueue = append([]Key(nil), d.refreshQueue[n:]...)
	var loads []UpstreamLoad
	for _, key := range next {
		last := d.advertised[key]
		if last.zerosSent > zeroRepeats {
			delete(d.advertised, key)
			continue
		}
		if last.zerosSent > 0 {
			last.zerosSent++
			d.advertised[key] = last
		}
		loads = append(loads, last.UpstreamLoad)
		d.refreshQueue = append(d.refreshQueue, key)
	}
	return loads
}

// MergeDigest applies the digest of another data centre.
func (d *Dispatcher) MergeDigest(g Digest, now time.Time) {
	if g.DataCentre == d.cfg.DataCentre {
		return
	}
	d.mu.Lock()
	known := d.dataCentres[g.DataCentre]
	if known == nil {
		known = &remoteDataCentre{loads: make(map[Key]remoteLoad)}
		d.dataCentres[g.DataCentre] = known
	}
	loads := g.Loads
	g.Loads = nil
	d.mergeRemoteSpeeds(&g, now)
	g.Speeds = nil
	known.Digest, known.lastHeard = g, now
	for _, c := range loads {
		old := known.loads[c.Key]
		d.addRemoteLoad(c.Key, c.Online-old.Online, c.Batch-old.Batch)
		if c.Online == 0 && c.Batch == 0 {
			delete(known.loads, c.Key)
		} else {
			known.loads[c.Key] = remoteLoad{UpstreamLoad: c, lastHeard: now}
		}
	}
	services := d.servicesWithWaiters()
	var ejections []ejectionEvent
	if len(g.Outcomes) > 0 {
		ejections = d.evaluateEjections(now)
	}
	d.mu.Unlock()
	d.logEjections(ejections)
	d.handlePeerUpdate(services, now)
}

// expireDataCentres drops loads and data centres that have not been refreshed. d.mu
// must be held.
func (d *Dispatcher) expireDataCentres(now time.Time) {
	for name, g := range d.dataCentres {
		for key, w := range g.loads {
			if now.Sub(w.lastHeard) > loadExpiry || now.Sub(g.lastHeard) > dataCentreExpiry {
				d.addRemoteLoad(key, -w.Online, -w.Batch)
				delete(g.loads, key)
			}
		}
		if now.Sub(g.lastHeard) > dataCentreExpiry {
			delete(d.dataCentres, name)
		}
	}
}
